/** Readers of the metrics that send many requests and read nothing. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as metrics from "../src/metrics";

const gauges: metrics.MetricsGauges = {
    openRequests: () => 0,
    waitingRequests: () => new Map([["orders", 3]]),
    callerConnections: () => 0,
    documentVersion: () => 0,
    isLeading: () => false,
    upstreams: () => 0,
    coldUpstreams: () => 0,
    registryAge: () => 0,
    eventLoopDelay: () => 0,
    averageSlowness: () => [["orders", 140]],
    tailFactors: () => [["orders", 7]],
    traffic: () => [],
    storeEra: () => 2,
    storeReturns: () => [{ topic: "keyed.op", outcome: "awaited", count: 3 }],
    evacuationRemains: () => [{ failureDomain: "north-a", requests: 2, keys: 256 }],
    capacities: () => [{ service: "orders", requests: 30, silentAttempts: 2 }],
    outstandingBytes: () => new Map([["orders", 60_000]]),
};

/** Address of the server: no instance of another test uses it. */
const host = "127.77.0.9";
/** Address that no other run of this test on the machine uses, as the values of the metrics are compared. */
const ownHost = `127.78.${process.pid >> 8 & 255}.${(process.pid & 255) || 1}`;
const maxTestMilliseconds = 60_000;

test.describe("the metrics server", () => {
    // Guards against an instance that runs out of memory as a reader sends requests and reads no response.
    test.it("serves one request of a connection, whatever is sent behind it, and closes it", {
        timeout: maxTestMilliseconds,
    }, async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        const log: foundation.EventLog = { write: () => undefined, sample: () => undefined };
        await metrics.startMetrics(host, gauges, log, foundation.createTransparentFailureBoundary(), owner);
        const socket = net.connect(metrics.metricsPort, host);
        socket.on("error", () => undefined);
        let received = "";
        socket.on("data", data => {
            received += data.toString();
        });
        socket.write("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n".repeat(50));
        await new Promise(resolve => socket.once("close", resolve));
        earl.expect(received.split("HTTP/1.1 200 OK").length - 1).toEqual(1);
        earl.expect(received.includes("mulberryseam_open_requests 0")).toEqual(true);
        earl.expect(received.includes("mulberryseam_machine_slowness{service=\"orders\"} 1.4")).toEqual(true);
        const remaining = (kind: string, value: number): string =>
            `mulberryseam_evacuation_remaining{failureDomain="north-a",kind="${kind}"} ${value}`;
        earl.expect(received.includes(remaining("requests", 2))).toEqual(true);
        earl.expect(received.includes(remaining("keys", 256))).toEqual(true);
        earl.expect(received.includes("mulberryseam_service_tail_factor{service=\"orders\"} 7")).toEqual(true);
    });

    // Guards against metrics that are cut off and look complete, as when the instance is killed while it sends them.
    test.it("sends the length of its response, also to HTTP/1.0", async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        const log: foundation.EventLog = { write: () => undefined, sample: () => undefined };
        await metrics.startMetrics(host, gauges, log, foundation.createTransparentFailureBoundary(), owner);
        const socket = net.connect(metrics.metricsPort, host);
        let received = "";
        socket.on("data", data => {
            received += data.toString();
        });
        socket.write("GET /metrics HTTP/1.0\r\nHost: a\r\n\r\n");
        await new Promise(resolve => socket.once("close", resolve));
        const [head, body] = received.split("\r\n\r\n");
        earl.expect(/^content-length: (\d+)$/im.exec(head)?.[1]).toEqual(String(Buffer.byteLength(body)));
    });

    test.it("counts waits, and refusals by whether the caller had come back", async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        const log: foundation.EventLog = { write: () => undefined, sample: () => undefined };
        const failures = foundation.createTransparentFailureBoundary();
        const entryMetrics = await metrics.startMetrics(ownHost, gauges, log, failures, owner);
        const finished = {
            route: "bulk",
            status: 503,
            reason: "r",
            durationMilliseconds: 60,
            attempts: 0,
            wasHeldBack: false,
        };
        const waiting = { service: "orders", milliseconds: 60, hasReturned: true, isRefused: true };
        entryMetrics.onRequestFinished({ ...finished, waiting });
        entryMetrics.onRequestFinished({ ...finished, status: 200, waiting: { ...waiting, isRefused: false } });
        entryMetrics.onRequestFinished(finished);
        const response = await fetch(`http://${ownHost}:${metrics.metricsPort}/metrics`, {
            headers: { connection: "close" },
        });
        const lines = (await response.text()).split("\n");
        const expected = [
            "mulberryseam_waiting_requests{service=\"orders\"} 3",
            "mulberryseam_refusals_total{route=\"bulk\",returned=\"true\"} 1",
            "mulberryseam_wait_seconds_count{service=\"orders\",refused=\"true\"} 1",
            "mulberryseam_wait_seconds_count{service=\"orders\",refused=\"false\"} 1",
        ];
        earl.expect(expected.filter(line => !lines.includes(line))).toEqual([]);
    });
});
