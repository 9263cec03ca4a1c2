/** Mutual TLS between instances: whoever cannot prove itself gives no order. */
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";
import * as site from "@mulberryseam/site";
import * as earl from "earl";
import * as test from "node:test";
import * as timers from "node:timers/promises";
import * as selfsigned from "selfsigned";

const createHello = (name: string): protocol.Hello => ({
    kind: "hello",
    version: 1,
    environment: "production",
    name,
    incarnation: "run-1",
});

const createCredentials = async (): Promise<protocol.PeerCredentials> => {
    const made = await selfsigned.generate([{ name: "commonName", value: "mulberryseam" }], { keySize: 2048 });
    return { key: made.private, certificate: made.cert, authority: made.cert };
};

/** Sends to a server that asks for credentials; gives what arrived there. */
const sendWith = async (
    server: protocol.PeerCredentials,
    client: protocol.PeerCredentials | undefined,
): Promise<protocol.Message[]> => {
    const owner: foundation.Owner = foundation.createOwner();
    const received: protocol.Message[] = [];
    try {
        const [port] = await site.reservePorts(1);
        await protocol.createPeerServer({
            host: "127.0.0.1",
            port,
            hello: createHello("server"),
            credentials: server,
            logger: foundation.createSilentLogger(),
            onMessage: message => received.push(message),
        }, owner);
        const sender = protocol.createPeerClient({
            host: "127.0.0.1",
            port,
            hello: createHello("client"),
            credentials: client,
            timers: foundation.createTimerService(),
            logger: foundation.createSilentLogger(),
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

test.describe("mutual TLS", () => {
    test.it("lets peers of one authority talk", async () => {
        const credentials = await createCredentials();
        earl.expect((await sendWith(credentials, credentials))[0]).toEqual({ kind: "fetchState" });
    });

    test.it("lets no stranger in, nor anyone without credentials", async () => {
        const credentials = await createCredentials();
        earl.expect(await sendWith(credentials, await createCredentials())).toEqual([]);
        earl.expect(await sendWith(credentials, undefined)).toEqual([]);
    });
});
