/** Messages whose end only the end of their connection would mark. */
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as upstreamClient from "../src/upstreamClient";
import * as gatewayFixture from "./fixtures/gatewayFixture";

/** Sends one request to an upstream that responds with raw bytes and ends the connection; returns the result of the attempt. */
const attemptAt = async (
    head: string,
    body: string,
    endConnection: (socket: net.Socket) => void,
): Promise<upstreamClient.Attempt> => {
    const server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.write(`${head}\r\n\r\n${body}`, () => endConnection(socket)));
    });
    await foundation.listenOn(server, "127.0.0.1", 0);
    const client = upstreamClient.createUpstreamClient(`127.0.0.1:${(server.address() as net.AddressInfo).port}`, 1);
    try {
        const attempt = await client.attempt({
            method: "GET",
            path: "/work",
            headers: {},
            body: undefined,
            signal: new AbortController().signal,
        });
        await attempt.response?.body.dump();
        return attempt;
    }
    finally {
        server.close();
        await client.close();
    }
};

const ends: Record<string, (socket: net.Socket) => void> = {
    "a reset": socket => socket.resetAndDestroy(),
    "an end": socket => socket.end(),
};

test.describe("an upstream's response without a length or chunks", () => {
    // Guards against a part of a body that is forwarded as the whole, as the client library takes also a reset for its end.
    for (const [name, end] of Object.entries(ends)) {
        test.it(`is lost when ${name} of its connection follows`, async () => {
            const attempt = await attemptAt("HTTP/1.1 200 OK", "part", end);
            earl.expect(attempt.result).toEqual(traffic.AttemptResult.lost);
        });
    }

    test.it("is complete if its status allows no body", async () => {
        const attempt = await attemptAt("HTTP/1.1 204 No Content", "", socket => socket.end());
        earl.expect(attempt.result).toEqual(traffic.AttemptResult.answered);
    });
});

/** Sends a request of HTTP/1.0 and returns the response. */
const sendOldRequest = (port: number, path: string): Promise<string> =>
    new Promise((resolve, reject) => {
        const socket = net.connect(port, "127.0.0.1");
        let received = "";
        socket.on("error", reject);
        socket.on("data", data => {
            received += data.toString();
        });
        socket.on("end", () => resolve(received.toLowerCase()));
        socket.write(`GET ${path} HTTP/1.0\r\nHost: entry\r\n\r\n`);
    });

test.describe("a caller that speaks HTTP/1.0", () => {
    test.it("is rejected, as it could not tell the end of a streamed response", () =>
        gatewayFixture.withGateway({}, async fixture => {
            const response = await sendOldRequest(fixture.port, "/desk/work");
            earl.expect(response.startsWith("http/1.1 505 ")).toEqual(true);
            earl.expect(response.includes("\r\ncontent-length: ")).toEqual(true);
            earl.expect(fixture.pool.flatMap(upstream => [...upstream.journal()])).toEqual([]);
        }));

    test.it("gets the response to a health check with its length", () =>
        gatewayFixture.withGateway({}, async fixture => {
            const response = await sendOldRequest(fixture.port, "/-/health");
            earl.expect(response.startsWith("http/1.1 200 ")).toEqual(true);
            earl.expect(response.includes("\r\ncontent-length: 6")).toEqual(true);
        }));
});
