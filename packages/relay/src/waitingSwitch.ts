/** Whether the requests of a service wait in the instance for room at its upstreams, as the operators' document decides. */
import type * as routing from "@mulberryseam/routing";

const decided = new WeakMap<routing.RoutingDocument, Map<string, boolean>>();

/**
 * Ratio of the timeout of a service's most urgent route to its target from which requests may wait. A request that has missed its target
 * after a wait can then still be sent, and sent once more, before its timeout; with less, a wait only delays the refusal.
 */
const minTimeoutRatio = 2.75;

/** Whether the routes to a service differ in what a refusal or a delay costs their callers, and leave time for a wait. */
const isWorthWaiting = ({ routes }: routing.RoutingDocument, service: string): boolean => {
    const [first, ...others] = routes
        .filter(route => route.destinations.some(destination => destination.service === service))
        .sort((left, right) => left.rank - right.rank);
    return others.some(route => route.rank !== first.rank || route.targetMilliseconds !== first.targetMilliseconds)
        && first.timeoutMilliseconds >= first.targetMilliseconds * minTimeoutRatio;
};

/**
 * Whether the requests for a service may wait in the instance and be reordered. With routes of one priority and one target there is
 * nothing to reorder, and with timeouts close to the targets no time to wait; requests are then sent or refused at once.
 *
 * @param document - the document in force; without one, nothing waits
 * @param service - name of the service
 * @returns whether requests may wait
 */
export const mayWait = (document: routing.RoutingDocument | undefined, service: string): boolean => {
    if (document === undefined) {
        return false;
    }
    const services = decided.get(document) ?? new Map<string, boolean>();
    decided.set(document, services);
    const known = services.get(service) ?? isWorthWaiting(document, service);
    services.set(service, known);
    return known;
};
