/** Tests of the fault schedule, of the invariant checks, and of short soak runs with real processes. */
import * as foundation from "@mulberryseam/foundation";
import * as siteModule from "@mulberryseam/site";
import * as soak from "@mulberryseam/soak";
import * as earl from "earl";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as test from "node:test";

const createRecord = (changes: Partial<soak.CallerRecord> = {}): soak.CallerRecord => ({
    identifier: "a",
    method: "POST",
    path: "/orders/1",
    instance: "entry-1",
    sentAt: 1000,
    endedAt: 1100,
    status: 200,
    hasResponse: true,
    isUnusual: false,
    echoedIdentifier: "a",
    isSigned: true,
    body: "answer to a",
    ...changes,
});

const createExecution = (changes: Partial<soak.ExecutionRecord> = {}): soak.ExecutionRecord => ({
    identifier: "a",
    method: "POST",
    upstream: "orders-1",
    service: "orders",
    ...changes,
});

const createObservations = (changes: Partial<soak.Observations> = {}): soak.Observations => ({
    callers: [createRecord()],
    executions: [createExecution()],
    arrivals: [],
    coldPeriods: [],
    allArrivals: [],
    evacuations: [],
    fullArrivals: [],
    ownershipViolations: [],
    ownEnds: [],
    peakMemoryBytes: new Map(),
    isPlanned: false,
    recoveredAt: 0,
    timeoutMilliseconds: 1200,
    wasDisrupted: () => false,
    wasOutOfContact: () => false,
    wasLinkDisturbed: () => false,
    wasRestarted: () => false,
    ...changes,
});

const countViolations = (changes: Partial<soak.Observations>): number =>
    soak.checkInvariants(createObservations(changes)).length;

test.describe("soak invariant checks", () => {
    test.it("report no violation if every guarantee is kept", () => earl.expect(countViolations({})).toEqual(0));

    test.it("report an instance that goes on sending an upstream more than it holds", () => {
        const createArrivals = (count: number, from: number): soak.ArrivalRecord[] =>
            [...Array.from({ length: count }).keys()].map(index => ({
                identifier: "a",
                upstream: "orders-1@1",
                arrivedAt: from + index,
                answeredAt: undefined,
                status: 0,
                isLeaving: false,
                retryAfterMilliseconds: 0,
            }));
        const first = createArrivals(20, 1000);
        earl.expect(countViolations({ fullArrivals: [...first, ...createArrivals(3, 20_000)] })).toEqual(0);
        earl.expect(countViolations({ fullArrivals: [...first, ...createArrivals(4, 20_000)] })).toEqual(1);
    });

    test.it("report requests executed twice, never sent, or executed after a response that denies execution", () => {
        earl.expect(countViolations({ executions: [createExecution(), createExecution({ upstream: "orders-2" })] }))
            .toEqual(1);
        earl.expect(countViolations({ executions: [createExecution({ identifier: "b" })], recoveredAt: 2000 })).toEqual(
            1,
        );
        earl.expect(countViolations({ callers: [createRecord({ status: 503 })], recoveredAt: 2000 })).toEqual(1);
    });

    test.it("allow repeated execution where every version declares the route safe to repeat", () => {
        const countRepeated = (method: string, path: string): number =>
            countViolations({
                callers: [createRecord({ method, path })],
                executions: [createExecution({ method }), createExecution({ method })],
            });
        earl.expect(countRepeated("POST", "/additional-0/1")).toEqual(0);
        earl.expect(countRepeated("POST", "/additional-1/1")).toEqual(1);
        earl.expect(countRepeated("GET", "/additional-1/1")).toEqual(1);
        earl.expect(countRepeated("GET", "/orders/1")).toEqual(1);
        const executions = [createExecution({ service: "records" }), createExecution({ service: "records" })];
        earl.expect(countViolations({ callers: [createRecord({ path: "/records/1" })], executions })).toEqual(0);
    });

    test.it("report executions in a region that the route does not allow", () => {
        const countIn = (path: string, upstream: string): number =>
            countViolations({ callers: [createRecord({ path })], executions: [createExecution({ upstream })] });
        earl.expect(countIn("/additional-3/1", "orders-3")).toEqual(0);
        earl.expect(countIn("/additional-3/1", "orders-2")).toEqual(1);
        earl.expect(countIn("/additional-2/1", "orders-2")).toEqual(0);
    });

    test.it("report requests that reach an evacuated failure domain after the bound", () => {
        const evacuations = [{ failureDomain: "north-b", from: 1000, until: 9000 }];
        const countAt = (arrivedAt: number, change: Partial<soak.ArrivalRecord> & Partial<soak.Observations> = {}) => {
            const arrival = {
                identifier: "a",
                upstream: "records-2@1",
                arrivedAt,
                answeredAt: arrivedAt,
                status: 200,
                isLeaving: false,
                retryAfterMilliseconds: 0,
                ...change,
            };
            return countViolations({ evacuations, allArrivals: [arrival], ...change });
        };
        earl.expect([countAt(5999), countAt(6001), countAt(8999), countAt(9001)]).toEqual([0, 1, 1, 0]);
        earl.expect(countAt(7000, { upstream: "records-1@1" })).toEqual(0);
        earl.expect(countAt(7000, { status: 421 })).toEqual(0);
        earl.expect(countAt(7000, { wasOutOfContact: () => true })).toEqual(0);
        earl.expect(countAt(7000, { wasLinkDisturbed: () => true })).toEqual(0);
    });

    test.it("report responses that belong to another request, are incomplete or lack an upstream's signature", () => {
        for (const changes of [{ echoedIdentifier: "b" }, { body: "answer" }, { isSigned: false }]) {
            earl.expect(countViolations({ callers: [createRecord(changes)] })).toEqual(1);
        }
    });

    test.it("report requests interrupted by planned operations and responses that arrive too late", () => {
        const interrupted = [createRecord({ status: 0 })];
        earl.expect(countViolations({ callers: interrupted, isPlanned: true, recoveredAt: 2000 })).toEqual(1);
        earl.expect(countViolations({ callers: interrupted, recoveredAt: 2000 })).toEqual(0);
        const overdue = [createRecord({ endedAt: 3000 })];
        earl.expect(countViolations({ callers: overdue })).toEqual(1);
        earl.expect(countViolations({ callers: overdue, wasDisrupted: () => true })).toEqual(0);
    });

    test.it("report a site that does not recover and keys with two owners", () => {
        earl.expect(countViolations({ callers: [createRecord({ status: 502 })] })).toEqual(1);
        earl.expect(countViolations({ ownershipViolations: ["key 1"] })).toEqual(1);
        earl.expect(countViolations({ ownEnds: ["entry-1 ended by itself"] })).toEqual(1);
        const megabyte = 1024 * 1024;
        const peakMemoryBytes = new Map([["entry-1", 350 * megabyte], ["entry-2", 351 * megabyte]]);
        earl.expect(countViolations({ peakMemoryBytes })).toEqual(1);
    });
});

/** Starts an instance whose program is the given script, and returns how its processes ended by themselves. */
const runProgram = async (
    script: string,
    act: (instance: soak.SoakInstance, logFile: string) => Promise<void>,
): Promise<readonly string[]> => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-soak-test-"));
    const logFile = path.join(folder, "log");
    const owner = foundation.createOwner();
    try {
        const instance = await soak.startInstance({
            name: "entry-1",
            host: `${await siteModule.reserveNetwork(owner)}.1`,
            peerPort: 1,
            storePort: 1,
            programArguments: ["--eval", script],
            logFile,
        }, owner);
        try {
            // Without a restart, only the first process is observed.
            instance.setRestartDelay(maxProgramMilliseconds);
            await act(instance, logFile);
        }
        finally {
            await instance.terminate();
        }
        return instance.ownEnds();
    }
    finally {
        await owner.dispose();
        fs.rmSync(folder, { recursive: true });
    }
};

/** Time that a program may take to end, in milliseconds; only a run that hangs reaches it. */
const maxProgramMilliseconds = 20_000;
const pollMilliseconds = 20;

const waitUntil = async (condition: () => boolean): Promise<void> => {
    const deadline = performance.now() + maxProgramMilliseconds;
    while (!condition() && performance.now() < deadline) {
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
};

const waitUntilEnded = (instance: soak.SoakInstance): Promise<void> => waitUntil(() => !instance.isRunning());

test.describe("soak invariant checks of paths and connections", () => {
    test.it("report a request that ran at a service to which no version sends it", () => {
        earl.expect(countViolations({ executions: [createExecution({ service: "parcels" })] })).toEqual(0);
        earl.expect(countViolations({ executions: [createExecution({ service: "records" })] })).toEqual(1);
    });

    test.it("report a rejection as wrong only where every version allows the request", () => {
        const rejected = createRecord({ status: 404 });
        const countRejections = (changes: Partial<soak.CallerRecord>): number =>
            countViolations({ callers: [{ ...rejected, ...changes }], executions: [], recoveredAt: 2000 });
        earl.expect(countRejections({})).toEqual(1);
        earl.expect(countRejections({ path: "/additional-1/1" })).toEqual(0);
        earl.expect(countRejections({ isUnusual: true })).toEqual(0);
        earl.expect(countRejections({ status: 429 })).toEqual(0);
    });

    test.it("report a connection closed without a response to a request that ran", () => {
        const countLost = (
            changes: Partial<soak.CallerRecord>,
            observations: Partial<soak.Observations> = {},
        ): number =>
            countViolations({
                callers: [createRecord({ status: 0, hasResponse: false, ...changes })],
                recoveredAt: 2000,
                ...observations,
            });
        earl.expect(countLost({})).toEqual(1);
        earl.expect(countLost({ hasResponse: true })).toEqual(0);
        earl.expect(countLost({ isUnusual: true })).toEqual(0);
        earl.expect(countLost({}, { executions: [] })).toEqual(0);
        earl.expect(countLost({}, { wasDisrupted: () => true })).toEqual(0);
    });
});

test.describe("soak checks of upstreams that ask for no requests", () => {
    const createArrival = (identifier: string, changes: Partial<soak.ArrivalRecord> = {}): soak.ArrivalRecord => ({
        identifier,
        upstream: "orders-1@1",
        arrivedAt: 0,
        answeredAt: 0,
        status: 200,
        isLeaving: false,
        retryAfterMilliseconds: 0,
        ...changes,
    });
    const createCaller = (identifier: string, sentAt: number, changes: Partial<soak.CallerRecord> = {}) =>
        createRecord({
            identifier,
            echoedIdentifier: identifier,
            body: `answer to ${identifier}`,
            sentAt,
            endedAt: sentAt + 10,
            ...changes,
        });
    const countLate = (sentAt: number, changes: Partial<soak.Observations> = {}, arrival = {}): number =>
        countViolations({
            callers: [createCaller("first", 1000), createCaller("second", sentAt)],
            executions: [],
            arrivals: [createArrival("first", { isLeaving: true }), createArrival("second", arrival)],
            ...changes,
        });

    test.it("report a request sent to an upstream later than the drain time after its announcement was passed on", () => {
        earl.expect(countLate(3500)).toEqual(0);
        earl.expect(countLate(3520)).toEqual(1);
        earl.expect(countLate(3520, {}, { upstream: "orders-1@2" })).toEqual(0);
        earl.expect(countLate(3520, { wasDisrupted: () => true })).toEqual(0);
        const wasRestartedAt = (time: number) => (name: string, from: number, until: number): boolean =>
            name === "entry-1" && time >= from && time <= until;
        earl.expect([1000, 2000, 3530].map(time => countLate(3520, { wasRestarted: wasRestartedAt(time) })))
            .toEqual([1, 0, 1]);
        const otherInstance = [createCaller("first", 1000, { instance: "entry-2" }), createCaller("second", 3520)];
        earl.expect(countLate(3520, { callers: otherInstance })).toEqual(0);
        const notPassedOn = [createCaller("first", 1000, { status: 504 }), createCaller("second", 3520)];
        earl.expect(countLate(3520, { callers: notPassedOn, recoveredAt: 5000 })).toEqual(0);
    });

    test.it("report more than two requests to an upstream that asked for none, after half a second", () => {
        const countBusy = (arrivalTimes: readonly number[], changes: Partial<soak.Observations> = {}): number =>
            countViolations({
                callers: [
                    createCaller("first", 0, { status: 503, hasResponse: true }),
                    ...arrivalTimes.map(arrivedAt => createCaller(`at ${arrivedAt}`, arrivedAt)),
                ],
                executions: [],
                arrivals: [
                    createArrival("first", { status: 503, answeredAt: 0, retryAfterMilliseconds: 2000 }),
                    ...arrivalTimes.map(arrivedAt => createArrival(`at ${arrivedAt}`, { arrivedAt })),
                ],
                recoveredAt: 5000,
                ...changes,
            });
        earl.expect(countBusy([10, 20, 499, 600, 700, 2100])).toEqual(0);
        earl.expect(countBusy([600, 700, 800])).toEqual(1);
        earl.expect(countBusy([600, 700, 800], { wasLinkDisturbed: () => true })).toEqual(0);
        earl.expect(countBusy([600, 700, 800], { wasDisrupted: () => true })).toEqual(0);
        earl.expect(countBusy([600, 700, 800], { timeoutMilliseconds: undefined })).toEqual(0);
    });
});

test.describe("the soak check of cold upstreams", () => {
    test.it("reports more requests in one second than the bound, unless the link to the upstream was disturbed", () => {
        const countCold = (most: number, changes: Partial<soak.Observations> = {}): number =>
            countViolations({
                coldPeriods: [{ upstream: "orders-1", from: 0, until: 3000, maxInOneSecond: () => most }],
                ...changes,
            });
        earl.expect([0, 17, 18].map(most => countCold(most))).toEqual([0, 0, 1]);
        earl.expect(countCold(18, { wasLinkDisturbed: upstream => upstream.startsWith("orders-1@") })).toEqual(0);
    });
});

test.describe("instances of a soak run", () => {
    test.it("report a process that ends by itself with its status and last error output", async () => {
        const ends = await runProgram("setTimeout(() => { throw new Error('broken record'); }, 10)", waitUntilEnded);
        earl.expect(ends.length).toEqual(1);
        earl.expect(ends[0].startsWith("entry-1 ended by itself: exit status 1, ")).toEqual(true);
        earl.expect(ends[0]).toEqual(earl.expect.includes("broken record"));
        const aborted = await runProgram("process.abort()", waitUntilEnded);
        earl.expect(aborted.map(line => line.split(",")[0])).toEqual(["entry-1 ended by itself: SIGABRT"]);
        const silent = await runProgram("process.exit(0)", waitUntilEnded);
        earl.expect(silent).toEqual(["entry-1 ended by itself: exit status 0, "]);
    });

    test.it("report a process that fails while it stops", async () => {
        const script = "process.on('SIGTERM', () => process.exit(1)); setInterval(() => undefined, 1000);"
            + "process.stdout.write('ready');";
        const ends = await runProgram(script, async (instance, logFile) => {
            await waitUntil(() => fs.readFileSync(logFile, "utf8") === "ready");
            instance.signal("SIGTERM");
            await waitUntilEnded(instance);
        });
        earl.expect(ends).toEqual(["entry-1 ended by itself: exit status 1, "]);
    });

    test.it("report no process that the soak ends, also while it is paused", async () => {
        for (const signals of [["SIGKILL"], ["SIGTERM"], ["SIGSTOP", "SIGKILL"], ["SIGTERM", "SIGTERM"]] as const) {
            const ends = await runProgram("setInterval(() => undefined, 1000)", async instance => {
                signals.forEach(signal => instance.signal(signal));
                await waitUntilEnded(instance);
            });
            earl.expect(ends).toEqual([]);
        }
    });
});

test.describe("the upstreams of a soak run", () => {
    test.it("have one incarnation each, also after restarts that overlap", async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        const site = await soak.startSite({
            instances: 0,
            upstreamsPerService: 1,
            programArguments: [],
            logFile: os.devNull,
            random: foundation.createRandom(1),
        }, owner);
        const countServers = async (): Promise<number> => {
            // Lets closed servers disappear.
            await new Promise(resolve => setTimeout(resolve, 50));
            return process.getActiveResourcesInfo().filter(resource => resource === "TCPServerWrap").length;
        };
        const before = await countServers();
        await site.upstreams[0].restart();
        const addedByOne = await countServers() - before;
        await Promise.all([site.upstreams[0].restart(), site.upstreams[0].restart()]);
        const addedByAll = await countServers() - before;
        await owner.dispose();
        earl.expect(addedByAll).toEqual(3 * addedByOne);
    });
});

test.describe("soak runs", () => {
    test.it("use the same fault schedule for the same seed", () => {
        earl.expect(soak.createSchedule(7, 5000)).toEqual(soak.createSchedule(7, 5000));
        earl.expect(soak.createSchedule(10, 5000).isPlanned).toEqual(true);
    });

    test.it("include upstreams that stay silent or send without end, except in planned schedules", () => {
        const countModes = (seed: number): number =>
            soak.createSchedule(seed, 10_000).faults.filter(fault =>
                fault.kind === "upstreamSilent" || fault.kind === "upstreamEndless"
            ).length;
        earl.expect(countModes(7) > 0).toEqual(true);
        earl.expect(countModes(10)).toEqual(0);
    });

    test.it("have separate random numbers for separate groups of faults", () => {
        const kinds = soak.createSchedule(7, 10_000).faults.map(fault => fault.kind);
        const separateKinds = [
            ...soak.oddInputKinds,
            ...soak.seriesKinds,
            ...soak.leaseRefusalKinds,
            ...soak.evacuationKinds,
            ...soak.returnKinds,
        ];
        for (const kind of separateKinds) {
            earl.expect(soak.createSchedule(8, 60_000).faults.some(fault => fault.kind === kind)).toEqual(true);
        }
        earl.expect(kinds.filter(kind => kind.startsWith("store")).length > 0).toEqual(true);
        const plannedKinds = soak.createSchedule(10, 60_000).faults.map(fault => fault.kind);
        earl.expect(plannedKinds.some(kind => soak.seriesKinds.includes(kind))).toEqual(true);
        earl.expect(plannedKinds.some(kind => [...soak.oddInputKinds, ...soak.returnKinds].includes(kind))).toEqual(
            false,
        );
    });

    const properInputKinds = Object.values(soak.FaultKind).filter(kind =>
        ![...soak.oddInputKinds, ...soak.withdrawalKinds, ...soak.leaseRefusalKinds].includes(kind)
    );
    const runs: [number, readonly soak.FaultKindValue[] | undefined][] = [
        [3, properInputKinds],
        [5, properInputKinds],
        [102, undefined],
        [7, [...soak.evacuationKinds, soak.FaultKind.instanceKilled, soak.FaultKind.documentStorm]],
        [11, [...soak.returnKinds, soak.FaultKind.instanceKilled, soak.FaultKind.documentStorm]],
    ];
    for (const [seed, kinds] of runs) {
        test.it(`keep every guarantee under the faults of seed ${seed}`, async () => {
            const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-soak-test-"));
            const result = await soak.runSoak({
                seed,
                faultPeriodMilliseconds: 3000,
                instances: 3,
                upstreamsPerService: 3,
                requestsPerSecond: 40,
                programArguments: ["--import", "tsx", "packages/entry/src/main.ts"],
                logFile: path.join(folder, "log"),
                checksTiming: false,
                kinds,
            });
            fs.rmSync(folder, { recursive: true });
            earl.expect(result.violations).toEqual([]);
            earl.expect(result.requestCount > 0).toEqual(true);
        });
    }
});
