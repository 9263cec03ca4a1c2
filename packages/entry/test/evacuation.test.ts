/** End-to-end tests of evacuations with separate processes under load. */
import type * as emulator from "@mulberryseam/emulator";
import * as earl from "earl";
import * as test from "node:test";
import * as metrics from "../src/metrics";
import * as entrySite from "./fixtures/entrySite";

const { waitUntil, isReady } = entrySite;

/** Default of the platform's time for an evacuation, in milliseconds. */
const evacuationMilliseconds = 5000;
const misdirectedStatus = 421;
const keys = [0, 300, 9000, 20_000, 31_000, 45_000, 52_000, 65_535];
const evacuated = "north-b";
/** Outcome of a request on a machine that is too busy for the test; the evacuation has no part in it. */
const behindOutcome = "503 the instance is behind with its work";

interface EvacuationSite {
    site: entrySite.EntrySite;
    /** Sends requests to the running instances; returns their outcomes. */
    sendToAll: () => Promise<(number | string)[]>;
    /** Sends requests until a number of milliseconds have passed since a time. */
    sendUntil: (since: number, milliseconds: number) => Promise<void>;
    /** Number of requests that reached the evacuated failure domain after a time, without those that it did not run. */
    countArrivalsAfter: (time: number) => number;
    /** Whether an upstream there holds one of the keys. */
    holdsKeys: () => boolean;
}

/** Runs a test on a site with two upstreams of each service, of which the second is in the failure domain to be evacuated. */
const withEvacuationSite = (run: (site: EvacuationSite) => Promise<void>): Promise<void> => {
    const arrivals: emulator.EmulatedArrival[] = [];
    const options: entrySite.EntrySiteOptions = {
        instances: 2,
        upstreamsPerService: 2,
        failureDomains: ["north-a", evacuated],
        onArrival: arrival => arrivals.push(arrival),
    };
    return entrySite.withEntrySite(options, async site => {
        const there = site.upstreams.filter(({ identifier }) => identifier.endsWith("-2"));
        const sendToAll = async (): Promise<(number | string)[]> => {
            const running = site.instances.filter(instance => instance.isRunning());
            const requests = running.flatMap(instance =>
                [undefined, ...keys].map(async key => entrySite.describeOutcome(await site.send(instance, key)))
            );
            return Promise.all(requests);
        };
        const areAllServed = async (): Promise<boolean> => (await sendToAll()).every(outcome => outcome === 200);
        await waitUntil(areAllServed, "every key is served");
        const holdsKeys = (): boolean => keys.some(key => there.some(upstream => upstream.ownsKey(key)));
        earl.expect(holdsKeys()).toEqual(true);
        await run({
            site,
            sendToAll,
            sendUntil: async (since, milliseconds) =>
                waitUntil(async () => {
                    await sendToAll();
                    return performance.now() > since + milliseconds;
                }, "the time passes"),
            countArrivalsAfter: time =>
                arrivals.filter(({ upstream, arrivedAt, status }) =>
                    there.includes(upstream) && arrivedAt > time && status !== misdirectedStatus
                ).length,
            holdsKeys,
        });
    });
};

const evacuate = ({ site }: EvacuationSite, value: string): number => {
    site.store.put("keyed.op", `evacuate/${evacuated}`, value);
    return performance.now();
};

const hasLine = (event: string) => (line: entrySite.LogLine): boolean =>
    line.event === event && line.failureDomain === evacuated;

const readRemains = async ({ site }: EvacuationSite): Promise<string[]> => {
    const target = { port: metrics.metricsPort, target: "/metrics" };
    const texts = await Promise.all(
        site.instances.filter(instance => instance.isRunning()).map(({ host }) =>
            entrySite.sendRequest({ ...target, host })
        ),
    );
    return texts.flatMap(({ body }) => body.split("\n"))
        .filter(line => line.startsWith("mulberryseam_evacuation_remaining{"));
};

test.describe("an evacuated failure domain", () => {
    // Guards against requests after the bound, lost requests while keys move, and an evacuation that does not end.
    test.it("loses its keys without a lost request, gets nothing after the bound, and is used again after the end", () =>
        withEvacuationSite(async evacuation => {
            const { site, sendToAll, sendUntil, countArrivalsAfter, holdsKeys } = evacuation;
            earl.expect(await readRemains(evacuation)).toEqual([]);
            const begunAt = evacuate(evacuation, "{}");
            const outcomes: (number | string)[] = [];
            await waitUntil(async () => {
                outcomes.push(...await sendToAll());
                return !holdsKeys();
            }, "the keys move");
            earl.expect(performance.now() - begunAt < evacuationMilliseconds).toEqual(true);
            earl.expect(outcomes.filter(outcome => outcome !== 200 && outcome !== behindOutcome)).toEqual([]);
            await site.waitForLine(hasLine("evacuation-begun"));
            const remains = await readRemains(evacuation);
            earl.expect(remains.length).toEqual(4);
            earl.expect(remains.filter(line => !line.endsWith(" 0"))).toEqual([]);

            // An instance that starts later knows of the evacuation before it is ready.
            const third = await site.startInstance();
            await waitUntil(() => isReady(third), "the third instance is ready");
            await waitUntil(() => third.events("evacuation-begun").length === 1, "the third instance knows");
            await sendUntil(begunAt, evacuationMilliseconds + 1500);
            earl.expect(countArrivalsAfter(begunAt + evacuationMilliseconds)).toEqual(0);

            const endedAt = evacuate(evacuation, "");
            await site.waitForLine(hasLine("evacuation-ended"));
            await waitUntil(async () => {
                await sendToAll();
                return countArrivalsAfter(endedAt) > 0;
            }, "the failure domain is used again");
            earl.expect(await readRemains(evacuation)).toEqual([]);
        }));

    // Guards against an evacuation that stands still when its leader is lost, and against requests after the bound meanwhile.
    test.it("loses its keys to the successor of a leader that is lost halfway", () =>
        withEvacuationSite(async evacuation => {
            const { site, sendToAll, sendUntil, countArrivalsAfter, holdsKeys } = evacuation;
            const termOf = ({ events }: entrySite.EntryProcess): number =>
                Number(events("leadership-won").at(-1)?.term ?? 0);
            const [leader] = [...site.instances].sort((left, right) => termOf(right) - termOf(left));
            const begunAt = evacuate(evacuation, "{}");
            await waitUntil(() => leader.lines.some(hasLine("evacuation-begun")), "the leader knows of the evacuation");
            leader.child.kill("SIGKILL");
            await sendUntil(begunAt, evacuationMilliseconds);
            await waitUntil(async () => {
                await sendToAll();
                return !holdsKeys();
            }, "the successor moves the keys");
            await waitUntil(
                async () => (await sendToAll()).every(outcome => outcome === 200),
                "every key is served without the failure domain",
            );
            await sendUntil(begunAt, evacuationMilliseconds + 1500);
            earl.expect(countArrivalsAfter(begunAt + evacuationMilliseconds)).toEqual(0);
        }));

    // Guards against requests that wait, or reach an upstream, when there is no other place for them.
    test.it("refuses requests as not run while there is no other", () =>
        withEvacuationSite(async evacuation => {
            const { site, sendToAll, countArrivalsAfter, sendUntil } = evacuation;
            site.store.put("keyed.op", "evacuate/north-a", "{}");
            const begunAt = evacuate(evacuation, "{}");
            await sendUntil(begunAt, evacuationMilliseconds);
            const refusal = "503 the failure domains of the upstreams are evacuated";
            const outcomes = (await sendToAll()).filter(outcome => outcome !== behindOutcome);
            earl.expect(outcomes.filter(outcome => outcome !== refusal)).toEqual([]);
            earl.expect(countArrivalsAfter(begunAt + evacuationMilliseconds)).toEqual(0);
            evacuate(evacuation, "");
            await waitUntil(
                async () => (await sendToAll()).every(outcome => outcome === 200),
                "the failure domain that is left serves every key",
            );
        }));
});
