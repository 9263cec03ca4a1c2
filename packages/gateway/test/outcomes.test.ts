/** Outcomes reported to callers, compared with the requests that upstreams executed. */
import * as site from "@mulberryseam/site";
import * as earl from "earl";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as test from "node:test";
import * as timers from "node:timers/promises";
import * as gatewayFixture from "./fixtures/gatewayFixture";

const sendOrder = (
    fixture: gatewayFixture.GatewayFixture,
    overrides: Partial<Parameters<typeof site.sendRequest>[0]> = {},
) => site.sendRequest({
    instance: fixture.address,
    service: "desk",
    rank: "order",
    method: "POST",
    body: Buffer.from("one die"),
    isIdempotent: false,
    ...overrides,
});

const sendLookup = (
    fixture: gatewayFixture.GatewayFixture,
    overrides: Partial<Parameters<typeof site.sendRequest>[0]> = {},
) => site.sendRequest({ instance: fixture.address, service: "records", rank: "lookup", key: "key", ...overrides });

test.describe("responses", () => {
    test.it("are complete and reach the right caller under concurrent requests", () =>
        gatewayFixture.withGateway({}, async fixture => {
            const responses = await Promise.all(
                [...Array(60).keys()].map(index =>
                    sendOrder(fixture, { body: crypto.randomBytes(index * 3000 + 1), responseBytes: index * 500 })
                ),
            );
            earl.expect(
                responses.filter(response =>
                    response.outcome !== "answered" || response.isMisdelivered || response.isCorrupted
                ),
            )
                .toEqual([]);
        }));

    test.it("truncated by an upstream break the caller's connection", () =>
        gatewayFixture.withGateway({ poolSize: 1 }, async fixture => {
            fixture.pool[0].setFaults({ cutsAnswers: true });
            const response = await sendOrder(fixture, { responseBytes: 100_000 });
            earl.expect(response.outcome).toEqual("broken");
        }));
});

test.describe("the outcome not-run", () => {
    test.it("is reported when every upstream sheds load until the deadline", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.pool.forEach(upstream => upstream.setFaults({ sheds: true }));
            const response = await sendOrder(fixture, { deadlineMilliseconds: 300 });
            earl.expect([response.outcome, response.status, fixture.runCountOf(response.identifier)]).toEqual([
                "not-run",
                503,
                0,
            ]);
        }));

    test.it("is reported when the owner refuses a stale token until the deadline", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.setRoute({ server: "keyed-1", token: 0, isReady: true });
            const response = await sendLookup(fixture, { deadlineMilliseconds: 300 });
            earl.expect([response.outcome, fixture.runCountOf(response.identifier)]).toEqual(["not-run", 0]);
        }));

    test.it("is reported when a key has no owner", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.setRoute(undefined);
            const response = await sendLookup(fixture, { deadlineMilliseconds: 200 });
            earl.expect([response.outcome, response.reason]).toEqual(["not-run", "deadline"]);
        }));
});

test.describe("the outcome unknown", () => {
    test.it("is reported when an upstream executes a non-idempotent request and never responds", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.pool.forEach(upstream => upstream.setFaults({ swallowsAnswers: true }));
            const response = await sendOrder(fixture, { deadlineMilliseconds: 300 });
            earl.expect([response.outcome, response.status, fixture.runCountOf(response.identifier)]).toEqual([
                "unknown",
                502,
                1,
            ]);
        }));
});

test.describe("a retry", () => {
    test.it("uses another upstream when an upstream sheds load", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.pool[0].setFaults({ sheds: true });
            const responses = await Promise.all([...Array(10).keys()].map(() => sendOrder(fixture)));
            earl.expect(responses.every(response => response.outcome === "answered")).toEqual(true);
            earl.expect(responses.every(response => fixture.runCountOf(response.identifier) === 1)).toEqual(true);
        }));

    test.it("of an idempotent request uses another upstream when an upstream never responds", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.pool[0].setFaults({ swallowsAnswers: true });
            const responses = await Promise.all(
                [...Array(4).keys()].map(() => sendOrder(fixture, { isIdempotent: true, deadlineMilliseconds: 1500 })),
            );
            earl.expect(responses.every(response => response.outcome === "answered")).toEqual(true);
        }));

    test.it("goes to the new owner after a key moves", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.setRoute({ server: "keyed-2", token: 2, isReady: true });
            const pendingResponse = sendLookup(fixture, { deadlineMilliseconds: 2000 });
            await timers.setTimeout(50);
            await fixture.grant(1, 2);
            const response = await pendingResponse;
            earl.expect([response.outcome, response.server]).toEqual(["answered", "keyed-2"]);
        }));

    test.it("of an idempotent request goes to the new owner when the previous owner is frozen", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.keyed[0].setFaults({ swallowsAnswers: true });
            await fixture.grant(1, 2);
            const pendingResponse = sendLookup(fixture, { deadlineMilliseconds: 2000 });
            await timers.setTimeout(50);
            fixture.setRoute({ server: "keyed-2", token: 2, isReady: true });
            const response = await pendingResponse;
            earl.expect([response.outcome, response.server]).toEqual(["answered", "keyed-2"]);
        }));
});

test.describe("a draining upstream", () => {
    test.it("receives no new requests", () =>
        gatewayFixture.withGateway({}, async fixture => {
            fixture.pool[0].setFaults({ isDraining: true });
            const runsBefore = fixture.pool[0].journal().length;
            const responses = await Promise.all([...Array(20).keys()].map(() => sendOrder(fixture)));
            earl.expect(responses.every(response => response.outcome === "answered")).toEqual(true);
            earl.expect(fixture.pool[0].journal().length).toEqual(runsBefore);
        }));
});

test.describe("a caller that disconnects", () => {
    test.it("releases its slot", () =>
        gatewayFixture.withGateway({ poolSize: 1, concurrency: 1 }, async fixture => {
            const abandonedRequest = http.request({
                host: "127.0.0.1",
                port: fixture.port,
                path: "/desk/work",
                headers: { "stand-in-work-milliseconds": "200", "mulberryseam-rank": "order" },
            });
            abandonedRequest.on("error", () => undefined);
            abandonedRequest.end();
            await timers.setTimeout(30);
            abandonedRequest.destroy();
            const response = await sendOrder(fixture, { deadlineMilliseconds: 3000 });
            earl.expect(response.outcome).toEqual("answered");
        }));
});

test.describe("a planned stop", () => {
    test.it("interrupts neither a slow upload nor a slow response", () =>
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
                const uploadSlowly = async (): Promise<void> => {
                    for (let start = 0; start < body.length; start += 20_000) {
                        request.write(body.subarray(start, start + 20_000));
                        await timers.setTimeout(100);
                    }
                    request.end();
                };
                void uploadSlowly();
            });
            const slowResponse = sendOrder(fixture, { workMilliseconds: 1500 });
            await timers.setTimeout(100);
            let isDrained = false;
            const draining = fixture.callerServer.drain().then(() => {
                isDrained = true;
            });
            earl.expect((await slowResponse).outcome).toEqual("answered");
            earl.expect(isDrained).toEqual(false);
            const uploaded = await upload;
            earl.expect(uploaded.status).toEqual(200);
            earl.expect(uploaded.text.includes(crypto.createHash("sha256").update(body).digest("hex"))).toEqual(true);
            await draining;
        }));
});
