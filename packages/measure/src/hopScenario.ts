/** Cost of a request through an instance: latency added to a direct call of the upstream, processor time and memory. */
import * as sites from "@mulberryseam/site";
import * as undici from "undici";
import * as processUsage from "./processUsage";
import * as resultCounters from "./resultCounters";
import type * as scenario from "./scenario";

const warmUpRequests = 500;
const pairCount = 2000;
const busyMilliseconds = 8000;
const busyConcurrency = 24;
const idleMilliseconds = 5000;
const startTimeoutMilliseconds = 30_000;

const run = async ({ owner, reportProgress }: scenario.ScenarioContext): Promise<scenario.Measurements> => {
    const site = await sites.createSite({ document: await sites.loadExample("dar-el-sikka"), instanceCount: 8 }, owner);
    await site.waitUntilServing(startTimeoutMilliseconds);
    const [, pooledService] = site.document.services;
    const rank = site.document.ranks[1].name;
    const instance = site.instances[0];
    const dispatcher = new undici.Agent({ connections: 64 });
    owner.onCleanup(() => dispatcher.close());
    const measureThroughInstance = async (): Promise<number> => {
        const response = await sites.sendRequest({
            instance: instance.callers,
            service: pooledService.name,
            rank,
            workMilliseconds: 0,
            dispatcher,
        });
        return response.outcome === "answered" ? response.milliseconds : Infinity;
    };
    const measureDirect = async (index: number): Promise<number> => {
        const startedAt = performance.now();
        const upstream = pooledService.upstreams[index % pooledService.upstreams.length];
        const response = await undici.request(`http://${upstream.address}/work`, {
            headers: { "stand-in-work-milliseconds": "0" },
            dispatcher,
        });
        await response.body.text();
        return performance.now() - startedAt;
    };
    for (let index = 0; index < warmUpRequests; index++) {
        await measureThroughInstance();
        await measureDirect(index);
    }
    reportProgress("alternating direct requests and requests through an instance");
    const throughInstanceTimes: number[] = [];
    const directTimes: number[] = [];
    for (let index = 0; index < pairCount; index++) {
        directTimes.push(await measureDirect(index));
        throughInstanceTimes.push(await measureThroughInstance());
    }
    reportProgress("loading one instance");
    const usageBefore = processUsage.readUsage(instance.process.processIdentifier());
    const busyUntil = performance.now() + busyMilliseconds;
    let answeredCount = 0;
    const sendRequests = async (): Promise<void> => {
        while (performance.now() < busyUntil) {
            const milliseconds = await measureThroughInstance();
            answeredCount += Number.isFinite(milliseconds) ? 1 : 0;
        }
    };
    await Promise.all([...Array(busyConcurrency).keys()].map(sendRequests));
    const usageAfter = processUsage.readUsage(instance.process.processIdentifier());
    reportProgress("measuring an idle instance");
    const idleProcessIdentifier = site.instances[1].process.processIdentifier();
    const idleUsageBefore = processUsage.readUsage(idleProcessIdentifier);
    await sites.wait(idleMilliseconds);
    const idleUsageAfter = processUsage.readUsage(idleProcessIdentifier);
    const processorSeconds = usageAfter.processorSeconds - usageBefore.processorSeconds;
    const [throughInstanceSummary, directSummary] = [
        resultCounters.summarize(throughInstanceTimes),
        resultCounters.summarize(directTimes),
    ];
    return {
        addedMilliseconds: {
            p50: resultCounters.round((throughInstanceSummary.p50 as number) - (directSummary.p50 as number), 2),
            p99: resultCounters.round((throughInstanceSummary.p99 as number) - (directSummary.p99 as number), 2),
        },
        throughInstance: throughInstanceSummary,
        direct: directSummary,
        requestsPerSecond: resultCounters.round(answeredCount / (busyMilliseconds / 1000), 0),
        requestsPerSecondPerCore: resultCounters.round(answeredCount / processorSeconds, 0),
        residentMegabytes: resultCounters.round(usageAfter.residentBytes / 1_048_576, 1),
        idle: {
            controlCoreShare: resultCounters.round(
                (idleUsageAfter.processorSeconds - idleUsageBefore.processorSeconds) / (idleMilliseconds / 1000),
                4,
            ),
            residentMegabytes: resultCounters.round(idleUsageAfter.residentBytes / 1_048_576, 1),
        },
    };
};

/** Measures the added latency, the throughput for each core and the memory of an instance. */
export const hopScenario: scenario.Scenario = {
    name: "hop",
    description: "added latency against calling the upstream directly, requests a second a core, memory an instance",
    run,
};
