/** Stand-in for the platform's list of live and leaving instances, which lags behind what it is told. */
import type * as foundation from "@mulberryseam/foundation";
import * as consumers from "node:stream/consumers";
import * as httpServer from "./httpServer";

/** An instance of the list. */
export interface StandInInstance {
    name: string;
    address: string;
    state: "live" | "leaving";
}

/** A running list. */
export interface InstanceListStandIn {
    url: string;
    /** Replaces the list; readers see it after the lag. */
    set: (instances: readonly StandInInstance[]) => void;
}

/**
 * Starts a list on loopback. `GET /instances` reads it and `PUT /instances` replaces it.
 *
 * @param port - the port, 0 for any
 * @param lagMilliseconds - time until a change is seen
 * @param owner - stops the service
 * @returns the running list
 */
export const createInstanceListStandIn = async (
    port: number,
    lagMilliseconds: number,
    owner: foundation.Owner,
): Promise<InstanceListStandIn> => {
    let instances: readonly StandInInstance[] = [];
    const set = (next: readonly StandInInstance[]): void => {
        const handle = setTimeout(() => {
            instances = next;
        }, lagMilliseconds);
        handle.unref();
    };
    const server = await httpServer.listen(port, async (request, response) => {
        if (request.method === "PUT") {
            set(JSON.parse(await consumers.text(request)) as StandInInstance[]);
        }
        httpServer.answerJson(response, 200, { instances });
    }, owner);
    return { url: `http://127.0.0.1:${httpServer.portOf(server)}/instances`, set };
};
