/** Runs a site: stand-ins for the platform and for upstreams, and instances, in separate processes. */
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
import type * as ownershipChecker from "./ownershipChecker";
import * as portReservation from "./ports";
import * as wait from "./wait";

/** Configures a site. */
export interface SiteOptions {
    document: configuration.Environment;
    instanceCount: number;
    /** Delay until readers see an update of the instance list. */
    listLagMilliseconds?: number;
    /** Time after the start of an upstream during which its requests take longer. */
    coldMilliseconds?: number;
}

/** An instance of the site and its addresses. */
export interface InstanceProcess {
    name: string;
    region: string;
    callers: string;
    operators: string;
    peers: string;
    settingsFile: string;
    process: childProcess.SiteProcess;
    /** Returns the status from the operator interface; undefined if the instance does not respond. */
    status: () => Promise<runningInstance.OperatorStatus | undefined>;
}

/** A server of the site. */
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
    /** Publishes a document and returns its version. */
    publish: (document: configuration.Environment, environment?: string) => Promise<number>;
    setLogFaults: (faults: object) => Promise<void>;
    setUpstreamFaults: (upstream: string, faults: object) => Promise<void>;
    /** Starts a new process for an instance whose process has exited. */
    restartInstance: (index: number) => Promise<void>;
    /** Starts a new process for a server. */
    restartServer: (name: string) => Promise<void>;
    /** Waits until servers own every slot of the keyed services and every instance sees all instances as members. */
    waitUntilServing: (timeoutMilliseconds: number) => Promise<void>;
    /** Returns the ownership intervals of the running servers and those saved by `saveHistory`. */
    ownershipIntervals: () => Promise<ownershipChecker.OwnedInterval[]>;
    /** Saves the ownership intervals of a server. Must be called before the server is killed. */
    saveHistory: (name: string) => Promise<void>;
    /** Returns the requests that an upstream ran. */
    journal: (upstream: string) => Promise<{ identifier: string; isWhole: boolean; }[]>;
    /** Publishes all instances to the instance list, the given ones as leaving. */
    updateInstanceList: (leaving?: readonly string[]) => Promise<void>;
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

/** Returns the command-line parameter that configures an upstream stand-in. */
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
 * Starts a site and publishes its document.
 *
 * @param options - the document and the number of instances
 * @param owner - kills every process and removes every file when disposed of
 * @returns the site with all processes running
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
    const failureDomains = options.document.regions.flatMap(region =>
        region.failureDomains.map(failureDomain => ({ region: region.name, failureDomain }))
    );
    const servers = new Map<string, ServerProcess>();
    const savedHistory: ownershipChecker.OwnedInterval[] = [];

    const startStandIn = (...parameters: string[]): Promise<childProcess.SiteProcess> =>
        childProcess.startProcess({ script: bundles.standIns, parameters, waitsForReady: true }, owner);

    const startServer = async (
        service: configuration.Service,
        upstream: configuration.Service["upstreams"][number],
    ): Promise<void> => {
        const serverProcess = await startStandIn(
            "upstream",
            upstreamOptions(service, upstream, options.coldMilliseconds),
        );
        servers.set(upstream.name, {
            name: upstream.name,
            service: service.name,
            address: upstream.address,
            process: serverProcess,
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
        const location = failureDomains[index % failureDomains.length];
        const [callers, operators, peers] = [0, 1, 2].map(offset => `127.0.0.1:${ports[2 + index * 3 + offset]}`);
        const name = `entry-${index + 1}`;
        const settingsFile = path.join(folder, `${name}.yaml`);
        fs.writeFileSync(
            settingsFile,
            yaml.stringify({
                name,
                ...location,
                environment: "production",
                callers: { address: callers },
                operators: { address: operators },
                peers: { address: peers },
                platform: { logService, instanceList: listUrl },
                telemetry: { logLevel: "information" },
            }),
        );
        const instanceProcess = await childProcess.startProcess({
            script: bundles.instance,
            parameters: ["serve", "--settings", settingsFile],
            waitsForReady: false,
        }, owner);
        return {
            name,
            region: location.region,
            callers,
            operators,
            peers,
            settingsFile,
            process: instanceProcess,
            status: () => getJson<runningInstance.OperatorStatus>(`http://${operators}/status`),
        };
    };

    await Promise.all([
        startStandIn("log", String(ports[0])),
        startStandIn("list", String(ports[1]), String(options.listLagMilliseconds ?? 0)),
        ...options.document.services.map(startUpstreams),
    ]);
    const instances = await Promise.all([...Array(options.instanceCount).keys()].map(startInstance));

    const updateInstanceList = (leaving: readonly string[] = []): Promise<void> =>
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
        let isSettled = false;
        const pendingWrite = writer.write({
            kind: ledger.RecordKind.publish,
            environment,
            basedOn: current?.version ?? -1,
            document: yaml.stringify(document),
        }).finally(() => {
            isSettled = true;
        });
        while (!isSettled) {
            await readPage();
            await wait.wait(pollMilliseconds / 10);
        }
        const result = await pendingWrite;
        if (result.err) {
            throw new Error(`the document was not accepted: ${result.val.message}`);
        }
        return result.val;
    };

    const fetchHistory = async (server: ServerProcess): Promise<ownershipChecker.OwnedInterval[]> => {
        const state = await getJson<{ history: ownershipChecker.OwnedInterval[]; }>(
            `http://${server.address}/stand-in/state`,
        );
        return (state?.history ?? []).map(interval => ({ ...interval, server: server.name }));
    };

    const fetchOwnedCount = async (server: ServerProcess): Promise<number> =>
        (await getJson<{ owned: number; }>(`http://${server.address}/stand-in/state`))?.owned ?? 0;

    const keyedSlotCount = options.document.services
        .filter(service => service.kind === "keyed")
        .reduce((sum, service) => sum + service.keySlots, 0);

    const isServing = async (): Promise<boolean> => {
        const counts = await Promise.all([...servers.values()].map(fetchOwnedCount));
        const statuses = await Promise.all(instances.map(instance => instance.status()));
        return counts.reduce((sum, count) => sum + count, 0) >= keyedSlotCount
            && statuses.every(status => status?.isMember === true && status.members.length === instances.length);
    };

    await updateInstanceList();
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
        restartInstance: async index => {
            instances[index] = await startInstance(index);
        },
        restartServer: async name => {
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
                    throw new Error(`the site did not start serving in time: ${instances[0].process.errorOutput()}`);
                }
                await wait.wait(pollMilliseconds);
            }
        },
        ownershipIntervals: async () => {
            const runningServers = [...servers.values()].filter(server => server.process.isRunning());
            const histories = await Promise.all(runningServers.map(fetchHistory));
            return [...savedHistory, ...histories.flat()];
        },
        saveHistory: async name => {
            const server = servers.get(name);
            if (server !== undefined) {
                savedHistory.push(...await fetchHistory(server));
            }
        },
        journal: async upstream =>
            await getJson<{ identifier: string; isWhole: boolean; }[]>(
                `http://${addressOf(upstream)}/stand-in/journal`,
            ) ?? [],
        updateInstanceList,
    };
};
