/**
 * Applies pages of the log to the state. Starts from the first record, from a complete checkpoint if the first records
 * have expired, or from the state of a peer.
 */
import * as applyRecord from "./applyRecord";
import * as checkpoints from "./checkpoint";
import type * as logClient from "./logClient";
import * as recordSchemas from "./records";
import * as states from "./state";

/** An applied record and its outcome. */
export interface AppliedRecord {
    offset: number;
    record: recordSchemas.LogRecord;
    outcome: applyRecord.RecordOutcome;
}

interface PendingRecord {
    offset: number;
    /** Undefined if the record is malformed. */
    record: recordSchemas.LogRecord | undefined;
}

/** Applies the log to a state. */
export interface LogFollower {
    /**
     * Current state; undefined before the first page and, if earlier records have expired, until a checkpoint is
     * complete or the state of a peer is adopted.
     */
    state: () => states.LogState | undefined;
    /** Offset of the next record to read. */
    nextOffset: () => number;
    /** Applies a page read from {@link nextOffset} and returns the applied records. Skips malformed records. */
    applyPage: (page: logClient.LogPage) => AppliedRecord[];
    /** Replaces the state with that of a peer if it is newer; returns whether the state was replaced. */
    adoptState: (state: states.LogState) => boolean;
}

/**
 * Creates a log follower.
 *
 * @returns a follower that has read no records
 */
export const createLogFollower = (): LogFollower => {
    let state: states.LogState | undefined;
    let nextOffset = 0;
    let bufferedRecords: PendingRecord[] = [];
    let assembler = checkpoints.createCheckpointAssembler();

    const applyPending = (pending: readonly PendingRecord[]): AppliedRecord[] => {
        const applied: AppliedRecord[] = [];
        for (const { offset, record } of pending) {
            if (state === undefined || offset <= state.offset) {
                continue;
            }
            if (record === undefined) {
                state = { ...state, offset };
                continue;
            }
            const result = applyRecord.applyRecord(state, record, offset);
            state = result.state;
            applied.push({ offset, record, outcome: result.outcome });
        }
        return applied;
    };

    const parsePage = (page: logClient.LogPage): PendingRecord[] =>
        page.records.map(({ offset, value }) => {
            const parsed = recordSchemas.parseRecord(value);
            return { offset, record: parsed.ok ? parsed.val : undefined };
        });

    const reset = (oldestOffset: number): void => {
        state = oldestOffset === 0 ? states.createEmptyState() : undefined;
        bufferedRecords = [];
        assembler = checkpoints.createCheckpointAssembler();
        nextOffset = oldestOffset;
    };

    const findCheckpoint = (records: PendingRecord[]): void => {
        for (const entry of records) {
            bufferedRecords.push(entry);
            const checkpoint = entry.record === undefined ? undefined : assembler.addRecord(entry.record);
            const isContiguous = checkpoint !== undefined && checkpoint.offset + 1 >= bufferedRecords[0].offset;
            if (isContiguous) {
                state = checkpoint;
                break;
            }
        }
    };

    return {
        state: () => state,
        nextOffset: () => nextOffset,
        applyPage: page => {
            const isHistoryExpired = nextOffset < page.oldestOffset;
            if (isHistoryExpired || (state === undefined && nextOffset === 0)) {
                reset(page.oldestOffset);
            }
            const records = parsePage(page).filter(entry => entry.offset >= nextOffset);
            if (records.length > 0) {
                nextOffset = records[records.length - 1].offset + 1;
            }
            if (state !== undefined) {
                return applyPending(records);
            }
            findCheckpoint(records);
            if (state === undefined) {
                return [];
            }
            const pending = [...bufferedRecords, ...records];
            bufferedRecords = [];
            return applyPending(pending);
        },
        adoptState: candidate => {
            if (state !== undefined && candidate.offset <= state.offset) {
                return false;
            }
            state = candidate;
            nextOffset = candidate.offset + 1;
            bufferedRecords = [];
            return true;
        },
    };
};
