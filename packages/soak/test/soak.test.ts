/** The soak: its schedule, its judgement, and a short run of real processes. */
import * as soak from "@mulberryseam/soak";
import * as earl from "earl";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as test from "node:test";

const createRecord = (change: Partial<soak.CallerRecord> = {}): soak.CallerRecord => ({
    identifier: "a",
    method: "POST",
    instance: "entry-1",
    sentAt: 1000,
    endedAt: 1100,
    status: 200,
    echoedIdentifier: "a",
    isSigned: true,
    body: "answer to a",
    ...change,
});

const createRun = (change: Partial<soak.RunRecord> = {}): soak.RunRecord => ({
    identifier: "a",
    method: "POST",
    upstream: "orders-1",
    ...change,
});

const createEvidence = (change: Partial<soak.Evidence> = {}): soak.Evidence => ({
    callers: [createRecord()],
    runs: [createRun()],
    sharedKeys: [],
    isPlanned: false,
    recoveredAt: 0,
    timeoutMilliseconds: 1200,
    wasDisturbed: () => false,
    ...change,
});

const count = (change: Partial<soak.Evidence>): number => soak.judge(createEvidence(change)).length;

test.describe("the judgement of a soak", () => {
    test.it("finds nothing where every promise is kept", () => earl.expect(count({})).toEqual(0));

    test.it("finds what ran twice, unasked, or though it was said not to have run", () => {
        earl.expect(count({ runs: [createRun(), createRun({ upstream: "orders-2" })] })).toEqual(1);
        earl.expect(count({ runs: [createRun({ identifier: "b" })], recoveredAt: 2000 })).toEqual(1);
        earl.expect(count({ callers: [createRecord({ status: 503 })], recoveredAt: 2000 })).toEqual(1);
    });

    test.it("lets a lookup run again", () => {
        const runs = [createRun({ method: "GET" }), createRun({ method: "GET" })];
        earl.expect(count({ callers: [createRecord({ method: "GET" })], runs })).toEqual(0);
    });

    test.it("finds answers that are another request's, broken off or not an upstream's", () => {
        for (const change of [{ echoedIdentifier: "b" }, { body: "answer" }, { isSigned: false }]) {
            earl.expect(count({ callers: [createRecord(change)] })).toEqual(1);
        }
    });

    test.it("finds requests that planned work cut, and those that were held too long", () => {
        const cut = [createRecord({ status: 0 })];
        earl.expect(count({ callers: cut, isPlanned: true, recoveredAt: 2000 })).toEqual(1);
        earl.expect(count({ callers: cut, recoveredAt: 2000 })).toEqual(0);
        const held = [createRecord({ endedAt: 3000 })];
        earl.expect(count({ callers: held })).toEqual(1);
        earl.expect(count({ callers: held, wasDisturbed: () => true })).toEqual(0);
    });

    test.it("finds a site that does not recover, and keys with two owners", () => {
        earl.expect(count({ callers: [createRecord({ status: 502 })] })).toEqual(1);
        earl.expect(count({ sharedKeys: ["key 1"] })).toEqual(1);
    });
});

test.describe("the soak", () => {
    test.it("plays the same faults for the same seed", () => {
        earl.expect(soak.createSchedule(7, 5000)).toEqual(soak.createSchedule(7, 5000));
        earl.expect(soak.createSchedule(10, 5000).isPlanned).toEqual(true);
    });

    for (const seed of [3, 5]) {
        test.it(`keeps the promises with the faults of seed ${seed}`, async () => {
            const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-soak-test-"));
            const result = await soak.runSoak({
                seed,
                faultMilliseconds: 3000,
                instances: 3,
                upstreamsPerService: 3,
                requestsPerSecond: 40,
                program: ["--import", "tsx", "packages/entry/src/main.ts"],
                logFile: path.join(folder, "log"),
                checksTimes: false,
                network: `127.2.${seed}`,
                peerPort: 17_700 + seed * 20,
            });
            fs.rmSync(folder, { recursive: true });
            earl.expect(result.broken).toEqual([]);
            earl.expect(result.requests > 0).toEqual(true);
        });
    }
});
