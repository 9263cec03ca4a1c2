/** The modes of emulated upstreams and what they record of the requests that reach them. */
import * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";

interface Fixture {
    upstream: emulator.EmulatedUpstream;
    arrivals: emulator.EmulatedArrival[];
    send: (path: string, body?: string) => Promise<http.IncomingMessage>;
}

const withUpstream = async (
    use: (fixture: Fixture) => Promise<void>,
    options: emulator.EmulatedUpstreamOptions = {},
): Promise<void> => {
    const owner = foundation.createOwner();
    const arrivals: emulator.EmulatedArrival[] = [];
    const upstream = await emulator.startEmulatedUpstream("upstream-1", owner, {
        ...options,
        onArrival: arrival => arrivals.push(arrival),
    });
    const send = (path: string, body?: string): Promise<http.IncomingMessage> =>
        new Promise((resolve, reject) => {
            const method = body === undefined ? "GET" : "POST";
            const headers = { "request-id": "request-1" };
            const request = http.request({ port: upstream.port, path, method, headers, agent: false }, response => {
                response.resume();
                response.on("end", () => resolve(response));
            });
            request.on("error", reject);
            request.end(body);
        });
    try {
        await use({ upstream, arrivals, send });
    }
    finally {
        await owner.dispose();
    }
};

test.describe("an emulated upstream", () => {
    test.it("that is leaving says so in every answer, also to lease commands, and then stops", () =>
        withUpstream(async ({ upstream, arrivals, send }) => {
            earl.expect((await send("/orders/1")).headers["server-leaving"]).toEqual(undefined);
            upstream.setMode(emulator.UpstreamMode.leaving);
            earl.expect((await send("/orders/1")).headers["server-leaving"]).toEqual("1");
            const command = JSON.stringify({ from: 0, target: 9, fence: 1, hold_time: "1000ms" });
            earl.expect((await send("/mulberryseam/grant", command)).headers["server-leaving"]).toEqual("1");
            earl.expect((await send("/mulberryseam/release", command)).headers["server-leaving"]).toEqual("1");
            earl.expect(arrivals.map(arrival => arrival.isLeaving)).toEqual([false, true]);
            await upstream.leave(0);
            await earl.expect(send("/orders/1")).toBeRejected();
        }));

    test.it("that is busy executes nothing and says when requests may return", () =>
        withUpstream(async ({ upstream, arrivals, send }) => {
            upstream.setMode(emulator.UpstreamMode.busy);
            const { statusCode, headers } = await send("/orders/1");
            earl.expect([statusCode, headers["retry-after"], headers["not-executed"]]).toEqual([503, "1", "1"]);
            earl.expect(upstream.executionCount()).toEqual(0);
            earl.expect(arrivals.map(arrival => arrival.retryAfterMilliseconds)).toEqual([1000]);
            upstream.setMode(emulator.UpstreamMode.serving);
            earl.expect((await send("/orders/1")).statusCode).toEqual(200);
        }));

    test.it("that is cold counts the requests of a second that it runs, and stops when there are too many", async () => {
        const owner = foundation.createOwner();
        const cold = await emulator.startEmulatedUpstream("upstream-1", owner, { maxColdRequestsPerSecond: 3 });
        const send = async (headers: http.OutgoingHttpHeaders = {}): Promise<number> => {
            const response = await new Promise<http.IncomingMessage>((resolve, reject) =>
                http.get({ port: cold.port, path: "/orders/1", headers, agent: false }, resolve).on("error", reject)
            );
            response.resume();
            return response.statusCode ?? 0;
        };
        try {
            for (let index = 0; index < 10; index += 1) {
                await send();
            }
            earl.expect(cold.maxColdRequestsInOneSecond()).toEqual(0);
            cold.setCold(true);
            // Requests that it answers with 421 do not count.
            earl.expect(await send({ "target-instance": "upstream-2" })).toEqual(421);
            earl.expect(await send({ "shard-key": "7" })).toEqual(421);
            earl.expect([await send(), await send(), await send()]).toEqual([200, 200, 200]);
            await earl.expect(send()).toBeRejected();
            await earl.expect(send()).toBeRejected();
            earl.expect(cold.maxColdRequestsInOneSecond()).toEqual(4);
        }
        finally {
            await owner.dispose();
        }
    });

    test.it("that is full never responds, nor to anything after it on the connection, and reports its load", async () => {
        const fullIdentifiers: string[] = [];
        const timers = foundation.createVirtualTimerService();
        const serviceMilliseconds = 100;
        await withUpstream(async ({ upstream, arrivals, send }) => {
            const waitFor = async (condition: () => boolean): Promise<void> => {
                while (!condition()) {
                    await new Promise(resolve => setImmediate(resolve));
                }
            };
            /** Sends a request on a connection of its own, and waits until it has arrived behind those sent before. */
            const sendNext = async (path: string): Promise<{ response: Promise<http.IncomingMessage>; }> => {
                const arrivalCount = arrivals.length + 1;
                const response = send(path);
                await waitFor(() => arrivals.length === arrivalCount);
                return { response };
            };
            const accepted = [await sendNext("/orders/1"), await sendNext("/orders/2")];
            const socket = net.connect(upstream.port, "127.0.0.1");
            let received = "";
            socket.on("data", chunk => {
                received += String(chunk);
            });
            socket.write("GET /orders/3 HTTP/1.1\r\nHost: a\r\nRequest-Id: full\r\n\r\n");
            await waitFor(() => fullIdentifiers.length === 1);
            timers.advance(serviceMilliseconds);
            const first = await accepted[0].response;
            timers.advance(serviceMilliseconds);
            const second = await accepted[1].response;
            earl.expect([first.headers["server-load"], second.headers["server-load"]]).toEqual(["1,1,1", "1,0,1"]);
            socket.write("GET /orders/4 HTTP/1.1\r\nHost: a\r\nRequest-Id: next\r\n\r\n");
            const last = send("/orders/5");
            await waitFor(() => upstream.executionCount() === 3);
            timers.advance(serviceMilliseconds);
            earl.expect((await last).statusCode).toEqual(200);
            socket.destroy();
            earl.expect([received, fullIdentifiers, upstream.executionCount()]).toEqual(["", ["full"], 3]);
        }, {
            queue: { slots: 1, maxWaiting: 1 },
            timers,
            serviceTimeMilliseconds: () => serviceMilliseconds,
            onFull: ({ requestIdentifier }) => fullIdentifiers.push(requestIdentifier),
        });
    });

    test.it("that sends without end stops when the connection closes before the response is its turn", () =>
        withUpstream(async ({ upstream, arrivals }) => {
            const countTimers = (): number =>
                process.getActiveResourcesInfo().filter(resource => resource === "Timeout").length;
            const timersBefore = countTimers();
            const socket = net.connect(upstream.port, "127.0.0.1");
            const sendAndWait = async (arrivalCount: number): Promise<void> => {
                socket.write("GET /orders/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: a\r\n\r\n");
                while (arrivals.length < arrivalCount) {
                    await new Promise(resolve => setImmediate(resolve));
                }
            };
            upstream.setMode(emulator.UpstreamMode.silent);
            await sendAndWait(1);
            upstream.setMode(emulator.UpstreamMode.endless);
            await sendAndWait(2);
            socket.destroy();
            await upstream.stop();
            await new Promise(resolve => setImmediate(resolve));
            earl.expect(countTimers()).toEqual(timersBefore);
        }));

    test.it("reports the slowness of its machine as the fourth figure of its load, and works by it", () => {
        let slowness = 100;
        const serviceTimeMilliseconds = 40;
        return withUpstream(async ({ send }) => {
            earl.expect((await send("/orders/1")).headers["server-load"]).toEqual("0,0,4,100");
            slowness = 300;
            const startedAt = performance.now();
            earl.expect((await send("/orders/1")).headers["server-load"]).toEqual("0,0,4,300");
            // Timers may fire a millisecond early.
            earl.expect(performance.now() - startedAt >= serviceTimeMilliseconds * 3 - 1).toEqual(true);
        }, { slownessPercent: () => slowness, serviceTimeMilliseconds: () => serviceTimeMilliseconds });
    });
});
