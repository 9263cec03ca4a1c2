/** Tells operators of returns of the store from an older copy, and of what became of the records that were lost. */
import type * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import type * as topicState from "./topicState";

/** What became of records. */
export const ReturnOutcome = {
    /** The record was missing, or a deletion was. */
    awaited: "awaited",
    /** The copy had an older record, which was left out. */
    older: "older",
    /** An awaited record was written again. */
    writtenAgain: "writtenAgain",
    /** An awaited record was not written again, and the store was taken as it is. */
    dropped: "dropped",
    /** An assignment or leader record was stored again by the leader. */
    storedAgain: "storedAgain",
} as const;

/** One of {@link ReturnOutcome}. */
export type ReturnOutcomeValue = typeof ReturnOutcome[keyof typeof ReturnOutcome];

/** Number of records of a topic with one outcome. */
export interface ReturnCount {
    topic: string;
    outcome: ReturnOutcomeValue;
    count: number;
}

/** Counts and logs returns of the store. */
export interface StoreReturns {
    onReturned: (topic: platform.TopicName, storeReturn: topicState.TopicReturn) => void;
    onSettled: (topic: platform.TopicName, settlement: topicState.TopicSettlement, end: platform.Position) => void;
    onStoredAgain: (topic: platform.TopicName, recordCount: number) => void;
    counts: () => ReturnCount[];
}

/**
 * Creates an account without returns.
 *
 * @param log - receives an event for each topic and return, and one when its records are no longer awaited
 * @returns the account
 */
export const createStoreReturns = (log: foundation.EventLog): StoreReturns => {
    const counts = new Map<string, ReturnCount>();
    const add = (topic: string, outcome: ReturnOutcomeValue, count: number): void => {
        const key = `${topic} ${outcome}`;
        counts.set(key, { topic, outcome, count: (counts.get(key)?.count ?? 0) + count });
    };
    return {
        onReturned: (topic, { previousEnd, end, awaitedCount, olderCount }) => {
            add(topic, ReturnOutcome.awaited, awaitedCount);
            add(topic, ReturnOutcome.older, olderCount);
            log.write("store-returned", {
                topic,
                era: end.era,
                end: end.offset,
                previousEra: previousEnd.era,
                previousEnd: previousEnd.offset,
                awaited: awaitedCount,
                older: olderCount,
            });
        },
        onSettled: (topic, { writtenAgainCount, droppedCount }, end) => {
            add(topic, ReturnOutcome.writtenAgain, writtenAgainCount);
            add(topic, ReturnOutcome.dropped, droppedCount);
            log.write("store-return-settled", {
                topic,
                era: end.era,
                end: end.offset,
                writtenAgain: writtenAgainCount,
                dropped: droppedCount,
            });
        },
        onStoredAgain: (topic, recordCount) => add(topic, ReturnOutcome.storedAgain, recordCount),
        counts: () => [...counts.values()],
    };
};
