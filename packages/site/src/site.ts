/** A site: stand-ins of the platform and of upstreams, and instances, each a process of its own. */
import type * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import type * as runningInstance from "@mulberryseam/instance";
import * as ledger from "@mulberryseam/ledger";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as undici from "undici";
import * as yaml from "yaml";
import * as bundling from "./bundles";
import * as childProcess from "./childProcess";
import type * as ownershipJudge from "./ownershipJudge";
import * as portReservation from "./ports";
import * as wait from "./wait";

/** What a site is made of. */
export interface SiteOptions {
    document: configuration.Environment;
    instanceCount: number;
    /** Lag of the instance list. */
    listLagMilliseconds?: number;
    /** Time during which new upstreams are slow. */
    coldMilliseconds?: number;
}

/** An instance of the site. */
export interface InstanceProcess {
    name: string;
    region: string;
    callers: string;
    operators: string;
    peers: string;
    settingsFile: string;
    process: childProcess.SiteProcess;
    status: () => Promise<runningInstance.OperatorStatus | undefined>;
}

/** A server of keys. */
export interface ServerProcess {
    name: string;
    service: string;
    address: string;
    process: childProcess.SiteProcess;
}

/** A running site. */
export interface Site {
    document: configuration.Environment;
    logService: string;
    instances: InstanceProcess[];
    servers: Map<string, ServerProcess>;
    publish: (document: configuration.Environment, environment?: string) => Promise<number>;
    setLogFaults: (faults: object) => Promise<void>;
    setUpstreamFaults: (upstream: string, faults: object) => Promise<void>;
    /** Starts an instance anew in the place of one that has ended. */
    replaceInstance: (index: number) => Promise<void>;
    /** Starts a server anew. */
    replaceServer: (name: string) => Promise<void>;
    /** Waits until every slot of the keyed services is owned, as instances see it. */
    waitUntilServing: (timeoutMilliseconds: number) => Promise<void>;
    /** Histories of ownership of the servers that run, and of those read before they were ended. */
    ownership: () => Promise<ownershipJudge.OwnedInterval[]>;
    /** Reads a server's history into the site's memory, before the server is killed. */
    keepHistory: (name: string) => Promise<void>;
    /** What an upstream ran. */
    journal: (upstream: string) => Promise<{ identifier: string; isWhole: boolean; }[]>;
    listInstances: (leaving?: readonly string[]) => Promise<void>;
}

const pollMilliseconds = 50;

const getJson = async <T>(url: string): Promise<T | undefined> => {
    try {
        const response = await undici.request(url, { signal: AbortSignal.timeout(2000) });
        return await response.body.json() as T;
    }
    catch {
        return undefined;
    }
};

const sendJson = async (method: "POST" | "PUT", url: string, value: unknown): Promise<void> => {
    const response = await undici.request(url, {
        method,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(value),
    });
    await response.body.dump();
};

/** Settings of an upstream's stand-in, as it reads them. */
const upstreamOptions = (
    service: configuration.Service,
    upstream: configuration.Service["upstreams"][number],
    coldMilliseconds = 0,
): string =>
    JSON.stringify({
        name: upstream.name,
        port: Number(upstream.address.split(":")[1]),
        concurrency: service.concurrency,
        connections: service.connections,
        checksTokens: service.checksTokens ?? true,
        isKeyed: service.kind === "keyed",
        coldMilliseconds,
    });

/**
 * Brings up a site and publishes its document.
 *
 * @param options - what the site is made of
 * @param owner - ends every process and removes every file
 * @returns the site, its processes running
 */
export const createSite = async (options: SiteOptions, owner: foundation.Owner): Promise<Site> => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-"));
    owner.onCleanup(() => fs.rmSync(folder, { recursive: true, force: true }));
    const bundles = {
        instance: await bundling.bundleProgram("packages/cli/src/main.ts", folder),
        standIns: await bundling.bundleProgram("packages/standins/src/main.ts", folder),
    };
    const ports = await portReservation.reservePorts(2 + options.instanceCount * 3);
    const logService = `http://127.0.0.1:${ports[0]}`;
    const listUrl = `http://127.0.0.1:${ports[1]}/instances`;
    const domains = options.document.regions.flatMap(region =>
        region.failureDomains.map(failureDomain => ({ region: region.name, failureDomain }))
    );
    const servers = new Map<string, ServerProcess>();
    const keptHistory: ownershipJudge.OwnedInterval[] = [];

    const startStandIn = (...parameters: string[]): Promise<childProcess.SiteProcess> =>
        childProcess.startProcess({ script: bundles.standIns, parameters, waitsForReady: true }, owner);

    const startServer = async (
        service: configuration.Service,
        upstream: configuration.Service["upstreams"][number],
    ): Promise<void> => {
        const started = await startStandIn("upstream", upstreamOptions(service, upstream, options.coldMilliseconds));
        servers.set(upstream.name, {
            name: upstream.name,
            service: service.name,
            address: upstream.address,
            process: started,
        });
    };

    const startUpstreams = async (service: configuration.Service): Promise<void> => {
        if (service.kind === "keyed") {
            await Promise.all(service.upstreams.map(upstream => startServer(service, upstream)));
            return;
        }
        await startStandIn(
            "upstream",
            ...service.upstreams.map(upstream => upstreamOptions(service, upstream, options.coldMilliseconds)),
        );
    };

    const startInstance = async (index: number): Promise<InstanceProcess> => {
        const place = domains[index % domains.length];
        const [callers, operators, peers] = [0, 1, 2].map(offset => `127.0.0.1:${ports[2 + index * 3 + offset]}`);
        const name = `entry-${index + 1}`;
        const settingsFile = path.join(folder, `${name}.yaml`);
        fs.writeFileSync(
            settingsFile,
            yaml.stringify({
                name,
                ...place,
                environment: "production",
                callers: { address: callers },
                operators: { address: operators },
                peers: { address: peers },
                platform: { logService, instanceList: listUrl },
                telemetry: { logLevel: "information" },
            }),
        );
        const started = await childProcess.startProcess({
            script: bundles.instance,
            parameters: ["serve", "--settings", settingsFile],
            waitsForReady: false,
        }, owner);
        return {
            name,
            region: place.region,
            callers,
            operators,
            peers,
            settingsFile,
            process: started,
            status: () => getJson<runningInstance.OperatorStatus>(`http://${operators}/status`),
        };
    };

    await Promise.all([
        startStandIn("log", String(ports[0])),
        startStandIn("list", String(ports[1]), String(options.listLagMilliseconds ?? 0)),
        ...options.document.services.map(startUpstreams),
    ]);
    const instances = await Promise.all([...Array(options.instanceCount).keys()].map(startInstance));

    const listInstances = (leaving: readonly string[] = []): Promise<void> =>
        sendJson(
            "PUT",
            listUrl,
            instances.map(instance => ({
                name: instance.name,
                address: instance.peers,
                state: leaving.includes(instance.name) ? "leaving" : "live",
            })),
        );

    const publish = async (document: configuration.Environment, environment = "production"): Promise<number> => {
        const client = ledger.createLogClient({ url: logService, stream: "mulberryseam" });
        const follower = ledger.createLogFollower();
        const writer = ledger.createLogWriter({
            client,
            timers: foundation.createTimerService(),
            writer: `site#${crypto.randomUUID()}`,
        });
        const readPage = async (): Promise<boolean> => {
            const page = await client.read(follower.nextOffset(), 0);
            if (page.err) {
                await wait.wait(pollMilliseconds);
                return false;
            }
            follower.applyPage(page.val).forEach(writer.notifyApplied);
            return follower.nextOffset() >= page.val.nextOffset;
        };
        while (!await readPage()) {
            continue;
        }
        const current = follower.state()?.environments.find(entry => entry.environment === environment);
        let isDone = false;
        const writing = writer.write({
            kind: ledger.RecordKind.publish,
            environment,
            basedOn: current?.version ?? -1,
            document: yaml.stringify(document),
        }).finally(() => {
            isDone = true;
        });
        while (!isDone) {
            await readPage();
            await wait.wait(pollMilliseconds / 10);
        }
        const written = await writing;
        if (written.err) {
            throw new Error(`the document was not accepted: ${written.val.message}`);
        }
        return written.val;
    };

    const historyOf = async (server: ServerProcess): Promise<ownershipJudge.OwnedInterval[]> => {
        const answer = await getJson<{ history: ownershipJudge.OwnedInterval[]; }>(
            `http://${server.address}/stand-in/state`,
        );
        return (answer?.history ?? []).map(interval => ({ ...interval, server: server.name }));
    };

    const ownedCount = async (server: ServerProcess): Promise<number> =>
        (await getJson<{ owned: number; }>(`http://${server.address}/stand-in/state`))?.owned ?? 0;

    const wantedSlots = options.document.services
        .filter(service => service.kind === "keyed")
        .reduce((sum, service) => sum + service.keySlots, 0);

    const isServing = async (): Promise<boolean> => {
        const counts = await Promise.all([...servers.values()].map(ownedCount));
        const statuses = await Promise.all(instances.map(instance => instance.status()));
        return counts.reduce((sum, count) => sum + count, 0) >= wantedSlots
            && statuses.every(status => status?.isMember === true && status.members.length === instances.length);
    };

    await listInstances();
    await publish(options.document);

    const addressOf = (upstream: string): string =>
        options.document.services.flatMap(service => service.upstreams)
            .find(entry => entry.name === upstream)?.address ?? "";

    return {
        document: options.document,
        logService,
        instances,
        servers,
        publish,
        setLogFaults: faults => sendJson("POST", `${logService}/stand-in/faults`, faults),
        setUpstreamFaults: (upstream, faults) =>
            sendJson("POST", `http://${addressOf(upstream)}/stand-in/faults`, faults),
        replaceInstance: async index => {
            instances[index] = await startInstance(index);
        },
        replaceServer: async name => {
            const service = options.document.services.find(entry => entry.name === servers.get(name)?.service);
            const upstream = service?.upstreams.find(entry => entry.name === name);
            if (service !== undefined && upstream !== undefined) {
                await startServer(service, upstream);
            }
        },
        waitUntilServing: async timeoutMilliseconds => {
            const startedAt = performance.now();
            while (!await isServing()) {
                if (performance.now() - startedAt > timeoutMilliseconds) {
                    throw new Error(`the site does not serve: ${instances[0].process.errorOutput()}`);
                }
                await wait.wait(pollMilliseconds);
            }
        },
        ownership: async () => {
            const running = [...servers.values()].filter(server => server.process.isRunning());
            const histories = await Promise.all(running.map(historyOf));
            return [...keptHistory, ...histories.flat()];
        },
        keepHistory: async name => {
            const server = servers.get(name);
            if (server !== undefined) {
                keptHistory.push(...await historyOf(server));
            }
        },
        journal: async upstream =>
            await getJson<{ identifier: string; isWhole: boolean; }[]>(
                `http://${addressOf(upstream)}/stand-in/journal`,
            ) ?? [],
        listInstances,
    };
};
