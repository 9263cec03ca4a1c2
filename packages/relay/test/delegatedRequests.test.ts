/** Requests that an instance delegates to another one of its failure domain, which sends them to the upstream. */
import * as foundation from "@mulberryseam/foundation";
import type * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as http from "node:http";
import type * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

interface Pair {
    /** The instance that has the callers. */
    first: relayFixture.RelayFixture;
    /** The instance that it delegates to. */
    second: relayFixture.RelayFixture;
}

const toDelegate = (port: number): relay.Delegate => ({ identifier: "second", host: "127.0.0.1", port });

/** Runs a test with two instances that each know an upstream of their own, which tells who sent a request. */
const withPair = async (
    options: Partial<relayFixture.RelayFixtureOptions> & { secondBehaviour: relayFixture.Behaviour; },
    run: (pair: Pair) => Promise<void>,
): Promise<void> => {
    const second = await relayFixture.createRelayFixture({
        ...options,
        isKeyed: true,
        behaviours: [options.secondBehaviour],
    });
    try {
        const first = await relayFixture.createRelayFixture({
            ...options,
            isKeyed: true,
            behaviours: [relayFixture.respondWith("first")],
            delegate: toDelegate(second.delegatePort),
        });
        try {
            await run({ first, second });
        }
        finally {
            await first.dispose();
        }
    }
    finally {
        await second.dispose();
    }
};

/** Runs a test with two instances in virtual time; the first learns of the key's owner when the test says so. */
const withUnknownOwner = (
    run: (pair: Pair & { timers: foundation.VirtualTimerService; announceOwner: () => void; }) => Promise<void>,
): Promise<void> => {
    const timers = foundation.createVirtualTimerService();
    let isKnown = false;
    const announceOwner = (): void => {
        isKnown = true;
    };
    const secondBehaviour = relayFixture.respondWith("second");
    return withPair(
        { timers, isOwnerKnown: () => isKnown, secondBehaviour },
        pair => run({ ...pair, timers, announceOwner }),
    );
};

/** Sends a request to the port for delegated requests and returns the status and the reason of a failure. */
const sendDelegated = (
    port: number,
    delegation: string,
): Promise<[number | undefined, string | string[] | undefined]> =>
    new Promise((resolve, reject) => {
        const request = http.request({
            host: "127.0.0.1",
            port,
            agent: false,
            path: "/orders/1",
            headers: {
                "request-id": "a",
                "shard-key": "8",
                "request-deadline-ms": "900",
                "mulberryseam-delegation": delegation,
            },
        }, response => {
            response.resume();
            resolve([response.statusCode, response.headers["mulberryseam-failure"]]);
        });
        request.on("error", reject);
        request.end();
    });

const withSilentDelegate = async (
    options: Partial<relayFixture.RelayFixtureOptions>,
    onRequest: (request: http.IncomingMessage) => void,
    run: (first: relayFixture.RelayFixture) => Promise<void>,
): Promise<void> => {
    const server = http.createServer(onRequest);
    await foundation.listenOn(server, "127.0.0.1", 0);
    try {
        const first = await relayFixture.createRelayFixture({
            ...options,
            isKeyed: true,
            behaviours: [relayFixture.respondWith("first")],
            delegate: toDelegate((server.address() as net.AddressInfo).port),
        });
        try {
            await run(first);
        }
        finally {
            await first.dispose();
        }
    }
    finally {
        server.close();
        server.closeAllConnections();
    }
};

test.describe("a delegated request", () => {
    test.it("gets the upstream's response, and reaches the upstream as the caller sent it", async () => {
        const seen: http.IncomingHttpHeaders[] = [];
        const bodies: string[] = [];
        const secondBehaviour: relayFixture.Behaviour = (request, response, body) => {
            seen.push(request.headers);
            bodies.push(body.toString());
            relayFixture.respondWith("second")(request, response, body);
        };
        const timers = foundation.createVirtualTimerService();
        await withPair({ secondBehaviour, timers }, async ({ first, second }) => {
            const response = await first.sendRequest({ key: 8, body: Buffer.from("order"), deadlineMilliseconds: 900 });
            earl.expect([response.status, response.body.toString()]).toEqual([200, "second"]);
            earl.expect(response.headers["response-signature"]).toEqual("signature");
            earl.expect(bodies).toEqual(["order"]);
            earl.expect(seen[0]["mulberryseam-delegation"]).toEqual(undefined);
            earl.expect(Number(seen[0]["request-deadline-ms"]) <= 900).toEqual(true);
            earl.expect([first.requestCounts(), second.requestCounts()]).toEqual([[0], [1]]);
            earl.expect([first.finished.length, second.finished.length]).toEqual([1, 0]);
            const [delegated] = first.trafficTotals();
            earl.expect([delegated.purpose, delegated.reach]).toEqual(["delegatedRequest", "failureDomain"]);
            const [forwarded] = second.trafficTotals();
            earl.expect([forwarded.purpose, forwarded.reach]).toEqual(["request", "failureDomain"]);
            earl.expect(forwarded.sentBytes > "order".length && forwarded.receivedBytes > "second".length).toEqual(
                true,
            );
        });
    });

    test.it("goes to the other instance also if its key had no owner when it arrived", () =>
        withUnknownOwner(async ({ first, timers, announceOwner }) => {
            const pendingResponse = first.sendRequest({ key: 8 });
            await virtualTime.waitUntil(() => first.openRequestCount() === 1);
            await virtualTime.advance(timers, 200);
            announceOwner();
            await virtualTime.advance(timers, 50);
            earl.expect((await pendingResponse).body.toString()).toEqual("second");
            earl.expect(first.requestCounts()).toEqual([0]);
        }));

    test.it("is not sent if the caller leaves while its key has no owner", () =>
        withUnknownOwner(async ({ first, second, timers, announceOwner }) => {
            const departure = first.sendAndDisconnect(100, 8);
            await virtualTime.waitUntil(() => first.openRequestCount() === 1);
            await virtualTime.advance(timers, 100);
            await virtualTime.waitUntil(() => first.openRequestCount() === 0);
            announceOwner();
            await virtualTime.advance(timers, 200);
            await departure;
            earl.expect([first.requestCounts(), second.requestCounts()]).toEqual([[0], [0]]);
        }));

    test.it("gets the upstream's response although caller and upstream use the headers between instances", async () => {
        const secondBehaviour: relayFixture.Behaviour = (request, response) => {
            response.writeHead(200, {
                "request-id": request.headers["request-id"],
                "response-signature": "signature",
                "mulberryseam-failure": "no upstream is ready",
                "content-length": 0,
            });
            response.end();
        };
        await withPair({ secondBehaviour }, async ({ first, second }) => {
            const headers = { "mulberryseam-delegation": "orders,orders,once,1,2,800,4" };
            const response = await first.sendRequest({ key: 8, headers });
            earl.expect([response.status, response.headers["mulberryseam-failure"]]).toEqual([200, undefined]);
            earl.expect(second.requestCounts()).toEqual([1]);
        });
    });

    test.it("is not run if its route cannot be read", async () => {
        await withPair({ secondBehaviour: relayFixture.respondWith("second") }, async ({ second }) => {
            for (const delegation of ["", "orders,orders", "orders,orders,twice,1,2,3,4", "%,orders,once,1,2,3,4"]) {
                const [status, reason] = await sendDelegated(second.delegatePort, delegation);
                earl.expect([status, reason]).toEqual([503, "the instance takes no delegated requests"]);
            }
            earl.expect(second.requestCounts()).toEqual([0]);
            earl.expect(await sendDelegated(second.delegatePort, "orders,orders,once,1,2,800,4")).toEqual([
                200,
                undefined,
            ]);
        });
    });

    test.it("is not run by an instance that stops before its deadline, but by the one that has the caller", () =>
        withPair({ secondBehaviour: relayFixture.respondWith("second") }, async ({ first, second }) => {
            second.stopAt(100);
            earl.expect((await first.sendRequest({ key: 8 })).body.toString()).toEqual("first");
            earl.expect([first.requestCounts(), second.requestCounts()]).toEqual([[1], [0]]);
        }));

    test.it("is not run if the other instance says so, and may have run otherwise", async () => {
        const timers = foundation.createVirtualTimerService();
        await withPair({ secondBehaviour: relayFixture.refuse, timers }, async ({ first, second }) => {
            const pendingResponse = first.sendRequest({ key: 8 });
            const response = await virtualTime.passRetryPauses(timers, second.failedAttemptCount, pendingResponse);
            earl.expect(response.status).toEqual(503);
            earl.expect(Number(response.headers["retry-after"]) > 0).toEqual(true);
            earl.expect(response.headers["mulberryseam-failure"]).toEqual(undefined);
        });
        const lose: relayFixture.Behaviour = request => request.socket.destroy();
        await withPair({ secondBehaviour: lose }, async ({ first }) => {
            earl.expect((await first.sendRequest({ key: 8 })).status).toEqual(502);
            earl.expect(first.requestCounts()).toEqual([0]);
        });
    });

    test.it("is not run each time that the other instance says so on a kept connection", async () => {
        await withPair({ secondBehaviour: relayFixture.refuse, retrySlack: 0 }, async ({ first, second }) => {
            for (let iteration = 1; iteration <= 3; iteration += 1) {
                const response = await first.sendRequest({ key: 8, identifier: `request-${iteration}` });
                earl.expect(response.status).toEqual(503);
            }
            earl.expect([first.requestCounts(), second.requestCounts()]).toEqual([[0], [3]]);
        });
        const options = { secondBehaviour: relayFixture.respondWith("second"), acceptsDelegated: false };
        await withPair(options, async ({ first }) => {
            for (let iteration = 1; iteration <= 3; iteration += 1) {
                const response = await first.sendRequest({ key: 8, identifier: `request-${iteration}` });
                earl.expect(response.body.toString()).toEqual("first");
            }
        });
    });
});

test.describe("a delegated request, while an instance, an upstream or the caller goes away", () => {
    test.it("is sent by the instance itself if the other one accepts none or does not listen", async () => {
        const options = { secondBehaviour: relayFixture.respondWith("second"), acceptsDelegated: false };
        await withPair(options, async ({ first }) => {
            earl.expect((await first.sendRequest({ key: 8 })).body.toString()).toEqual("first");
        });
        await withPair({ secondBehaviour: relayFixture.respondWith("second") }, async ({ first, second }) => {
            await second.dispose();
            // A request on a connection whose end has not been read yet may have run.
            await virtualTime.waitUntil(() => !first.hasIdleDelegateConnection());
            earl.expect((await first.sendRequest({ key: 8 })).body.toString()).toEqual("first");
        });
    });

    test.it("is sent again only if it is idempotent when the other instance is lost", async () => {
        const kill = (request: http.IncomingMessage): unknown => request.socket.destroy();
        await withSilentDelegate({ kind: routing.RouteKind.idempotent }, kill, async first => {
            earl.expect((await first.sendRequest({ key: 8 })).body.toString()).toEqual("first");
        });
        await withSilentDelegate({ kind: routing.RouteKind.once }, kill, async first => {
            earl.expect((await first.sendRequest({ key: 8 })).status).toEqual(502);
            earl.expect(first.requestCounts()).toEqual([0]);
        });
    });

    test.it("is sent by the instance itself in time when the other one is suspended, if it is idempotent", async () => {
        const timers = foundation.createVirtualTimerService();
        let received = 0;
        const onRequest = (): void => {
            received += 1;
        };
        await withSilentDelegate({ kind: routing.RouteKind.idempotent, timers }, onRequest, async first => {
            const pendingResponse = first.sendRequest({ key: 8, deadlineMilliseconds: 5000 });
            await virtualTime.waitUntil(() => received === 1);
            const startedAt = timers.now();
            const advance = async (): Promise<void> => {
                while (first.requestCounts()[0] === 0) {
                    await virtualTime.advance(timers, 10);
                }
            };
            await advance();
            earl.expect(timers.now() - startedAt <= 1300).toEqual(true);
            earl.expect((await pendingResponse).body.toString()).toEqual("first");
        });
    });

    test.it("is waited for while the other instance sends signs of life", async () => {
        const timers = foundation.createVirtualTimerService();
        const secondBehaviour: relayFixture.Behaviour = (request, response, body) => {
            timers.onDelay(4000, () => relayFixture.respondWith("second")(request, response, body));
        };
        const options = {
            kind: routing.RouteKind.idempotent,
            timers,
            timeoutMilliseconds: 6000,
            secondBehaviour,
        };
        await withPair(options, async ({ first, second }) => {
            const pendingResponse = first.sendRequest({ key: 8, deadlineMilliseconds: 6000 });
            await virtualTime.waitUntil(() => second.requestCounts()[0] === 1);
            await virtualTime.advance(timers, 4000);
            earl.expect((await pendingResponse).body.toString()).toEqual("second");
            earl.expect(first.requestCounts()).toEqual([0]);
        });
    });

    test.it("ends at the upstream when the caller leaves", async () => {
        const timers = foundation.createVirtualTimerService();
        await withPair({ secondBehaviour: () => undefined, timers }, async ({ first, second }) => {
            const departure = first.sendAndDisconnect(100, 8);
            await virtualTime.waitUntil(() => second.requestCounts()[0] === 1);
            await virtualTime.advance(timers, 100);
            await virtualTime.waitUntil(() => second.abortedCounts()[0] === 1);
            earl.expect(second.openRequestCount()).toEqual(0);
            await virtualTime.advance(timers, 100);
            await departure;
        });
    });
});

test.describe("what an upstream says of itself in the response to a delegated request", () => {
    test.it("that it is leaving, reaches the delegating instance, which delegates no more requests to it", async () => {
        const secondBehaviour: relayFixture.Behaviour = (request, response) => {
            response.writeHead(200, {
                "request-id": request.headers["request-id"],
                "response-signature": "signature",
                "server-leaving": "1",
                "mulberryseam-upstream": "another,1",
                "content-length": 0,
            });
            response.end();
        };
        const timers = foundation.createVirtualTimerService();
        await withPair({ secondBehaviour, timers }, async ({ first, second }) => {
            const response = await first.sendRequest({ key: 8 });
            earl.expect(response.headers["server-leaving"]).toEqual("1");
            earl.expect(response.headers["mulberryseam-upstream"]).toEqual(undefined);
            earl.expect(first.directory.find("upstream-0")?.leavingSince !== undefined).toEqual(true);
            earl.expect(second.directory.find("upstream-0")?.leavingSince !== undefined).toEqual(true);
            first.directory.onStoreUnreachable(timers.now());
            second.directory.onStoreUnreachable(timers.now());
            await virtualTime.advance(timers, 1600);
            earl.expect((await first.sendRequest({ key: 8 })).status).toEqual(503);
            earl.expect(first.requestCounts()).toEqual([0]);
            earl.expect(second.requestCounts()).toEqual([1]);
        });
    });

    test.it("that it wants none for a time, holds off the requests of the delegate only", async () => {
        const secondBehaviour: relayFixture.Behaviour = (request, response) => {
            response.writeHead(503, {
                "request-id": request.headers["request-id"],
                "not-executed": "1",
                "retry-after": "60",
                "content-length": 0,
            });
            response.end();
        };
        await withPair({ secondBehaviour }, async ({ first, second }) => {
            earl.expect((await first.sendRequest({ key: 8 })).status).toEqual(503);
            earl.expect((await first.sendRequest({ key: 8 })).status).toEqual(503);
            earl.expect(second.requestCounts()).toEqual([1]);
            await second.dispose();
            // A request on a connection whose end has not been read yet may have run.
            await virtualTime.waitUntil(() => !first.hasIdleDelegateConnection());
            earl.expect((await first.sendRequest({ key: 8 })).body.toString()).toEqual("first");
        });
    });
});

test.describe("a response without a length to a delegated request", () => {
    test.it("never looks complete if it is reset together with a part of its body", async () => {
        for (const size of [20_000, 400_000]) {
            const secondBehaviour = relayFixture.sendUnframed(size, relayFixture.resetConnection);
            await withPair({ secondBehaviour }, async ({ first }) => {
                for (let iteration = 1; iteration <= 25; iteration += 1) {
                    const { status, isComplete } = await first.sendRequest({ key: 8 });
                    earl.expect(status === 200 && isComplete).toEqual(false);
                }
            });
        }
    });

    for (const size of [0, 20_000, 400_000]) {
        test.it(`of ${size} bytes is complete if its connection ends regularly`, () => {
            const secondBehaviour = relayFixture.sendUnframed(size, relayFixture.endConnection);
            return withPair({ secondBehaviour }, async ({ first }) => {
                for (let iteration = 1; iteration <= 25; iteration += 1) {
                    const response = await first.sendRequest({ key: 8 });
                    earl.expect([response.status, response.isComplete, response.body.length])
                        .toEqual([200, true, size]);
                }
            });
        });
    }
});
