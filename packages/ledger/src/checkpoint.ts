/** Checkpoints: the state written to the log in chunks, so that readers can start after old records have expired. */
import * as crypto from "node:crypto";
import * as records from "./records";
import type * as states from "./state";

type CheckpointChunk = Extract<records.RecordBody, { kind: "checkpoint"; }>;

/** Collects chunks until a checkpoint is complete. */
export interface CheckpointAssembler {
    /**
     * Adds a record. Records that are not checkpoint chunks are ignored.
     *
     * @param record - a record read from the log
     * @returns the state, if this record completes a checkpoint with a valid digest; otherwise undefined
     */
    addRecord: (record: records.LogRecord) => states.LogState | undefined;
}

const maxChunkCharacters = 49_152;
const maxPendingCheckpoints = 4;

const computeDigest = (text: string): string => crypto.createHash("sha256").update(text).digest("hex");

/**
 * Splits a state into the record bodies of a checkpoint.
 *
 * @param state - the state to write
 * @param checkpoint - unique identifier of the checkpoint
 * @returns the record bodies, in append order
 */
export const createCheckpoint = (state: states.LogState, checkpoint: string): CheckpointChunk[] => {
    const text = JSON.stringify(state);
    const digest = computeDigest(text);
    const count = Math.ceil(text.length / maxChunkCharacters);
    return [...Array(count).keys()].map(index => ({
        kind: records.RecordKind.checkpoint,
        checkpoint,
        upTo: state.offset,
        index,
        count,
        digest,
        data: text.slice(index * maxChunkCharacters, (index + 1) * maxChunkCharacters),
    }));
};

/**
 * Creates a checkpoint assembler. A checkpoint stays incomplete if its writer terminates before the last chunk; it is
 * dropped when `maxPendingCheckpoints` newer ones are pending.
 *
 * @returns an empty assembler
 */
export const createCheckpointAssembler = (): CheckpointAssembler => {
    const pending = new Map<string, CheckpointChunk[]>();
    return {
        addRecord: record => {
            const chunk = record.body;
            if (chunk.kind !== records.RecordKind.checkpoint) {
                return undefined;
            }
            const chunks = pending.get(chunk.checkpoint) ?? [];
            chunks[chunk.index] = chunk;
            pending.set(chunk.checkpoint, chunks);
            for (const identifier of [...pending.keys()].slice(0, -maxPendingCheckpoints)) {
                pending.delete(identifier);
            }
            const receivedCount = chunks.filter(entry => entry !== undefined).length;
            if (receivedCount < chunk.count) {
                return undefined;
            }
            pending.delete(chunk.checkpoint);
            const text = chunks.map(entry => entry.data).join("");
            return computeDigest(text) === chunk.digest ? JSON.parse(text) as states.LogState : undefined;
        },
    };
};
