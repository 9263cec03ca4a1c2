/** Runs a site on stand-ins, sends requests of every rank, kills a server and an instance, and prints the results. */
import * as foundation from "@mulberryseam/foundation";
import * as sites from "@mulberryseam/site";
import * as crypto from "node:crypto";

interface ResultCounters {
    rank: string;
    sent: number;
    answered: number;
    notRun: number;
    unknown: number;
    wrong: number;
    latencies: number[];
}

interface Workload {
    service: string;
    rank: string;
    isKeyed: boolean;
    bodyBytes: number;
    isIdempotent: boolean;
}

const startTimeoutMilliseconds = 60_000;
const roundPauseMilliseconds = 20;
const rounds = 250;
const killServerRound = 60;
const killInstanceRound = 120;

const print = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

const createResultCounters = (rank: string): ResultCounters => ({
    rank,
    sent: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    wrong: 0,
    latencies: [],
});

const countResponse = (counters: ResultCounters, response: sites.CallerResponse): void => {
    counters.sent += 1;
    counters.latencies.push(response.milliseconds);
    if (response.outcome === "answered") {
        counters.answered += 1;
    }
    else if (response.outcome === "not-run") {
        counters.notRun += 1;
    }
    else {
        // Includes requests without a response: the caller of a killed instance cannot know whether its request ran.
        counters.unknown += 1;
    }
    if (response.isMisdelivered || response.isCorrupted) {
        counters.wrong += 1;
    }
};

const percentile = (values: readonly number[], fraction: number): number => {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
};

const sendRequest = async (
    site: sites.Site,
    workload: Workload,
    round: number,
    counters: ResultCounters,
): Promise<void> => {
    const runningInstances = site.instances.filter(instance => instance.process.isRunning());
    const instance = runningInstances[round % runningInstances.length];
    const response = await sites.sendRequest({
        instance: instance.callers,
        service: workload.service,
        rank: workload.rank,
        key: workload.isKeyed ? `key-${round * 7 % 997}` : undefined,
        method: workload.bodyBytes > 0 ? "POST" : "GET",
        body: workload.bodyBytes > 0 ? crypto.randomBytes(workload.bodyBytes) : undefined,
        isIdempotent: workload.isIdempotent,
        deadlineMilliseconds: 5000,
    });
    countResponse(counters, response);
};

const printResults = (results: readonly ResultCounters[]): void => {
    print("");
    print("rank      sent  answered  not run  unknown  wrong   p50 ms   p99 ms");
    for (const counters of results) {
        const columns = [
            counters.rank.padEnd(8),
            String(counters.sent).padStart(6),
            String(counters.answered).padStart(9),
            String(counters.notRun).padStart(8),
            String(counters.unknown).padStart(8),
            String(counters.wrong).padStart(6),
            percentile(counters.latencies, 0.5).toFixed(1).padStart(8),
            percentile(counters.latencies, 0.99).toFixed(1).padStart(8),
        ];
        print(columns.join(" "));
    }
    print("");
};

const runWorkloads = async (site: sites.Site, results: readonly ResultCounters[]): Promise<void> => {
    const [keyed, orders, uploads] = site.document.services;
    const workloads: Workload[] = [
        { service: keyed.name, rank: results[0].rank, isKeyed: true, bodyBytes: 0, isIdempotent: true },
        { service: orders.name, rank: results[1].rank, isKeyed: false, bodyBytes: 200, isIdempotent: false },
        { service: uploads.name, rank: results[2].rank, isKeyed: false, bodyBytes: 300_000, isIdempotent: false },
    ];
    const pendingRequests: Promise<void>[] = [];
    for (let round = 0; round < rounds; round++) {
        if (round === killServerRound) {
            const [name] = site.servers.keys();
            print(`Killing server ${name}; its keys go to their heirs.`);
            await site.saveHistory(name);
            await site.servers.get(name)?.process.kill();
        }
        if (round === killInstanceRound) {
            print(`Killing instance ${site.instances[1].name}; the others go on.`);
            await site.instances[1].process.kill();
        }
        workloads.forEach((workload, index) =>
            pendingRequests.push(sendRequest(site, workload, round, results[index]))
        );
        await sites.wait(roundPauseMilliseconds);
    }
    await Promise.all(pendingRequests);
};

const main = async (): Promise<number> => {
    const exitsAfterRun = process.argv.includes("--once");
    const owner = foundation.createOwner();
    const interrupted = new Promise<void>(resolve => process.once("SIGINT", () => resolve()));
    void interrupted.then(() => owner.dispose()).then(() => process.exit(0));
    try {
        print("Starting a log service, an instance list, 39 upstreams and 8 instances on loopback.");
        const document = await sites.loadExample("dar-el-sikka");
        const site = await sites.createSite({ document, instanceCount: 8 }, owner);
        await site.waitUntilServing(startTimeoutMilliseconds);
        print("Every key has an owner and every instance is a member.");
        const results = document.ranks.map(rank => createResultCounters(rank.name));
        await runWorkloads(site, results);
        printResults(results);
        const ownershipCheck = sites.checkOwnership(await site.ownershipIntervals());
        print(`Slots with two owners at any moment: ${ownershipCheck.overlappingOwners}.`);
        const isSuccessful = ownershipCheck.overlappingOwners === 0 && results.every(counters => counters.wrong === 0)
            && results.every(counters => counters.answered >= counters.sent * 0.95);
        print(isSuccessful ? "All answers were right." : "Some answers were wrong or missing.");
        if (!exitsAfterRun) {
            const operators = site.instances[0].operators;
            print("The site goes on running. Try next, in another terminal:");
            print(`  npm run -s mulberryseam -- status --instance ${operators}`);
            print(`  npm run -s mulberryseam -- explain key-42 --instance ${operators}`);
            print(`  curl -i -H 'mulberryseam-key: key-42' http://${site.instances[0].callers}/die-archive/drawing`);
            print("Ctrl-C ends everything.");
            await interrupted;
        }
        return isSuccessful ? 0 : 1;
    }
    finally {
        await owner.dispose();
    }
};

void main().then(code => process.exit(code), error => {
    process.stderr.write(`${(error as Error).stack}\n`);
    process.exit(1);
});
