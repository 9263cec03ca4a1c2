/** A site on loopback: a store, upstreams behind links, instances as processes. */
import * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as standins from "@mulberryseam/standins";
import * as instances from "./instances";
import type * as judge from "./judge";

/** An upstream with the link through which instances reach it. */
export interface SoakUpstream {
    link: standins.LinkStandIn;
    /** Ends it and starts another life under its name at another address. */
    restart: () => Promise<void>;
}

/** A running site. */
export interface Site {
    store: emulator.EmulatedStore;
    instances: instances.SoakInstance[];
    upstreams: SoakUpstream[];
    runs: judge.RunRecord[];
    /** Keys that two upstreams held when one of them began a request. */
    sharedKeys: string[];
    /** Publishes the document anew, with another time-out. */
    changeDocument: () => void;
}

/** What a site is made of. */
export interface SiteOptions {
    instances: number;
    upstreamsPerService: number;
    /** First three numbers of the instances' addresses. */
    network: string;
    peerPort: number;
    program: readonly string[];
    logFile: string;
    random: foundation.Random;
}

/** Longest time that a route keeps a caller waiting, in milliseconds. */
export const timeoutMilliseconds = 1200;
const keyedService = "records";
const openService = "orders";
const heartbeatMilliseconds = 800;
const longestWorkMilliseconds = 60;

const createRoute = (name: string, service: string, routeType: string, timeout: number): object => ({
    resourceType: "routes",
    metadata: { name },
    spec: {
        host: "site.example",
        pathPrefix: `/${service}/`,
        routeType,
        timeout: `${timeout}ms`,
        targetLatency: "500ms",
        priority: 0,
        maxAttempts: 2,
        service,
    },
});

const createDocument = (version: number): string =>
    JSON.stringify({
        version: `r${version}`,
        resources: [
            // Versions differ by less than what callers notice.
            createRoute("lookup", keyedService, "safe", timeoutMilliseconds - version % 10),
            createRoute("order", openService, "unsafe", timeoutMilliseconds - version % 10),
            {
                resourceType: "services",
                metadata: { name: keyedService },
                spec: { maxConnections: 100, sharded: true },
            },
            { resourceType: "services", metadata: { name: openService }, spec: { maxConnections: 100 } },
        ],
    });

const startUpstream = async (
    site: Site,
    service: string,
    name: string,
    random: foundation.Random,
    keyed: Set<emulator.EmulatedUpstream>,
    owner: foundation.Owner,
): Promise<SoakUpstream> => {
    const onRun = ({ upstream, requestIdentifier, method, key }: emulator.EmulatedRun): void => {
        site.runs.push({ identifier: requestIdentifier, method, upstream: upstream.identifier });
        if (key === undefined) {
            return;
        }
        for (const other of keyed) {
            if (other !== upstream && other.holds(key)) {
                site.sharedKeys.push(`key ${key}: held by ${other.identifier} while ${upstream.identifier} ran for it`);
            }
        }
    };
    const workMilliseconds = (): number => random.below(longestWorkMilliseconds);
    const begin = async () => {
        const upstream = await emulator.startEmulatedUpstream(name, owner, { workMilliseconds, onRun });
        const link = await standins.createLinkStandIn({
            port: 0,
            targetHost: "127.0.0.1",
            targetPort: upstream.port,
            delayMilliseconds: 1,
        }, owner);
        if (service === keyedService) {
            keyed.add(upstream);
        }
        return { upstream, link };
    };
    let current = await begin();
    let sequence = 0;
    const beat = (): void => {
        sequence += 1;
        site.store.put(
            "keyed.servers",
            name,
            JSON.stringify({
                service,
                address: `127.0.0.1:${current.link.port}`,
                zone: "north-a",
                slots: 4,
                state: "ready",
                warmupLeft: "0ms",
                sequence,
                born: current.upstream.startedAt,
            }),
        );
    };
    beat();
    const timer = setInterval(beat, heartbeatMilliseconds);
    owner.onCleanup(() => clearInterval(timer));
    const result: SoakUpstream = {
        link: current.link,
        restart: async () => {
            keyed.delete(current.upstream);
            current.link.reset();
            await current.upstream.stop();
            current = await begin();
            result.link = current.link;
            beat();
        },
    };
    return result;
};

/**
 * Starts a site.
 *
 * @param options - what it is made of
 * @param owner - ends all but the instances, which the caller ends first
 * @returns the site; its instances are not ready yet
 */
export const startSite = async (options: SiteOptions, owner: foundation.Owner): Promise<Site> => {
    const store = await emulator.startEmulatedStore(owner);
    let version = 1;
    const site: Site = {
        store,
        instances: [],
        upstreams: [],
        runs: [],
        sharedKeys: [],
        changeDocument: () => {
            version += 1;
            store.put("keyed.op", "config", createDocument(version));
        },
    };
    store.put("keyed.op", "config", createDocument(version));
    const keyed = new Set<emulator.EmulatedUpstream>();
    for (const service of [keyedService, openService]) {
        for (let index = 1; index <= options.upstreamsPerService; index += 1) {
            const name = `${service}-${index}`;
            site.upstreams.push(await startUpstream(site, service, name, options.random, keyed, owner));
        }
    }
    for (let index = 1; index <= options.instances; index += 1) {
        site.instances.push(
            await instances.startInstance({
                name: `entry-${index}`,
                host: `${options.network}.${index}`,
                peerPort: options.peerPort,
                storePort: store.port,
                program: options.program,
                logFile: options.logFile,
            }, owner),
        );
    }
    return site;
};
