/** Traces: a span for each hop, with W3C context from callers and to upstreams. */
import type * as foundation from "@mulberryseam/foundation";
import * as openTelemetry from "@opentelemetry/api";
import * as core from "@opentelemetry/core";
import * as exporterTraceOtlpHttp from "@opentelemetry/exporter-trace-otlp-http";
import * as resources from "@opentelemetry/resources";
import * as sdkTraceBase from "@opentelemetry/sdk-trace-base";

/** Where traces go. */
export interface TracingOptions {
    instance: string;
    /** Share of the requests without a sampled parent that are traced. */
    share: number;
    exporter: sdkTraceBase.SpanExporter;
}

/** A hop of a request. */
export interface Hop {
    /** Begins a hop below this one. */
    child: (name: string, attributes?: openTelemetry.Attributes) => Hop;
    /** Writes the context into headers that go to the next hop. */
    inject: (headers: Record<string, string>) => void;
    end: (attributes?: openTelemetry.Attributes) => void;
}

/** Begins traces. */
export interface Tracing {
    /** Begins the first hop in this process, below the context in the headers, if there is one. */
    begin: (name: string, headers: Readonly<Record<string, unknown>>) => Hop;
}

const propagator = new core.W3CTraceContextPropagator();

const silentHop: Hop = {
    child: () => silentHop,
    inject: () => undefined,
    end: () => undefined,
};

/**
 * Creates an exporter by the OpenTelemetry protocol over HTTP.
 *
 * @param url - the collector's URL for traces
 * @returns the exporter
 */
export const createTraceExporter = (url: string): sdkTraceBase.SpanExporter =>
    new exporterTraceOtlpHttp.OTLPTraceExporter({ url });

/**
 * Creates tracing.
 *
 * @param options - where traces go; undefined traces nothing
 * @param owner - flushes what is left when disposed of
 * @returns tracing
 */
export const createTracing = (options: TracingOptions | undefined, owner: foundation.Owner): Tracing => {
    if (options === undefined) {
        return { begin: () => silentHop };
    }
    const provider = new sdkTraceBase.BasicTracerProvider({
        resource: resources.resourceFromAttributes({
            "service.name": "mulberryseam",
            "service.instance.id": options.instance,
        }),
        sampler: new sdkTraceBase.ParentBasedSampler({
            root: new sdkTraceBase.TraceIdRatioBasedSampler(options.share),
        }),
        spanProcessors: [new sdkTraceBase.BatchSpanProcessor(options.exporter)],
    });
    const tracer = provider.getTracer("mulberryseam");
    owner.onCleanup(() => provider.shutdown());

    const createHop = (name: string, parent: openTelemetry.Context, attributes?: openTelemetry.Attributes): Hop => {
        const span = tracer.startSpan(name, { attributes }, parent);
        const context = openTelemetry.trace.setSpan(parent, span);
        return {
            child: (childName, childAttributes) => createHop(childName, context, childAttributes),
            inject: headers => propagator.inject(context, headers, openTelemetry.defaultTextMapSetter),
            end: endAttributes => {
                span.setAttributes(endAttributes ?? {});
                span.end();
            },
        };
    };

    return {
        begin: (name, headers) => {
            const parent = propagator.extract(
                openTelemetry.ROOT_CONTEXT,
                headers,
                openTelemetry.defaultTextMapGetter,
            );
            return createHop(name, parent);
        },
    };
};
