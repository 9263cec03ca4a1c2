/**
 * Folds pages of the log as they come. Starts from the first record, or from the newest whole checkpoint where the
 * first records have expired, or from a state that a peer has folded.
 */
import * as checkpoints from "./checkpoint";
import * as fold from "./fold";
import type * as logClient from "./logClient";
import * as recordSchemas from "./records";
import * as states from "./state";

/** A record that has been folded. */
export interface FoldedRecord {
    offset: number;
    record: recordSchemas.LogRecord;
    outcome: fold.FoldOutcome;
}

interface PendingRecord {
    offset: number;
    record: recordSchemas.LogRecord | undefined;
}

/** Folds the log. */
export interface LogFollower {
    /** The folded state; undefined until a start has been found. */
    state: () => states.LogState | undefined;
    /** Offset to read from next. */
    nextOffset: () => number;
    /** Takes a page read at {@link nextOffset}; returns the records it folded. */
    takePage: (page: logClient.LogPage) => FoldedRecord[];
    /** Takes a state folded elsewhere; older states than the own one are ignored. */
    takeState: (state: states.LogState) => boolean;
}

/**
 * Creates a follower.
 *
 * @returns a follower before the first record
 */
export const createLogFollower = (): LogFollower => {
    let state: states.LogState | undefined;
    let next = 0;
    let seeking: PendingRecord[] = [];
    let assembler = checkpoints.createCheckpointAssembler();

    const foldPending = (pending: readonly PendingRecord[]): FoldedRecord[] => {
        const folded: FoldedRecord[] = [];
        for (const { offset, record } of pending) {
            if (state === undefined || offset <= state.offset) {
                continue;
            }
            if (record === undefined) {
                state = { ...state, offset };
                continue;
            }
            const result = fold.fold(state, record, offset);
            state = result.state;
            folded.push({ offset, record, outcome: result.outcome });
        }
        return folded;
    };

    const parsePage = (page: logClient.LogPage): PendingRecord[] =>
        page.records.map(({ offset, value }) => {
            const parsed = recordSchemas.parseRecord(value);
            return { offset, record: parsed.ok ? parsed.val : undefined };
        });

    const restart = (oldestOffset: number): void => {
        state = oldestOffset === 0 ? states.emptyState() : undefined;
        seeking = [];
        assembler = checkpoints.createCheckpointAssembler();
        next = oldestOffset;
    };

    const seek = (records: PendingRecord[]): void => {
        for (const entry of records) {
            seeking.push(entry);
            const checkpoint = entry.record === undefined ? undefined : assembler.take(entry.record);
            const isGapless = checkpoint !== undefined && checkpoint.offset + 1 >= seeking[0].offset;
            if (isGapless) {
                state = checkpoint;
                break;
            }
        }
    };

    return {
        state: () => state,
        nextOffset: () => next,
        takePage: page => {
            const isBehindRetention = next < page.oldestOffset;
            if (isBehindRetention || (state === undefined && next === 0)) {
                restart(page.oldestOffset);
            }
            const records = parsePage(page).filter(entry => entry.offset >= next);
            if (records.length > 0) {
                next = records[records.length - 1].offset + 1;
            }
            if (state !== undefined) {
                return foldPending(records);
            }
            seek(records);
            if (state === undefined) {
                return [];
            }
            const pending = [...seeking, ...records];
            seeking = [];
            return foldPending(pending);
        },
        takeState: candidate => {
            if (state !== undefined && candidate.offset <= state.offset) {
                return false;
            }
            state = candidate;
            next = candidate.offset + 1;
            seeking = [];
            return true;
        },
    };
};
