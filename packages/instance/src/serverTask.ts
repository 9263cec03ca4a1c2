/** Carries grants to servers and their answers back. */
import type * as foundation from "@mulberryseam/foundation";
import type * as ownership from "@mulberryseam/ownership";
import * as undici from "undici";
import * as zod from "zod";

const timeoutMilliseconds = 1000;
const connectionsPerServer = 2;
const highestOutstanding = 4;

const replySchema = zod.object({
    incarnation: zod.string(),
    clock: zod.number(),
    isDraining: zod.boolean(),
    released: zod.array(zod.object({ service: zod.string(), slot: zod.int(), token: zod.number() })),
});

/** Carries grants to servers. */
export interface ServerTask {
    send: (server: string, address: string, renewal: ownership.RenewalRequest) => void;
}

/**
 * Creates the task.
 *
 * @param onReply - takes what a server answered
 * @param owner - closes the connections
 * @returns the task
 */
export const createServerTask = (
    onReply: (server: string, reply: ownership.RenewalResponse) => void,
    owner: foundation.Owner,
): ServerTask => {
    const agent = new undici.Agent({
        connections: connectionsPerServer,
        pipelining: 1,
        connect: { timeout: timeoutMilliseconds },
        headersTimeout: timeoutMilliseconds,
        bodyTimeout: timeoutMilliseconds,
    });
    const outstanding = new Map<string, number>();
    owner.onCleanup(() => agent.destroy());

    const exchange = async (server: string, address: string, renewal: ownership.RenewalRequest): Promise<void> => {
        try {
            const response = await undici.request(`http://${address}/grants`, {
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(renewal),
                dispatcher: agent,
            });
            const reply = replySchema.safeParse(await response.body.json());
            if (reply.success) {
                onReply(server, reply.data);
            }
        }
        catch {
            // Silence is what the failure detector listens for.
        }
    };

    return {
        send: (server, address, renewal) => {
            const count = outstanding.get(server) ?? 0;
            if (count >= highestOutstanding || owner.isDisposed()) {
                return;
            }
            outstanding.set(server, count + 1);
            void exchange(server, address, renewal).finally(() => {
                outstanding.set(server, (outstanding.get(server) ?? 1) - 1);
            });
        },
    };
};
