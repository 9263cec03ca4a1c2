/** Puts an instance together: tasks that own their sockets, joined by messages to the coordinator and the gateway. */
import { type Address, parseAddress, type Settings } from "@mulberryseam/configuration";
import {
    createLogger,
    createMetrics,
    createOwner,
    createRandom,
    createSilentMetrics,
    createTimerService,
    type Logger,
    LogLevel,
    type Metrics,
    type Owner,
} from "@mulberryseam/foundation";
import { createDoor, createGateway, createTraceExporter, createTracing, slotOf } from "@mulberryseam/gateway";
import {
    createLogClient,
    createLogFollower,
    createLogWriter,
    type Member,
    memberIdentifier,
    parseState,
} from "@mulberryseam/ledger";
import { createCoordinator } from "@mulberryseam/ownership";
import { type Hello, type Message, MessageKind, type PeerCredentials, protocolVersion } from "@mulberryseam/protocol";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import { createCheckpointTask } from "./checkpointTask";
import { createListingTask } from "./listingTask";
import { createLogTask } from "./logTask";
import { createOperatorApi, type ExplainAnswer } from "./operatorApi";
import { createPeerTask } from "./peerTask";
import { createServerTask } from "./serverTask";

/** A running instance. */
export interface Instance {
    /** Stops as planned: announces, takes nothing new, finishes every request, then leaves. */
    stop: () => Promise<void>;
}

const stateFetchPauseMilliseconds = 200;

const addressOf = (text: string): Address => parseAddress(text) as Address;

const loadCredentials = (settings: Settings): PeerCredentials | undefined => {
    const files = settings.peers.tls;
    return files === undefined ? undefined : {
        key: fs.readFileSync(files.key, "utf8"),
        certificate: fs.readFileSync(files.certificate, "utf8"),
        authority: fs.readFileSync(files.authority, "utf8"),
    };
};

const createInstanceMetrics = (settings: Settings, owner: Owner): Metrics => {
    const text = settings.telemetry.metrics;
    const tags = { instance: settings.name, region: settings.region };
    return text === undefined ? createSilentMetrics() : createMetrics({ ...addressOf(text), tags }, owner);
};

/**
 * Starts an instance.
 *
 * @param settings - checked settings
 * @param log - the logger of the process; by default one at the level of the settings
 * @returns the instance, listening
 */
export const createInstance = async (settings: Settings, log?: Logger): Promise<Instance> => {
    const logger = log ?? createLogger(LogLevel[settings.telemetry.logLevel]);
    const owner = createOwner();
    const timers = createTimerService();
    const metrics = createInstanceMetrics(settings, owner);
    const incarnation = crypto.randomBytes(8).toString("hex");
    const self: Member = {
        name: settings.name,
        incarnation,
        address: settings.peers.address,
        region: settings.region,
        failureDomain: settings.failureDomain,
    };
    const hello: Hello = {
        kind: MessageKind.hello,
        version: protocolVersion,
        environment: settings.environment,
        name: self.name,
        incarnation,
    };
    const client = createLogClient({ url: settings.platform.logService, stream: settings.platform.logStream });
    const follower = createLogFollower();
    const writer = createLogWriter({ client, timers, writer: memberIdentifier(self) });
    const traceUrl = settings.telemetry.traces;
    const tracing = createTracing(
        traceUrl === undefined ? undefined : {
            instance: settings.name,
            share: settings.telemetry.traceShare,
            exporter: createTraceExporter(traceUrl),
        },
        owner,
    );

    const serverTask = createServerTask((server, reply) => coordinator.takeServerReply(server, reply), owner);
    let fetchedStateAt = -Infinity;
    const onMessage = (sender: Hello, message: Message, reply: (answer: Message) => void): void => {
        if (message.kind === MessageKind.fetchState) {
            const state = follower.state();
            if (state !== undefined) {
                reply({ kind: MessageKind.state, state: JSON.stringify(state) });
            }
        }
        else if (message.kind === MessageKind.state) {
            const state = parseState(message.state);
            if (state.ok) {
                logTask.takeState(state.val);
            }
            else {
                logger.part("peers").warning("A peer sent a malformed state.", {
                    peer: sender.name,
                    reason: state.val,
                });
            }
        }
        else {
            coordinator.takeMessage(sender, message, reply);
        }
    };
    const peers = await createPeerTask({
        ...addressOf(settings.peers.address),
        hello,
        credentials: loadCredentials(settings),
        timers,
        logger: logger.part("peers"),
        onMessage,
    }, owner);

    const gateway = createGateway({
        instance: settings.name,
        region: settings.region,
        timers,
        logger: logger.part("gateway"),
        metrics,
        random: createRandom(crypto.randomInt(2 ** 31)),
        tracing,
        route: (service, slot) => coordinator.route(service, slot),
        instanceCount: () => coordinator.liveInstanceCount(),
    }, owner);

    const coordinator = createCoordinator({
        self,
        environmentName: settings.environment,
        timers,
        logger: logger.part("ownership"),
        sendToPeer: peers.send,
        onPeers: peers.setPeers,
        sendToServer: serverTask.send,
        append: async body => {
            const written = await writer.write(body);
            if (written.err) {
                logger.part("log").information("A record was not accepted.", {
                    record: body.kind,
                    outcome: written.val.kind,
                    reason: written.val.message,
                });
            }
        },
        ownLoads: gateway.busiestSlots,
        onStateWanted: peer => {
            if (timers.now() - fetchedStateAt > stateFetchPauseMilliseconds) {
                fetchedStateAt = timers.now();
                peers.send(peer, { kind: MessageKind.fetchState });
            }
        },
        onEnvironment: inForce => {
            gateway.setEnvironment(inForce.environment);
            logger.part("configuration").information("A document is in force.", { version: inForce.version });
        },
    }, owner);

    const logTask = createLogTask({
        client,
        follower,
        timers,
        logger: logger.part("log"),
        onState: coordinator.takeState,
        onFolded: writer.takeFolded,
        onEnd: coordinator.takeLogReached,
    }, owner);

    createListingTask({
        url: settings.platform.instanceList,
        timers,
        logger: logger.part("platform"),
        onListing: coordinator.takeListing,
    }, owner);

    createCheckpointTask({
        timers,
        logger: logger.part("log"),
        writer,
        isLeader: () => follower.state()?.leader === memberIdentifier(self),
        state: follower.state,
    }, owner);

    const explainIn = (service: string, slotCount: number, key: string): ExplainAnswer => {
        const slot = slotOf(key, slotCount);
        const document = coordinator.environment()?.environment;
        const definition = document?.services.find(entry => entry.name === service);
        const route = definition === undefined ? undefined : coordinator.route(definition, slot);
        const lease = route === undefined ? "unowned" : route.isReady ? "granted" : "waiting";
        return {
            instance: settings.name,
            service,
            key,
            slot,
            owner: route?.server,
            address: route?.address,
            token: route?.token,
            lease,
        };
    };

    await createOperatorApi({
        ...addressOf(settings.operators.address),
        logger: logger.part("operators"),
        status: () => ({
            ...coordinator.status(),
            instance: settings.name,
            region: settings.region,
            logAgeMilliseconds: logTask.ageMilliseconds(),
            requestsInFlight: gateway.inFlight(),
            crossRegionBytes: gateway.crossRegionBytes(),
            residentBytes: process.memoryUsage().rss,
        }),
        explain: (key, service) =>
            (coordinator.environment()?.environment.services ?? [])
                .filter(entry => entry.kind === "keyed" && (service === undefined || entry.name === service))
                .map(entry => explainIn(entry.name, entry.keySlots, key)),
    }, owner);

    const door = await createDoor({
        ...addressOf(settings.callers.address),
        timers,
        logger: logger.part("callers"),
        handle: gateway.handle,
        isReady: () => coordinator.environment() !== undefined,
    }, owner);
    logger.part("instance").information("The instance listens.", { name: settings.name, incarnation });

    return {
        stop: async () => {
            logger.part("instance").information("The instance leaves; requests in flight finish first.", {
                requests: door.openRequests(),
            });
            coordinator.leave();
            await door.drain();
            await owner.dispose();
            logger.part("instance").information("The instance has left.");
        },
    };
};
