/** How an instance gives up the leadership when it stops. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as leavingUpstreams from "../src/leavingUpstreams";
import * as ownershipTask from "../src/ownershipTask";
import * as storeReturns from "../src/storeReturns";
import * as instanceSettings from "./fixtures/instanceSettings";

const settings = instanceSettings.createSettings();
const appendMilliseconds = 200;
const stepMilliseconds = 20;

interface OwnershipTaskFixture {
    task: ownershipTask.OwnershipTask;
    run: (milliseconds: number) => Promise<void>;
    /** The leader records, in the order of their appends. */
    leaderRecords: assignment.LeaderRecord[];
    owner: foundation.Owner;
}

const createOwnershipTaskFixture = async (): Promise<OwnershipTaskFixture> => {
    const timers = foundation.createVirtualTimerService(1000);
    const owner = foundation.createOwner();
    const leaderRecords: assignment.LeaderRecord[] = [];
    const store: platform.StoreClient = {
        readSnapshot: () => Promise.resolve({ records: [], end: { era: 0, offset: 0 } }),
        readFrom: () => Promise.reject(new Error("not used")),
        append: async (...[, , [{ value }]]) => {
            leaderRecords.push(assignment.decodeLeader(value as Buffer).unwrap());
            await foundation.pause(timers, appendMilliseconds);
            return { result: "appended", end: { era: 0, offset: leaderRecords.length }, reason: "" };
        },
        eraSeenAt: () => 0,
        close: () => undefined,
    };
    const log: foundation.EventLog = { write: () => undefined, sample: () => undefined };
    const directory = routing.createUpstreamDirectory();
    const task = await ownershipTask.startOwnershipTask({
        settings,
        store,
        directory,
        leaving: leavingUpstreams.createLeavingUpstreams({ directory, timers, log }),
        timers,
        random: foundation.createRandom(1),
        log,
        failures: foundation.createTransparentFailureBoundary(),
        keyedServices: () => [],
        mayOwnKeys: () => true,
        areEvacuationsRecent: () => true,
        areTopicsSettled: () => true,
        storeReturns: storeReturns.createStoreReturns(log),
        collectServiceTimes: () => [],
        topics: {
            positions: () => [],
            snapshot: () => undefined,
            onRelayed: () => undefined,
            onSnapshot: () => undefined,
        },
        traffic: foundation.createTrafficAccount(),
    }, owner);
    const run = async (milliseconds: number): Promise<void> => {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
            timers.advance(stepMilliseconds);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    return { task, run, leaderRecords, owner };
};

test.describe("an instance that stops", () => {
    test.it("resigns a leadership that it wins after it was told to stop", async () => {
        const fixture = await createOwnershipTaskFixture();
        try {
            for (let elapsed = 0; fixture.leaderRecords.length === 0 && elapsed < 2000; elapsed += stepMilliseconds) {
                await fixture.run(stepMilliseconds);
            }
            earl.expect(fixture.leaderRecords.map(({ isResigned }) => isResigned)).toEqual([false]);
            await fixture.task.resign();
            await fixture.run(2000);
            earl.expect(fixture.leaderRecords.map(({ isResigned }) => isResigned)).toEqual([false, true]);
            earl.expect(fixture.task.isLeading()).toEqual(false);
        }
        finally {
            await fixture.owner.dispose();
        }
    });
});
