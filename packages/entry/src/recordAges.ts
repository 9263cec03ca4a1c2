/** Compares the ages of records that operators and upstreams write. */
import * as platform from "@mulberryseam/platform";
import type * as returnedTopic from "./returnedTopic";

/** Compares documents by their version; evacuations do not tell their age. */
export const compareOperatorRecords: returnedTopic.AgeComparison = (key, known, candidate) => {
    if (key !== platform.documentKey) {
        return undefined;
    }
    const knownDocument = platform.parseDocument(known);
    const document = platform.parseDocument(candidate);
    return knownDocument.ok && document.ok ? document.val.version - knownDocument.val.version : undefined;
};

/** Compares registry entries by the start of the upstream and the sequence number. */
export const compareRegistryEntries: returnedTopic.AgeComparison = (...[, known, candidate]) => {
    const knownAge = platform.parseEntryAge(known);
    const age = platform.parseEntryAge(candidate);
    return knownAge === undefined || age === undefined
        ? undefined
        : age.startedAt - knownAge.startedAt || age.sequence - knownAge.sequence;
};
