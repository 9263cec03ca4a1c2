/** What a leader sends to its followers when they join, stop and disconnect. */
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";
import * as siteModule from "@mulberryseam/site";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as followerServer from "../src/followerServer";
import type * as leaderLink from "../src/leaderLink";
import type * as leaderSession from "../src/leaderSession";
import type * as topicTask from "../src/topicTask";
import * as leaderLinks from "./fixtures/leaderLinks";

const host = "127.0.0.1";
const topic = "keyed.servers";
const discardingLog: foundation.EventLog = { write: () => undefined, sample: () => undefined };

interface Follower {
    link: leaderLink.LeaderLink;
    delegates: readonly protocol.Delegate[];
    snapshots: topicTask.TopicSnapshot[];
}

const createDelegate = (identifier: string): protocol.Delegate => ({ identifier, host, port: 1 });

const identifiersOf = (delegates: readonly protocol.Delegate[]): string[] =>
    delegates.map(delegate => delegate.identifier).sort();

/** Maximum wait for any condition, in milliseconds; it only stops a test that hangs. */
const maxWaitMilliseconds = 60_000;

const waitFor = async (condition: () => boolean): Promise<void> => {
    const deadline = performance.now() + maxWaitMilliseconds;
    while (!condition()) {
        if (performance.now() > deadline) {
            throw new Error(`waited in vain: ${condition.toString()}`);
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};

const createFollower = (
    timers: foundation.TimerService,
    port: number,
    identifier: string,
    failureDomain: string,
    knownTopics: string[],
): Follower => {
    const follower: Omit<Follower, "link"> = { delegates: [], snapshots: [] };
    const link = leaderLinks.createLink({
        identifier,
        failureDomain,
        timers,
        topics: {
            positions: () => knownTopics.map(name => ({ topic: name, era: 1, end: 5, age: 0 })),
            snapshot: () => undefined,
            onRelayed: () => undefined,
            onSnapshot: (...[, snapshot]) => follower.snapshots.push(snapshot),
        },
        onDelegates: delegates => {
            follower.delegates = delegates;
        },
    });
    link.follow(leaderLinks.createLeaderRecord({ port }));
    return Object.assign(follower, { link });
};

test.describe("a leader's followers", () => {
    const records = [{ key: "upstream-1", value: Buffer.from("entry"), offset: 6 }];
    let confirmationAge = 0;
    const transferredBytes = new Map<string, number>();
    const reports: protocol.FollowerReport[] = [];
    const session = {
        onReport: (report: protocol.FollowerReport) => reports.push(report),
        term: 1,
        era: () => 1,
        acknowledgedRecordNumber: () => 1,
        confirmationAge: () => confirmationAge,
        routingMessages: () => [],
    } as unknown as leaderSession.LeaderSession;

    const withLeader = async (
        run: (fixture: {
            server: followerServer.FollowerServer;
            ownDelegates: () => readonly protocol.Delegate[];
            /** Changes what the leader knows of the topic. */
            setContent: (changes: Partial<topicTask.TopicContent>) => void;
            join: (identifier: string, failureDomain: string, knownTopics?: string[]) => Follower;
        }) => Promise<void>,
    ): Promise<void> => {
        const owner = foundation.createOwner();
        const timers = foundation.createTimerService();
        const [port] = await siteModule.reservePorts(1);
        let ownDelegates: readonly protocol.Delegate[] = [];
        let content: topicTask.TopicContent = {
            records,
            revision: 1,
            end: { era: 1, offset: 7 },
            age: 100,
            mayBeOutdated: false,
        };
        const server = await followerServer.startFollowerServer({
            host,
            port,
            session: () => session,
            topics: {
                positions: () => [{ topic, era: content.end.era, end: content.end.offset, age: 0 }],
                snapshot: () => content,
                onRelayed: () => undefined,
                onSnapshot: () => undefined,
            },
            failureDomain: "north-a",
            delegate: createDelegate("leader"),
            onDelegates: delegates => {
                ownDelegates = delegates;
            },
            log: discardingLog,
            failures: foundation.createTransparentFailureBoundary(),
            onTransferred: (kind, failureDomain, { sentBytes, receivedBytes }) => {
                const name = `${kind} ${failureDomain}`;
                transferredBytes.set(name, (transferredBytes.get(name) ?? 0) + sentBytes + receivedBytes);
            },
        }, owner);
        const heartbeats = timers.onInterval(20, server.sendHeartbeat);
        const links: leaderLink.LeaderLink[] = [];
        try {
            await run({
                server,
                ownDelegates: () => ownDelegates,
                setContent: changes => {
                    content = { ...content, ...changes };
                },
                join: (identifier, failureDomain, knownTopics = []) => {
                    const follower = createFollower(timers, port, identifier, failureDomain, knownTopics);
                    links.push(follower.link);
                    return follower;
                },
            });
        }
        finally {
            heartbeats.cancel();
            links.forEach(link => link.close());
            await owner.dispose();
        }
    };

    test.it("know the instances of their failure domain that accept requests, except those that stop or left", async () => {
        await withLeader(async ({ join, ownDelegates }) => {
            const [first, second] = [join("first", "north-a"), join("second", "north-a")];
            const other = join("other", "south-a");
            await waitFor(() => first.delegates.length === 3 && other.delegates.length === 1);
            earl.expect(identifiersOf(first.delegates)).toEqual(["first", "leader", "second"]);
            earl.expect(identifiersOf(other.delegates)).toEqual(["other"]);
            earl.expect(identifiersOf(ownDelegates())).toEqual(["first", "leader", "second"]);
            second.link.announceStop();
            await waitFor(() => first.delegates.length === 2);
            earl.expect(identifiersOf(first.delegates)).toEqual(["first", "leader"]);
            first.link.close();
            await waitFor(() => ownDelegates().length === 1 && second.delegates.length === 1);
            earl.expect(identifiersOf(second.delegates)).toEqual(["leader"]);
        });
    });

    // Guards against content that was encoded for another follower before the store gave out its end again (review case 9).
    test.it("get the content of a new era, also if it ends at the same offset, whether they joined before or after", async () => {
        await withLeader(async ({ join, setContent }) => {
            const first = join("first", "north-a");
            await waitFor(() => first.snapshots.length === 1);
            const rewritten = [{ key: "upstream-1", value: Buffer.from("rewritten"), offset: 6 }];
            setContent({ records: rewritten, revision: 2, end: { era: 2, offset: 7 } });
            const second = join("second", "north-a");
            await waitFor(() => first.snapshots.length === 2 && second.snapshots.length === 1);
            const expected = { records: rewritten, end: { era: 2, offset: 7 }, age: 100, mayBeOutdated: false };
            earl.expect([first.snapshots[1], second.snapshots[0]]).toEqual([expected, expected]);
            // An awaited record that is dropped changes the content without moving its end.
            setContent({ records: [], revision: 3 });
            const third = join("third", "north-a");
            await waitFor(() => third.snapshots.length === 1);
            earl.expect(third.snapshots[0].records).toEqual([]);
        });
    });

    test.it("get the content of each topic once, unless they know it", async () => {
        await withLeader(async ({ join }) => {
            const first = join("first", "north-a");
            const second = join("second", "north-a", [topic]);
            await waitFor(() => first.snapshots.length === 1 && second.link.isLeaderHealthy());
            earl.expect(first.snapshots).toEqual([{
                records,
                end: { era: 1, offset: 7 },
                age: 100,
                mayBeOutdated: false,
            }]);
            await waitFor(() => second.delegates.length === 3);
            earl.expect([first.snapshots.length, second.snapshots.length]).toEqual([1, 0]);
            earl.expect((transferredBytes.get("snapshot north-a") ?? 0) > records[0].value.length).toEqual(true);
        });
    });

    test.it("report the upstreams that are leaving to the leader", async () => {
        await withLeader(async ({ join }) => {
            const { link } = join("first", "north-a");
            await waitFor(() => link.isLeaderHealthy());
            const leaving = [{ identifier: "upstream-1", startedAt: 1786661537573, age: 120 }];
            link.send({ kind: "report", samples: [], speeds: [], leaving });
            await waitFor(() => reports.length === 1);
            earl.expect(reports[0].leaving).toEqual(leaving);
        });
    });

    test.it("know how long ago the store responded to the leader, however often they hear from it", async () => {
        await withLeader(async ({ join }) => {
            const { link } = join("first", "north-a");
            await waitFor(() => link.isLeaderHealthy());
            confirmationAge = 5000;
            await waitFor(() => !link.isLeaderHealthy());
            const before = link.lastConfirmedAt();
            const follower = join("second", "north-a");
            await waitFor(() => follower.link.lastConfirmedAt() > -Infinity);
            earl.expect(follower.link.lastConfirmedAt() < before).toEqual(true);
            earl.expect(link.lastConfirmedAt()).toEqual(before);
            confirmationAge = 0;
        });
    });
});

test.describe("a follower", () => {
    test.it("does not throw for a leader record with a port out of range, and follows the next leader", async context => {
        const failures = foundation.createFailureBoundary({ write: () => undefined, sample: () => undefined });
        const link = leaderLinks.createLink({ timers: foundation.createTimerService(), failures });
        const server = net.createServer();
        let isFollowed = false;
        server.once("connection", () => {
            isFollowed = true;
        });
        await foundation.listenOn(server, host, 0);
        context.after(() => {
            link.close();
            server.close();
        });
        const { port } = server.address() as net.AddressInfo;
        const record = leaderLinks.createLeaderRecord({ port: 80_800 });
        link.follow(record);
        earl.expect([...failures.counts()]).toEqual([["leader record", 1]]);
        const following = setInterval(() => link.follow({ ...record, identifier: "next", port }), 20);
        context.after(() => clearInterval(following));
        await waitFor(() => isFollowed);
    });

    /** Follows a leader whose process responds to each join with the next message, or refuses the connection. */
    const followThrough = async (
        responses: (protocol.RoutingMessage | "refusal")[],
    ): Promise<(string | undefined)[]> => {
        const [port] = await siteModule.reservePorts(1);
        const link = leaderLinks.createLink({ timers: foundation.createTimerService() });
        const unavailableLeaders: (string | undefined)[] = [];
        for (const response of responses) {
            const sockets: net.Socket[] = [];
            const server = net.createServer(socket => {
                sockets.push(socket);
                socket.on("error", () => undefined);
                socket.once("data", () => socket.write(protocol.encodeFrame(response)));
            });
            if (response !== "refusal") {
                await foundation.listenOn(server, host, port);
            }
            const following = setInterval(() => link.follow(leaderLinks.createLeaderRecord({ port })), 20);
            await new Promise(resolve => setTimeout(resolve, 500));
            unavailableLeaders.push(link.unavailableLeader());
            clearInterval(following);
            server.close();
            sockets.forEach(socket => socket.destroy());
            // The follower connects no more often than this.
            await new Promise(resolve => setTimeout(resolve, 200));
        }
        link.close();
        return unavailableLeaders;
    };
    const beat: protocol.RoutingMessage = {
        kind: "beat",
        term: 1,
        era: 1,
        record: 1,
        proofAge: 0,
        instances: 2,
        topics: [],
    };

    test.it("does not call a leader unavailable that sends heartbeats after its address refused a connection", async () => {
        earl.expect(await followThrough(["refusal", beat, "refusal"])).toEqual(["leader", undefined, "leader"]);
    });

    test.it("does not call a leader unavailable that sends heartbeats after it said that it does not lead", async () => {
        earl.expect(await followThrough([{ kind: "notLeader" }, beat])).toEqual(["leader", undefined]);
    });
});
