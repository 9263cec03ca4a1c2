/** Follows a keyed topic through the records that the leader relays, and reads the store when those are too old. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import type * as returnedTopic from "./returnedTopic";
import * as topicState from "./topicState";

/** Sources of topic updates. */
export const TopicSource = { store: "store", leader: "leader" } as const;

/** One of {@link TopicSource}. */
export type TopicSourceValue = typeof TopicSource[keyof typeof TopicSource];

/** Where a change of a topic came from. */
export interface ChangeOrigin {
    source: TopicSourceValue;
    /** Time since the state before the change was last confirmed, so that the change is not older; Infinity at the start. */
    maxAgeMilliseconds: number;
}

/** Configures how a topic is followed. */
export interface TopicTaskOptions {
    store: platform.StoreClient;
    topic: platform.TopicName;
    timers: foundation.TimerService;
    random: foundation.Random;
    failures: foundation.FailureBoundary;
    /** Age of the local state at which the store is read, in milliseconds; 0 reads again after each response. */
    maxAgeMilliseconds: () => number;
    /** Time at the start in which the store is not read, as a leader may send a snapshot, in milliseconds. */
    initialWaitMilliseconds: () => number;
    /** Maximum time that a read waits for new records, in milliseconds. */
    waitMilliseconds: () => number;
    /** Returns the same text for equivalent values. */
    fingerprintOf: (key: string, value: Buffer) => string;
    compareAges: returnedTopic.AgeComparison;
    /** Whether an instance has led in the era for long enough that writers have written again what was lost before it. */
    isEraEstablished: (era: number) => boolean;
    /** Called when the store has returned from an older copy, before `onChanges` for the same update. */
    onStoreReturned: (storeReturn: topicState.TopicReturn) => void;
    /** Called when missing records are no longer awaited, after `onChanges` for the same update. */
    onSettled: (settlement: topicState.TopicSettlement, end: platform.Position) => void;
    /** Called with the records that change the state, in topic order. */
    onChanges: (records: readonly platform.StoredRecord[], end: platform.Position, origin: ChangeOrigin) => void;
    /** Called when the state is confirmed to be current, after `onChanges` for the same update. */
    onContact: (source: TopicSourceValue) => void;
    onFailure: (reason: string) => void;
}

/** Records that another instance has read. */
export interface RelayedRecords {
    /** Position from which the records include every change. */
    from: platform.Position;
    /** Position after the last record. */
    end: platform.Position;
    /** Time since the other instance read the topic, in milliseconds. */
    age: number;
    records: readonly platform.StoredRecord[];
}

/** The newest record of every key, and how long ago an instance knew that they were. */
export interface TopicSnapshot {
    records: readonly platform.StoredRecord[];
    end: platform.Position;
    age: number;
    /** Whether records may be missing that other instances know of. */
    mayBeOutdated: boolean;
}

/** The state as the leader sends it. */
export interface TopicContent extends TopicSnapshot {
    /** Distinguishes states that end at the same position. */
    revision: number;
}

/** A topic being followed. */
export interface TopicTask {
    /** Cancels a pending read, which the store may have lost during an outage, and sends a new one. */
    refresh: () => void;
    /** Applies records that another instance has read; ignores older ones and those after a gap. */
    onRelayed: (relayed: RelayedRecords) => void;
    /** Applies a snapshot that another instance has sent; ignores an older one. */
    onSnapshot: (snapshot: TopicSnapshot) => void;
    /** Returns the newest record of every key; undefined before the first response. */
    snapshot: () => TopicContent | undefined;
    /** Position up to which the topic is known, and the age of the state; undefined before the first response. */
    position: () => { end: platform.Position; age: number; } | undefined;
    /** Whether records may be missing that other instances know of, as this one may have started after a return from an older copy. */
    mayBeOutdated: () => boolean;
    /** Whether the store contains what is known of the topic, as writers have had the time to write again what it had lost. */
    isSettled: () => boolean;
}

/** Bounds of the delay after failed calls, in milliseconds: short compared to the time in which changes must apply. */
const minRetryMilliseconds = 250;
const maxRetryMilliseconds = 1000;
/** Maximum pause between checks whether a read is due, in milliseconds. */
const checkIntervalMilliseconds = 100;

/** Age of a state that was never confirmed, in milliseconds. */
const maxAgeMilliseconds = 1e9;

/**
 * Follows a topic until the owner is disposed of.
 *
 * @param options - configures how the topic is followed
 * @param owner - stops the task when disposed
 * @returns the task
 */
export const startTopicTask = (options: TopicTaskOptions, owner: foundation.Owner): TopicTask => {
    const { store, topic, timers, failures } = options;
    const backoff = foundation.createBackoff(minRetryMilliseconds, maxRetryMilliseconds, options.random);
    const fingerprintOf = (key: string, value: Buffer): string =>
        failures.run("topic record", () => options.fingerprintOf(key, value), { topic, key })
            ?? value.toString("base64");
    const compareAges: returnedTopic.AgeComparison = (key, known, candidate) =>
        failures.run("topic record", () => options.compareAges(key, known, candidate), { topic, key });
    const state = topicState.createTopicState({ fingerprintOf, compareAges });
    const startedAt = timers.now();
    let needsSnapshot = false;
    /** Whether the state comes from an instance that has known the topic for long enough. */
    let isTrusted = false;
    let lastUpdateAt = -Infinity;
    /** Messages to other instances contain finite numbers only. */
    const age = (): number => Math.min(maxAgeMilliseconds, timers.now() - lastUpdateAt);
    let cancelRead = (): void => undefined;

    /** Tells of changes; returns false if there was nothing that fits to the known state. */
    const notify = (applied: topicState.TopicChanges | undefined, source: TopicSourceValue): boolean => {
        const end = state.position();
        if (applied === undefined || end === undefined) {
            return false;
        }
        const { changes, storeReturn, settlement } = applied;
        const context = { topic, era: end.era, end: end.offset };
        if (storeReturn !== undefined) {
            failures.run("topic", () => options.onStoreReturned(storeReturn), context);
        }
        if (changes.length > 0) {
            const origin = { source, maxAgeMilliseconds: timers.now() - lastUpdateAt };
            failures.run("topic", () => options.onChanges(changes, end, origin), context);
        }
        if (settlement !== undefined) {
            failures.run("topic", () => options.onSettled(settlement, end), context);
        }
        return true;
    };
    const onContact = (updatedAt: number, source: TopicSourceValue): void => {
        lastUpdateAt = Math.max(lastUpdateAt, updatedAt);
        backoff.reset();
        failures.run("topic", () => options.onContact(source), { topic });
        notify(state.onConfirmed(timers.now()), source);
    };
    /** Whether records of a lost history may be missing that other instances know of. */
    const mayBeOutdated = (): boolean => {
        const era = state.position()?.era;
        isTrusted ||= era !== undefined && (options.isEraEstablished(era) || !state.mayBeIncomplete());
        return !isTrusted;
    };

    const readSnapshot = async (): Promise<void> => {
        const { records, end } = await store.readSnapshot(topic);
        needsSnapshot = false;
        // The leader may have sent a newer snapshot while the read was in flight.
        if (notify(state.applySnapshot(records, end, timers.now()), TopicSource.store)) {
            onContact(timers.now(), TopicSource.store);
        }
    };
    const readNext = async (from: platform.Position): Promise<void> => {
        const cancelled = new Promise<undefined>(resolve => {
            cancelRead = () => resolve(undefined);
        });
        const read = store.readFrom(topic, from, options.waitMilliseconds());
        const response = await Promise.race([read, cancelled]);
        if (response === undefined) {
            read.catch(() => undefined);
            return;
        }
        if (response.isHistoryExpired) {
            needsSnapshot = state.position()?.era === from.era;
            return;
        }
        // The leader may have relayed some of these records, or content of a later era, while the read was in flight.
        if (state.position()?.era === response.end.era) {
            notify(state.applyRecords(response.records, response.end, timers.now()), TopicSource.store);
            onContact(timers.now(), TopicSource.store);
        }
    };
    const run = async (): Promise<void> => {
        while (!owner.isDisposed()) {
            const position = state.position();
            const readDelay = position === undefined
                ? startedAt + options.initialWaitMilliseconds() - timers.now()
                : lastUpdateAt + options.maxAgeMilliseconds() - timers.now();
            if (readDelay > 0 && !needsSnapshot) {
                await foundation.pause(timers, Math.min(readDelay, checkIntervalMilliseconds));
                continue;
            }
            try {
                await (position === undefined || needsSnapshot ? readSnapshot() : readNext(position));
            }
            catch (error) {
                failures.run("topic", () => options.onFailure((error as Error).message), { topic });
                await foundation.pause(timers, backoff.next());
            }
        }
    };
    failures.watch("topic", run(), { topic });
    return {
        refresh: () => cancelRead(),
        onRelayed: ({ from, end, age, records }) => {
            const position = state.position();
            if (position === undefined || platform.comparePositions(from, position) > 0) {
                return;
            }
            const isApplied = notify(state.applyRecords(records, end, timers.now()), TopicSource.leader);
            // The heartbeats of a leader that cannot reach the store do not confirm the state.
            if (isApplied && age < options.maxAgeMilliseconds()) {
                onContact(timers.now() - age, TopicSource.leader);
            }
        },
        onSnapshot: ({ records, end, age, mayBeOutdated }) => {
            if (!notify(state.applySnapshot(records, end, timers.now()), TopicSource.leader)) {
                return;
            }
            isTrusted ||= !mayBeOutdated;
            if (age < options.maxAgeMilliseconds()) {
                onContact(timers.now() - age, TopicSource.leader);
            }
        },
        snapshot: () => {
            const end = state.position();
            return end === undefined ? undefined : {
                records: state.records(),
                revision: state.revision(),
                end,
                age: age(),
                mayBeOutdated: mayBeOutdated(),
            };
        },
        position: () => {
            const end = state.position();
            return end === undefined ? undefined : { end, age: age() };
        },
        mayBeOutdated,
        isSettled: () => !mayBeOutdated() && !state.isAwaiting(),
    };
};
