/** Traces: a span for each hop, joined to the caller's and passed to the upstream. */
import * as foundation from "@mulberryseam/foundation";
import * as gateway from "@mulberryseam/gateway";
import * as sdkTraceBase from "@opentelemetry/sdk-trace-base";
import * as earl from "earl";
import * as test from "node:test";

test.describe("traces", () => {
    test.it("join the caller's trace and reach the next hop", async () => {
        const owner = foundation.createOwner();
        const exporter = new sdkTraceBase.InMemorySpanExporter();
        const shutdown = exporter.shutdown.bind(exporter);
        exporter.shutdown = async () => undefined;
        const tracing = gateway.createTracing({ instance: "entry-1", share: 0, exporter }, owner);
        const traceId = "4bf92f3577b34da6a3ce929d0e0e4736";
        const request = tracing.begin("request", { traceparent: `00-${traceId}-00f067aa0ba902b7-01` });
        const queue = request.child("queue");
        queue.end();
        const attempt = request.child("attempt", { upstream: "archive-1" });
        const headers: Record<string, string> = {};
        attempt.inject(headers);
        attempt.end({ result: "answered" });
        request.end();
        await owner.dispose();
        const spans = exporter.getFinishedSpans();
        earl.expect(spans.map(span => span.name).sort()).toEqual(["attempt", "queue", "request"]);
        earl.expect(spans.every(span => span.spanContext().traceId === traceId)).toEqual(true);
        const attemptSpan = spans.find(span => span.name === "attempt");
        earl.expect(headers.traceparent).toEqual(`00-${traceId}-${attemptSpan?.spanContext().spanId}-01`);
        await shutdown();
    });

    test.it("cost nothing when they go nowhere", async () => {
        const owner = foundation.createOwner();
        const headers: Record<string, string> = {};
        gateway.createTracing(undefined, owner).begin("request", {}).child("attempt").inject(headers);
        earl.expect(headers).toEqual({});
        await owner.dispose();
    });
});
