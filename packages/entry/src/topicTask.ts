/** Follows a keyed topic: by what the leader passes on, and by reading the store where that is not recent enough. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as keyedState from "./keyedState";

/** Where knowledge of a topic came from. */
export const TopicSource = { store: "store", leader: "leader" } as const;

/** One of {@link TopicSource}. */
export type TopicSourceValue = typeof TopicSource[keyof typeof TopicSource];

/** How a topic is followed. */
export interface TopicTaskOptions {
    store: platform.StoreClient;
    topic: platform.TopicName;
    timers: foundation.TimerService;
    random: foundation.Random;
    /** Age of what is known at which the store is read, in milliseconds; 0 reads again after each answer. */
    readAge: () => number;
    /** Longest time that a read waits for news, in milliseconds. */
    waitMilliseconds: () => number;
    /** Gives the same text for values that mean the same. */
    fingerprintOf: (key: string, value: Buffer) => string;
    /** Records that change something, in their order. */
    onChanges: (records: readonly platform.StoredRecord[], end: number) => void;
    /** What is known is as recent as now; called after every change that it told of. */
    onContact: (source: TopicSourceValue) => void;
    onFailure: (reason: string) => void;
}

/** What another instance has read. */
export interface RelayedRecords {
    /** Offset from which on every change is among the records. */
    from: number;
    /** Offset behind the last record. */
    end: number;
    /** Time since the other instance has read it, in milliseconds. */
    age: number;
    records: readonly platform.StoredRecord[];
}

/** A topic that is followed. */
export interface TopicTask {
    /** Gives up a read that still waits and asks anew: the store may have lost it while it was away. */
    refresh: () => void;
    /** Takes what another instance has read; ignored when changes are missing between it and what is known here. */
    onRelayed: (relayed: RelayedRecords) => void;
    /** Offset up to which the topic is known, and the age of that knowledge; undefined before the first answer. */
    position: () => { end: number; age: number; } | undefined;
}

/** Pauses after failed calls, in milliseconds: short beside the time in which a change has to be in force. */
const shortestRetryMilliseconds = 250;
const longestRetryMilliseconds = 1000;
/** Longest pause before it is looked again whether a read is due, in milliseconds. */
const checkMilliseconds = 100;

/**
 * Follows a topic until its owner is disposed of.
 *
 * @param options - how to follow it
 * @param owner - ends the task
 * @returns the task
 */
export const startTopicTask = (options: TopicTaskOptions, owner: foundation.Owner): TopicTask => {
    const { store, topic, timers } = options;
    const backoff = foundation.createBackoff(shortestRetryMilliseconds, longestRetryMilliseconds, options.random);
    const state = keyedState.createKeyedState(options.fingerprintOf);
    let offset: number | undefined;
    let knownAt = -Infinity;
    let giveUp = (): void => undefined;

    const announce = (changes: readonly platform.StoredRecord[], end: number): void => {
        if (changes.length > 0) {
            options.onChanges(changes, end);
        }
    };
    const advance = (records: readonly platform.StoredRecord[], end: number): void => {
        const known = offset ?? 0;
        // The leader may have told of some of it while the read was under way.
        const changes = state.apply(records.filter(record => record.offset >= known));
        offset = Math.max(known, end);
        announce(changes, offset);
    };
    const onContact = (at: number, source: TopicSourceValue): void => {
        knownAt = Math.max(knownAt, at);
        backoff.reset();
        options.onContact(source);
    };

    const readSnapshot = async (): Promise<void> => {
        const { records, end } = await store.readSnapshot(topic);
        offset = end;
        announce(state.replace(records, end), end);
        onContact(timers.now(), TopicSource.store);
    };
    const readOn = async (from: number): Promise<void> => {
        const hasGivenUp = new Promise<undefined>(resolve => {
            giveUp = () => resolve(undefined);
        });
        const read = store.readFrom(topic, from, options.waitMilliseconds());
        const following = await Promise.race([read, hasGivenUp]);
        if (following === undefined) {
            read.catch(() => undefined);
            return;
        }
        if (following.isHistoryExpired) {
            offset = undefined;
            return;
        }
        advance(following.records, following.end);
        onContact(timers.now(), TopicSource.store);
    };
    const run = async (): Promise<void> => {
        while (!owner.isDisposed()) {
            const dueIn = offset === undefined ? 0 : knownAt + options.readAge() - timers.now();
            if (dueIn > 0) {
                await foundation.pause(timers, Math.min(dueIn, checkMilliseconds));
                continue;
            }
            try {
                await (offset === undefined ? readSnapshot() : readOn(offset));
            }
            catch (error) {
                options.onFailure((error as Error).message);
                await foundation.pause(timers, backoff.next());
            }
        }
    };
    void run();
    return {
        refresh: () => giveUp(),
        onRelayed: ({ from, end, age, records }) => {
            if (offset === undefined || from > offset || end < offset) {
                return;
            }
            advance(records, end);
            // The beats of a leader that the store does not answer say nothing of the store.
            if (age < options.readAge()) {
                onContact(timers.now() - age, TopicSource.leader);
            }
        },
        position: () => offset === undefined ? undefined : { end: offset, age: timers.now() - knownAt },
    };
};
