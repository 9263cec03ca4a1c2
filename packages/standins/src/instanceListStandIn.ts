/** Stand-in for the platform's list of live and leaving instances. Updates become visible after a configurable lag. */
import type * as foundation from "@mulberryseam/foundation";
import * as consumers from "node:stream/consumers";
import * as httpServer from "./httpServer";

/** An entry of the instance list. */
export interface ListedInstance {
    name: string;
    address: string;
    state: "live" | "leaving";
}

/** A running instance list service. */
export interface InstanceListStandIn {
    url: string;
    /** Replaces the list. Readers see the new list after the lag. */
    setInstances: (instances: readonly ListedInstance[]) => void;
}

/**
 * Starts an instance list service on loopback. `GET /instances` returns the list and `PUT /instances` replaces it.
 *
 * @param port - the port; 0 for any free port
 * @param lagMilliseconds - delay until readers see an update
 * @param owner - stops the service when disposed of
 * @returns the running service
 */
export const createInstanceListStandIn = async (
    port: number,
    lagMilliseconds: number,
    owner: foundation.Owner,
): Promise<InstanceListStandIn> => {
    let instances: readonly ListedInstance[] = [];
    const setInstances = (newInstances: readonly ListedInstance[]): void => {
        const timeout = setTimeout(() => {
            instances = newInstances;
        }, lagMilliseconds);
        timeout.unref();
    };
    const server = await httpServer.listen(port, async (request, response) => {
        if (request.method === "PUT") {
            setInstances(JSON.parse(await consumers.text(request)) as ListedInstance[]);
        }
        httpServer.sendJson(response, 200, { instances });
    }, owner);
    return { url: `http://127.0.0.1:${httpServer.portOf(server)}/instances`, setInstances };
};
