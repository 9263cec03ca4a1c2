/** A follower's connections to leaders that change. */
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as leaderLinks from "./fixtures/leaderLinks";

const host = "127.0.0.1";
const pollMilliseconds = 10;
const maxWaitMilliseconds = 5000;

const waitFor = async (condition: () => boolean): Promise<boolean> => {
    for (let waited = 0; !condition() && waited < maxWaitMilliseconds; waited += pollMilliseconds) {
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
    return condition();
};

/** Starts a leader that only accepts connections. */
const startLeader = async (
    onConnection: (socket: net.Socket) => void,
    owner: foundation.Owner,
): Promise<number> => {
    const server = net.createServer(socket => {
        owner.onCleanup(() => {
            socket.destroy();
        });
        socket.on("error", () => undefined);
        onConnection(socket);
    });
    await foundation.listenOn(server, host, 0);
    owner.onCleanup(() => {
        server.close();
    });
    return (server.address() as net.AddressInfo).port;
};

test.describe("a message of a former leader on a connection that is closing", () => {
    test.it("does not close the connection to the new leader", async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        const timers = foundation.createVirtualTimerService();
        const formerSockets: net.Socket[] = [];
        const newLeaderKinds: string[] = [];
        let isLost = false;
        const formerPort = await startLeader(socket => formerSockets.push(socket), owner);
        const newPort = await startLeader(socket => {
            const decoder = protocol.createFrameDecoder();
            socket.on("data", bytes => {
                const messages = decoder.push(bytes).unwrap() as protocol.RoutingMessage[];
                newLeaderKinds.push(...messages.map(({ kind }) => kind));
            });
        }, owner);
        const link = leaderLinks.createLink({
            timers,
            onLeaderLost: () => {
                isLost = true;
            },
        });
        owner.onCleanup(link.close);
        link.follow(leaderLinks.createLeaderRecord({ identifier: "former", port: formerPort }));
        earl.expect(await waitFor(() => formerSockets.length > 0)).toEqual(true);
        // What the former leader does not read keeps the connection to it from closing at once.
        const service = "x".repeat(7 * 1024 * 1024);
        link.send({ kind: "report", samples: [{ service, keys: [], weight: 1 }], speeds: [] });
        timers.advance(1000);
        link.follow(leaderLinks.createLeaderRecord({ identifier: "new", port: newPort }));
        earl.expect(await waitFor(() => newLeaderKinds.length > 0)).toEqual(true);
        formerSockets[0].write(protocol.encodeFrame({ kind: "notLeader" }));
        earl.expect(await waitFor(() => isLost)).toEqual(true);
        link.send({ kind: "report", samples: [], speeds: [] });
        await waitFor(() => newLeaderKinds.length > 1);
        earl.expect(newLeaderKinds).toEqual(["join", "report"]);
    });
});
