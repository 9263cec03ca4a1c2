/** Odd input of the operator, the store, upstreams, callers and other instances, played against real instances. */
import * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as entrySite from "./fixtures/entrySite";

const digits = "9".repeat(400);
const nested = "[".repeat(100_000) + "]".repeat(100_000);

/** Plays an input while requests are in flight; expects that they are answered and that the instances go on serving. */
const expectToGoOn = async (
    site: entrySite.EntrySite,
    name: string,
    play: () => void | Promise<void>,
): Promise<void> => {
    const pending = site.instances.map(instance => site.sendUntilTaken(instance));
    await play();
    await new Promise(resolve => setTimeout(resolve, 100));
    pending.push(...site.instances.map(instance => site.sendUntilTaken(instance)));
    const outcomes = (await Promise.all(pending)).map(entrySite.describeOutcome);
    earl.expect([name, ...outcomes]).toEqual([name, ...outcomes.map(() => 200)]);
    earl.expect([name, ...site.instances.map(instance => instance.isRunning())]).toEqual([name, true, true]);
};

/** Expects that a version that is published now takes effect at every instance, which so still follows the document. */
const expectToFollow = async (site: entrySite.EntrySite): Promise<void> => {
    const version = site.publish();
    await site.waitForLine(line => line.event === "document-in-force" && line.version === version);
};

/** Sends bytes on a connection of their own and waits until it is closed or the time has passed. */
const sendBytes = (host: string, port: number, bytes: Buffer): Promise<void> =>
    new Promise(resolve => {
        const socket = net.connect(port, host, () => socket.write(bytes));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve());
        socket.setTimeout(200, () => socket.destroy());
        socket.resume();
    });

const setSpec = (resources: entrySite.LogLine[], index: number, changes: object): void => {
    resources[index] = { ...resources[index], spec: { ...resources[index].spec as object, ...changes } };
};

const createLimits = (changes: object): entrySite.LogLine => ({
    resourceType: "limits",
    metadata: { name: "limits" },
    spec: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeout: "3s", idleTimeout: "15s", ...changes },
});

const documents: [string, (resources: entrySite.LogLine[]) => void][] = [
    ["a time limit with very many digits", resources => setSpec(resources, 1, { timeout: `${digits}s` })],
    ["a target with very many digits", resources => setSpec(resources, 1, { targetLatency: `${digits}ms` })],
    ["an idle timeout with very many digits", resources => resources.push(createLimits({ idleTimeout: `${digits}s` }))],
    [
        "a header timeout with very many digits",
        resources => resources.push(createLimits({ headerTimeout: `${digits}s` })),
    ],
    ["fractions of milliseconds", resources => resources.push(createLimits({ headerTimeout: "3000.5ms" }))],
    ["very large weights", resources =>
        setSpec(resources, 1, {
            service: undefined,
            trafficSplit: [{ service: "orders", weight: 1e308 }, { service: "orders", weight: 1e308 }],
        })],
    ["a weight of 0", resources =>
        setSpec(resources, 1, {
            service: undefined,
            trafficSplit: [{ service: "orders", weight: 1 }, { service: "gone", weight: 0 }],
        })],
    [
        "no weight above 0",
        resources => setSpec(resources, 1, { service: undefined, trafficSplit: [{ service: "orders", weight: 0 }] }),
    ],
    [
        "a weight that is no number",
        resources => setSpec(resources, 1, { service: undefined, trafficSplit: [{ service: "orders", weight: "1" }] }),
    ],
    ["no connections", resources => setSpec(resources, 3, { maxConnections: 0 })],
    ["a negative number of connections", resources => setSpec(resources, 3, { maxConnections: -1 })],
    ["very many connections and attempts", resources => {
        setSpec(resources, 3, { maxConnections: Number.MAX_SAFE_INTEGER });
        setSpec(resources, 1, { maxAttempts: Number.MAX_SAFE_INTEGER });
    }],
    ["a negative priority", resources => setSpec(resources, 1, { priority: -1_000_000 })],
    ["a route without fields", resources => resources.push({ resourceType: "routes" })],
    ["a service whose name is that of a property", resources =>
        resources.push({
            resourceType: "services",
            metadata: { name: "__proto__" },
            spec: { maxConnections: 1, sharded: true },
        })],
    ["resources of unknown types", resources => resources.push({ resourceType: "constructor", spec: 1 })],
];

const rawDocuments: [string, string | Buffer][] = [
    ["very deeply nested", nested],
    ["no JSON", "{"],
    ["bytes that are no text", Buffer.from([0xff, 0x00, 0xfe])],
    ["a version too large", "{\"version\":\"r" + digits + "\",\"resources\":[]}"],
    ["no resources", "{\"version\":\"r5\"}"],
];

const callerBytes: [string, string][] = [
    [
        "a header whose name is no token",
        "GET /orders/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: odd\r\nPHP Warning: stale\r\n\r\n",
    ],
    ["a tab in the target", "GET /orders/1\t2 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: odd\r\n\r\n"],
    ["no request", "\u0000\u0001\u0002\r\n\r\n"],
    ["a tunnel", "CONNECT site.example:443 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: odd\r\n\r\n"],
    [
        "another protocol",
        "GET /orders/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: odd\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    ],
    [
        "a deadline too large",
        "GET /orders/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: odd\r\nRequest-Deadline-Ms: 1e300\r\n\r\n",
    ],
    [
        "a key out of range",
        "GET /records/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: odd\r\nShard-Key: 1e300\r\n\r\n",
    ],
    [
        "an odd chunk",
        "POST /orders/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: odd\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    ],
    [
        "half a request",
        "POST /orders/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: odd\r\nContent-Length: 100\r\n\r\nhalf",
    ],
];

const upstreamHeads: [string, string][] = [
    ["a header whose name is no token", "200 OK\r\nPHP Warning: cache is stale"],
    ["the status 000", "000 OK"],
    ["the status 999", "999 OK"],
    ["an idle timeout with very many digits", `200 OK\r\nKeep-Alive: timeout=${digits}`],
    ["a load too large", "200 OK\r\nServer-Load: 1e308,1e308,4"],
    ["a change of the protocol", "101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c"],
];

const frames: [string, Buffer][] = [
    ["no frame", Buffer.from([0xff, 0xff, 0xff, 0xff, 1, 2, 3])],
    ["no message", protocol.encodeFrame({ kind: "unheard-of" } as unknown as protocol.RoutingMessage)],
    ["an empty frame", Buffer.alloc(4)],
    ["a very deeply nested frame", Buffer.concat([Buffer.from([0, 0, 0xc3, 0x50]), Buffer.alloc(50_000, 0x81)])],
    [
        "a report before the join",
        protocol.encodeFrame({
            kind: "report",
            samples: [{ service: "records", keys: [-1, 70_000], weight: 1e300 }],
            speeds: [["records-1", 0]],
        }),
    ],
    [
        "a join with odd fields",
        protocol.encodeFrame({
            kind: "join",
            version: protocol.routingProtocolVersion,
            identifier: "odd",
            failureDomain: "north-a",
            delegate: { identifier: "odd", host: "999.0.0.1", port: 80_800 },
            knownTopics: ["__proto__"],
        }),
    ],
];

test.describe("odd input", () => {
    test.it("does not end the instances, their requests or what they follow", () =>
        entrySite.withEntrySite({ instances: 2, serviceTimeMilliseconds: 150 }, async site => {
            const { instances, store } = site;
            for (const [name, change] of documents) {
                await expectToGoOn(site, name, () => {
                    site.publish(change);
                });
                await expectToFollow(site);
            }
            for (const [name, value] of rawDocuments) {
                await expectToGoOn(site, name, () => store.put("keyed.op", "config", value));
                await expectToFollow(site);
            }
            for (const [name, text] of callerBytes) {
                await expectToGoOn(site, name, async () => {
                    for (const { host, callerPort } of instances) {
                        await sendBytes(host, callerPort, Buffer.from(text, "latin1"));
                    }
                });
            }
            for (const [name, bytes] of frames) {
                await expectToGoOn(site, name, async () => {
                    for (const { host, peerPort } of instances) {
                        await sendBytes(host, peerPort, bytes);
                        await sendBytes(host, peerPort + 1, bytes);
                    }
                });
            }
            for (const mode of [emulator.StoreMode.losing, emulator.StoreMode.busy]) {
                await expectToGoOn(site, `the store is ${mode}`, () => store.setMode(mode));
                store.setMode(emulator.StoreMode.serving);
            }
            await expectToFollow(site);
            const errors = instances.flatMap(({ lines }) => lines.filter(line => line.event === "internal-error"));
            earl.expect(errors).toEqual([]);
        }));

    test.it("of one upstream ends neither the instances nor the requests at the sound ones", () =>
        entrySite.withEntrySite({ instances: 2, serviceTimeMilliseconds: 150 }, async site => {
            for (const [name, head] of upstreamHeads) {
                const owner = foundation.createOwner();
                site.owner.onCleanup(owner.dispose);
                const port = await startOddUpstream(head, owner);
                const entry = entrySite.createRegistryEntry({ address: `127.0.0.1:${port}` });
                site.store.put("keyed.servers", "odd", JSON.stringify(entry));
                let answered = 0;
                for (let round = 0; round < 5; round += 1) {
                    const sent = site.instances.flatMap(instance =>
                        Array.from({ length: 8 }, () => site.sendUntilTaken(instance))
                    );
                    const responses = await Promise.all(sent);
                    // A request at the odd upstream may be lost, but each one has a response.
                    earl.expect([name, responses.filter(({ status }) => status === 0).length]).toEqual([name, 0]);
                    answered += responses.filter(({ status }) => status === 200).length;
                }
                earl.expect([name, answered > 40]).toEqual([name, true]);
                earl.expect(site.instances.map(instance => instance.isRunning())).toEqual([true, true]);
                site.store.put("keyed.servers", "odd", "");
                await owner.dispose();
            }
        }));
});

const startOddUpstream = async (head: string, owner: foundation.Owner): Promise<number> => {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const identifier = /^request-id: *(.*)\r$/im.exec(data.toString("latin1"))?.[1] ?? "";
            const common = `Request-Id: ${identifier}\r\nResponse-Signature: signature\r\nContent-Length: 2`;
            socket.write(`HTTP/1.1 ${head}\r\n${common}\r\n\r\nok`);
        });
    });
    await foundation.listenOn(server, "127.0.0.1", 0);
    owner.onCleanup(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return (server.address() as net.AddressInfo).port;
};
