/**
 * The known state of a topic. After the store has returned from an older copy, the state does not go back: records that the copy lacks are
 * kept until their writers have had the time to write them again. Time is passed in.
 */
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import * as changeFilter from "./changeFilter";
import * as returnedTopic from "./returnedTopic";

/** How records of a topic are compared. */
export interface TopicStateOptions {
    /** Returns the same text for equivalent values. */
    fingerprintOf: (key: string, value: Buffer) => string;
    compareAges: returnedTopic.AgeComparison;
}

/** A return of the store from an older copy, as seen in one topic. */
export interface TopicReturn {
    /** Position up to which the topic was known. */
    previousEnd: platform.Position;
    /** End of the first content that was seen of the new era. */
    end: platform.Position;
    /** Number of keys whose newest record is missing, or deleted before and back. */
    awaitedCount: number;
    /** Number of keys with a record that is older than the known one. */
    olderCount: number;
}

/** The end of the time in which missing records are awaited. */
export interface TopicSettlement {
    /** Number of keys that were written again. */
    writtenAgainCount: number;
    /** Number of keys that were not, and for which the copy is now taken as it is. */
    droppedCount: number;
}

/** Changes of the state, and what is to be told about them. */
export interface TopicChanges {
    changes: platform.StoredRecord[];
    storeReturn?: TopicReturn;
    settlement?: TopicSettlement;
}

/** The known state of a topic. */
export interface TopicState {
    /** Position up to which the topic is known; undefined at the start. */
    position: () => platform.Position | undefined;
    /** The newest known record of every key. */
    records: () => platform.StoredRecord[];
    /** Number of the changes so far, which distinguishes states that end at the same position. */
    revision: () => number;
    /** Whether writers may still write again what a known return has lost. */
    isAwaiting: () => boolean;
    /** Whether writers may still write again what is missing: after a known return, and after the first content, which one may precede. */
    mayBeIncomplete: () => boolean;
    /** Applies the records of the era between the known position, or one before it, and `end`; returns undefined if they do not fit. */
    applyRecords: (
        records: readonly platform.StoredRecord[],
        end: platform.Position,
        now: number,
    ) => TopicChanges | undefined;
    /** Applies the newest record of every key; returns undefined if they are older than the known ones. */
    applySnapshot: (
        records: readonly platform.StoredRecord[],
        end: platform.Position,
        now: number,
    ) => TopicChanges | undefined;
    /** Takes the store as it is once writers have had the time to write again; called after each confirmation of the state. */
    onConfirmed: (now: number) => TopicChanges;
}

/** Time after a return in which writers write their lost records again, in milliseconds. */
export const rewriteMilliseconds = routing.reregistrationMilliseconds;
/** Time without a confirmation after which writers may have been out of contact with the store too, in milliseconds. */
const maxConfirmationGapMilliseconds = 2500;
/** Time for which deleted records are remembered, in milliseconds: the age of the oldest copy. */
const deletedRetentionMilliseconds = 60_000;

interface DeletedRecord {
    record: platform.StoredRecord;
    deletedAt: number;
}

/**
 * Creates a state that knows nothing.
 *
 * @param options - how records are compared
 * @returns the state
 */
export const createTopicState = ({ fingerprintOf, compareAges }: TopicStateOptions): TopicState => {
    const filter = changeFilter.createChangeFilter(fingerprintOf);
    const newestRecords = new Map<string, platform.StoredRecord>();
    const deletedRecords = new Map<string, DeletedRecord>();
    let position: platform.Position | undefined;
    let revision = 0;
    let awaited = new Map<string, platform.StoredRecord>();
    let awaitedCount = 0;
    /** Whether a return is known whose lost records are still awaited. */
    let hasReturned = false;
    let isReported = false;
    /** Time until which writers may write lost records again; at the start, the store may have returned unseen. */
    let settlesAt: number | undefined;
    let confirmedAt = -Infinity;

    const isBefore = (end: platform.Position): boolean =>
        position !== undefined && platform.comparePositions(end, position) < 0;
    /** Remembers changes that have passed the filter. */
    const remember = (changes: platform.StoredRecord[], now: number): platform.StoredRecord[] => {
        for (const change of changes) {
            const previous = newestRecords.get(change.key);
            if (change.value !== undefined) {
                newestRecords.set(change.key, change);
                deletedRecords.delete(change.key);
            }
            else if (previous !== undefined) {
                newestRecords.delete(change.key);
                deletedRecords.set(change.key, { record: previous, deletedAt: now });
            }
        }
        revision += changes.length;
        for (const [key, { deletedAt }] of deletedRecords) {
            if (now - deletedAt >= deletedRetentionMilliseconds) {
                deletedRecords.delete(key);
            }
        }
        return changes;
    };
    const describeKnown = () => ({
        known: newestRecords,
        deleted: new Map([...deletedRecords].map(([key, { record }]) => [key, record])),
        compareAges,
    });
    /** Merges content of a new era, or of one in which records are still awaited. */
    const merge = (
        previousEnd: platform.Position,
        records: readonly platform.StoredRecord[],
        end: platform.Position,
        now: number,
    ): TopicChanges => {
        const merged = returnedTopic.mergeCopy({ ...describeKnown(), copy: records, end });
        awaited = merged.awaited;
        const changes = remember(filter.apply(merged.changes), now);
        if (end.era === previousEnd.era) {
            return { changes };
        }
        awaitedCount = awaited.size;
        hasReturned = true;
        settlesAt = now + rewriteMilliseconds;
        // Another release may have sent the content before, or the store may state eras since a short time ago.
        isReported = previousEnd.era !== platform.unstatedEra;
        const { olderCount } = merged;
        return isReported ? { changes, storeReturn: { previousEnd, end, awaitedCount, olderCount } } : { changes };
    };
    return {
        position: () => position,
        records: () => [...newestRecords.values()],
        revision: () => revision,
        isAwaiting: () => hasReturned,
        mayBeIncomplete: () => settlesAt !== undefined,
        applyRecords: (records, end, now) => {
            if (position === undefined || end.era !== position.era || isBefore(end)) {
                return undefined;
            }
            const { offset } = position;
            position = end;
            const following = records.filter(record => record.offset >= offset);
            if (!hasReturned) {
                return { changes: remember(filter.apply(following), now) };
            }
            const known = describeKnown();
            const newer = following.filter(record => !returnedTopic.isOlder(known, record));
            newer.forEach(({ key }) => awaited.delete(key));
            return { changes: remember(filter.apply(newer), now) };
        },
        applySnapshot: (records, end, now) => {
            if (isBefore(end)) {
                return undefined;
            }
            const previousEnd = position;
            position = end;
            if (previousEnd !== undefined && (end.era !== previousEnd.era || hasReturned)) {
                return merge(previousEnd, records, end, now);
            }
            settlesAt = previousEnd === undefined ? now + rewriteMilliseconds : settlesAt;
            return { changes: remember(filter.replace(records, end.offset), now) };
        },
        onConfirmed: now => {
            const wasOutOfContact = now - confirmedAt > maxConfirmationGapMilliseconds;
            confirmedAt = now;
            if (settlesAt === undefined) {
                return { changes: [] };
            }
            if (now < settlesAt || wasOutOfContact) {
                settlesAt = wasOutOfContact ? now + rewriteMilliseconds : settlesAt;
                return { changes: [] };
            }
            settlesAt = undefined;
            const dropped = [...awaited.values()];
            awaited.clear();
            const settlement = hasReturned && isReported
                ? { writtenAgainCount: awaitedCount - dropped.length, droppedCount: dropped.length }
                : undefined;
            hasReturned = false;
            return { changes: remember(filter.apply(dropped), now), settlement };
        },
    };
};
