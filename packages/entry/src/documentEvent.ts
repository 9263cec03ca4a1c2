/** Describes a new version of the document for the event log. */
import type * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import type * as topicTask from "./topicTask";

/** Names of one kind of change that a line has; the first ones are enough to recognise the change. */
const maxNames = 8;

const describeNames = (names: readonly string[]): string | undefined =>
    names.length === 0 ? undefined : names.slice(0, maxNames).join(",") + (names.length > maxNames ? ",…" : "");

/**
 * Describes how a new version differs from the one in force before.
 *
 * @param previous - the version in force before; undefined for the first one
 * @param next - the new version
 * @param origin - where the new version came from
 * @returns the fields of the event; those of kinds without a change are undefined
 */
export const describeDocument = (
    previous: routing.RoutingDocument | undefined,
    next: routing.RoutingDocument,
    origin: topicTask.ChangeOrigin,
): foundation.EventFields => {
    const { routes, services, areLimitsChanged } = routing.compareDocuments(previous, next);
    const maxAge = origin.maxAgeMilliseconds;
    return {
        version: next.version,
        previousVersion: previous?.version,
        source: origin.source,
        maxAge: Number.isFinite(maxAge) ? Math.round(maxAge) : undefined,
        routes: next.routes.length,
        routesAdded: routes.added.length,
        routesRemoved: routes.removed.length,
        routesChanged: routes.changed.length,
        addedRoutes: describeNames(routes.added),
        removedRoutes: describeNames(routes.removed),
        changedRoutes: describeNames(routes.changed),
        services: next.services.size,
        addedServices: describeNames(services.added),
        removedServices: describeNames(services.removed),
        changedServices: describeNames(services.changed),
        limitsChanged: areLimitsChanged ? true : undefined,
        ignored: describeNames(next.ignored ?? []),
    };
};
