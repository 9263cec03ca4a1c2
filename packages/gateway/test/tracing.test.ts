/** Tracing: spans continue the caller's trace, and the trace context is propagated to the upstream. */
import * as foundation from "@mulberryseam/foundation";
import * as gateway from "@mulberryseam/gateway";
import * as sdkTraceBase from "@opentelemetry/sdk-trace-base";
import * as earl from "earl";
import * as test from "node:test";

test.describe("spans", () => {
    test.it("continue the caller's trace and propagate it upstream", async () => {
        const owner = foundation.createOwner();
        const exporter = new sdkTraceBase.InMemorySpanExporter();
        const shutdown = exporter.shutdown.bind(exporter);
        exporter.shutdown = async () => undefined;
        const tracing = gateway.createTracing({ instance: "entry-1", samplingRatio: 0, exporter }, owner);
        const traceId = "4bf92f3577b34da6a3ce929d0e0e4736";
        const request = tracing.startSpan("request", { traceparent: `00-${traceId}-00f067aa0ba902b7-01` });
        const queue = request.startChild("queue");
        queue.end();
        const attempt = request.startChild("attempt", { upstream: "archive-1" });
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

    test.it("add no headers when tracing is disabled", async () => {
        const owner = foundation.createOwner();
        const headers: Record<string, string> = {};
        gateway.createTracing(undefined, owner).startSpan("request", {}).startChild("attempt").inject(headers);
        earl.expect(headers).toEqual({});
        await owner.dispose();
    });
});
