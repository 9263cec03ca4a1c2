/** Registry entries of other writers, which must not end an instance or keep it from following the registry. */
import * as earl from "earl";
import * as test from "node:test";
import * as entrySite from "./fixtures/entrySite";

const nested = "[".repeat(100_000) + "]".repeat(100_000);
const digits = "9".repeat(400);
const encode = (changes: entrySite.LogLine): string => JSON.stringify(entrySite.createRegistryEntry(changes));
/** Encodes an entry with a field that JSON.stringify cannot write. */
const encodeRaw = (name: string, value: string): string =>
    JSON.stringify({ ...entrySite.createRegistryEntry({}), [name]: "RAW" }).replace("\"RAW\"", value);

const entries: [string, string | Buffer][] = [
    ["very deeply nested", nested],
    ["very deeply nested in a field", encodeRaw("version", nested)],
    ["very deeply nested objects in a field", encodeRaw("more", "{\"a\":".repeat(50_000) + "1" + "}".repeat(50_000))],
    ["a number of slots too large", encodeRaw("slots", "1e999")],
    ["a number of slots that is no integer", encodeRaw("slots", "1e300")],
    ["a very large number of slots", encode({ slots: Number.MAX_SAFE_INTEGER })],
    ["a start too large", encodeRaw("born", "1e300")],
    ["a very long warm-up", encode({ warmupLeft: `${digits}s` })],
    ["a port out of range", encode({ address: "127.0.0.1:80800" })],
    ["the port 0", encode({ address: "127.0.0.1:0" })],
    ["a port with very many digits", encode({ address: `127.0.0.1:${digits}` })],
    ["an address out of range", encode({ address: "999.0.0.1:80" })],
    ["an address with too few numbers", encode({ address: "127.1:80" })],
    ["no JSON", "{"],
    ["bytes that are no text", Buffer.from([0xff, 0xfe, 0x00, 0x80])],
    ["fields of other types", encode({ slots: "4", state: 1, zone: [], service: {} })],
    ["a list", "[]"],
    ["a service that nothing names", encode({ service: "__proto__" })],
];

const burst = 8;
const keys = [0, 20_000, 65_535];

test.describe("an odd registry entry", () => {
    test.it("does not end the instances, their requests or the reading of the entries after it", () =>
        entrySite.withEntrySite({ instances: 2, serviceTimeMilliseconds: 100 }, async site => {
            const { instances, store } = site;
            for (const instance of instances) {
                await entrySite.waitUntil(async () => {
                    const responses = await Promise.all(keys.map(key => site.sendUntilTaken(instance, key)));
                    return responses.every(({ status }) => status === 200);
                }, "every key is served");
            }
            for (const [index, [name, value]] of entries.entries()) {
                const pending = instances.map(instance => site.sendUntilTaken(instance));
                store.put("keyed.servers", `odd-${index}`, value);
                const probe = `probe-${index}`;
                store.put("keyed.servers", probe, encode({ state: "draining", address: `127.0.0.1:${index + 10}` }));
                await site.waitForLine(line => line.event === "upstream-draining" && line.upstream === probe);
                for (const instance of instances) {
                    pending.push(site.sendUntilTaken(instance, keys[index % 3]));
                    // More requests than the sound upstream has slots, so that every upstream is considered.
                    pending.push(...Array.from({ length: burst }, () => site.sendUntilTaken(instance)));
                }
                const outcomes = (await Promise.all(pending)).map(entrySite.describeOutcome);
                earl.expect([name, ...outcomes]).toEqual([name, ...outcomes.map(() => 200)]);
                earl.expect(instances.map(instance => instance.isRunning())).toEqual([true, true]);
            }
            // The others of the list are odd only in fields that the platform does not define.
            const usable = ["very deeply nested objects in a field"];
            const unusable = entries.flatMap(([name], index) => usable.includes(name) ? [] : [`odd-${index}`]);
            for (const { lines } of instances) {
                const unreadable = lines.filter(line => line.event === "upstream-unreadable");
                earl.expect(unreadable.map(({ upstream }) => upstream)).toEqual(unusable);
            }
            const isInternalError = (line: entrySite.LogLine): boolean => line.event === "internal-error";
            earl.expect(instances.flatMap(({ lines }) => lines.filter(isInternalError))).toEqual([]);
        }));
});
