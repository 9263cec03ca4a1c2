/** What an instance adds to a request: latency against calling the upstream directly, processor time, memory. */
import * as sites from "@mulberryseam/site";
import * as undici from "undici";
import * as processUsage from "./processUsage";
import type * as scenario from "./scenario";
import * as tally from "./tally";

const warmUpRequests = 500;
const pairs = 2000;
const busyMilliseconds = 8000;
const busyConcurrency = 24;
const idleMilliseconds = 5000;
const startTimeoutMilliseconds = 30_000;

const run = async ({ owner, say }: scenario.ScenarioRun): Promise<scenario.Figures> => {
    const site = await sites.createSite({ document: await sites.loadExample("dar-el-sikka"), instanceCount: 8 }, owner);
    await site.waitUntilServing(startTimeoutMilliseconds);
    const [, pool] = site.document.services;
    const rank = site.document.ranks[1].name;
    const instance = site.instances[0];
    const dispatcher = new undici.Agent({ connections: 64 });
    owner.onCleanup(() => dispatcher.close());
    const viaInstance = async (): Promise<number> => {
        const answer = await sites.sendRequest({
            instance: instance.callers,
            service: pool.name,
            rank,
            workMilliseconds: 0,
            dispatcher,
        });
        return answer.outcome === "answered" ? answer.milliseconds : Infinity;
    };
    const direct = async (index: number): Promise<number> => {
        const startedAt = performance.now();
        const upstream = pool.upstreams[index % pool.upstreams.length];
        const response = await undici.request(`http://${upstream.address}/work`, {
            headers: { "stand-in-work-milliseconds": "0" },
            dispatcher,
        });
        await response.body.text();
        return performance.now() - startedAt;
    };
    for (let index = 0; index < warmUpRequests; index++) {
        await viaInstance();
        await direct(index);
    }
    say("alternating direct requests and requests through an instance");
    const through: number[] = [];
    const straight: number[] = [];
    for (let index = 0; index < pairs; index++) {
        straight.push(await direct(index));
        through.push(await viaInstance());
    }
    say("keeping one instance busy");
    const before = processUsage.readUsage(instance.process.processIdentifier());
    const busyUntil = performance.now() + busyMilliseconds;
    let answered = 0;
    const worker = async (): Promise<void> => {
        while (performance.now() < busyUntil) {
            const milliseconds = await viaInstance();
            answered += Number.isFinite(milliseconds) ? 1 : 0;
        }
    };
    await Promise.all([...Array(busyConcurrency).keys()].map(worker));
    const after = processUsage.readUsage(instance.process.processIdentifier());
    say("leaving all instances idle");
    const idleInstance = site.instances[1].process.processIdentifier();
    const idleBefore = processUsage.readUsage(idleInstance);
    await sites.wait(idleMilliseconds);
    const idleAfter = processUsage.readUsage(idleInstance);
    const processorSeconds = after.processorSeconds - before.processorSeconds;
    const [throughSummary, directSummary] = [tally.summarize(through), tally.summarize(straight)];
    return {
        addedMilliseconds: {
            p50: tally.round((throughSummary.p50 as number) - (directSummary.p50 as number), 2),
            p99: tally.round((throughSummary.p99 as number) - (directSummary.p99 as number), 2),
        },
        throughInstance: throughSummary,
        direct: directSummary,
        requestsPerSecond: tally.round(answered / (busyMilliseconds / 1000), 0),
        requestsPerSecondPerCore: tally.round(answered / processorSeconds, 0),
        residentMegabytes: tally.round(after.residentBytes / 1_048_576, 1),
        idle: {
            controlCoreShare: tally.round(
                (idleAfter.processorSeconds - idleBefore.processorSeconds) / (idleMilliseconds / 1000),
                4,
            ),
            residentMegabytes: tally.round(idleAfter.residentBytes / 1_048_576, 1),
        },
    };
};

/** The scenario. */
export const hopScenario: scenario.Scenario = {
    name: "hop",
    description: "added latency against calling the upstream directly, requests a second a core, memory an instance",
    run,
};
