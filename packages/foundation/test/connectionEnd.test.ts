/** Ends of connections that delimit a response. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";

const repetitions = 50;
const bodyBytes = 20_000;

interface ReceivedResponse {
    isComplete: boolean;
    end: foundation.ConnectionEnd;
}

/** Sends a request to a server that responds without a length and ends the connection; returns what was received. */
const receive = async (
    endConnection: (socket: net.Socket) => void,
    onConnected: (socket: net.Socket) => void,
): Promise<ReceivedResponse> => {
    const server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(`HTTP/1.1 200 OK\r\n\r\n${"x".repeat(bodyBytes)}`, () => endConnection(socket));
        });
    });
    await foundation.listenOn(server, "127.0.0.1", 0);
    const { port } = server.address() as net.AddressInfo;
    try {
        return await new Promise(resolve => {
            const request = http.request({ host: "127.0.0.1", port, agent: false });
            request.on("socket", socket => socket.once("connect", () => onConnected(socket)));
            request.on("error", () => undefined);
            request.on("response", response => {
                let end: foundation.ConnectionEnd | undefined;
                let isComplete = false;
                foundation.requireRegularEnd(response, connectionEnd => {
                    end = connectionEnd;
                });
                response.on("error", () => undefined);
                response.on("data", () => undefined);
                response.on("end", () => {
                    isComplete = response.complete;
                });
                response.on("close", () => resolve({ isComplete, end: end as foundation.ConnectionEnd }));
            });
            request.end();
        });
    }
    finally {
        server.close();
    }
};

const reset = (socket: net.Socket): void => {
    socket.resetAndDestroy();
};

test.describe("a response without a length", () => {
    // Guards against a part of a body that is taken for the whole because the address of the peer was known earlier.
    test.it("is not complete after a reset, also if the address of its sender was read before", async () => {
        for (let iteration = 0; iteration < repetitions; iteration += 1) {
            const { isComplete, end } = await receive(reset, socket => void socket.remoteAddress);
            earl.expect(isComplete).toEqual(false);
            earl.expect(end.isRegular).toEqual(false);
        }
    });

    test.it("is not complete after a reset, and the end tells what that was judged by", async () => {
        for (let iteration = 0; iteration < repetitions; iteration += 1) {
            const { isComplete, end } = await receive(reset, () => undefined);
            earl.expect(isComplete).toEqual(false);
            earl.expect(end.error).toEqual("ECONNRESET");
            const isSeparate = end.hasPeer === undefined;
            earl.expect(end).toEqual({
                isRegular: false,
                hasPeer: isSeparate ? undefined : false,
                isWritable: isSeparate ? undefined : false,
                error: "ECONNRESET",
            });
        }
    });

    test.it("is complete after a regular end", async () => {
        for (let iteration = 0; iteration < repetitions; iteration += 1) {
            const { isComplete, end } = await receive(socket => socket.end(), () => undefined);
            earl.expect(isComplete).toEqual(true);
            earl.expect(end).toEqual({ isRegular: true, hasPeer: true, isWritable: true, error: undefined });
        }
    });
});
