/** Generates the fault schedule of a run from a seed. */
import * as foundation from "@mulberryseam/foundation";

/** Kinds of fault. */
export const FaultKind = {
    storeBusy: "storeBusy",
    storeLosing: "storeLosing",
    storeSilent: "storeSilent",
    storeForgetting: "storeForgetting",
    storeLinkCut: "storeLinkCut",
    storeLinkCutOneWay: "storeLinkCutOneWay",
    storeLinkDelayed: "storeLinkDelayed",
    storeLinkReset: "storeLinkReset",
    upstreamLinkCut: "upstreamLinkCut",
    upstreamLinkDelayed: "upstreamLinkDelayed",
    upstreamLinkReset: "upstreamLinkReset",
    upstreamRestarted: "upstreamRestarted",
    upstreamSilent: "upstreamSilent",
    upstreamEndless: "upstreamEndless",
    instanceKilled: "instanceKilled",
    instancePaused: "instancePaused",
    everyInstanceKilled: "everyInstanceKilled",
    instanceStopped: "instanceStopped",
    settingsReread: "settingsReread",
    documentChanged: "documentChanged",
    registryOddEntry: "registryOddEntry",
    upstreamMalformed: "upstreamMalformed",
    upstreamLinkRefused: "upstreamLinkRefused",
    documentStorm: "documentStorm",
    settingsRereadStorm: "settingsRereadStorm",
    instanceSignalSeries: "instanceSignalSeries",
    callersUnusual: "callersUnusual",
    upstreamLeaving: "upstreamLeaving",
    upstreamBusy: "upstreamBusy",
    upstreamMisdirecting: "upstreamMisdirecting",
    domainEvacuated: "domainEvacuated",
    storeReturned: "storeReturned",
    storeReturnedTwice: "storeReturnedTwice",
} as const;

/** A value of {@link FaultKind}. */
export type FaultKindValue = typeof FaultKind[keyof typeof FaultKind];

/** Planned operations, which must not interrupt any request. */
const plannedFaultKinds: readonly FaultKindValue[] = [
    FaultKind.instanceStopped,
    FaultKind.settingsReread,
    FaultKind.documentChanged,
];

/** Faults that are scheduled apart, each group on its own, so that earlier seeds keep their other faults. */
const upstreamModeKinds: readonly FaultKindValue[] = [FaultKind.upstreamSilent, FaultKind.upstreamEndless];
/** Input that is not proper, from upstreams, from other writers of the registry and from callers. */
export const oddInputKinds: readonly FaultKindValue[] = [
    FaultKind.registryOddEntry,
    FaultKind.upstreamMalformed,
    FaultKind.upstreamLinkRefused,
    FaultKind.callersUnusual,
];
/** Planned operations in quick succession. */
export const seriesKinds: readonly FaultKindValue[] = [
    FaultKind.documentStorm,
    FaultKind.settingsRereadStorm,
    FaultKind.instanceSignalSeries,
];
/** Upstreams that ask for no further requests. */
export const withdrawalKinds: readonly FaultKindValue[] = [FaultKind.upstreamLeaving, FaultKind.upstreamBusy];
/** Upstreams that hold keys and answer lease commands as another process would. */
export const leaseRefusalKinds: readonly FaultKindValue[] = [FaultKind.upstreamMisdirecting];
/** Operators that evacuate a failure domain for a time. */
export const evacuationKinds: readonly FaultKindValue[] = [FaultKind.domainEvacuated];
/** Returns of the store from an older copy. */
export const returnKinds: readonly FaultKindValue[] = [FaultKind.storeReturned, FaultKind.storeReturnedTwice];
const separateKinds: readonly FaultKindValue[] = [
    ...upstreamModeKinds,
    ...oddInputKinds,
    ...seriesKinds,
    ...withdrawalKinds,
    ...leaseRefusalKinds,
    ...evacuationKinds,
    ...returnKinds,
];

/** A scheduled fault. */
export interface Fault {
    kind: FaultKindValue;
    /** Start of the fault, in milliseconds after the site is ready. */
    startMilliseconds: number;
    /** Duration of the fault, or delay before a terminated process restarts, in milliseconds. */
    durationMilliseconds: number;
    /** Selects the affected instance or upstream: its index, modulo their number. */
    targetIndex: number;
}

/** The fault schedule of a run. */
export interface Schedule {
    faults: Fault[];
    /** Whether the schedule contains planned operations only. */
    isPlanned: boolean;
}

/** Every seed divisible by this number has a schedule of planned operations only. */
const plannedSeedInterval = 5;
const minDurationMilliseconds = 200;
const maxDurationMilliseconds = 4000;
/** Mean time between the starts of consecutive faults, in milliseconds. */
const meanGapMilliseconds = 900;
const meanUpstreamModeGapMilliseconds = 2000;
const meanOddInputGapMilliseconds = 800;
const meanWithdrawalGapMilliseconds = 2500;
const meanSeriesGapMilliseconds = 2500;
const meanLeaseRefusalGapMilliseconds = 4000;
const meanEvacuationGapMilliseconds = 6000;
const meanReturnGapMilliseconds = 6000;
/** Distinguish the random numbers of these faults from those of the others. */
const upstreamModeSeedOffset = 500_000;
const oddInputSeedOffset = 600_000;
const seriesSeedOffset = 700_000;
const withdrawalSeedOffset = 900_000;
const leaseRefusalSeedOffset = 1_100_000;
const evacuationSeedOffset = 1_300_000;
const returnSeedOffset = 1_500_000;

const createFaults = (
    random: foundation.Random,
    kinds: readonly FaultKindValue[],
    periodMilliseconds: number,
    gapMilliseconds: number,
): Fault[] => {
    const faults: Fault[] = [];
    for (
        let startMilliseconds = 0;
        startMilliseconds < periodMilliseconds;
        startMilliseconds += random.below(2 * gapMilliseconds)
    ) {
        faults.push({
            kind: kinds[random.below(kinds.length)],
            startMilliseconds,
            durationMilliseconds: minDurationMilliseconds
                + random.below(maxDurationMilliseconds - minDurationMilliseconds),
            targetIndex: random.below(1000),
        });
    }
    return faults;
};

/**
 * Creates the fault schedule of a run. Faults start at random intervals and may overlap.
 *
 * @param seed - determines the schedule; equal seeds yield equal schedules
 * @param faultPeriodMilliseconds - length of the period in which faults start
 * @returns the faults in order of their start
 */
export const createSchedule = (seed: number, faultPeriodMilliseconds: number): Schedule => {
    const createGroup = (seedOffset: number, kinds: readonly FaultKindValue[], gapMilliseconds: number): Fault[] =>
        createFaults(foundation.createRandom(seed + seedOffset), kinds, faultPeriodMilliseconds, gapMilliseconds);
    const isPlanned = seed % plannedSeedInterval === 0;
    const kinds = Object.values(FaultKind).filter(kind => !separateKinds.includes(kind));
    const faults = [
        ...createGroup(0, isPlanned ? plannedFaultKinds : kinds, meanGapMilliseconds),
        ...createGroup(seriesSeedOffset, seriesKinds, meanSeriesGapMilliseconds),
        ...createGroup(evacuationSeedOffset, evacuationKinds, meanEvacuationGapMilliseconds),
        ...(isPlanned ? [] : [
            ...createGroup(upstreamModeSeedOffset, upstreamModeKinds, meanUpstreamModeGapMilliseconds),
            ...createGroup(oddInputSeedOffset, oddInputKinds, meanOddInputGapMilliseconds),
            ...createGroup(withdrawalSeedOffset, withdrawalKinds, meanWithdrawalGapMilliseconds),
            ...createGroup(returnSeedOffset, returnKinds, meanReturnGapMilliseconds),
            ...createGroup(leaseRefusalSeedOffset, leaseRefusalKinds, meanLeaseRefusalGapMilliseconds),
        ]),
    ];
    faults.sort((left, right) => left.startMilliseconds - right.startMilliseconds);
    return { faults, isPlanned };
};
