/** Brings up the whole path on stand-ins, sends work of every rank, loses things, and shows what happened. */
import * as foundation from "@mulberryseam/foundation";
import * as sites from "@mulberryseam/site";
import * as crypto from "node:crypto";

interface Tally {
    rank: string;
    sent: number;
    answered: number;
    notRun: number;
    unknown: number;
    wrong: number;
    milliseconds: number[];
}

interface Work {
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

const say = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

const createTally = (rank: string): Tally => ({
    rank,
    sent: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    wrong: 0,
    milliseconds: [],
});

const note = (tally: Tally, answer: sites.CallerAnswer): void => {
    tally.sent += 1;
    tally.milliseconds.push(answer.milliseconds);
    if (answer.outcome === "answered") {
        tally.answered += 1;
    }
    else if (answer.outcome === "not-run") {
        tally.notRun += 1;
    }
    else {
        // A caller whose instance was killed learns nothing, which is the same as unknown.
        tally.unknown += 1;
    }
    if (answer.isCrossed || answer.isCut) {
        tally.wrong += 1;
    }
};

const percentile = (values: readonly number[], share: number): number => {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

const sendWork = async (site: sites.Site, work: Work, round: number, tally: Tally): Promise<void> => {
    const running = site.instances.filter(instance => instance.process.isRunning());
    const instance = running[round % running.length];
    const answer = await sites.sendRequest({
        instance: instance.callers,
        service: work.service,
        rank: work.rank,
        key: work.isKeyed ? `key-${round * 7 % 997}` : undefined,
        method: work.bodyBytes > 0 ? "POST" : "GET",
        body: work.bodyBytes > 0 ? crypto.randomBytes(work.bodyBytes) : undefined,
        isIdempotent: work.isIdempotent,
        deadlineMilliseconds: 5000,
    });
    note(tally, answer);
};

const showTable = (tallies: readonly Tally[]): void => {
    say("");
    say("rank      sent  answered  not run  unknown  wrong   p50 ms   p99 ms");
    for (const tally of tallies) {
        const columns = [
            tally.rank.padEnd(8),
            String(tally.sent).padStart(6),
            String(tally.answered).padStart(9),
            String(tally.notRun).padStart(8),
            String(tally.unknown).padStart(8),
            String(tally.wrong).padStart(6),
            percentile(tally.milliseconds, 0.5).toFixed(1).padStart(8),
            percentile(tally.milliseconds, 0.99).toFixed(1).padStart(8),
        ];
        say(columns.join(" "));
    }
    say("");
};

const run = async (site: sites.Site, tallies: readonly Tally[]): Promise<void> => {
    const [keyed, orders, uploads] = site.document.services;
    const works: Work[] = [
        { service: keyed.name, rank: tallies[0].rank, isKeyed: true, bodyBytes: 0, isIdempotent: true },
        { service: orders.name, rank: tallies[1].rank, isKeyed: false, bodyBytes: 200, isIdempotent: false },
        { service: uploads.name, rank: tallies[2].rank, isKeyed: false, bodyBytes: 300_000, isIdempotent: false },
    ];
    const sent: Promise<void>[] = [];
    for (let round = 0; round < rounds; round++) {
        if (round === killServerRound) {
            const [name] = site.servers.keys();
            say(`Killing server ${name}; its keys go to their heirs.`);
            await site.keepHistory(name);
            await site.servers.get(name)?.process.kill();
        }
        if (round === killInstanceRound) {
            say(`Killing instance ${site.instances[1].name}; the others go on.`);
            await site.instances[1].process.kill();
        }
        works.forEach((work, index) => sent.push(sendWork(site, work, round, tallies[index])));
        await sites.wait(roundPauseMilliseconds);
    }
    await Promise.all(sent);
};

const main = async (): Promise<number> => {
    const isOnce = process.argv.includes("--once");
    const owner = foundation.createOwner();
    const stopped = new Promise<void>(resolve => process.once("SIGINT", () => resolve()));
    void stopped.then(() => owner.dispose()).then(() => process.exit(0));
    try {
        say("Starting a log service, an instance list, 39 upstreams and 8 instances on loopback.");
        const document = await sites.loadExample("dar-el-sikka");
        const site = await sites.createSite({ document, instanceCount: 8 }, owner);
        await site.waitUntilServing(startTimeoutMilliseconds);
        say("Every key has an owner and every instance is a member.");
        const tallies = document.ranks.map(rank => createTally(rank.name));
        await run(site, tallies);
        showTable(tallies);
        const judgement = sites.judgeOwnership(await site.ownership());
        say(`Slots with two owners at any moment: ${judgement.overlappingOwners}.`);
        const isRight = judgement.overlappingOwners === 0 && tallies.every(tally => tally.wrong === 0)
            && tallies.every(tally => tally.answered >= tally.sent * 0.95);
        say(isRight ? "All answers were right." : "Some answers were wrong or missing.");
        if (!isOnce) {
            const operators = site.instances[0].operators;
            say("The site goes on running. Try next, in another terminal:");
            say(`  npm run -s mulberryseam -- status --instance ${operators}`);
            say(`  npm run -s mulberryseam -- explain key-42 --instance ${operators}`);
            say(`  curl -i -H 'mulberryseam-key: key-42' http://${site.instances[0].callers}/die-archive/drawing`);
            say("Ctrl-C ends everything.");
            await stopped;
        }
        return isRight ? 0 : 1;
    }
    finally {
        await owner.dispose();
    }
};

void main().then(code => process.exit(code), error => {
    process.stderr.write(`${(error as Error).stack}\n`);
    process.exit(1);
});
