/** Sends lease renewals to servers and passes on their responses. */
import type * as foundation from "@mulberryseam/foundation";
import type * as ownership from "@mulberryseam/ownership";
import * as undici from "undici";
import * as zod from "zod";

const timeoutMilliseconds = 1000;
const connectionsPerServer = 2;
const maxOutstandingRequests = 4;

const responseSchema = zod.object({
    incarnation: zod.string(),
    clock: zod.number(),
    isDraining: zod.boolean(),
    released: zod.array(zod.object({ service: zod.string(), slot: zod.int(), token: zod.number() })),
});

/** Sends lease renewals to servers. */
export interface ServerTask {
    /** Sends a renewal, or drops it if the server has too many outstanding requests. */
    send: (server: string, address: string, renewal: ownership.RenewalRequest) => void;
}

/**
 * Creates the server task.
 *
 * @param onResponse - called with each valid response of a server; failed requests are not reported
 * @param owner - closes the connections when disposed of
 * @returns the task
 */
export const createServerTask = (
    onResponse: (server: string, response: ownership.RenewalResponse) => void,
    owner: foundation.Owner,
): ServerTask => {
    const agent = new undici.Agent({
        connections: connectionsPerServer,
        pipelining: 1,
        connect: { timeout: timeoutMilliseconds },
        headersTimeout: timeoutMilliseconds,
        bodyTimeout: timeoutMilliseconds,
    });
    const outstandingRequests = new Map<string, number>();
    owner.onCleanup(() => agent.destroy());

    const sendRequest = async (server: string, address: string, renewal: ownership.RenewalRequest): Promise<void> => {
        try {
            const response = await undici.request(`http://${address}/grants`, {
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(renewal),
                dispatcher: agent,
            });
            const parsed = responseSchema.safeParse(await response.body.json());
            if (parsed.success) {
                onResponse(server, parsed.data);
            }
        }
        catch {
            // The failure detector acts on missing responses, so errors are not reported.
        }
    };

    return {
        send: (server, address, renewal) => {
            const count = outstandingRequests.get(server) ?? 0;
            if (count >= maxOutstandingRequests || owner.isDisposed()) {
                return;
            }
            outstandingRequests.set(server, count + 1);
            void sendRequest(server, address, renewal).finally(() => {
                outstandingRequests.set(server, (outstandingRequests.get(server) ?? 1) - 1);
            });
        },
    };
};
