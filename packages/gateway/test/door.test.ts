/** Hardening of the door: malformed, oversized and forged requests. */
import * as earl from "earl";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as gatewayFixture from "./fixtures/gatewayFixture";

/** Sends raw bytes and gives all that comes back until the connection ends. */
const exchangeRaw = (fixture: gatewayFixture.GatewayFixture, text: string): Promise<string> =>
    new Promise(resolve => {
        let answer = "";
        const socket = net.connect({ host: "127.0.0.1", port: fixture.port }, () => socket.write(text));
        socket.on("data", bytes => {
            answer += String(bytes);
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(answer));
    });

const head = (lines: readonly string[], path = "/desk/work", method = "GET"): string =>
    [`${method} ${path} HTTP/1.1`, "Host: entry", "Connection: close", ...lines, "", ""].join("\r\n");

const statusOf = (answer: string): number => Number(answer.split(" ")[1]);

const cases: readonly [what: string, request: string, status: number][] = [
    [
        "both length headers",
        head(["Content-Length: 3", "Transfer-Encoding: chunked"], "/desk/work", "POST") + "abc",
        400,
    ],
    ["two content lengths", head(["Content-Length: 3", "Content-Length: 4"], "/desk/work", "POST") + "abc", 400],
    ["a bare line feed in the head", "GET /desk/work HTTP/1.1\nHost: entry\nX: a\r\n\r\n", 400],
    ["a head that is too long", head([`X-Long: ${"x".repeat(20_000)}`]), 431],
    ["no host", "GET /desk/work HTTP/1.1\r\nConnection: close\r\n\r\n", 400],
    ["an unknown rank", head(["mulberryseam-rank: king"]), 400],
    ["an unknown service", head([], "/nothing/work"), 404],
    ["a method that is not allowed", head([], "/desk/work", "TRACE"), 405],
    ["a deadline that is no number", head(["mulberryseam-deadline-milliseconds: soon"]), 400],
    ["an idempotence that is neither true nor false", head(["mulberryseam-idempotent: maybe"]), 400],
    ["no key for a keyed service", head([], "/records/work"), 400],
    ["an absolute target", head([], "http://elsewhere/desk/work"), 404],
    ["garbage", "\u0000\u0001\u0002\r\n\r\n", 400],
];

test.describe("the door", () => {
    for (const [what, request, status] of cases) {
        test.it(`refuses ${what} with ${status}`, () =>
            gatewayFixture.withGateway({}, async fixture => {
                earl.expect(statusOf(await exchangeRaw(fixture, request))).toEqual(status);
                earl.expect(fixture.pool.flatMap(upstream => [...upstream.journal()])).toEqual([]);
            }));
    }

    test.it("takes forged internal headers off", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.setRoute({ server: "keyed-1", token: 0, isReady: true });
            const forged = head([
                "mulberryseam-key: key",
                "mulberryseam-token: 1",
                "mulberryseam-slot: 0",
                "mulberryseam-deadline-milliseconds: 200",
            ], "/records/work");
            const answer = await exchangeRaw(fixture, forged);
            earl.expect(answer.includes("mulberryseam-outcome: not-run")).toEqual(true);
        }));

    test.it("passes on no header that the caller ties to its connection", () =>
        gatewayFixture.withGateway({}, async fixture => {
            const tied = ["GET /desk/work HTTP/1.1", "Host: entry", "Connection: close, stand-in-answer-bytes"];
            const answer = await exchangeRaw(fixture, [...tied, "stand-in-answer-bytes: 9", "", ""].join("\r\n"));
            earl.expect(answer.includes("\"padding\":\"\"")).toEqual(true);
        }));

    test.it("leaves nothing behind on a connection that carries many requests", () =>
        gatewayFixture.withGateway({}, async fixture => {
            const warnings: string[] = [];
            const takeWarning = (warning: Error): void => {
                warnings.push(warning.name);
            };
            process.on("warning", takeWarning);
            const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
            const ask = (): Promise<number> =>
                new Promise((resolve, reject) => {
                    http.get({ host: "127.0.0.1", port: fixture.port, path: "/desk/work", agent }, response => {
                        response.resume();
                        response.on("end", () => resolve(response.statusCode ?? 0));
                    }).on("error", reject);
                });
            for (let request = 0; request < 30; request++) {
                earl.expect(await ask()).toEqual(200);
            }
            agent.destroy();
            await new Promise(resolve => setImmediate(resolve));
            process.off("warning", takeWarning);
            earl.expect(warnings).toEqual([]);
        }));

    test.it("answers the balancer's question for health", () =>
        gatewayFixture.withGateway({}, async fixture => {
            earl.expect(statusOf(await exchangeRaw(fixture, head([], "/-/health")))).toEqual(200);
        }));
});
