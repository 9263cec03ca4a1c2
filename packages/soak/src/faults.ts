/** The faults of a run: what happens when, worked out from a seed. */
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
    instanceKilled: "instanceKilled",
    instancePaused: "instancePaused",
    everyInstanceKilled: "everyInstanceKilled",
    instanceStopped: "instanceStopped",
    settingsReread: "settingsReread",
    documentChanged: "documentChanged",
} as const;

/** One of {@link FaultKind}. */
export type FaultKindValue = typeof FaultKind[keyof typeof FaultKind];

/** Work that is planned, so that no request may be lost around it. */
const plannedKinds: readonly FaultKindValue[] = [
    FaultKind.instanceStopped,
    FaultKind.settingsReread,
    FaultKind.documentChanged,
];

/** One fault. */
export interface Fault {
    kind: FaultKindValue;
    /** Milliseconds after the site is ready. */
    at: number;
    /** How long it lasts, or until an ended process starts again, in milliseconds. */
    lasts: number;
    /** Chooses the instance or upstream; taken modulo their number. */
    target: number;
}

/** The faults of a run. */
export interface Schedule {
    faults: Fault[];
    /** Whether all of it is planned work. */
    isPlanned: boolean;
}

/** Every so many seeds, one has planned work only. */
const plannedEvery = 5;
const shortestMilliseconds = 200;
const longestMilliseconds = 4000;
/** Time between two faults, in milliseconds, on average. */
const gapMilliseconds = 900;

/**
 * Works out the faults of a run. They come in series and overlap.
 *
 * @param seed - the same seed gives the same faults
 * @param milliseconds - how long faults begin
 * @returns the faults in the order of their time
 */
export const createSchedule = (seed: number, milliseconds: number): Schedule => {
    const random = foundation.createRandom(seed);
    const isPlanned = seed % plannedEvery === 0;
    const kinds = isPlanned ? plannedKinds : Object.values(FaultKind);
    const faults: Fault[] = [];
    for (let at = 0; at < milliseconds; at += random.below(2 * gapMilliseconds)) {
        faults.push({
            kind: kinds[random.below(kinds.length)],
            at,
            lasts: shortestMilliseconds + random.below(longestMilliseconds - shortestMilliseconds),
            target: random.below(1000),
        });
    }
    return { faults, isPlanned };
};
