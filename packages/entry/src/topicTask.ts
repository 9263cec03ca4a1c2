/** Follows a keyed topic through the records that the leader relays, and reads the store when those are too old. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as changeFilter from "./changeFilter";

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
    snapshot: () => TopicSnapshot | undefined;
    /** Position up to which the topic is known, and the age of the state; undefined before the first response. */
    position: () => { end: platform.Position; age: number; } | undefined;
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
    const filter = changeFilter.createChangeFilter(fingerprintOf);
    const startedAt = timers.now();
    const newestRecords = new Map<string, platform.StoredRecord>();
    let position: platform.Position | undefined;
    let lastUpdateAt = -Infinity;
    /** Messages to other instances contain finite numbers only. */
    const age = (): number => Math.min(maxAgeMilliseconds, timers.now() - lastUpdateAt);
    let cancelRead = (): void => undefined;

    const notifyChanges = (
        changes: readonly platform.StoredRecord[],
        end: platform.Position,
        source: TopicSourceValue,
    ): void => {
        for (const change of changes) {
            if (change.value === undefined) {
                newestRecords.delete(change.key);
            }
            else {
                newestRecords.set(change.key, change);
            }
        }
        if (changes.length > 0) {
            const origin = { source, maxAgeMilliseconds: timers.now() - lastUpdateAt };
            failures.run("topic", () => options.onChanges(changes, end, origin), {
                topic,
                era: end.era,
                end: end.offset,
            });
        }
    };
    const isBefore = (end: platform.Position): boolean =>
        position !== undefined && platform.comparePositions(end, position) < 0;
    const advance = (
        known: platform.Position,
        records: readonly platform.StoredRecord[],
        end: platform.Position,
        source: TopicSourceValue,
    ): void => {
        // The leader may have relayed some of these records while the read was in flight.
        const changes = filter.apply(records.filter(record => record.offset >= known.offset));
        position = isBefore(end) ? known : end;
        notifyChanges(changes, position, source);
    };
    const onContact = (updatedAt: number, source: TopicSourceValue): void => {
        lastUpdateAt = Math.max(lastUpdateAt, updatedAt);
        backoff.reset();
        failures.run("topic", () => options.onContact(source), { topic });
    };

    const readSnapshot = async (): Promise<void> => {
        const { records, end } = await store.readSnapshot(topic);
        // The leader may have sent a newer snapshot while the read was in flight.
        if (isBefore(end)) {
            return;
        }
        position = end;
        notifyChanges(filter.replace(records, end.offset), end, TopicSource.store);
        onContact(timers.now(), TopicSource.store);
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
            position = undefined;
            return;
        }
        advance(position ?? from, response.records, response.end, TopicSource.store);
        onContact(timers.now(), TopicSource.store);
    };
    const run = async (): Promise<void> => {
        while (!owner.isDisposed()) {
            const readDelay = position === undefined
                ? startedAt + options.initialWaitMilliseconds() - timers.now()
                : lastUpdateAt + options.maxAgeMilliseconds() - timers.now();
            if (readDelay > 0) {
                await foundation.pause(timers, Math.min(readDelay, checkIntervalMilliseconds));
                continue;
            }
            try {
                await (position === undefined ? readSnapshot() : readNext(position));
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
            if (position === undefined || platform.comparePositions(from, position) > 0 || isBefore(end)) {
                return;
            }
            advance(position, records, end, TopicSource.leader);
            // The heartbeats of a leader that cannot reach the store do not confirm the state.
            if (age < options.maxAgeMilliseconds()) {
                onContact(timers.now() - age, TopicSource.leader);
            }
        },
        onSnapshot: ({ records, end, age }) => {
            if (isBefore(end)) {
                return;
            }
            position = end;
            notifyChanges(filter.replace(records, end.offset), end, TopicSource.leader);
            if (age < options.maxAgeMilliseconds()) {
                onContact(timers.now() - age, TopicSource.leader);
            }
        },
        snapshot: () =>
            position === undefined
                ? undefined
                : { records: [...newestRecords.values()], end: position, age: age() },
        position: () => position === undefined ? undefined : { end: position, age: age() },
    };
};
