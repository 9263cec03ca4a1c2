/** Tracing: spans of requests, with W3C trace context received from callers and propagated to upstreams. */
import type * as foundation from "@mulberryseam/foundation";
import * as openTelemetry from "@opentelemetry/api";
import * as core from "@opentelemetry/core";
import * as exporterTraceOtlpHttp from "@opentelemetry/exporter-trace-otlp-http";
import * as resources from "@opentelemetry/resources";
import * as sdkTraceBase from "@opentelemetry/sdk-trace-base";

/** Configures tracing. */
export interface TracingOptions {
    instance: string;
    /** Fraction, from 0 to 1, of the requests without a parent span that are traced. */
    samplingRatio: number;
    exporter: sdkTraceBase.SpanExporter;
}

/** A span of a request. */
export interface Span {
    /** Starts a child span. */
    startChild: (name: string, attributes?: openTelemetry.Attributes) => Span;
    /** Writes the trace context into the headers of an outgoing request. */
    inject: (headers: Record<string, string>) => void;
    /** Sets the attributes and ends the span. */
    end: (attributes?: openTelemetry.Attributes) => void;
}

/** Starts the root spans of this process. */
export interface Tracing {
    /** Starts a span whose parent is the trace context in the headers, if present. */
    startSpan: (name: string, headers: Readonly<Record<string, unknown>>) => Span;
}

const propagator = new core.W3CTraceContextPropagator();

const noopSpan: Span = {
    startChild: () => noopSpan,
    inject: () => undefined,
    end: () => undefined,
};

/**
 * Creates an exporter that sends traces over OTLP/HTTP.
 *
 * @param url - the collector's URL for traces
 * @returns the exporter
 */
export const createTraceExporter = (url: string): sdkTraceBase.SpanExporter =>
    new exporterTraceOtlpHttp.OTLPTraceExporter({ url });

/**
 * Creates the tracing of an instance.
 *
 * @param options - exporter and sampling; undefined disables tracing
 * @param owner - disposal scope; its disposal flushes pending spans
 * @returns starts spans; they have no effect while tracing is disabled
 */
export const createTracing = (options: TracingOptions | undefined, owner: foundation.Owner): Tracing => {
    if (options === undefined) {
        return { startSpan: () => noopSpan };
    }
    const provider = new sdkTraceBase.BasicTracerProvider({
        resource: resources.resourceFromAttributes({
            "service.name": "mulberryseam",
            "service.instance.id": options.instance,
        }),
        sampler: new sdkTraceBase.ParentBasedSampler({
            root: new sdkTraceBase.TraceIdRatioBasedSampler(options.samplingRatio),
        }),
        spanProcessors: [new sdkTraceBase.BatchSpanProcessor(options.exporter)],
    });
    const tracer = provider.getTracer("mulberryseam");
    owner.onCleanup(() => provider.shutdown());

    const createSpan = (name: string, parent: openTelemetry.Context, attributes?: openTelemetry.Attributes): Span => {
        const span = tracer.startSpan(name, { attributes }, parent);
        const context = openTelemetry.trace.setSpan(parent, span);
        return {
            startChild: (childName, childAttributes) => createSpan(childName, context, childAttributes),
            inject: headers => propagator.inject(context, headers, openTelemetry.defaultTextMapSetter),
            end: endAttributes => {
                span.setAttributes(endAttributes ?? {});
                span.end();
            },
        };
    };

    return {
        startSpan: (name, headers) => {
            const parent = propagator.extract(
                openTelemetry.ROOT_CONTEXT,
                headers,
                openTelemetry.defaultTextMapGetter,
            );
            return createSpan(name, parent);
        },
    };
};
