/** Compressed content of a topic: entries of a registry have much text in common. */
import * as cbor from "cbor-x";
import * as zlib from "node:zlib";
import * as tsResults from "ts-results";
import * as zod from "zod";
import * as frames from "./frames";
import * as routingMessages from "./routingMessages";

/** Limit of the decompressed content, in bytes. */
const maxContentBytes = 32 * 1024 * 1024;

/** Limit of the compressed content, in bytes: leaves room in a frame for the other fields of a message. */
const maxCompressedBytes = frames.maxFrameBytes - 64 * 1024;

const contentSchema = zod.array(routingMessages.topicRecordSchema);

/**
 * Encodes the records of a topic.
 *
 * @param records - the newest record of every key
 * @returns the compressed records; undefined if they are more than a message can hold or a peer decompresses
 */
export const encodeTopicContent = (records: readonly routingMessages.TopicRecord[]): Uint8Array | undefined => {
    const bytes = cbor.encode(records);
    const content = bytes.length > maxContentBytes ? undefined : zlib.deflateSync(bytes);
    return content !== undefined && content.length <= maxCompressedBytes ? content : undefined;
};

/**
 * Decodes the records of a topic.
 *
 * @param content - the compressed records
 * @returns the records, or the reason why the content is invalid
 */
export const decodeTopicContent = (content: Uint8Array): tsResults.Result<routingMessages.TopicRecord[], string> => {
    try {
        const bytes = zlib.inflateSync(content, { maxOutputLength: maxContentBytes });
        return tsResults.Ok(contentSchema.parse(cbor.decode(bytes)));
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};
