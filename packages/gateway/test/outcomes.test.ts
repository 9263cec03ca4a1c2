/** What callers are told, against what upstreams truly ran. */
import * as site from "@mulberryseam/site";
import * as earl from "earl";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as test from "node:test";
import * as timers from "node:timers/promises";
import * as gatewayFixture from "./fixtures/gatewayFixture";

const order = (fixture: gatewayFixture.GatewayFixture, change: Partial<Parameters<typeof site.sendRequest>[0]> = {}) =>
    site.sendRequest({
        instance: fixture.address,
        service: "desk",
        rank: "order",
        method: "POST",
        body: Buffer.from("one die"),
        isIdempotent: false,
        ...change,
    });

const lookup = (fixture: gatewayFixture.GatewayFixture, change: Partial<Parameters<typeof site.sendRequest>[0]> = {}) =>
    site.sendRequest({ instance: fixture.address, service: "records", rank: "lookup", key: "key", ...change });

test.describe("answers", () => {
    test.it("are whole and the caller's own, many at a time", () =>
        gatewayFixture.withGateway({}, async fixture => {
            const answers = await Promise.all([...Array(60).keys()].map(index =>
                order(fixture, { body: crypto.randomBytes(index * 3000 + 1), responseBytes: index * 500 })
            ));
            earl.expect(answers.filter(answer =>
                answer.outcome !== "answered" || answer.isMisdelivered || answer.isCorrupted
            ))
                .toEqual([]);
        }));

    test.it("cut by an upstream break the caller's connection", () =>
        gatewayFixture.withGateway({ poolSize: 1 }, async fixture => {
            fixture.pool[0].setFaults({ cutsAnswers: true });
            const answer = await order(fixture, { responseBytes: 100_000 });
            earl.expect(answer.outcome).toEqual("broken");
        }));
});

test.describe("not run", () => {
    test.it("is said when every upstream sheds until the deadline", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.pool.forEach(upstream => upstream.setFaults({ sheds: true }));
            const answer = await order(fixture, { deadlineMilliseconds: 300 });
            earl.expect([answer.outcome, answer.status, fixture.runsOf(answer.identifier)]).toEqual([
                "not-run",
                503,
                0,
            ]);
        }));

    test.it("is said when the owner refuses a stale token until the deadline", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.setRoute({ server: "keyed-1", token: 0, isReady: true });
            const answer = await lookup(fixture, { deadlineMilliseconds: 300 });
            earl.expect([answer.outcome, fixture.runsOf(answer.identifier)]).toEqual(["not-run", 0]);
        }));

    test.it("is said when a key has no owner", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.setRoute(undefined);
            const answer = await lookup(fixture, { deadlineMilliseconds: 200 });
            earl.expect([answer.outcome, answer.reason]).toEqual(["not-run", "deadline"]);
        }));
});

test.describe("unknown", () => {
    test.it("is said when an upstream ran a request that is not idempotent and never answered", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.pool.forEach(upstream => upstream.setFaults({ swallowsAnswers: true }));
            const answer = await order(fixture, { deadlineMilliseconds: 300 });
            earl.expect([answer.outcome, answer.status, fixture.runsOf(answer.identifier)]).toEqual([
                "unknown",
                502,
                1,
            ]);
        }));
});

test.describe("another attempt", () => {
    test.it("is made elsewhere when an upstream sheds", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.pool[0].setFaults({ sheds: true });
            const answers = await Promise.all([...Array(10).keys()].map(() => order(fixture)));
            earl.expect(answers.every(answer => answer.outcome === "answered")).toEqual(true);
            earl.expect(answers.every(answer => fixture.runsOf(answer.identifier) === 1)).toEqual(true);
        }));

    test.it("is made elsewhere for an idempotent request whose upstream says nothing", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.pool[0].setFaults({ swallowsAnswers: true });
            const answers = await Promise.all(
                [...Array(4).keys()].map(() => order(fixture, { isIdempotent: true, deadlineMilliseconds: 1500 })),
            );
            earl.expect(answers.every(answer => answer.outcome === "answered")).toEqual(true);
        }));

    test.it("goes to the new owner when the key moves", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.setRoute({ server: "keyed-2", token: 2, isReady: true });
            const asking = lookup(fixture, { deadlineMilliseconds: 2000 });
            await timers.setTimeout(50);
            await fixture.grant(1, 2);
            const answer = await asking;
            earl.expect([answer.outcome, answer.server]).toEqual(["answered", "keyed-2"]);
        }));

    test.it("leaves the frozen old owner for the new one when the request is idempotent", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.keyed[0].setFaults({ swallowsAnswers: true });
            await fixture.grant(1, 2);
            const asking = lookup(fixture, { deadlineMilliseconds: 2000 });
            await timers.setTimeout(50);
            fixture.setRoute({ server: "keyed-2", token: 2, isReady: true });
            const answer = await asking;
            earl.expect([answer.outcome, answer.server]).toEqual(["answered", "keyed-2"]);
        }));
});

test.describe("a draining upstream", () => {
    test.it("gets nothing new", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.pool[0].setFaults({ isDraining: true });
            const before = fixture.pool[0].journal().length;
            const answers = await Promise.all([...Array(20).keys()].map(() => order(fixture)));
            earl.expect(answers.every(answer => answer.outcome === "answered")).toEqual(true);
            earl.expect(fixture.pool[0].journal().length).toEqual(before);
        }));
});

test.describe("a caller that leaves", () => {
    test.it("gives its slot back", () =>
        gatewayFixture.withGateway({ poolSize: 1, concurrency: 1 }, async fixture => {
            const leaving = http.request({
                host: "127.0.0.1",
                port: fixture.port,
                path: "/desk/work",
                headers: { "stand-in-work-milliseconds": "200", "mulberryseam-rank": "order" },
            });
            leaving.on("error", () => undefined);
            leaving.end();
            await timers.setTimeout(30);
            leaving.destroy();
            const answer = await order(fixture, { deadlineMilliseconds: 3000 });
            earl.expect(answer.outcome).toEqual("answered");
        }));
});

test.describe("a planned stop", () => {
    test.it("cuts no slow upload and no slow answer", () =>
        gatewayFixture.withGateway({}, async fixture => {
            const body = crypto.randomBytes(400_000);
            const upload = new Promise<{ status: number; text: string; }>((resolve, reject) => {
                const request = http.request({
                    host: "127.0.0.1",
                    port: fixture.port,
                    path: "/desk/work",
                    method: "POST",
                    headers: { "content-length": body.length, "mulberryseam-rank": "scan" },
                }, response => {
                    let text = "";
                    response.on("data", chunk => {
                        text += String(chunk);
                    });
                    response.on("end", () => resolve({ status: response.statusCode ?? 0, text }));
                });
                request.on("error", reject);
                const trickle = async (): Promise<void> => {
                    for (let start = 0; start < body.length; start += 20_000) {
                        request.write(body.subarray(start, start + 20_000));
                        await timers.setTimeout(100);
                    }
                    request.end();
                };
                void trickle();
            });
            const slow = order(fixture, { workMilliseconds: 1500 });
            await timers.setTimeout(100);
            let isDrained = false;
            const draining = fixture.door.drain().then(() => {
                isDrained = true;
            });
            earl.expect((await slow).outcome).toEqual("answered");
            earl.expect(isDrained).toEqual(false);
            const uploaded = await upload;
            earl.expect(uploaded.status).toEqual(200);
            earl.expect(uploaded.text.includes(crypto.createHash("sha256").update(body).digest("hex"))).toEqual(true);
            await draining;
        }));
});
