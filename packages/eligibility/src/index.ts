/** Decides whether an upstream may get a request or own a key. */
export {
    findPlacementRegions,
    isRegionAllowed,
    listServicesWithoutCommonRegion,
    restrictToKnownRegions,
} from "./allowedRegions";
export type { AllowedRegions, RestrictedDocument } from "./allowedRegions";
export { createEligibility, IneligibilityReason, unlimitedWarmupRates } from "./eligibility";
export type {
    Eligibility,
    EligibilityOptions,
    Ineligibility,
    IneligibilityReasonValue,
    WarmupRates,
} from "./eligibility";
export { createEvacuations, noEvacuations } from "./evacuations";
export type { Evacuation, EvacuationRecord, Evacuations } from "./evacuations";
export { createRateSharerFinder } from "./rateSharers";
export type { RateSharerFinder, RateSharers, SiteInstances } from "./rateSharers";
export { ColdCause, createWarmupRates } from "./warmupRates";
export type { ColdCauseValue, LearningWarmupRates, WarmupRatesOptions } from "./warmupRates";
