/** Format of a request that one instance delegates to another: a request over HTTP with the route in a header. */
import * as routing from "@mulberryseam/routing";
import * as tsResults from "ts-results";
import type * as requestState from "./requestState";

/** Header with the route of a delegated request. */
export const delegationHeader = "mulberryseam-delegation";
/** Header that marks a response as the other instance's own: it contains the reason of the failure. */
export const failureHeader = "mulberryseam-failure";

/** Header that names the upstream that has sent a response, if it says something of itself there. */
export const upstreamHeader = "mulberryseam-upstream";

/** Route of a delegated request. */
export interface Delegation {
    service: string;
    route: string;
    kind: routing.RouteKindValue;
    rank: number;
    maxAttempts: number;
    /** Time until the route's target, in milliseconds; negative once it has passed. */
    targetMilliseconds: number;
    documentVersion: number;
    /** Regions that the route allows; undefined without a restriction. */
    allowedRegions?: readonly string[];
}

/**
 * Returns the headers of an instance's own response to a delegated request: the reason, and the request's identifier, by which the
 * delegating instance knows that the response belongs to the request.
 *
 * @param requestIdentifier - identifier of the request, if it has one
 * @param reason - why the request failed
 * @returns alternating names and values
 */
export const failureHeaders = (
    requestIdentifier: string | undefined,
    reason: requestState.FailureReasonValue,
): string[] => [
    failureHeader,
    reason,
    ...(requestIdentifier === undefined ? [] : ["Request-Id", requestIdentifier]),
];

const routeKinds: readonly string[] = Object.values(routing.RouteKind);
/** Fields of an unrestricted route; a restricted one has its regions as a further field, which older versions do not accept. */
const fieldCount = 7;
const maxFieldCount = 8;
const regionSeparator = ";";

/**
 * Encodes the route of a request for the delegation header: its fields, separated by commas.
 *
 * @param state - the request
 * @param now - current time
 * @returns the value of the header
 */
export const encodeDelegation = (state: requestState.RequestState, now: number): string => {
    const { service, route, arrivedAt, underWayMilliseconds, documentVersion } = state;
    return [
        encodeURIComponent(service),
        encodeURIComponent(route.name),
        route.kind,
        route.rank,
        route.maxAttempts,
        // The delegate sees no time that the caller states, so it cannot know that the caller has been under way.
        Math.round(arrivedAt + route.targetMilliseconds - underWayMilliseconds - now),
        documentVersion,
        ...(route.allowedRegions === undefined
            ? []
            : [route.allowedRegions.map(encodeURIComponent).join(regionSeparator)]),
    ].join(",");
};

/**
 * Decodes a delegation header. It is read for each delegated request, so it has no schema.
 *
 * @param value - the value of the header
 * @returns the delegation, or the reason why it is invalid
 */
export const parseDelegation = (value: string): tsResults.Result<Delegation, string> => {
    const fields = value.split(",");
    const [service, route, kind] = fields;
    const numbers = fields.slice(3, fieldCount).map(Number);
    const [regions] = fields.slice(fieldCount);
    const hasFieldCount = fields.length === fieldCount || (fields.length === maxFieldCount && regions !== "");
    if (!hasFieldCount || !routeKinds.includes(kind) || !numbers.every(Number.isFinite)) {
        return tsResults.Err(`malformed delegation: ${value.slice(0, 100)}`);
    }
    const [rank, maxAttempts, targetMilliseconds, documentVersion] = numbers;
    try {
        return tsResults.Ok({
            service: decodeURIComponent(service),
            route: decodeURIComponent(route),
            kind: kind as routing.RouteKindValue,
            rank,
            maxAttempts,
            targetMilliseconds,
            documentVersion,
            ...(regions === undefined
                ? {}
                : { allowedRegions: regions.split(regionSeparator).map(decodeURIComponent) }),
        });
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};

/**
 * Encodes an upstream for the header that names it.
 *
 * @param incarnation - the upstream
 * @returns the value of the header
 */
export const encodeUpstream = ({ identifier, startedAt }: routing.Incarnation): string =>
    `${encodeURIComponent(identifier)},${startedAt}`;

/**
 * Decodes the header that names an upstream.
 *
 * @param value - the value of the header
 * @returns the upstream, or the reason why the header is invalid
 */
export const parseUpstream = (value: string): tsResults.Result<routing.Incarnation, string> => {
    const [identifier, startedAt] = value.split(",");
    if (identifier === "" || startedAt === undefined || !Number.isFinite(Number(startedAt))) {
        return tsResults.Err(`malformed upstream: ${value.slice(0, 100)}`);
    }
    try {
        return tsResults.Ok({ identifier: decodeURIComponent(identifier), startedAt: Number(startedAt) });
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};

/**
 * Returns the route of a delegated request. The delegating instance has applied the timeout to the request's deadline.
 *
 * @param delegation - the decoded header
 * @returns the route, for which no document is needed
 */
export const toRoute = (delegation: Delegation): routing.Route => ({
    name: delegation.route,
    host: "",
    pathPrefix: "/",
    kind: delegation.kind,
    timeoutMilliseconds: Infinity,
    targetMilliseconds: delegation.targetMilliseconds,
    maxAttempts: delegation.maxAttempts,
    rank: delegation.rank,
    destinations: [{ service: delegation.service, weight: 1 }],
    ...(delegation.allowedRegions === undefined ? {} : { allowedRegions: delegation.allowedRegions }),
});
