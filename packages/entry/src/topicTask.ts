/** Follows a keyed topic of the store. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";

/** How a topic is followed. */
export interface TopicTaskOptions {
    store: platform.StoreClient;
    topic: platform.TopicName;
    timers: foundation.TimerService;
    /** Longest time that a read waits for news, in milliseconds; 0 asks anew after the pause. */
    waitMilliseconds: number;
    /** Pause between two reads, in milliseconds. */
    pauseMilliseconds: number;
    /** Every key of the topic: those not given do not exist. */
    onSnapshot: (records: readonly platform.KeyedRecord[]) => void;
    onRecord: (record: platform.KeyedRecord) => void;
    /** A call succeeded, after everything that it told has been handed on. */
    onContact: () => void;
    onFailure: (reason: string) => void;
}

/** A topic that is followed. */
export interface TopicTask {
    /** Gives up a read that still waits and asks anew: the store may have lost it while it was away. */
    refresh: () => void;
}

/** Pause after a failed call, in milliseconds: short beside the time in which a change has to be in force. */
const retryMilliseconds = 250;

/**
 * Follows a topic until its owner is disposed of.
 *
 * @param options - how to follow it
 * @param owner - ends the task
 * @returns the task
 */
export const startTopicTask = (options: TopicTaskOptions, owner: foundation.Owner): TopicTask => {
    const { store, topic, timers } = options;
    let offset: number | undefined;
    let giveUp = (): void => undefined;
    const step = async (): Promise<void> => {
        if (offset === undefined) {
            const snapshot = await store.readNewest(topic);
            options.onSnapshot(snapshot.records);
            offset = snapshot.end;
            return;
        }
        const hasGivenUp = new Promise<undefined>(resolve => {
            giveUp = () => resolve(undefined);
        });
        const read = store.readFrom(topic, offset, options.waitMilliseconds);
        const following = await Promise.race([read, hasGivenUp]);
        if (following === undefined) {
            read.catch(() => undefined);
            return;
        }
        following.records.forEach(options.onRecord);
        offset = following.isBehind ? undefined : following.end;
    };
    const run = async (): Promise<void> => {
        while (!owner.isDisposed()) {
            try {
                await step();
                options.onContact();
                await foundation.pause(timers, offset === undefined ? 0 : options.pauseMilliseconds);
            }
            catch (error) {
                options.onFailure((error as Error).message);
                await foundation.pause(timers, retryMilliseconds);
            }
        }
    };
    void run();
    return { refresh: () => giveUp() };
};
