/** Frames: a length of four bytes, most significant first, then one CBOR item. */
import * as cbor from "cbor-x";
import * as tsResults from "ts-results";

/** The longest frame accepted, without its length, in bytes. */
export const maximumFrameBytes = 8 * 1024 * 1024;

const lengthBytes = 4;

/**
 * Names of fields, sent as their place in this list. The list only ever grows at its end; any other change needs a new
 * version of the protocol.
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
] as const;

const codec = new cbor.Encoder({
    keyMap: Object.fromEntries(fieldNames.map((name, index) => [name, index + 1])),
    useRecords: false,
    mapsAsObjects: true,
    variableMapSize: true,
});

/** Kinds of malformed frame. */
export const FrameErrorKind = { tooLong: "tooLong", notCbor: "notCbor" } as const;

/** Why a stream of frames cannot be read any further. */
export interface FrameError {
    kind: typeof FrameErrorKind[keyof typeof FrameErrorKind];
    message: string;
}

/** Cuts a stream of bytes into frames. */
export interface FrameDecoder {
    /** Takes bytes; gives every whole frame, or an error after which the stream is of no use. */
    push: (bytes: Buffer) => tsResults.Result<unknown[], FrameError>;
}

/**
 * Encodes a value as a frame.
 *
 * @param value - plain data
 * @returns the bytes to send
 */
export const encodeFrame = (value: unknown): Buffer => {
    const payload = codec.encode(value);
    const frame = Buffer.allocUnsafe(lengthBytes + payload.length);
    frame.writeUInt32BE(payload.length, 0);
    payload.copy(frame, lengthBytes);
    return frame;
};

/**
 * Creates a decoder.
 *
 * @param limitBytes - the longest frame accepted
 * @returns a decoder at the start of a stream
 */
export const createFrameDecoder = (limitBytes = maximumFrameBytes): FrameDecoder => {
    let chunks: Buffer[] = [];
    let buffered = 0;

    const peekLength = (): number | undefined => {
        if (buffered < lengthBytes) {
            return undefined;
        }
        if (chunks[0].length < lengthBytes) {
            chunks = [Buffer.concat(chunks)];
        }
        return chunks[0].readUInt32BE(0);
    };

    const takeFrame = (length: number): Buffer => {
        const bytes = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
        const end = lengthBytes + length;
        const rest = bytes.subarray(end);
        chunks = rest.length > 0 ? [rest] : [];
        buffered = rest.length;
        return bytes.subarray(lengthBytes, end);
    };

    return {
        push: bytes => {
            chunks.push(bytes);
            buffered += bytes.length;
            const frames: unknown[] = [];
            for (let length = peekLength(); length !== undefined; length = peekLength()) {
                if (length > limitBytes) {
                    return tsResults.Err({ kind: FrameErrorKind.tooLong, message: `a frame of ${length} bytes` });
                }
                if (buffered < lengthBytes + length) {
                    break;
                }
                try {
                    frames.push(codec.decode(takeFrame(length)));
                }
                catch (error) {
                    return tsResults.Err({ kind: FrameErrorKind.notCbor, message: (error as Error).message });
                }
            }
            return tsResults.Ok(frames);
        },
    };
};
