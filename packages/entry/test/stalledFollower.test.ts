/** A follower that reads more slowly than its leader sends. */
import * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import * as siteModule from "@mulberryseam/site";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as followerServer from "../src/followerServer";
import * as leaderLink from "../src/leaderLink";
import type * as leaderSession from "../src/leaderSession";
import * as topicTask from "../src/topicTask";

const host = "127.0.0.1";
const topic = "keyed.servers";
const pollMilliseconds = 20;
const maxWaitMilliseconds = 8000;
/** Above what the leader may keep unsent together with the buffers of the path. */
const stalledRecordCount = 32;
const stalledRecordBytes = 1024 * 1024;
const stallMilliseconds = 200;

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

/** Starts a path from followers to the leader at a port. */
const startPath = async (leaderPort: number, owner: foundation.Owner): Promise<StallingPath> => {
    const leaderSockets = new Set<net.Socket>();
    let connectionCount = 0;
    const server = net.createServer(follower => {
        connectionCount += 1;
        const leader = net.connect(leaderPort, host);
        leaderSockets.add(leader);
        follower.on("data", bytes => leader.write(bytes));
        leader.on("data", bytes => follower.write(bytes));
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
        confirmationAge: () => 0,
        routingMessages: () => [],
    } as unknown as leaderSession.LeaderSession;
    const server = await followerServer.startFollowerServer({
        host,
        port,
        session: () => session,
        topics: {
            positions: () => [{ topic, end: records.length, age: 0 }],
            snapshot: () => ({ records, end: records.length, age: 0 }),
            onRelayed: () => undefined,
            onSnapshot: () => undefined,
        },
        failureDomain: "north-a",
        delegate: { identifier: "leader", host, port: 1 },
        onDelegates: () => undefined,
        log: { write: (...[event, fields = {}]) => events.push([event, fields]), sample: () => undefined },
        failures: foundation.createTransparentFailureBoundary(),
        onTransferred: () => undefined,
    }, owner);
    const heartbeats = timers.onInterval(100, server.sendHeartbeat);
    owner.onCleanup(() => heartbeats.cancel());
    return { server, records, events };
};

/** Starts a follower that reads the store only if the leader does not confirm its state. */
const startFollower = (
    port: number,
    records: readonly platform.StoredRecord[],
    timers: foundation.TimerService,
    owner: foundation.Owner,
): topicTask.TopicTask => {
    const failures = foundation.createTransparentFailureBoundary();
    const task = topicTask.startTopicTask({
        store: {
            readSnapshot: () => Promise.reject(new Error("not used")),
            readFrom: (...[, from]) =>
                Promise.resolve({ records: records.slice(from), end: records.length, isHistoryExpired: false }),
            append: () => Promise.reject(new Error("not used")),
            close: () => undefined,
        },
        topic,
        timers,
        random: foundation.createRandom(1),
        failures,
        maxAgeMilliseconds: () => 1500,
        initialWaitMilliseconds: () => 60_000,
        waitMilliseconds: () => 0,
        fingerprintOf: (...[, value]) => value.toString("base64"),
        onChanges: () => undefined,
        onContact: () => undefined,
        onFailure: () => undefined,
    }, owner);
    const position = task.position;
    const link = leaderLink.createLeaderLink({
        identifier: "follower",
        failureDomain: "north-a",
        delegate: { identifier: "follower", host, port: 1 },
        timers,
        log: { write: () => undefined, sample: () => undefined },
        failures,
        onRouting: () => undefined,
        topics: {
            positions: () => [position()].flatMap(known => known === undefined ? [] : [{ topic, ...known }]),
            snapshot: () => undefined,
            onRelayed: (...[, relayed]) => task.onRelayed(relayed),
            onSnapshot: (...[, snapshot]) => task.onSnapshot(snapshot),
        },
        onDelegates: () => undefined,
        onLeaderLost: () => undefined,
    });
    const leader = { identifier: "leader", host, port, term: 1, beat: 0, isResigned: false };
    const times = { longestLeaseMilliseconds: 0, previousCommandsMilliseconds: 0, previousLeasesMilliseconds: 0 };
    const following = timers.onInterval(40, () => link.follow({ ...leader, ...times }));
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
            server.broadcast({ kind: "news", topic, end: records.length, records: [record] });
        };
        try {
            earl.expect(await waitFor(() => follower.position()?.end === 1)).toEqual(true);
            path.setStalled(true);
            for (let index = 0; index < stalledRecordCount; index += 1) {
                publish(`stalled ${index}`, Buffer.alloc(stalledRecordBytes, index));
            }
            await new Promise(resolve => setTimeout(resolve, stallMilliseconds));
            path.setStalled(false);
            publish("last", Buffer.from("entry"));
            const isKnown = await waitFor(() => follower.position()?.end === records.length);
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
