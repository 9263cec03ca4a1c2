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
