/** What callers are told, for each way in which an attempt can end. */
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const { using } = relayFixture;

const breakOff: relayFixture.Behaviour = request => request.socket.destroy();

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

test.describe("the outcome of a request", () => {
    test.it("is the upstream's answer, unchanged", () =>
        using({ behaviours: [relayFixture.answerWith("done")] }, async ({ ask }) => {
            const answer = await ask({ body: Buffer.from("order") });
            earl.expect(answer.status).toEqual(200);
            earl.expect(answer.body.toString()).toEqual("done");
            earl.expect(answer.headers["response-signature"]).toEqual("signature");
            earl.expect(answer.headers["request-id"]).toEqual("request-1");
        }));

    test.it("comes from another upstream when one refuses to run it", () =>
        using({ behaviours: [relayFixture.refuse, relayFixture.answerWith("done")] }, async fixture => {
            for (let turn = 0; turn < 6; turn += 1) {
                earl.expect((await fixture.ask({ body: Buffer.from("order") })).status).toEqual(200);
            }
            earl.expect(fixture.arrivals()[1]).toEqual(6);
        }));

    test.it("is not run, with a time to come back, when every upstream refuses", () =>
        using({ behaviours: [relayFixture.refuse] }, async ({ ask }) => {
            const answer = await ask();
            earl.expect(answer.status).toEqual(503);
            earl.expect(Number(answer.headers["retry-after"]) > 0).toEqual(true);
        }));

    test.it("is not called not run when work that must run once may have run, and is not sent again", () =>
        using({ behaviours: [breakOff, breakOff, breakOff] }, async fixture => {
            const answer = await fixture.ask({ body: Buffer.from("order") });
            earl.expect(answer.status).toEqual(502);
            earl.expect(sum(fixture.arrivals())).toEqual(1);
        }));

    test.it("is got by a second attempt when the work may be repeated", () =>
        using(
            { behaviours: [breakOff, relayFixture.answerWith("done")], kind: routing.RouteKind.idempotent },
            async ({ ask }) => {
                for (let turn = 0; turn < 4; turn += 1) {
                    earl.expect((await ask()).status).toEqual(200);
                }
            },
        ));

    test.it("is unknown after an answer to another request", () =>
        using({
            behaviours: [(...[, response]) => {
                response.writeHead(200, {
                    "request-id": "another",
                    "response-signature": "signature",
                    "content-length": 2,
                });
                response.end("no");
            }],
        }, async ({ ask }) => earl.expect((await ask()).status).toEqual(502)));

    test.it("is unknown after a success without a signature", () =>
        using({
            behaviours: [(request, response) => {
                response.writeHead(200, { "request-id": request.headers["request-id"], "content-length": 2 });
                response.end("no");
            }],
        }, async ({ ask }) => earl.expect((await ask()).status).toEqual(502)));

    test.it("is never a part of an answer that looks whole", () =>
        using({
            behaviours: [(request, response) => {
                response.writeHead(200, {
                    "request-id": request.headers["request-id"],
                    "response-signature": "signature",
                    "content-length": 1000,
                });
                response.write("part");
                setTimeout(() => request.socket.destroy(), 20);
            }],
        }, async ({ ask }) => earl.expect((await ask()).status).toEqual(502)));

    test.it("keeps large answers whole", () => {
        const large = "x".repeat(700_000);
        return using({ behaviours: [relayFixture.answerWith(large)] }, async ({ ask }) => {
            const answer = await ask();
            earl.expect(answer.isComplete).toEqual(true);
            earl.expect(answer.body.length).toEqual(large.length);
        });
    });

    test.it("is a timeout at the route's limit, and the upstream is told", () =>
        using({ behaviours: [() => undefined], timeoutMilliseconds: 120 }, async fixture => {
            const answer = await fixture.ask();
            earl.expect(answer.status).toEqual(504);
            await new Promise(resolve => setTimeout(resolve, 50));
            earl.expect(fixture.abandoned()).toEqual([1]);
        }));

    test.it("reaches the upstream when the caller leaves", () =>
        using({ behaviours: [() => undefined] }, async fixture => {
            await fixture.askAndLeave(80);
            earl.expect(fixture.arrivals()).toEqual([1]);
            earl.expect(fixture.abandoned()).toEqual([1]);
        }));

    test.it("is not run while no document is known", () =>
        using({ behaviours: [], hasDocument: false }, async ({ ask }) => {
            earl.expect((await ask()).status).toEqual(503);
        }));

    test.it("is not found without a route, and too large beyond the limit", () =>
        using({ behaviours: [relayFixture.answerWith("done")] }, async fixture => {
            earl.expect((await fixture.ask({ path: "/other/1" })).status).toEqual(404);
            earl.expect((await fixture.ask({ host: "other.example" })).status).toEqual(404);
            earl.expect((await fixture.ask({ body: Buffer.alloc(100_001) })).status).toEqual(413);
            earl.expect(fixture.arrivals()).toEqual([0]);
        }));

    test.it("is asked of the owner of its key again only when the owner has no queue", async () => {
        const free = { behaviours: [relayFixture.refuseOnce("1,0,4")], isKeyed: true };
        await using(free, async ({ ask }) => earl.expect((await ask({ key: 7 })).status).toEqual(200));
        const full = { behaviours: [relayFixture.refuseOnce("4,20,4")], isKeyed: true };
        await using(full, async fixture => {
            earl.expect((await fixture.ask({ key: 7 })).status).toEqual(503);
            earl.expect(fixture.arrivals()).toEqual([1]);
        });
    });

    test.it("is refused at once when no upstream is ready", () =>
        using({ behaviours: [] }, async ({ ask }) => {
            earl.expect((await ask()).status).toEqual(503);
        }));

    test.it("is refused after a few attempts when no upstream takes a connection", () =>
        using({ behaviours: [] }, async fixture => {
            for (const [index, port] of [1, 2, 3].entries()) {
                fixture.directory.onEntry(relayFixture.createUpstream(`closed-${index}`, port, 100 + index), 0);
            }
            earl.expect((await fixture.ask()).status).toEqual(503);
            earl.expect(fixture.finished[0].attempts <= 5).toEqual(true);
        }));

    test.it("hands upstreams no more time than is left, and names the upstream that is meant", () =>
        using({
            behaviours: [(request, response) => {
                const { headers } = request;
                const text = JSON.stringify([headers["request-deadline-ms"], headers["target-instance"]]);
                relayFixture.answerWith(text)(request, response, Buffer.alloc(0));
            }],
        }, async ({ ask }) => {
            const answer = await ask({ deadlineMilliseconds: 700 });
            const [remaining, meant] = JSON.parse(answer.body.toString()) as [string, string];
            earl.expect(Number(remaining) <= 700 && Number(remaining) > 0).toEqual(true);
            earl.expect(meant).toEqual("upstream-0");
        }));

    test.it("sends nothing smuggled behind a request on to an upstream", () =>
        using({ behaviours: [relayFixture.answerWith("done")] }, async fixture => {
            const socket = net.connect(fixture.port, "127.0.0.1");
            const received = new Promise<string>(resolve => {
                let text = "";
                socket.on("data", data => {
                    text += data.toString();
                });
                socket.on("close", () => resolve(text));
            });
            socket.write(
                "POST /orders/1 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: a\r\nContent-Length: 4\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /orders/2 HTTP/1.1\r\nHost: orders.example\r\n\r\n",
            );
            earl.expect((await received).startsWith("HTTP/1.1 400")).toEqual(true);
            earl.expect(fixture.arrivals()).toEqual([0]);
        }));
});
