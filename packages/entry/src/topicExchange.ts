/** What instances exchange of the topics that they follow, so that one of them reads the store for the others. */
import type * as platform from "@mulberryseam/platform";
import type * as protocol from "@mulberryseam/protocol";
import type * as topicTask from "./topicTask";

/** The topics that an instance follows, as seen by its connections to other instances. */
export interface TopicExchange {
    /** Returns the position up to which each topic is known. */
    positions: () => protocol.TopicPosition[];
    /** Returns the newest records of a topic; undefined if it is not known. */
    snapshot: (topic: string) => topicTask.TopicContent | undefined;
    /** Applies records that the leader has read from the store. */
    onRelayed: (topic: string, relayed: topicTask.RelayedRecords) => void;
    /** Applies the newest records of a topic, as the leader knows them. */
    onSnapshot: (topic: string, snapshot: topicTask.TopicSnapshot) => void;
}

/**
 * Returns a position as instances send it to each other.
 *
 * @param topic - name of the topic
 * @param position - position up to which the topic is known, and the age of that knowledge in milliseconds
 * @returns the position with its fields side by side
 */
export const toTopicPosition = (
    topic: string,
    { end: { era, offset }, age }: { end: platform.Position; age: number; },
): protocol.TopicPosition => ({ topic, era, end: offset, age });

/**
 * Returns a position that another instance has sent.
 *
 * @param message - the fields of the message
 * @returns the position
 */
export const toPosition = ({ era, end }: Pick<protocol.TopicPosition, "era" | "end">): platform.Position => ({
    era,
    offset: end,
});
