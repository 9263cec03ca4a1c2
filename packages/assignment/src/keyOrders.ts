/** Orders to upstreams about the keys that they own. */
import type * as keyRange from "./keyRange";

/** Kinds of order. */
export const OrderKind = { grant: "grant", release: "release" } as const;

/** One order to an upstream. */
export interface Order {
    kind: typeof OrderKind[keyof typeof OrderKind];
    owner: keyRange.Owner;
    first: number;
    last: number;
    token: number;
    /** Of a grant, in milliseconds. */
    leaseMilliseconds: number;
    handover: string | undefined;
}

/** What became of an order. */
export const OrderOutcome = {
    done: "done",
    fenced: "fenced",
    refused: "refused",
    unanswered: "unanswered",
} as const;

/** One of {@link OrderOutcome}. */
export type OrderOutcomeValue = typeof OrderOutcome[keyof typeof OrderOutcome];

/**
 * Creates the order that takes a range back from its former owner. It carries the next owner's token, which makes the
 * former one refuse every grant that was sent to it before.
 *
 * @param range - the range under its next owner
 * @param former - who had it
 * @returns the order
 */
export const createRelease = (range: keyRange.KeyRange, former: keyRange.Owner): Order => ({
    kind: OrderKind.release,
    owner: former,
    first: range.first,
    last: range.last,
    token: range.token,
    leaseMilliseconds: 0,
    handover: undefined,
});
