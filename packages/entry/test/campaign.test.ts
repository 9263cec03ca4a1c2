/** When a new leader may send lease commands, counted from the append of its first record. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as campaign from "../src/campaign";
import * as leaderSession from "../src/leaderSession";
import * as leavingUpstreams from "../src/leavingUpstreams";
import * as ownershipWatch from "../src/ownershipWatch";
import * as keyedUpstream from "./fixtures/keyedUpstream";

const host = "127.0.0.1";
const upstream = keyedUpstream.createKeyedUpstream();
const maxLeaseMilliseconds = 10_000;
const stepMilliseconds = 40;
const discardingLog: foundation.EventLog = { write: () => undefined, sample: () => undefined };

interface CampaignFixture {
    timers: foundation.VirtualTimerService;
    /**
     * Suspends the process while the next append is in flight; the monotonic clock stands still meanwhile. Grants before that are
     * removed from {@link CampaignFixture.grantTimes}.
     */
    suspendAtAppend: (milliseconds: number) => void;
    /** Sets how long the store takes to respond to an append that it has carried out. */
    setAppendDelay: (milliseconds: number) => void;
    /** Sets whether appends get no response. */
    setAppendsLost: (areLost: boolean) => void;
    /** Campaigns until this instance leads; the session is ticked by {@link CampaignFixture.run}. */
    lead: () => Promise<campaign.WonCampaign>;
    /** Stores the record of another leader. */
    storeLeader: (host: string) => void;
    /** Replaces the value of a record by bytes that are not one. */
    makeUnreadable: (key: string) => void;
    run: (milliseconds: number) => Promise<void>;
    /** Times of the grants, on the monotonic clock. */
    grantTimes: number[];
    /** Tokens of all grants. */
    grantTokens: number[];
}

const createCampaignFixture = (): CampaignFixture => {
    const virtualTimers = foundation.createVirtualTimerService(1000);
    let suspendedMilliseconds = 0;
    let nextSuspension = 0;
    let appendDelay = 10;
    let areAppendsLost = false;
    const timers = { ...virtualTimers, wallClock: () => virtualTimers.now() + suspendedMilliseconds };
    const owner: assignment.Owner = upstream;
    const stored = new Map([[
        assignment.assignmentKey("records"),
        assignment.encodeAssignment({
            service: "records",
            nextToken: 2,
            ranges: [{ first: 0, last: assignment.keyCount - 1, owner, token: 1, previousOwner: undefined }],
        }, 0),
    ]]);
    let end: platform.Position = { era: 0, offset: 1 };
    const store: platform.StoreClient = {
        readSnapshot: () =>
            Promise.resolve({ records: [...stored].map(([key, value]) => ({ key, value, offset: 0 })), end }),
        readFrom: () => Promise.reject(new Error("not used")),
        append: async (...[, expectedEnd, records]) => {
            if (areAppendsLost || platform.comparePositions(expectedEnd, end) !== 0) {
                await foundation.pause(timers, 1000);
                return { result: "failed", end: expectedEnd, reason: "no response" };
            }
            records.forEach(({ key, value }) => value !== undefined && stored.set(key, value));
            end = platform.advancePosition(end, records.length);
            const appendedEnd = end;
            await foundation.pause(timers, appendDelay / 2);
            if (nextSuspension > 0) {
                suspendedMilliseconds += nextSuspension;
                nextSuspension = 0;
                grantTimes.length = 0;
            }
            await foundation.pause(timers, appendDelay / 2);
            return { result: "appended", end: appendedEnd, reason: "" };
        },
        eraSeenAt: () => 0,
        close: () => undefined,
    };
    const grantTimes: number[] = [];
    const grantTokens: number[] = [];
    const leaseClient: platform.LeaseClient = {
        grant: async (...[, { token }]) => {
            grantTimes.push(timers.now());
            grantTokens.push(token);
            await foundation.pause(timers, 5);
            return { result: "done", handover: undefined, isLeaving: false, reason: "" };
        },
        release: () => Promise.reject(new Error("not used")),
        close: () => undefined,
    };
    const directory = routing.createUpstreamDirectory();
    directory.onEntry(upstream, timers.now());
    let session: leaderSession.LeaderSession | undefined;
    const run = async (milliseconds: number): Promise<void> => {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
            virtualTimers.advance(stepMilliseconds);
            await new Promise(resolve => setImmediate(resolve));
            session?.tick();
        }
    };
    return {
        timers,
        suspendAtAppend: milliseconds => {
            nextSuspension = milliseconds;
        },
        setAppendDelay: milliseconds => {
            appendDelay = milliseconds;
        },
        setAppendsLost: areLost => {
            areAppendsLost = areLost;
        },
        lead: async () => {
            const options = {
                store,
                timers,
                log: discardingLog,
                confirmationTimeOf: () => undefined,
                isFirstStart: true,
            };
            const watch = ownershipWatch.createOwnershipWatch(options);
            let won: campaign.WonCampaign | undefined;
            const pending = campaign.campaign({
                ...options,
                watch,
                readSnapshot: async () => {
                    await watch.read();
                },
                identifier: "instance-1",
                host,
                port: 1,
                maxLeaseMilliseconds,
                latestTerm: () => 0,
                areTopicsSettled: () => true,
            }, await watch.read()).then(result => {
                won = result;
            });
            while (won === undefined) {
                await run(stepMilliseconds);
            }
            await pending;
            session = leaderSession.createLeaderSession({
                ...won,
                store,
                leaseClient,
                directory,
                leaving: leavingUpstreams.createLeavingUpstreams({ directory, timers, log: discardingLog }),
                timers,
                log: discardingLog,
                failures: foundation.createTransparentFailureBoundary(),
                maxLeaseMilliseconds,
                keyedServices: () => ["records"],
                mayOwnKeys: () => true,
                areEvacuationsRecent: () => true,
                areTopicsSettled: () => true,
                storeReturns: { onStoredAgain: () => undefined },
                broadcast: () => undefined,
                onSuperseded: () => undefined,
            });
            return won;
        },
        storeLeader: leaderHost => {
            const record: assignment.LeaderRecord = {
                identifier: "other",
                host: leaderHost,
                port: 1,
                term: 4,
                era: 0,
                beat: 2,
                isResigned: false,
                longestLeaseMilliseconds: maxLeaseMilliseconds,
                previousCommandsMilliseconds: 0,
                previousLeasesMilliseconds: 0,
                unknownLeasesMilliseconds: 0,
                isSettled: true,
            };
            stored.set(assignment.leaderKey, assignment.encodeLeader(record));
        },
        makeUnreadable: key => {
            stored.set(key, Buffer.from("unreadable"));
        },
        run,
        grantTimes,
        grantTokens,
    };
};

test.describe("a new leader", () => {
    test.it("waits for the commands of another instance's leader, which may still run, although it campaigns at once", async () => {
        const fixture = createCampaignFixture();
        fixture.storeLeader("127.0.0.2");
        const storedBy = fixture.timers.now();
        const { previousLeaders } = await fixture.lead();
        earl.expect(previousLeaders.previousCommandsUntil > storedBy + assignment.leaderLeaseMilliseconds).toEqual(
            true,
        );
    });

    test.it("waits only for commands on their way if the leader was an earlier process of its own instance", async () => {
        const fixture = createCampaignFixture();
        fixture.storeLeader(host);
        const storedBy = fixture.timers.now();
        const { previousLeaders } = await fixture.lead();
        earl.expect(previousLeaders.previousCommandsUntil > storedBy).toEqual(true);
        earl.expect(previousLeaders.previousCommandsUntil < storedBy + assignment.leaderLeaseMilliseconds).toEqual(
            true,
        );
    });

    test.it("waits for the commands and leases of a leader whose record it cannot read", async () => {
        const fixture = createCampaignFixture();
        fixture.makeUnreadable(assignment.leaderKey);
        const storedBy = fixture.timers.now();
        const { previousLeaders } = await fixture.lead();
        const commandsUntil = storedBy + assignment.leaderLeaseMilliseconds;
        earl.expect(previousLeaders.previousCommandsUntil > commandsUntil).toEqual(true);
        earl.expect(previousLeaders.previousLeasesUntil > commandsUntil + maxLeaseMilliseconds).toEqual(true);
    });

    for (const isLeaderReadable of [true, false]) {
        const leader = isLeaderReadable ? "another" : "an unreadable";
        test.it(`after ${leader} leader grants keys of an assignment that it cannot read after all leases, with a higher token`, async () => {
            const fixture = createCampaignFixture();
            fixture.storeLeader("127.0.0.2");
            if (!isLeaderReadable) {
                fixture.makeUnreadable(assignment.leaderKey);
            }
            fixture.makeUnreadable(assignment.assignmentKey("records"));
            const storedBy = fixture.timers.now();
            await fixture.lead();
            await fixture.run(20_000);
            const leasesUntil = storedBy + assignment.leaderLeaseMilliseconds + maxLeaseMilliseconds;
            earl.expect(fixture.grantTimes.length > 0).toEqual(true);
            earl.expect(Math.min(...fixture.grantTimes) > leasesUntil).toEqual(true);
            earl.expect(Math.min(...fixture.grantTokens) > assignment.keyCount).toEqual(true);
        });
    }

    test.it("stops sending commands when a successor expects it to, even if the response to its first append was late", async () => {
        const fixture = createCampaignFixture();
        const sentAt = fixture.timers.now();
        fixture.setAppendDelay(900);
        await fixture.lead();
        fixture.setAppendsLost(true);
        await fixture.run(5000);
        earl.expect(fixture.grantTimes.length > 0).toEqual(true);
        earl.expect(Math.max(...fixture.grantTimes) < sentAt + assignment.leaderLeaseMilliseconds).toEqual(true);
    });

    test.it("sends no command if the process was suspended while its first append was in flight", async () => {
        const fixture = createCampaignFixture();
        fixture.suspendAtAppend(8000);
        await fixture.lead();
        fixture.setAppendsLost(true);
        await fixture.run(3000);
        earl.expect(fixture.grantTimes).toEqual([]);
        fixture.setAppendsLost(false);
        await fixture.run(2000);
        earl.expect(fixture.grantTimes.length > 0).toEqual(true);
    });

    test.it("sends no command on a confirmation that was requested before a suspension", async () => {
        const fixture = createCampaignFixture();
        await fixture.lead();
        fixture.setAppendDelay(600);
        fixture.suspendAtAppend(8000);
        // The leader appends a record after 800 ms to 1300 ms.
        await fixture.run(1320);
        fixture.setAppendsLost(true);
        await fixture.run(3000);
        earl.expect(fixture.grantTimes).toEqual([]);
    });
});
