/** Stories out of logs. */
import * as explain from "@mulberryseam/explain";
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as fs from "node:fs";
import * as path from "node:path";
import * as test from "node:test";

const createLine = (second: number, instance: string, event: foundation.EventName, fields: object): string =>
    JSON.stringify({ time: new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString(), instance, event, ...fields });

const createLogs = (...lines: string[]): explain.LogLine[] => explain.parseLines(lines.join("\n"));

const failed = { request: "a", service: "records", status: 503, attempts: 0, tried: "" };

test.describe("the story of a request", () => {
    test.it("tells a refusal under load with what decided it", () => {
        const reason = "no answer is expected in time";
        const decided = { upstream: "u-1", queue: 14, expectedWait: 300, reportAge: 20 };
        const logs = createLogs(
            createLine(5, "entry-1", "request-failed", { ...failed, reason, ...decided }),
            createLine(4, "entry-1", "request-failed", { ...failed, request: "b", reason }),
        );
        const story = explain.tellRequest(logs, "a");
        earl.expect(story.lines.length).toEqual(1);
        earl.expect(story.conclusions).toEqual([
            "Refused at once: u-1 had 14 requests, an expected wait of 300 ms, known 20 ms before.",
        ]);
    });

    test.it("tells a loss with its upstream, with the news of the upstream's end from another instance", () => {
        const logs = createLogs(
            createLine(7, "entry-2", "owner-ended", { owner: "u-1@17", reason: "ECONNREFUSED" }),
            createLine(6, "entry-1", "request-failed", {
                ...failed,
                status: 502,
                reason: "the answer was lost",
                tried: "u-1",
            }),
            createLine(6, "entry-1", "attempt-failed", { request: "a", upstream: "u-1", result: "unknown" }),
        );
        const story = explain.tellRequest(logs, "a");
        earl.expect(story.lines.map(line => line.event).sort()).toEqual([
            "attempt-failed",
            "owner-ended",
            "request-failed",
        ]);
        earl.expect(story.conclusions[0]).toEqual("u-1 was sent the request and the answer did not come back whole.");
    });

    test.it("tells a key between owners, with the order that kept it", () => {
        const order = { kind: "release", service: "records", owner: "u-1@17", first: 0, last: 255, result: "unknown" };
        const logs = createLogs(
            createLine(5, "entry-2", "order", order),
            createLine(5, "entry-2", "order", { ...order, first: 256, last: 511 }),
            createLine(6, "entry-1", "request-failed", {
                ...failed,
                key: 70,
                milliseconds: 250,
                reason: "no upstream owns the key",
            }),
        );
        const story = explain.tellRequest(logs, "a");
        earl.expect(story.lines.map(line => line.event)).toEqual(["order", "request-failed"]);
        earl.expect(story.conclusions[0].startsWith("Key 70 of records was between owners for 250 ms")).toEqual(true);
        earl.expect(explain.tellKey(logs, 70, "records").conclusions).toEqual([
            "1 releases and grants that were not done, 1 requests that failed.",
            "1 times: no upstream owns the key.",
        ]);
    });

    test.it("says so when no line names the request, and passes over what is no event", () => {
        earl.expect(explain.tellRequest(createLogs("warning: {nothing}", "{}"), "a").lines).toEqual([]);
    });
});

test.describe("the operators' page", () => {
    test.it("says what every event means", () => {
        const page = fs.readFileSync(path.resolve(__dirname, "../../../docs/OPERATIONS.md"), "utf8");
        earl.expect(foundation.eventNames.filter(name => !page.includes(`\`${name}\``))).toEqual([]);
    });
});
