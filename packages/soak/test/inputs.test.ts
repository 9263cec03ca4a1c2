/** Tests of what a soak run feeds to instances: versions of the document, odd registry entries and malformed responses. */
import * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as soak from "@mulberryseam/soak";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";

test.describe("documents of a soak run", () => {
    test.it("are valid in every shape, and differ between versions", () => {
        const random = foundation.createRandom(1);
        const shapes = Array.from({ length: 50 }, () => soak.createShape(random));
        const routeCounts = shapes.map((shape, index) => {
            const parsed = platform.parseDocument(Buffer.from(soak.createDocument(index + 1, shape))).unwrap();
            const services = parsed.routes.flatMap(route => route.destinations.map(({ service }) => service));
            earl.expect(services.filter(service => !parsed.services.has(service))).toEqual([]);
            earl.expect(parsed.ignored).toEqual(undefined);
            return parsed.routes.length;
        });
        earl.expect(new Set(routeCounts).size > 3).toEqual(true);
        earl.expect(shapes.some(shape => shape.additionalWeight > 0)).toEqual(true);
        earl.expect(shapes.some(shape => shape.hasUnknownRegion)).toEqual(true);
    });
});

test.describe("odd registry entries of a soak run", () => {
    const address = "127.0.0.1:8000";
    const entries = Array.from({ length: 200 }, (...[, index]) => soak.createOddEntry(index, address, "records"));

    test.it("include one without its start at the address of an upstream, deep nesting and text that is not JSON", () => {
        const hasStart = (value: string): boolean => value.includes("\"born\"");
        const isAtUpstream = (value: string): boolean => value.includes(`"${address}"`);
        earl.expect(entries.some(({ value }) => isAtUpstream(value) && !hasStart(value))).toEqual(true);
        earl.expect(entries.some(({ value }) => value.startsWith("[[[["))).toEqual(true);
        earl.expect(entries.some(({ value }) => value.startsWith("not JSON"))).toEqual(true);
        earl.expect(entries.some(({ value }) => value.includes("\"slots\":1e999"))).toEqual(true);
    });

    test.it("never delete a record or have the key of an upstream", () => {
        earl.expect(entries.filter(({ value }) => value === "")).toEqual([]);
        earl.expect(entries.filter(({ key }) => /^(records|orders)-/.test(key))).toEqual([]);
    });
});

test.describe("malformed responses of an emulated upstream", () => {
    const requestCount = 150;
    const identifierOf = (index: number): string => `request-${index}`;

    /** Sends a request on a connection of its own and returns what was received until the connection ended. */
    const receive = (port: number, identifier: string): Promise<{ text: string; code: string | undefined; }> =>
        new Promise(resolve => {
            let text = "";
            const socket = net.connect({ host: "127.0.0.1", port }, () => {
                socket.write(`GET /orders/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: ${identifier}\r\n\r\n`);
            });
            let code: string | undefined;
            socket.on("data", chunk => {
                text += String(chunk);
                if (text.includes(`answer to ${identifier}`)) {
                    setTimeout(() => socket.end(), 40);
                }
            });
            socket.on("error", error => {
                ({ code } = error as NodeJS.ErrnoException);
            });
            socket.on("close", () => resolve({ text, code }));
        });

    test.it("are of every kind, beside proper ones, and each request is executed once", async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        const executed: string[] = [];
        const upstream = await emulator.startEmulatedUpstream("upstream-1", owner, {
            onExecution: ({ requestIdentifier }) => executed.push(requestIdentifier),
            random: foundation.createRandom(1),
        });
        upstream.setMode(emulator.UpstreamMode.malformed);
        const identifiers = Array.from({ length: requestCount }, (...[, index]) => identifierOf(index));
        const responses = await Promise.all(identifiers.map(identifier => receive(upstream.port, identifier)));
        await owner.dispose();
        earl.expect([...executed].sort()).toEqual([...identifiers].sort());
        const countMatching = (pattern: RegExp): number => responses.filter(({ text }) => pattern.test(text)).length;
        const patterns = [
            /\r\nPHP Warning: /,
            /^HTTP\/1.1 (000|099|999) /,
            /timeout=9{400}/,
            /server-load: 1e308/,
            /^HTTP\/1.1 503 .*\r\nRequest-Id: earlier(.|\r|\n)*HTTP\/1.1 200/,
            /HTTP\/1.1 200(.|\r|\n)*HTTP\/1.1 503/,
            /Fatal error/,
        ];
        earl.expect(patterns.filter(pattern => countMatching(pattern) === 0)).toEqual([]);
        earl.expect(responses.some(({ code }) => code === "ECONNRESET")).toEqual(true);
        earl.expect(responses.some(({ text }) => !text.includes("\r\n\r\n"))).toEqual(true);
        const proper = responses.filter(({ text }, index) =>
            text.startsWith("HTTP/1.1 200 OK") && text.endsWith(`answer to ${identifierOf(index)}`)
        );
        earl.expect(proper.length > requestCount / 2).toEqual(true);
    });
});
