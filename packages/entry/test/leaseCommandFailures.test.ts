/** How a leader goes on after an exception while it sends a lease command. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as leaderSession from "../src/leaderSession";
import * as leavingUpstreams from "../src/leavingUpstreams";
import * as keyedUpstream from "./fixtures/keyedUpstream";

const upstream = keyedUpstream.createKeyedUpstream();
const stepMilliseconds = 40;
const record: assignment.LeaderRecord = {
    identifier: "instance-1",
    host: "127.0.0.1",
    port: 1,
    term: 1,
    era: 1,
    beat: 1,
    isResigned: false,
    longestLeaseMilliseconds: 10_000,
    previousCommandsMilliseconds: 0,
    previousLeasesMilliseconds: 0,
    unknownLeasesMilliseconds: 0,
    isSettled: true,
};
const firstKeys = [0, 100, 200];

interface SessionFixture {
    run: (milliseconds: number) => Promise<void>;
    /** First keys of the grants, in the order in which they were sent. */
    grantedKeys: number[];
    failures: foundation.FailureBoundary;
}

/** Starts a session with three ranges of one upstream; `failOnce` is called in place of the first grant. */
const createSessionFixture = (failOnce: () => Promise<platform.CommandResponse>): SessionFixture => {
    const timers = foundation.createVirtualTimerService(1000);
    const log: foundation.EventLog = { write: () => undefined, sample: () => undefined };
    const failures = foundation.createFailureBoundary(log);
    const directory = routing.createUpstreamDirectory();
    directory.onEntry(upstream, timers.now());
    const grantedKeys: number[] = [];
    let end: platform.Position = { era: 1, offset: 1 };
    const session = leaderSession.createLeaderSession({
        store: {
            readSnapshot: () => Promise.reject(new Error("not used")),
            readFrom: () => Promise.reject(new Error("not used")),
            append: (...[, , records]) => {
                end = platform.advancePosition(end, records.length);
                return Promise.resolve({ result: "appended", end, reason: "" });
            },
            eraSeenAt: () => 0,
            close: () => undefined,
        },
        leaseClient: {
            grant: (...[, { first }]) => {
                grantedKeys.push(first);
                return grantedKeys.length === 1
                    ? failOnce()
                    : Promise.resolve({ result: "done", handover: undefined, isLeaving: false, reason: "" });
            },
            release: () => Promise.reject(new Error("not used")),
            close: () => undefined,
        },
        directory,
        leaving: leavingUpstreams.createLeavingUpstreams({ directory, timers, log }),
        timers,
        log,
        failures,
        record,
        snapshot: {
            leader: undefined,
            isLeaderOutdated: false,
            outdatedAssignments: new Map(),
            assignments: new Map([["records", {
                service: "records",
                nextToken: 10,
                ranges: firstKeys.map((first, index) => ({
                    first,
                    last: (firstKeys[index + 1] ?? assignment.keyCount) - 1,
                    owner: upstream,
                    token: index + 1,
                    previousOwner: undefined,
                })),
            }]]),
            unreadableKeys: new Set(),
            end,
        },
        previousLeaders: {
            previousCommandsUntil: -Infinity,
            previousLeasesUntil: -Infinity,
            unknownLeasesUntil: -Infinity,
        },
        confirmation: { sentAt: timers.now(), wallClock: timers.wallClock() },
        maxLeaseMilliseconds: 10_000,
        keyedServices: () => [],
        mayOwnKeys: () => true,
        areEvacuationsRecent: () => true,
        areTopicsSettled: () => true,
        storeReturns: { onStoredAgain: () => undefined },
        broadcast: () => undefined,
        onSuperseded: () => undefined,
    });
    return {
        run: async milliseconds => {
            for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
                session.tick();
                await new Promise(resolve => setImmediate(resolve));
                timers.advance(stepMilliseconds);
            }
        },
        grantedKeys,
        failures,
    };
};

test.describe("a leader whose lease client fails once", () => {
    const kinds: [string, () => Promise<platform.CommandResponse>][] = [
        ["throws", () => {
            throw new Error("injected");
        }],
        ["rejects", () => Promise.reject(new Error("injected"))],
    ];
    for (const [kind, failOnce] of kinds) {
        test.it(`sends the other grants, and that of the same range again, if the client ${kind}`, async () => {
            const fixture = createSessionFixture(failOnce);
            await fixture.run(stepMilliseconds);
            earl.expect(fixture.grantedKeys).toEqual(firstKeys);
            await fixture.run(assignment.renewalIntervalMilliseconds / 2);
            earl.expect(fixture.grantedKeys).toEqual([...firstKeys, firstKeys[0]]);
            earl.expect([...fixture.failures.counts()]).toEqual([["lease command", 1]]);
        });
    }
});
