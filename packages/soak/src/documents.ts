/** Creates the versions of the routing document that operators publish during a run. */
import type * as foundation from "@mulberryseam/foundation";
import * as places from "./places";

/** What a version has besides the routes that every version has. */
export interface DocumentShape {
    /** Numbers of additional routes, which lead to the service without keys. */
    additionalRoutes: readonly number[];
    /** Whether the additional services are known and have routes. */
    hasAdditionalServices: boolean;
    /** Weight of the additional service in the split of the route of orders; 0 for no split. */
    additionalWeight: number;
    /** How much shorter than the longest the timeouts are, in milliseconds. */
    timeoutReductionMilliseconds: number;
    /** Whether the restricted routes also name a region that the site does not have. */
    hasUnknownRegion: boolean;
}

/** Names of services. */
export const ServiceName = {
    keyed: "records",
    unkeyed: "orders",
    /** Services that only some versions know. */
    additionalKeyed: "ledgers",
    additionalUnkeyed: "parcels",
} as const;

/** A value of {@link ServiceName}. */
export type ServiceNameValue = typeof ServiceName[keyof typeof ServiceName];

/** Returns whether requests to a service have a key. */
export const isKeyedService = (service: ServiceNameValue): boolean =>
    service === ServiceName.keyed || service === ServiceName.additionalKeyed;

/** Maximum timeout of a route, in milliseconds. */
export const timeoutMilliseconds = 1200;
/** Number of routes that versions may have in addition. */
export const additionalRouteCount = 8;
/** How long an upstream is cold after a restart, in milliseconds, and the requests a second that it tolerates then. */
export const warmupMilliseconds = 3000;
export const warmupRequestsPerSecond = 6;
const maxTimeoutReductionMilliseconds = 400;
const maxWeight = 4;

/** The shape of a version that only has the routes that every version has. */
export const plainShape: DocumentShape = {
    additionalRoutes: [],
    hasAdditionalServices: false,
    additionalWeight: 0,
    timeoutReductionMilliseconds: 0,
    hasUnknownRegion: false,
};

/**
 * Creates a random shape.
 *
 * @param random - source of randomness
 * @returns the shape
 */
export const createShape = (random: foundation.Random): DocumentShape => {
    const hasAdditionalServices = random.below(2) === 0;
    const shape = {
        additionalRoutes: Array.from({ length: additionalRouteCount }, (...[, index]) => index)
            .filter(() => random.below(2) === 0),
        hasAdditionalServices,
        additionalWeight: hasAdditionalServices ? random.below(maxWeight) : 0,
        timeoutReductionMilliseconds: random.below(maxTimeoutReductionMilliseconds),
    };
    return { ...shape, hasUnknownRegion: shape.timeoutReductionMilliseconds % 2 === 0 };
};

/** Path prefix of an additional route. */
export const additionalPrefix = (index: number): string => `/additional-${index}/`;

/** Whether an additional route allows only one region, in every version that has it. */
const isRestrictedRoute = (additionalIndex: number): boolean => additionalIndex % 4 === 3;

const additionalIndexOf = (requestPath: string): string | undefined => /^\/additional-(\d+)\//.exec(requestPath)?.[1];

/** Returns the only region that a request to a path may reach; undefined if every version allows all. */
export const restrictedRegionOf = (requestPath: string): string | undefined => {
    const additionalIndex = additionalIndexOf(requestPath);
    return additionalIndex !== undefined && isRestrictedRoute(Number(additionalIndex))
        ? places.restrictedRegion
        : undefined;
};

const isRepeatableRoute = (additionalIndex: number): boolean => additionalIndex % 2 === 0;

/** Returns whether a request to a path may run more than once, in every version. */
export const isRepeatablePath = (requestPath: string): boolean => {
    const additionalIndex = additionalIndexOf(requestPath);
    return additionalIndex === undefined
        ? !requestPath.startsWith(`/${ServiceName.unkeyed}/`)
        : isRepeatableRoute(Number(additionalIndex));
};

/** Services that may run a request to a path, in any version. */
export const allowedServices = (requestPath: string): readonly ServiceNameValue[] => {
    const { keyed, unkeyed, additionalKeyed, additionalUnkeyed } = ServiceName;
    if (requestPath.startsWith(`/${keyed}/`)) {
        return [keyed];
    }
    if (requestPath.startsWith(`/${additionalKeyed}/`)) {
        return [additionalKeyed];
    }
    return requestPath.startsWith(`/${unkeyed}/`) ? [unkeyed, additionalUnkeyed] : [unkeyed];
};

/** Returns whether every version has a route for a path. */
export const isPermanentPath = (requestPath: string): boolean =>
    [ServiceName.keyed, ServiceName.unkeyed].some(service => requestPath.startsWith(`/${service}/`));

const createService = (name: ServiceNameValue, isKeyed: boolean): object => ({
    resourceType: "services",
    metadata: { name },
    spec: {
        maxConnections: 100,
        warmup: `${warmupMilliseconds}ms`,
        warmupPerS: warmupRequestsPerSecond,
        ...(isKeyed ? { sharded: true } : {}),
    },
});

/**
 * Creates a version of the document.
 *
 * @param version - number of the version
 * @param shape - its additional routes and services
 * @returns the value of the record
 */
export const createDocument = (version: number, shape: DocumentShape): string => {
    // Timeouts of consecutive versions differ by less than 10 ms, which callers do not notice.
    const timeout = `${timeoutMilliseconds - version % 10 - shape.timeoutReductionMilliseconds}ms`;
    const createRoute = (name: string, pathPrefix: string, routeType: string, destination: object): object => ({
        resourceType: "routes",
        metadata: { name },
        spec: {
            host: "site.example",
            pathPrefix,
            routeType,
            timeout,
            targetLatency: "500ms",
            priority: 0,
            maxAttempts: 2,
            ...destination,
        },
    });
    const { keyed, unkeyed, additionalKeyed, additionalUnkeyed } = ServiceName;
    const allowedRegions = [...(shape.hasUnknownRegion ? ["atlantis"] : []), places.restrictedRegion];
    const orderDestination = shape.additionalWeight === 0 ? { service: unkeyed } : {
        trafficSplit: [
            { service: unkeyed, weight: 1 },
            { service: additionalUnkeyed, weight: shape.additionalWeight },
        ],
    };
    return JSON.stringify({
        version: `r${version}`,
        resources: [
            createRoute("lookup", `/${keyed}/`, "safe", { service: keyed }),
            createRoute("order", `/${unkeyed}/`, "unsafe", orderDestination),
            ...shape.additionalRoutes.map(index =>
                createRoute(
                    `additional-${index}`,
                    additionalPrefix(index),
                    isRepeatableRoute(index) ? "safe" : "unsafe",
                    { service: unkeyed, ...(isRestrictedRoute(index) ? { allowedRegions } : {}) },
                )
            ),
            createService(keyed, true),
            createService(unkeyed, false),
            ...(shape.hasAdditionalServices
                ? [
                    createRoute("ledger", `/${additionalKeyed}/`, "safe", { service: additionalKeyed }),
                    createService(additionalKeyed, true),
                    createService(additionalUnkeyed, false),
                ]
                : []),
        ],
    });
};
