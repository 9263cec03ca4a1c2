/** Traces: a span for each hop, joined to the caller's and passed to the upstream. */
import { createOwner } from "@mulberryseam/foundation";
import { createTracing } from "@mulberryseam/gateway";
import { InMemorySpanExporter } from "@opentelemetry/sdk-trace-base";
import { expect } from "earl";
import { describe, it } from "node:test";

describe("traces", () => {
    it("join the caller's trace and reach the next hop", async () => {
        const owner = createOwner();
        const exporter = new InMemorySpanExporter();
        const shutdown = exporter.shutdown.bind(exporter);
        exporter.shutdown = async () => undefined;
        const tracing = createTracing({ instance: "entry-1", share: 0, exporter }, owner);
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
        expect(spans.map(span => span.name).sort()).toEqual(["attempt", "queue", "request"]);
        expect(spans.every(span => span.spanContext().traceId === traceId)).toEqual(true);
        const attemptSpan = spans.find(span => span.name === "attempt");
        expect(headers.traceparent).toEqual(`00-${traceId}-${attemptSpan?.spanContext().spanId}-01`);
        await shutdown();
    });

    it("cost nothing when they go nowhere", async () => {
        const owner = createOwner();
        const headers: Record<string, string> = {};
        createTracing(undefined, owner).begin("request", {}).child("attempt").inject(headers);
        expect(headers).toEqual({});
        await owner.dispose();
    });
});
