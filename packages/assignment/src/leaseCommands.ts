/** Lease commands: grants and releases of key ranges, sent to upstreams. */
import type * as keyRange from "./keyRange";

/** Kinds of lease command. */
export const CommandKind = { grant: "grant", release: "release" } as const;

/** A grant or release of a key range, sent to an upstream. */
export interface LeaseCommand {
    kind: typeof CommandKind[keyof typeof CommandKind];
    owner: keyRange.Owner;
    first: number;
    last: number;
    token: number;
    /** Duration of the granted lease; 0 in a release. */
    leaseMilliseconds: number;
    /** State that the previous owner returned with its release, if any; undefined in a release. */
    handover: string | undefined;
}

/**
 * Outcomes of a lease command; `fenced` means that the owner has seen a higher token, `misdirected` that a response came from the owner's
 * address saying that the command was not meant for the process there, and `undelivered` that the command has certainly not reached the
 * owner. The owner may still run after each of them.
 */
export const CommandOutcome = {
    done: "done",
    fenced: "fenced",
    refused: "refused",
    unanswered: "unanswered",
    undelivered: "undelivered",
    misdirected: "misdirected",
} as const;

/** One of {@link CommandOutcome}. */
export type CommandOutcomeValue = typeof CommandOutcome[keyof typeof CommandOutcome];

/**
 * Creates the command that releases a range from its previous owner. The command carries the next owner's token, so
 * that the previous owner refuses every grant sent to it earlier.
 *
 * @param range - the range as assigned to its next owner
 * @param previousOwner - the owner that releases it
 * @returns the release command
 */
export const createReleaseCommand = (range: keyRange.KeyRange, previousOwner: keyRange.Owner): LeaseCommand => ({
    kind: CommandKind.release,
    owner: previousOwner,
    first: range.first,
    last: range.last,
    token: range.token,
    leaseMilliseconds: 0,
    handover: undefined,
});
