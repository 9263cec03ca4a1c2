/** What callers are told, against what upstreams truly ran. */
import { sendRequest } from "@mulberryseam/site";
import { expect } from "earl";
import * as crypto from "node:crypto";
import * as http from "node:http";
import { describe, it } from "node:test";
import * as timers from "node:timers/promises";
import { type GatewayFixture, withGateway } from "./fixtures/gatewayFixture";

const order = (fixture: GatewayFixture, change: Partial<Parameters<typeof sendRequest>[0]> = {}) =>
    sendRequest({
        instance: fixture.address,
        service: "desk",
        rank: "order",
        method: "POST",
        body: Buffer.from("one die"),
        isIdempotent: false,
        ...change,
    });

const lookup = (fixture: GatewayFixture, change: Partial<Parameters<typeof sendRequest>[0]> = {}) =>
    sendRequest({ instance: fixture.address, service: "records", rank: "lookup", key: "key", ...change });

describe("answers", () => {
    it("are whole and the caller's own, many at a time", () =>
        withGateway({}, async fixture => {
            const answers = await Promise.all([...Array(60).keys()].map(index =>
                order(fixture, { body: crypto.randomBytes(index * 3000 + 1), answerBytes: index * 500 })
            ));
            expect(answers.filter(answer =>
                answer.outcome !== "answered" || answer.isCrossed || answer.isCut
            ))
                .toEqual([]);
        }));

    it("cut by an upstream break the caller's connection", () =>
        withGateway({ poolSize: 1 }, async fixture => {
            fixture.pool[0].setFaults({ cutsAnswers: true });
            const answer = await order(fixture, { answerBytes: 100_000 });
            expect(answer.outcome).toEqual("broken");
        }));
});

describe("not run", () => {
    it("is said when every upstream sheds until the deadline", () =>
        withGateway({}, async fixture => {
            fixture.pool.forEach(upstream => upstream.setFaults({ sheds: true }));
            const answer = await order(fixture, { deadlineMilliseconds: 300 });
            expect([answer.outcome, answer.status, fixture.runsOf(answer.identifier)]).toEqual(["not-run", 503, 0]);
        }));

    it("is said when the owner refuses a stale token until the deadline", () =>
        withGateway({}, async fixture => {
            fixture.setRoute({ server: "keyed-1", token: 0, isReady: true });
            const answer = await lookup(fixture, { deadlineMilliseconds: 300 });
            expect([answer.outcome, fixture.runsOf(answer.identifier)]).toEqual(["not-run", 0]);
        }));

    it("is said when a key has no owner", () =>
        withGateway({}, async fixture => {
            fixture.setRoute(undefined);
            const answer = await lookup(fixture, { deadlineMilliseconds: 200 });
            expect([answer.outcome, answer.reason]).toEqual(["not-run", "deadline"]);
        }));
});

describe("unknown", () => {
    it("is said when an upstream ran a request that is not idempotent and never answered", () =>
        withGateway({}, async fixture => {
            fixture.pool.forEach(upstream => upstream.setFaults({ swallowsAnswers: true }));
            const answer = await order(fixture, { deadlineMilliseconds: 300 });
            expect([answer.outcome, answer.status, fixture.runsOf(answer.identifier)]).toEqual(["unknown", 502, 1]);
        }));
});

describe("another attempt", () => {
    it("is made elsewhere when an upstream sheds", () =>
        withGateway({}, async fixture => {
            fixture.pool[0].setFaults({ sheds: true });
            const answers = await Promise.all([...Array(10).keys()].map(() => order(fixture)));
            expect(answers.every(answer => answer.outcome === "answered")).toEqual(true);
            expect(answers.every(answer => fixture.runsOf(answer.identifier) === 1)).toEqual(true);
        }));

    it("is made elsewhere for an idempotent request whose upstream says nothing", () =>
        withGateway({}, async fixture => {
            fixture.pool[0].setFaults({ swallowsAnswers: true });
            const answers = await Promise.all(
                [...Array(4).keys()].map(() => order(fixture, { isIdempotent: true, deadlineMilliseconds: 1500 })),
            );
            expect(answers.every(answer => answer.outcome === "answered")).toEqual(true);
        }));

    it("goes to the new owner when the key moves", () =>
        withGateway({}, async fixture => {
            fixture.setRoute({ server: "keyed-2", token: 2, isReady: true });
            const asking = lookup(fixture, { deadlineMilliseconds: 2000 });
            await timers.setTimeout(50);
            await fixture.grant(1, 2);
            const answer = await asking;
            expect([answer.outcome, answer.server]).toEqual(["answered", "keyed-2"]);
        }));

    it("leaves the frozen old owner for the new one when the request is idempotent", () =>
        withGateway({}, async fixture => {
            fixture.keyed[0].setFaults({ swallowsAnswers: true });
            await fixture.grant(1, 2);
            const asking = lookup(fixture, { deadlineMilliseconds: 2000 });
            await timers.setTimeout(50);
            fixture.setRoute({ server: "keyed-2", token: 2, isReady: true });
            const answer = await asking;
            expect([answer.outcome, answer.server]).toEqual(["answered", "keyed-2"]);
        }));
});

describe("a draining upstream", () => {
    it("gets nothing new", () =>
        withGateway({}, async fixture => {
            fixture.pool[0].setFaults({ isDraining: true });
            const before = fixture.pool[0].journal().length;
            const answers = await Promise.all([...Array(20).keys()].map(() => order(fixture)));
            expect(answers.every(answer => answer.outcome === "answered")).toEqual(true);
            expect(fixture.pool[0].journal().length).toEqual(before);
        }));
});

describe("a caller that leaves", () => {
    it("gives its slot back", () =>
        withGateway({ poolSize: 1, concurrency: 1 }, async fixture => {
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
            expect(answer.outcome).toEqual("answered");
        }));
});

describe("a planned stop", () => {
    it("cuts no slow upload and no slow answer", () =>
        withGateway({}, async fixture => {
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
            expect((await slow).outcome).toEqual("answered");
            expect(isDrained).toEqual(false);
            const uploaded = await upload;
            expect(uploaded.status).toEqual(200);
            expect(uploaded.text.includes(crypto.createHash("sha256").update(body).digest("hex"))).toEqual(true);
            await draining;
        }));
});
