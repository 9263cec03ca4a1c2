/** Mutual TLS between instances: whoever cannot prove itself gives no order. */
import { createOwner, createSilentLogger, createTimerService, type Owner } from "@mulberryseam/foundation";
import {
    createPeerClient,
    createPeerServer,
    type Hello,
    type Message,
    type PeerCredentials,
} from "@mulberryseam/protocol";
import { reservePorts } from "@mulberryseam/site";
import { expect } from "earl";
import { describe, it } from "node:test";
import * as timers from "node:timers/promises";
import * as selfsigned from "selfsigned";

const createHello = (name: string): Hello => ({
    kind: "hello",
    version: 1,
    environment: "production",
    name,
    incarnation: "run-1",
});

const createCredentials = async (): Promise<PeerCredentials> => {
    const made = await selfsigned.generate([{ name: "commonName", value: "mulberryseam" }], { keySize: 2048 });
    return { key: made.private, certificate: made.cert, authority: made.cert };
};

/** Sends to a server that asks for credentials; gives what arrived there. */
const sendWith = async (server: PeerCredentials, client: PeerCredentials | undefined): Promise<Message[]> => {
    const owner: Owner = createOwner();
    const received: Message[] = [];
    try {
        const [port] = await reservePorts(1);
        await createPeerServer({
            host: "127.0.0.1",
            port,
            hello: createHello("server"),
            credentials: server,
            logger: createSilentLogger(),
            onMessage: message => received.push(message),
        }, owner);
        const sender = createPeerClient({
            host: "127.0.0.1",
            port,
            hello: createHello("client"),
            credentials: client,
            timers: createTimerService(),
            logger: createSilentLogger(),
            onMessage: () => undefined,
        }, owner);
        for (let attempt = 0; attempt < 40 && received.length === 0; attempt++) {
            sender.send({ kind: "fetchState" });
            await timers.setTimeout(20);
        }
        return received;
    }
    finally {
        await owner.dispose();
    }
};

describe("mutual TLS", () => {
    it("lets peers of one authority talk", async () => {
        const credentials = await createCredentials();
        expect((await sendWith(credentials, credentials))[0]).toEqual({ kind: "fetchState" });
    });

    it("lets no stranger in, nor anyone without credentials", async () => {
        const credentials = await createCredentials();
        expect(await sendWith(credentials, await createCredentials())).toEqual([]);
        expect(await sendWith(credentials, undefined)).toEqual([]);
    });
});
