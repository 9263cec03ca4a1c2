/** A follower that reads more slowly than its leader sends. */
import * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import * as siteModule from "@mulberryseam/site";
import * as earl from "earl";
import * as crypto from "node:crypto";
import * as net from "node:net";
import * as test from "node:test";
import * as followerServer from "../src/followerServer";
import type * as leaderSession from "../src/leaderSession";
import * as topicExchange from "../src/topicExchange";
import * as topicTask from "../src/topicTask";
import * as leaderLinks from "./fixtures/leaderLinks";

const host = "127.0.0.1";
const topic = "keyed.servers";
const pollMilliseconds = 20;
const maxWaitMilliseconds = 8000;
/** Above what the leader may keep unsent together with the buffers of the path. */
const stalledRecordCount = 32;
const stalledRecordBytes = 1024 * 1024;
const stallMilliseconds = 200;
const recordBytes = 1024 * 1024;
const millisecondsPerSecond = 1000;
/** Longer than a test, in milliseconds, as leader and followers share its process, which compresses large snapshots meanwhile. */
const idleTimeoutMilliseconds = 60_000;
/** Time limit of a test, in milliseconds; it only stops one that hangs. */
const maxTestMilliseconds = 60_000;

const waitFor = async (condition: () => boolean): Promise<boolean> => {
    for (let waited = 0; !condition() && waited < maxWaitMilliseconds; waited += pollMilliseconds) {
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
    return condition();
};

interface StallingPath {
    port: number;
    /** Sets whether what the leader sends is held back; what the follower sends always passes. */
    setStalled: (isStalled: boolean) => void;
    connectionCount: () => number;
}

/** Starts a path from followers to the leader at a port, which passes on at most some bytes per second to each follower. */
const startPath = async (
    leaderPort: number,
    owner: foundation.Owner,
    bytesPerSecond = Infinity,
): Promise<StallingPath> => {
    const leaderSockets = new Set<net.Socket>();
    let connectionCount = 0;
    const server = net.createServer(follower => {
        connectionCount += 1;
        const leader = net.connect(leaderPort, host);
        leaderSockets.add(leader);
        follower.on("data", bytes => leader.write(bytes));
        leader.on("data", bytes => {
            follower.write(bytes);
            if (bytesPerSecond < Infinity) {
                leader.pause();
                setTimeout(() => leader.resume(), bytes.length * millisecondsPerSecond / bytesPerSecond);
            }
        });
        follower.on("error", () => undefined);
        leader.on("error", () => undefined);
        follower.on("close", () => leader.destroy());
        leader.on("close", () => {
            leaderSockets.delete(leader);
            follower.end();
        });
    });
    await foundation.listenOn(server, host, 0);
    owner.onCleanup(() => {
        server.close();
        leaderSockets.forEach(socket => socket.destroy());
    });
    return {
        port: (server.address() as net.AddressInfo).port,
        setStalled: isStalled => leaderSockets.forEach(socket => isStalled ? socket.pause() : socket.resume()),
        connectionCount: () => connectionCount,
    };
};

interface Leader {
    server: followerServer.FollowerServer;
    records: platform.StoredRecord[];
    events: [string, foundation.EventFields][];
}

const startLeader = async (
    port: number,
    timers: foundation.TimerService,
    owner: foundation.Owner,
): Promise<Leader> => {
    const records: platform.StoredRecord[] = [{ key: "first", value: Buffer.from("entry"), offset: 0 }];
    const events: Leader["events"] = [];
    const session = {
        onReport: () => undefined,
        term: 1,
        acknowledgedRecordNumber: () => 1,
        era: () => 1,
        confirmationAge: () => 0,
        routingMessages: () => [],
    } as unknown as leaderSession.LeaderSession;
    const server = await followerServer.startFollowerServer({
        host,
        port,
        session: () => session,
        topics: {
            positions: () => [{ topic, era: 1, end: records.length, age: 0 }],
            snapshot: () => ({
                records,
                revision: records.length,
                end: endOf(records),
                age: 0,
                mayBeOutdated: false,
            }),
            onRelayed: () => undefined,
            onSnapshot: () => undefined,
        },
        failureDomain: "north-a",
        delegate: { identifier: "leader", host, port: 1 },
        onDelegates: () => undefined,
        log: { write: (...[event, fields = {}]) => events.push([event, fields]), sample: () => undefined },
        failures: foundation.createTransparentFailureBoundary(),
        onTransferred: () => undefined,
        idleTimeoutMilliseconds,
    }, owner);
    const heartbeats = timers.onInterval(100, server.sendHeartbeat);
    owner.onCleanup(() => heartbeats.cancel());
    return { server, records, events };
};

const endOf = (records: readonly platform.StoredRecord[]): platform.Position => ({ era: 1, offset: records.length });

/** Starts a follower that reads the store only if the leader does not confirm its state, or sends none in the initial wait. */
const startFollower = (
    port: number,
    records: readonly platform.StoredRecord[],
    timers: foundation.TimerService,
    owner: foundation.Owner,
    initialWaitMilliseconds = 60_000,
): topicTask.TopicTask => {
    const failures = foundation.createTransparentFailureBoundary();
    const task = topicTask.startTopicTask({
        store: {
            readSnapshot: () => Promise.resolve({ records: [...records], end: endOf(records) }),
            readFrom: (...[, { offset }]) =>
                Promise.resolve({ records: records.slice(offset), end: endOf(records), isHistoryExpired: false }),
            append: () => Promise.reject(new Error("not used")),
            eraSeenAt: () => 0,
            close: () => undefined,
        },
        topic,
        timers,
        random: foundation.createRandom(1),
        failures,
        maxAgeMilliseconds: () => 1500,
        initialWaitMilliseconds: () => initialWaitMilliseconds,
        waitMilliseconds: () => 0,
        fingerprintOf: (...[, value]) => value.toString("base64"),
        compareAges: () => undefined,
        isEraEstablished: () => true,
        onStoreReturned: () => undefined,
        onSettled: () => undefined,
        onChanges: () => undefined,
        onContact: () => undefined,
        onFailure: () => undefined,
    }, owner);
    const position = task.position;
    const link = leaderLinks.createLink({
        timers,
        failures,
        idleTimeoutMilliseconds,
        topics: {
            positions: () =>
                [position()].flatMap(known => known === undefined ? [] : [topicExchange.toTopicPosition(topic, known)]),
            snapshot: () => undefined,
            onRelayed: (...[, relayed]) => task.onRelayed(relayed),
            onSnapshot: (...[, snapshot]) => task.onSnapshot(snapshot),
        },
    });
    const following = timers.onInterval(40, () => link.follow(leaderLinks.createLeaderRecord({ port })));
    // The leader's connection is not idle, although what it sends is held back.
    const reports = timers.onInterval(100, () => link.send({ kind: "report", samples: [], speeds: [] }));
    owner.onCleanup(() => {
        following.cancel();
        reports.cancel();
        link.close();
    });
    return task;
};

test.describe("a follower whose connection has more unsent than is kept", () => {
    test.it("is disconnected instead of missing records, and has them after it has connected again", async () => {
        const owner = foundation.createOwner();
        const timers = foundation.createTimerService();
        const [leaderPort] = await siteModule.reservePorts(1);
        const { server, records, events } = await startLeader(leaderPort, timers, owner);
        const path = await startPath(leaderPort, owner);
        const follower = startFollower(path.port, records, timers, owner);
        const publish = (key: string, value: Buffer): void => {
            const record = { key, value, offset: records.length };
            records.push(record);
            server.broadcast({ kind: "news", topic, era: 1, end: records.length, records: [record] });
        };
        try {
            earl.expect(await waitFor(() => follower.position()?.end.offset === 1)).toEqual(true);
            path.setStalled(true);
            for (let index = 0; index < stalledRecordCount; index += 1) {
                publish(`stalled ${index}`, Buffer.alloc(stalledRecordBytes, index));
            }
            await new Promise(resolve => setTimeout(resolve, stallMilliseconds));
            path.setStalled(false);
            publish("last", Buffer.from("entry"));
            const isKnown = await waitFor(() => follower.position()?.end.offset === records.length);
            const known = follower.snapshot()?.records.map(({ key }) => key).sort();
            earl.expect([isKnown, known]).toEqual([true, records.map(({ key }) => key).sort()]);
            earl.expect(path.connectionCount()).toEqual(2);
            const reasons = events.filter(([event]) => event === "peer-disconnected").map(([, { reason }]) => reason);
            earl.expect(reasons).toEqual(["too many unsent bytes"]);
        }
        finally {
            await owner.dispose();
        }
    });
});

const fill = (records: platform.StoredRecord[], count: number, createValue: () => Buffer): void => {
    for (let index = 0; index < count; index += 1) {
        records.push({ key: `large ${index}`, value: createValue(), offset: records.length });
    }
};

test.describe("a snapshot that is larger than what may be unsent", () => {
    test.it("reaches a new follower over a slow path, on its first connection", {
        timeout: maxTestMilliseconds,
    }, async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        const timers = foundation.createTimerService();
        const [leaderPort] = await siteModule.reservePorts(1);
        const { records, events } = await startLeader(leaderPort, timers, owner);
        fill(records, 7, () => crypto.randomBytes(recordBytes));
        const path = await startPath(leaderPort, owner, 4 * recordBytes);
        const follower = startFollower(path.port, records, timers, owner);
        const isKnown = await waitFor(() => follower.position()?.end.offset === records.length);
        earl.expect([isKnown, path.connectionCount(), events]).toEqual([true, 1, []]);
    });
});

test.describe("a snapshot that a follower would refuse", () => {
    const contents = {
        "too large for a frame": { count: 9, createValue: () => crypto.randomBytes(recordBytes) },
        "too large once decompressed": { count: 33, createValue: () => Buffer.alloc(recordBytes) },
    };
    for (const [name, { count, createValue }] of Object.entries(contents)) {
        test.it(`as it is ${name} is left out, and the followers read the store on their first connection`, {
            timeout: maxTestMilliseconds,
        }, async context => {
            const owner = foundation.createOwner();
            context.after(owner.dispose);
            const timers = foundation.createTimerService();
            const [leaderPort] = await siteModule.reservePorts(1);
            const { server, records, events } = await startLeader(leaderPort, timers, owner);
            fill(records, count, createValue);
            const path = await startPath(leaderPort, owner);
            const followers = [1, 2].map(() => startFollower(path.port, records, timers, owner, 500));
            const isAtEnd = (): boolean => followers.every(({ position }) => position()?.end.offset === records.length);
            const isKnown = await waitFor(isAtEnd);
            // The followers may have read the store before the leader refuses to send its snapshot.
            await waitFor(() => events.length > 0);
            const record = { key: "last", value: Buffer.from("entry"), offset: records.length };
            records.push(record);
            server.broadcast({ kind: "news", topic, era: 1, end: records.length, records: [record] });
            const isNewsKnown = await waitFor(isAtEnd);
            earl.expect([isKnown, isNewsKnown, path.connectionCount()]).toEqual([true, true, 2]);
            earl.expect(events).toEqual([["snapshot-too-large", {
                topic,
                era: 1,
                end: count + 1,
                records: count + 1,
            }]]);
        });
    }
});
