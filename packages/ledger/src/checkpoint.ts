/** Checkpoints: the folded state written back to the log in chunks, so that readers need not read what has expired. */
import * as crypto from "node:crypto";
import * as records from "./records";
import type * as states from "./state";

type CheckpointChunk = Extract<records.RecordBody, { kind: "checkpoint"; }>;

/** Gathers chunks until a checkpoint is whole. */
export interface CheckpointAssembler {
    /**
     * Takes a record of any kind.
     *
     * @param record - a record read from the log
     * @returns the state of a checkpoint that this record completes, else undefined
     */
    take: (record: records.LogRecord) => states.LogState | undefined;
}

const chunkCharacters = 49_152;
const pendingCheckpoints = 4;

const digestOf = (text: string): string => crypto.createHash("sha256").update(text).digest("hex");

/**
 * Cuts a state into the records of a checkpoint.
 *
 * @param state - the folded state
 * @param checkpoint - an identifier no other checkpoint has
 * @returns the bodies to append, in order
 */
export const createCheckpoint = (state: states.LogState, checkpoint: string): CheckpointChunk[] => {
    const text = JSON.stringify(state);
    const digest = digestOf(text);
    const count = Math.ceil(text.length / chunkCharacters);
    return [...Array(count).keys()].map(index => ({
        kind: records.RecordKind.checkpoint,
        checkpoint,
        upTo: state.offset,
        index,
        count,
        digest,
        data: text.slice(index * chunkCharacters, (index + 1) * chunkCharacters),
    }));
};

/**
 * Creates an assembler. A checkpoint whose writer was lost half-way stays incomplete and is dropped.
 *
 * @returns an assembler without chunks
 */
export const createCheckpointAssembler = (): CheckpointAssembler => {
    const pending = new Map<string, CheckpointChunk[]>();
    return {
        take: record => {
            const chunk = record.body;
            if (chunk.kind !== records.RecordKind.checkpoint) {
                return undefined;
            }
            const chunks = pending.get(chunk.checkpoint) ?? [];
            chunks[chunk.index] = chunk;
            pending.set(chunk.checkpoint, chunks);
            for (const identifier of [...pending.keys()].slice(0, -pendingCheckpoints)) {
                pending.delete(identifier);
            }
            const present = chunks.filter(entry => entry !== undefined).length;
            if (present < chunk.count) {
                return undefined;
            }
            pending.delete(chunk.checkpoint);
            const text = chunks.map(entry => entry.data).join("");
            return digestOf(text) === chunk.digest ? JSON.parse(text) as states.LogState : undefined;
        },
    };
};
