/** Every instance replaced in turn under load, with slow uploads in flight. */
import * as sites from "@mulberryseam/site";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as rankedLoad from "./rankedLoad";
import type * as scenario from "./scenario";

const startTimeoutMilliseconds = 30_000;
const uploadBytes = 300_000;
const uploadChunkBytes = 10_000;
const uploadPauseMilliseconds = 60;
const leadMilliseconds = 300;
const settleMilliseconds = 700;

const loads: readonly rankedLoad.RankLoad[] = [
    { rank: "lookup", perSecond: 100, workMilliseconds: 10, bodyBytes: 0, isIdempotent: true },
    { rank: "order", perSecond: 60, workMilliseconds: 30, bodyBytes: 300, isIdempotent: false },
];

const uploadSlowly = (address: string): Promise<boolean> =>
    new Promise(resolve => {
        const body = crypto.randomBytes(uploadBytes);
        const digest = crypto.createHash("sha256").update(body).digest("hex");
        const [host, port] = address.split(":");
        const request = http.request({
            host,
            port: Number(port),
            path: "/proof-room/scan",
            method: "POST",
            headers: { "content-length": body.length, "mulberryseam-rank": "scan", "mulberryseam-idempotent": "false" },
        }, response => {
            let text = "";
            response.on("data", chunk => {
                text += String(chunk);
            });
            response.on("end", () => resolve(response.statusCode === 200 && text.includes(digest)));
            response.on("error", () => resolve(false));
        });
        request.on("error", () => resolve(false));
        const send = async (): Promise<void> => {
            for (let start = 0; start < body.length && !request.destroyed; start += uploadChunkBytes) {
                request.write(body.subarray(start, start + uploadChunkBytes));
                await sites.wait(uploadPauseMilliseconds);
            }
            request.end();
        };
        void send();
    });

const replaceAll = async (site: sites.Site, entries: string[], say: (text: string) => void): Promise<boolean[]> => {
    const uploads: Promise<boolean>[] = [];
    for (const [index, instance] of [...site.instances].entries()) {
        say(`replacing ${instance.name}`);
        uploads.push(uploadSlowly(instance.callers));
        await sites.wait(leadMilliseconds);
        // The platform's balancer sees that the instance leaves and sends it nothing new.
        entries.splice(entries.indexOf(instance.callers), 1);
        await site.updateInstanceList([instance.name]);
        await instance.process.stop();
        await site.restartInstance(index);
        await site.updateInstanceList();
        await sites.wait(settleMilliseconds);
        entries.push(instance.callers);
    }
    return Promise.all(uploads);
};

/** The scenario. */
export const rollingStopScenario: scenario.Scenario = {
    name: "rolling-stop",
    description: "all instances are replaced in turn under load, each with a slow upload in flight",
    run: async ({ seed, owner, say }: scenario.ScenarioRun): Promise<scenario.Figures> => {
        const site = await sites.createSite(
            { document: await sites.loadExample("dar-el-sikka"), instanceCount: 8 },
            owner,
        );
        await site.waitUntilServing(startTimeoutMilliseconds);
        const entries = site.instances.map(instance => instance.callers);
        const targetOf = (rank: string): number =>
            site.document.ranks.find(entry => entry.name === rank)?.targetMilliseconds ?? 0;
        const running = rankedLoad.runRankedLoad({
            seed,
            entries: () => entries,
            service: "order-book",
            loads,
            durationMilliseconds: 27_000,
            targetOf,
        });
        const uploads = await replaceAll(site, entries, say);
        const results = await running;
        return {
            uploads: uploads.length,
            uploadsCut: uploads.filter(isWhole => !isWhole).length,
            ranks: Object.fromEntries(results.map(result => [result.rank, result.figures])),
            ...await rankedLoad.judgeRuns(site, "order-book", results, loads),
            overlappingOwners: sites.checkOwnership(await site.ownershipIntervals()).overlappingOwners,
        };
    },
};
