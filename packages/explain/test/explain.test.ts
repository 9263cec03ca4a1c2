/** Timelines built from event logs, and the documentation of events. */
import * as explain from "@mulberryseam/explain";
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as fs from "node:fs";
import * as path from "node:path";
import * as test from "node:test";

const createLine = (second: number, instance: string, event: foundation.EventName, fields: object): string =>
    JSON.stringify({ time: new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString(), instance, event, ...fields });

const createLogs = (...lines: string[]): explain.LogLine[] => explain.parseLines(lines.join("\n"));

const failedRequest = { request: "a", service: "records", status: 503, attempts: 0, tried: "" };

test.describe("timeline of a request", () => {
    test.it("explains a rejection under load by the load that caused it", () => {
        const reason = "no answer is expected in time";
        const decision = { upstream: "u-1", queue: 14, expectedWait: 300, reportAge: 20 };
        const logs = createLogs(
            createLine(5, "entry-1", "request-failed", { ...failedRequest, reason, ...decision }),
            createLine(4, "entry-1", "request-failed", { ...failedRequest, request: "b", reason }),
        );
        const timeline = explain.createRequestTimeline(logs, "a");
        earl.expect(timeline.lines.length).toEqual(1);
        earl.expect(timeline.conclusions).toEqual([
            "Rejected immediately: u-1 had 14 requests and an expected wait of 300 ms; its last load report was 20 ms old.",
        ]);
    });

    test.it("includes the refusal after which an upstream wanted no requests", () => {
        const reason = "upstreams want no requests for a time";
        const logs = createLogs(
            createLine(4, "entry-1", "upstream-held-off", { upstream: "u-1", milliseconds: 2000 }),
            createLine(5, "entry-1", "request-failed", { ...failedRequest, reason, upstream: "u-1" }),
        );
        const timeline = explain.createRequestTimeline(logs, "a");
        earl.expect(timeline.lines.map(line => line.event)).toEqual(["upstream-held-off", "request-failed"]);
        earl.expect(timeline.conclusions).toEqual([
            "Rejected immediately: u-1, the first to take requests again, had asked for none for a time.",
        ]);
    });

    test.it("does not include events of unnamed upstreams when the request was sent to none", () => {
        const logs = createLogs(
            createLine(5, "entry-1", "request-failed", { ...failedRequest, reason: "no upstream is ready" }),
            createLine(5, "entry-2", "upstream-unreadable", { key: "other" }),
        );
        earl.expect(explain.createRequestTimeline(logs, "a").lines.length).toEqual(1);
    });

    test.it("includes the commands that did not reach the upstream, logged by another instance, when a response is lost", () => {
        const command = { kind: "release", service: "records", owner: "u-1@17", first: 0, last: 255 };
        const logs = createLogs(
            createLine(7, "entry-2", "order", { ...command, result: "notListening", reason: "ECONNREFUSED" }),
            createLine(7, "entry-2", "order", { ...command, result: "misdirected", reason: "status 421" }),
            createLine(7, "entry-2", "order", { ...command, result: "done", reason: "status 200" }),
            createLine(7, "entry-2", "order", { ...command, owner: "u-2@17", result: "misdirected" }),
            createLine(6, "entry-1", "request-failed", {
                ...failedRequest,
                status: 502,
                reason: "the answer was lost",
                tried: "u-1",
            }),
            createLine(6, "entry-1", "attempt-failed", { request: "a", upstream: "u-1", result: "unknown" }),
        );
        const timeline = explain.createRequestTimeline(logs, "a");
        earl.expect(timeline.lines.map(line => line.event).sort()).toEqual([
            "attempt-failed",
            "order",
            "order",
            "request-failed",
        ]);
        earl.expect(timeline.conclusions[0]).toEqual("u-1 was sent the request, but no complete response arrived.");
    });

    test.it("includes the lease command that left the key without an owner, and no commands for other keys", () => {
        const command = {
            kind: "release",
            service: "records",
            owner: "u-1@17",
            first: 0,
            last: 255,
            result: "unknown",
        };
        const logs = createLogs(
            createLine(5, "entry-2", "order", command),
            createLine(5, "entry-2", "order", { ...command, first: 256, last: 511 }),
            createLine(6, "entry-1", "request-failed", {
                ...failedRequest,
                key: 70,
                milliseconds: 250,
                reason: "no upstream owns the key",
            }),
        );
        const timeline = explain.createRequestTimeline(logs, "a");
        earl.expect(timeline.lines.map(line => line.event)).toEqual(["order", "request-failed"]);
        earl.expect(timeline.conclusions[0].startsWith("Key 70 of records had no available owner for 250 ms")).toEqual(
            true,
        );
        earl.expect(explain.createKeyTimeline(logs, 70, "records").conclusions).toEqual([
            "1 releases and unsuccessful grants, 1 failed requests.",
            "1 failed with: no upstream owns the key.",
        ]);
    });

    test.it("returns no lines when none has the identifier, and ignores lines that are not events", () => {
        earl.expect(explain.createRequestTimeline(createLogs("warning: {nothing}", "{}"), "a").lines).toEqual([]);
    });
});

test.describe("processes that ended without a stop", () => {
    const started = (second: number): string => createLine(second, "entry-1", "started", { process: second });
    const attempt = createLine(5, "entry-1", "attempt-failed", { request: "a", upstream: "u-1", result: "unknown" });

    test.it("are shown for a request whose instance started again without a stop", () => {
        const logs = createLogs(
            started(1),
            attempt,
            createLine(6, "entry-1", "traffic", { purpose: "callers" }),
            started(14),
            createLine(13, "entry-2", "started", {}),
        );
        const timeline = explain.createRequestTimeline(logs, "a");
        earl.expect(timeline.lines.map(line => line.event)).toEqual(["attempt-failed", "traffic", "started"]);
        earl.expect(timeline.conclusions).toEqual([
            "entry-1 started again at 2026-01-01T00:00:14.000Z without a stop before: its process ended by itself or was "
            + "killed after its last line (traffic) at 2026-01-01T00:00:06.000Z. Requests that were open then have no "
            + "further line.",
        ]);
    });

    test.it("are not shown for a request whose instance was stopped, or ended long after it", () => {
        const stopped = createLogs(
            started(1),
            attempt,
            createLine(6, "entry-1", "stopping", { signal: "SIGTERM" }),
            createLine(9, "entry-1", "stopped", {}),
            started(10),
        );
        earl.expect(explain.createRequestTimeline(stopped, "a").conclusions).toEqual([]);
        const later = createLogs(started(1), attempt, createLine(30, "entry-1", "traffic", {}), started(31));
        earl.expect(explain.createRequestTimeline(later, "a").conclusions).toEqual([]);
    });

    test.it("are listed with their last internal error when no line has the identifier of a request", () => {
        const error = { message: "invalid token" };
        const logs = createLogs(
            started(1),
            createLine(5, "entry-1", "internal-error", error),
            started(14),
        );
        const timeline = explain.createRequestTimeline(logs, "lost");
        earl.expect(timeline.lines).toEqual([]);
        earl.expect(timeline.conclusions.length).toEqual(2);
        earl.expect(timeline.conclusions[1]).toEqual(
            earl.expect.includes("last internal error, at 2026-01-01T00:00:05.000Z, was: invalid token."),
        );
    });
});

test.describe("operations documentation", () => {
    test.it("documents every event", () => {
        const page = fs.readFileSync(path.resolve(__dirname, "../../../docs/OPERATIONS.md"), "utf8");
        earl.expect(foundation.eventNames.filter(name => !page.includes(`\`${name}\``))).toEqual([]);
    });
});
