/** A complete site on loopback: a store, upstreams behind emulated network links, and instances as separate processes. */
import * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as siteModule from "@mulberryseam/site";
import * as standins from "@mulberryseam/standins";
import * as documents from "./documents";
import * as instances from "./instances";
import type * as invariantChecker from "./invariantChecker";
import * as oddEntries from "./oddEntries";
import * as places from "./places";
import type * as upstreamChecker from "./upstreamChecker";

/** An upstream and the emulated network link through which instances connect to it. */
export interface SoakUpstream {
    name: string;
    service: documents.ServiceNameValue;
    link: standins.LinkStandIn;
    /** Stops the upstream and starts a new incarnation with the same name at another address. */
    restart: () => Promise<void>;
    /** Sets the mode of the running incarnation; a new one serves. */
    setMode: (mode: emulator.UpstreamModeValue) => void;
    /** Lets the running incarnation announce in its responses that it leaves, until it is restarted. */
    announceLeaving: (isRegistered: boolean) => void;
}

/** A running site. */
export interface Site {
    store: emulator.EmulatedStore;
    instances: instances.SoakInstance[];
    upstreams: SoakUpstream[];
    executions: invariantChecker.ExecutionRecord[];
    /** Requests that reached upstreams without keys; completed when they are answered. */
    arrivals: emulator.EmulatedArrival[];
    /** The cold periods of upstreams. */
    coldPeriods: upstreamChecker.ColdPeriodRecord[];
    /** Requests that reached any upstream; completed when they are answered. */
    allArrivals: emulator.EmulatedArrival[];
    evacuations: upstreamChecker.EvacuationSpan[];
    /** Requests that found an upstream without room. */
    fullArrivals: emulator.EmulatedArrival[];
    /** Descriptions of keys that two upstreams held when one of them started to execute a request. */
    ownershipViolations: string[];
    /** Publishes a new version of the document; without a shape, it differs from the one before slightly in its timeouts. */
    changeDocument: (shape?: documents.DocumentShape) => void;
    /** Puts an odd entry into the registry, and returns the function that removes it. */
    putOddEntry: (index: number) => () => void;
    /** Evacuates a failure domain, and returns the function that ends the evacuation. */
    evacuate: (failureDomain: string) => () => void;
}

/** Configures a site. */
export interface SiteOptions {
    instances: number;
    upstreamsPerService: number;
    programArguments: readonly string[];
    logFile: string;
    random: foundation.Random;
}

/** First port of the protocol between instances, below the ports that are reserved for their other servers. */
const peerPort = 11_900;
const heartbeatIntervalMilliseconds = 800;
const maxServiceTimeMilliseconds = 60;
/** Ratio of requests that take several times as long, and the bounds of how many times as long. */
const tailRatio = 0.02;
const minTailFactor = 3;
const maxTailFactor = 5;
/** Ratio of the machines that are slow at any moment, and slowness of these and of the others, in percent. */
const slowMachineRatio = 0.2;
const slowMachinePercent = 200;
const usualMachinePercent = 100;
/** Interval at which the slowness of machines is drawn anew, in milliseconds. */
const machineRedrawMilliseconds = 400;
/** Number of upstreams of each service that only some versions of the document know. */
const additionalUpstreams = 2;
const upstreamQueue: emulator.EmulatedQueue = { slots: 4, maxWaiting: 16 };
const busyHeaders = { "not-executed": "1", "retry-after": "2" };
const documentsTopic = "keyed.op";
const upstreamsTopic = "keyed.servers";
/** Distinguishes the random numbers of malformed answers from those of service times. */
const malformedSeed = 7;

const startUpstream = async (
    site: Site,
    service: documents.ServiceNameValue,
    name: string,
    random: foundation.Random,
    keyedUpstreams: Set<emulator.EmulatedUpstream>,
    owner: foundation.Owner,
): Promise<SoakUpstream> => {
    const malformedRandom = foundation.createRandom(malformedSeed);
    const onExecution = ({ upstream, requestIdentifier, method, key }: emulator.EmulatedExecution): void => {
        site.executions.push({ identifier: requestIdentifier, method, upstream: upstream.identifier, service });
        if (key === undefined) {
            return;
        }
        for (const other of keyedUpstreams) {
            if (other !== upstream && other.ownsKey(key)) {
                site.ownershipViolations.push(
                    `key ${key}: held by ${other.identifier} while ${upstream.identifier} executed a request for it`,
                );
            }
        }
    };
    const serviceTimeMilliseconds = (): number => {
        const factor = random.fraction() < tailRatio
            ? minTailFactor + random.fraction() * (maxTailFactor - minTailFactor)
            : 1;
        return random.below(maxServiceTimeMilliseconds) * factor;
    };
    let slowness = { percent: usualMachinePercent, drawnAt: -Infinity };
    const slownessPercent = (): number => {
        if (performance.now() - slowness.drawnAt >= machineRedrawMilliseconds) {
            const percent = random.fraction() < slowMachineRatio ? slowMachinePercent : usualMachinePercent;
            slowness = { percent, drawnAt: performance.now() };
        }
        return slowness.percent;
    };
    const startIncarnation = async () => {
        const upstream = await emulator.startEmulatedUpstream(name, owner, {
            serviceTimeMilliseconds,
            slownessPercent,
            onExecution,
            random: malformedRandom,
            busyHeaders,
            queue: upstreamQueue,
            onFull: arrival => site.fullArrivals.push(arrival),
            onArrival: arrival => {
                site.allArrivals.push(arrival);
                if (!documents.isKeyedService(service)) {
                    site.arrivals.push(arrival);
                }
            },
        });
        const link = await standins.createLinkStandIn({
            port: 0,
            targetHost: "127.0.0.1",
            targetPort: upstream.port,
            delayMilliseconds: 1,
        }, owner);
        keyedUpstreams.add(upstream);
        return { upstream, link };
    };
    /** Lets an incarnation that has replaced another one be cold for a time. */
    const startColdPeriod = (upstream: emulator.EmulatedUpstream): number => {
        const from = performance.now();
        const until = from + documents.warmupMilliseconds;
        upstream.setCold(true);
        setTimeout(() => upstream.setCold(false), documents.warmupMilliseconds).unref();
        site.coldPeriods.push({ upstream: name, from, until, maxInOneSecond: upstream.maxColdRequestsInOneSecond });
        return until;
    };
    let incarnation = await startIncarnation();
    let coldUntil = -Infinity;
    let sequence = 0;
    /** An upstream that is leaving does not return to another mode. */
    let leaving = { isLeaving: false, isRegistered: false };
    const publishHeartbeat = (): void => {
        sequence += 1;
        site.store.put(
            upstreamsTopic,
            name,
            JSON.stringify({
                service,
                address: `127.0.0.1:${incarnation.link.port}`,
                zone: places.failureDomainOf(name),
                slots: upstreamQueue.slots,
                state: leaving.isRegistered ? "draining" : "ready",
                version: "v1",
                warmupLeft: `${Math.max(0, Math.round(coldUntil - performance.now()))}ms`,
                sequence,
                born: incarnation.upstream.startedAt,
            }),
        );
    };
    publishHeartbeat();
    const heartbeatTimer = setInterval(publishHeartbeat, heartbeatIntervalMilliseconds);
    owner.onCleanup(() => clearInterval(heartbeatTimer));
    const restart = async (): Promise<void> => {
        keyedUpstreams.delete(incarnation.upstream);
        incarnation.link.reset();
        await incarnation.upstream.stop();
        incarnation = await startIncarnation();
        soakUpstream.link = incarnation.link;
        coldUntil = startColdPeriod(incarnation.upstream);
        leaving = { isLeaving: false, isRegistered: false };
        publishHeartbeat();
    };
    let lastRestart = Promise.resolve();
    const soakUpstream: SoakUpstream = {
        name,
        service,
        link: incarnation.link,
        restart: () => {
            // Overlapping restarts run one after the other; otherwise both would start an incarnation.
            lastRestart = lastRestart.then(restart);
            return lastRestart;
        },
        setMode: mode => leaving.isLeaving || incarnation.upstream.setMode(mode),
        announceLeaving: isRegistered => {
            leaving = { isLeaving: true, isRegistered };
            incarnation.upstream.setMode(emulator.UpstreamMode.leaving);
            publishHeartbeat();
        },
    };
    return soakUpstream;
};

/**
 * Starts a site.
 *
 * @param options - number of instances and upstreams, program and randomness
 * @param owner - stops everything on cleanup except the instances, which must be terminated first
 * @returns the site, whose instances may not be ready yet
 */
export const startSite = async (options: SiteOptions, owner: foundation.Owner): Promise<Site> => {
    const store = await emulator.startEmulatedStore(owner);
    let version = 1;
    let shape = documents.plainShape;
    const publishDocument = (): void => store.put(documentsTopic, "config", documents.createDocument(version, shape));
    const site: Site = {
        store,
        instances: [],
        upstreams: [],
        executions: [],
        arrivals: [],
        coldPeriods: [],
        allArrivals: [],
        evacuations: [],
        fullArrivals: [],
        ownershipViolations: [],
        changeDocument: newShape => {
            version += 1;
            shape = newShape ?? shape;
            publishDocument();
        },
        putOddEntry: index => {
            const { link, service } = site.upstreams[index % site.upstreams.length];
            const { key, value } = oddEntries.createOddEntry(index, `127.0.0.1:${link.port}`, service);
            store.put(upstreamsTopic, key, value);
            return () => store.put(upstreamsTopic, key, "");
        },
        evacuate: failureDomain => {
            const running = site.evacuations.find(span =>
                span.failureDomain === failureDomain && span.until === Infinity
            );
            if (running !== undefined) {
                // The evacuation that goes on is ended by the one who began it.
                return () => undefined;
            }
            const span = { failureDomain, from: performance.now(), until: Infinity };
            site.evacuations.push(span);
            store.put(documentsTopic, `evacuate/${failureDomain}`, "{}");
            return () => {
                span.until = performance.now();
                store.put(documentsTopic, `evacuate/${failureDomain}`, "");
            };
        },
    };
    publishDocument();
    const startUpstreams = async (service: documents.ServiceNameValue, count: number): Promise<SoakUpstream[]> => {
        const upstreams: SoakUpstream[] = [];
        const upstreamsOfService = new Set<emulator.EmulatedUpstream>();
        for (let index = 1; index <= count; index += 1) {
            const name = `${service}-${index}`;
            upstreams.push(await startUpstream(site, service, name, options.random, upstreamsOfService, owner));
        }
        return upstreams;
    };
    const { keyed, unkeyed, additionalKeyed, additionalUnkeyed } = documents.ServiceName;
    for (const service of [keyed, unkeyed]) {
        site.upstreams.push(...await startUpstreams(service, options.upstreamsPerService));
    }
    // These are no targets of faults.
    for (const service of [additionalKeyed, additionalUnkeyed]) {
        await startUpstreams(service, additionalUpstreams);
    }
    const network = await siteModule.reserveNetwork(owner);
    for (let index = 1; index <= options.instances; index += 1) {
        site.instances.push(
            await instances.startInstance({
                name: `entry-${index}`,
                host: `${network}.${index}`,
                peerPort,
                storePort: store.port,
                programArguments: options.programArguments,
                logFile: options.logFile,
            }, owner),
        );
    }
    return site;
};
