/** Hardening of the server for callers against malformed, oversized and forged requests. */
import * as earl from "earl";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as gatewayFixture from "./fixtures/gatewayFixture";

/** Sends raw bytes and returns everything received until the connection closes. */
const sendRaw = (fixture: gatewayFixture.GatewayFixture, text: string): Promise<string> =>
    new Promise(resolve => {
        let response = "";
        const socket = net.connect({ host: "127.0.0.1", port: fixture.port }, () => socket.write(text));
        socket.on("data", bytes => {
            response += String(bytes);
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(response));
    });

const buildHead = (lines: readonly string[], path = "/desk/work", method = "GET"): string =>
    [`${method} ${path} HTTP/1.1`, "Host: entry", "Connection: close", ...lines, "", ""].join("\r\n");

const statusOf = (response: string): number => Number(response.split(" ")[1]);

const cases: readonly [description: string, request: string, status: number][] = [
    [
        "both Content-Length and Transfer-Encoding",
        buildHead(["Content-Length: 3", "Transfer-Encoding: chunked"], "/desk/work", "POST") + "abc",
        400,
    ],
    [
        "two Content-Length headers",
        buildHead(["Content-Length: 3", "Content-Length: 4"], "/desk/work", "POST") + "abc",
        400,
    ],
    ["a bare line feed in the head", "GET /desk/work HTTP/1.1\nHost: entry\nX: a\r\n\r\n", 400],
    ["an oversized head", buildHead([`X-Long: ${"x".repeat(20_000)}`]), 431],
    ["a missing Host header", "GET /desk/work HTTP/1.1\r\nConnection: close\r\n\r\n", 400],
    ["an unknown rank", buildHead(["mulberryseam-rank: king"]), 400],
    ["an unknown service", buildHead([], "/nothing/work"), 404],
    ["a disallowed method", buildHead([], "/desk/work", "TRACE"), 405],
    ["a non-numeric deadline", buildHead(["mulberryseam-deadline-milliseconds: soon"]), 400],
    ["an idempotent header that is neither true nor false", buildHead(["mulberryseam-idempotent: maybe"]), 400],
    ["a missing key for a keyed service", buildHead([], "/records/work"), 400],
    ["an absolute request target", buildHead([], "http://elsewhere/desk/work"), 404],
    ["binary data", "\u0000\u0001\u0002\r\n\r\n", 400],
];

test.describe("the server for callers", () => {
    for (const [description, request, status] of cases) {
        test.it(`rejects ${description} with ${status}`, () =>
            gatewayFixture.withGateway({}, async fixture => {
                earl.expect(statusOf(await sendRaw(fixture, request))).toEqual(status);
                earl.expect(fixture.pool.flatMap(upstream => [...upstream.journal()])).toEqual([]);
            }));
    }

    test.it("removes forged internal headers", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.setRoute({ server: "keyed-1", token: 0, isReady: true });
            const forged = buildHead([
                "mulberryseam-key: key",
                "mulberryseam-token: 1",
                "mulberryseam-slot: 0",
                "mulberryseam-deadline-milliseconds: 200",
            ], "/records/work");
            const response = await sendRaw(fixture, forged);
            earl.expect(response.includes("mulberryseam-outcome: not-run")).toEqual(true);
        }));

    test.it("does not forward headers that the Connection header names", () =>
        gatewayFixture.withGateway({}, async fixture => {
            const requestLines = ["GET /desk/work HTTP/1.1", "Host: entry", "Connection: close, stand-in-answer-bytes"];
            const response = await sendRaw(fixture, [...requestLines, "stand-in-answer-bytes: 9", "", ""].join("\r\n"));
            earl.expect(response.includes("\"padding\":\"\"")).toEqual(true);
        }));

    test.it("does not accumulate listeners on a connection that is reused for many requests", () =>
        gatewayFixture.withGateway({}, async fixture => {
            const warnings: string[] = [];
            const onWarning = (warning: Error): void => {
                warnings.push(warning.name);
            };
            process.on("warning", onWarning);
            const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
            const sendRequest = (): Promise<number> =>
                new Promise((resolve, reject) => {
                    http.get({ host: "127.0.0.1", port: fixture.port, path: "/desk/work", agent }, response => {
                        response.resume();
                        response.on("end", () => resolve(response.statusCode ?? 0));
                    }).on("error", reject);
                });
            for (let request = 0; request < 30; request++) {
                earl.expect(await sendRequest()).toEqual(200);
            }
            agent.destroy();
            await new Promise(resolve => setImmediate(resolve));
            process.off("warning", onWarning);
            earl.expect(warnings).toEqual([]);
        }));

    test.it("responds to the health check of the load balancer", () =>
        gatewayFixture.withGateway({}, async fixture => {
            earl.expect(statusOf(await sendRaw(fixture, buildHead([], "/-/health")))).toEqual(200);
        }));
});
