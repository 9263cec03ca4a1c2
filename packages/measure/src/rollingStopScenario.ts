/** Replaces every instance in turn under load, with slow uploads in flight. */
import * as sites from "@mulberryseam/site";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as rankedLoad from "./rankedLoad";
import type * as scenario from "./scenario";

const startTimeoutMilliseconds = 30_000;
const uploadBytes = 300_000;
const uploadChunkBytes = 10_000;
const uploadPauseMilliseconds = 60;
const uploadHeadStartMilliseconds = 300;
const settleMilliseconds = 700;

const loads: readonly rankedLoad.RankLoad[] = [
    { rank: "lookup", requestsPerSecond: 100, workMilliseconds: 10, bodyBytes: 0, isIdempotent: true },
    { rank: "order", requestsPerSecond: 60, workMilliseconds: 30, bodyBytes: 300, isIdempotent: false },
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
            let responseText = "";
            response.on("data", chunk => {
                responseText += String(chunk);
            });
            response.on("end", () => resolve(response.statusCode === 200 && responseText.includes(digest)));
            response.on("error", () => resolve(false));
        });
        request.on("error", () => resolve(false));
        const sendBody = async (): Promise<void> => {
            for (let offset = 0; offset < body.length && !request.destroyed; offset += uploadChunkBytes) {
                request.write(body.subarray(offset, offset + uploadChunkBytes));
                await sites.wait(uploadPauseMilliseconds);
            }
            request.end();
        };
        void sendBody();
    });

const replaceInstances = async (
    site: sites.Site,
    addresses: string[],
    reportProgress: (text: string) => void,
): Promise<boolean[]> => {
    const uploads: Promise<boolean>[] = [];
    for (const [index, instance] of [...site.instances].entries()) {
        reportProgress(`replacing ${instance.name}`);
        uploads.push(uploadSlowly(instance.callers));
        await sites.wait(uploadHeadStartMilliseconds);
        // The platform's load balancer learns that the instance is leaving and sends it no new requests.
        addresses.splice(addresses.indexOf(instance.callers), 1);
        await site.updateInstanceList([instance.name]);
        await instance.process.stop();
        await site.restartInstance(index);
        await site.updateInstanceList();
        await sites.wait(settleMilliseconds);
        addresses.push(instance.callers);
    }
    return Promise.all(uploads);
};

/** Counts uploads and requests that fail while instances are replaced. */
export const rollingStopScenario: scenario.Scenario = {
    name: "rolling-stop",
    description: "all instances are replaced in turn under load, each with a slow upload in flight",
    run: async ({ seed, owner, reportProgress }: scenario.ScenarioContext): Promise<scenario.Measurements> => {
        const site = await sites.createSite(
            { document: await sites.loadExample("dar-el-sikka"), instanceCount: 8 },
            owner,
        );
        await site.waitUntilServing(startTimeoutMilliseconds);
        const addresses = site.instances.map(instance => instance.callers);
        const getTargetMilliseconds = (rank: string): number =>
            site.document.ranks.find(entry => entry.name === rank)?.targetMilliseconds ?? 0;
        const pendingResults = rankedLoad.runRankedLoad({
            seed,
            getAddresses: () => addresses,
            service: "order-book",
            loads,
            durationMilliseconds: 27_000,
            getTargetMilliseconds,
        });
        const uploads = await replaceInstances(site, addresses, reportProgress);
        const results = await pendingResults;
        return {
            uploads: uploads.length,
            uploadsCut: uploads.filter(isComplete => !isComplete).length,
            ranks: Object.fromEntries(results.map(result => [result.rank, result.measurements])),
            ...await rankedLoad.countExecutionErrors(site, "order-book", results, loads),
            overlappingOwners: sites.checkOwnership(await site.ownershipIntervals()).overlappingOwners,
        };
    },
};
