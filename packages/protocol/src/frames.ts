/** Framing of messages: a big-endian length of four bytes, followed by one CBOR item. */
import * as cbor from "cbor-x";
import * as tsResults from "ts-results";

/** Maximum size of an accepted frame in bytes, without the length prefix. */
export const maxFrameBytes = 8 * 1024 * 1024;

const lengthPrefixBytes = 4;

/**
 * Field names, encoded as their position in this list, counted from 1. Names may only be appended; any other change
 * requires a new protocol version.
 */
const fieldNames = [
    "kind",
    "version",
    "environment",
    "name",
    "incarnation",
    "round",
    "knowledge",
    "offset",
    "lapses",
    "report",
    "address",
    "region",
    "failureDomain",
    "isLeaving",
    "answers",
    "loads",
    "server",
    "ageMilliseconds",
    "isDraining",
    "service",
    "slot",
    "requestsPerSecond",
    "state",
    "slots",
    "token",
    "reason",
    "session",
    "identifier",
    "startedAt",
    "host",
    "port",
    "first",
    "last",
    "owner",
    "owners",
    "changes",
    "samples",
    "keys",
    "weight",
    "speeds",
    "topic",
    "topics",
    "end",
    "age",
    "records",
    "key",
    "value",
    "term",
    "record",
    "proofAge",
    "instances",
    "members",
    "delegate",
    "content",
    "leaving",
] as const;

const codec = new cbor.Encoder({
    keyMap: Object.fromEntries(fieldNames.map((name, index) => [name, index + 1])),
    useRecords: false,
    mapsAsObjects: true,
    variableMapSize: true,
});

/** Kinds of framing errors. */
export const FrameErrorKind = { tooLong: "tooLong", notCbor: "notCbor" } as const;

/** Error after which a stream of frames cannot be decoded any further. */
export interface FrameError {
    kind: typeof FrameErrorKind[keyof typeof FrameErrorKind];
    message: string;
}

/** Decodes a stream of bytes to frames. */
export interface FrameDecoder {
    /** Adds bytes and returns every frame completed by them, or an error after which the decoder must not be used. */
    push: (bytes: Buffer) => tsResults.Result<unknown[], FrameError>;
}

/**
 * Encodes a value as a frame.
 *
 * @param value - plain data that CBOR can represent
 * @returns the frame with its length prefix
 */
export const encodeFrame = (value: unknown): Buffer => {
    const payload = codec.encode(value);
    const frame = Buffer.allocUnsafe(lengthPrefixBytes + payload.length);
    frame.writeUInt32BE(payload.length, 0);
    payload.copy(frame, lengthPrefixBytes);
    return frame;
};

/**
 * Creates a decoder for one stream.
 *
 * @param maxBytes - maximum size of an accepted frame, without the length prefix
 * @returns the decoder
 */
export const createFrameDecoder = (maxBytes = maxFrameBytes): FrameDecoder => {
    let chunks: Buffer[] = [];
    let bufferedBytes = 0;

    const peekLength = (): number | undefined => {
        if (bufferedBytes < lengthPrefixBytes) {
            return undefined;
        }
        if (chunks[0].length < lengthPrefixBytes) {
            chunks = [Buffer.concat(chunks)];
        }
        return chunks[0].readUInt32BE(0);
    };

    const readFrame = (length: number): Buffer => {
        const bytes = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
        const end = lengthPrefixBytes + length;
        const remaining = bytes.subarray(end);
        chunks = remaining.length > 0 ? [remaining] : [];
        bufferedBytes = remaining.length;
        return bytes.subarray(lengthPrefixBytes, end);
    };

    return {
        push: bytes => {
            chunks.push(bytes);
            bufferedBytes += bytes.length;
            const frames: unknown[] = [];
            for (let length = peekLength(); length !== undefined; length = peekLength()) {
                if (length > maxBytes) {
                    return tsResults.Err({ kind: FrameErrorKind.tooLong, message: `a frame of ${length} bytes` });
                }
                if (bufferedBytes < lengthPrefixBytes + length) {
                    break;
                }
                try {
                    frames.push(codec.decode(readFrame(length)));
                }
                catch (error) {
                    return tsResults.Err({ kind: FrameErrorKind.notCbor, message: (error as Error).message });
                }
            }
            return tsResults.Ok(frames);
        },
    };
};
