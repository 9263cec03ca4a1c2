/** Puts an instance together: tasks that own their sockets, joined by messages to the coordinator and the gateway. */
import * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as gateways from "@mulberryseam/gateway";
import * as ledger from "@mulberryseam/ledger";
import * as ownership from "@mulberryseam/ownership";
import * as protocol from "@mulberryseam/protocol";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as checkpointTask from "./checkpointTask";
import * as listingTask from "./listingTask";
import * as logTasks from "./logTask";
import * as operatorApi from "./operatorApi";
import * as peerTask from "./peerTask";
import * as serverTasks from "./serverTask";

/** A running instance. */
export interface Instance {
    /** Stops as planned: announces, takes nothing new, finishes every request, then leaves. */
    stop: () => Promise<void>;
}

const stateFetchPauseMilliseconds = 200;

const addressOf = (text: string): configuration.Address => configuration.parseAddress(text) as configuration.Address;

const loadCredentials = (settings: configuration.Settings): protocol.PeerCredentials | undefined => {
    const files = settings.peers.tls;
    return files === undefined ? undefined : {
        key: fs.readFileSync(files.key, "utf8"),
        certificate: fs.readFileSync(files.certificate, "utf8"),
        authority: fs.readFileSync(files.authority, "utf8"),
    };
};

const createInstanceMetrics = (settings: configuration.Settings, owner: foundation.Owner): foundation.Metrics => {
    const text = settings.telemetry.metrics;
    const tags = { instance: settings.name, region: settings.region };
    return text === undefined
        ? foundation.createSilentMetrics()
        : foundation.createMetrics({ ...addressOf(text), tags }, owner);
};

/**
 * Starts an instance.
 *
 * @param settings - checked settings
 * @param log - the logger of the process; by default one at the level of the settings
 * @returns the instance, listening
 */
export const createInstance = async (settings: configuration.Settings, log?: foundation.Logger): Promise<Instance> => {
    const logger = log ?? foundation.createLogger(foundation.LogLevel[settings.telemetry.logLevel]);
    const owner = foundation.createOwner();
    const timers = foundation.createTimerService();
    const metrics = createInstanceMetrics(settings, owner);
    const incarnation = crypto.randomBytes(8).toString("hex");
    const self: ledger.Member = {
        name: settings.name,
        incarnation,
        address: settings.peers.address,
        region: settings.region,
        failureDomain: settings.failureDomain,
    };
    const hello: protocol.Hello = {
        kind: protocol.MessageKind.hello,
        version: protocol.protocolVersion,
        environment: settings.environment,
        name: self.name,
        incarnation,
    };
    const client = ledger.createLogClient({ url: settings.platform.logService, stream: settings.platform.logStream });
    const follower = ledger.createLogFollower();
    const writer = ledger.createLogWriter({ client, timers, writer: ledger.memberIdentifier(self) });
    const traceUrl = settings.telemetry.traces;
    const tracing = gateways.createTracing(
        traceUrl === undefined ? undefined : {
            instance: settings.name,
            samplingRatio: settings.telemetry.traceShare,
            exporter: gateways.createTraceExporter(traceUrl),
        },
        owner,
    );

    const serverTask = serverTasks.createServerTask(
        (server, reply) => coordinator.handleRenewalResponse(server, reply),
        owner,
    );
    let fetchedStateAt = -Infinity;
    const onMessage = (
        sender: protocol.Hello,
        message: protocol.Message,
        reply: (answer: protocol.Message) => void,
    ): void => {
        if (message.kind === protocol.MessageKind.fetchState) {
            const state = follower.state();
            if (state !== undefined) {
                reply({ kind: protocol.MessageKind.state, state: JSON.stringify(state) });
            }
        }
        else if (message.kind === protocol.MessageKind.state) {
            const state = ledger.parseState(message.state);
            if (state.ok) {
                logTask.takeState(state.val);
            }
            else {
                logger.withTag("peers").warning("A peer sent a malformed state.", {
                    peer: sender.name,
                    reason: state.val,
                });
            }
        }
        else {
            coordinator.handleMessage(sender, message, reply);
        }
    };
    const peers = await peerTask.createPeerTask({
        ...addressOf(settings.peers.address),
        hello,
        credentials: loadCredentials(settings),
        timers,
        logger: logger.withTag("peers"),
        onMessage,
    }, owner);

    const gateway = gateways.createGateway({
        instance: settings.name,
        region: settings.region,
        timers,
        logger: logger.withTag("gateway"),
        metrics,
        random: foundation.createRandom(crypto.randomInt(2 ** 31)),
        tracing,
        findRoute: (service, slot) => coordinator.route(service, slot),
        instanceCount: () => coordinator.liveInstanceCount(),
    }, owner);

    const coordinator = ownership.createCoordinator({
        self,
        environmentName: settings.environment,
        timers,
        logger: logger.withTag("ownership"),
        sendToPeer: peers.send,
        onPeerAddresses: peers.setPeers,
        sendToServer: serverTask.send,
        append: async body => {
            const written = await writer.write(body);
            if (written.err) {
                logger.withTag("log").information("A record was not accepted.", {
                    record: body.kind,
                    outcome: written.val.kind,
                    reason: written.val.message,
                });
            }
        },
        localLoads: gateway.busiestSlots,
        requestState: peer => {
            if (timers.now() - fetchedStateAt > stateFetchPauseMilliseconds) {
                fetchedStateAt = timers.now();
                peers.send(peer, { kind: protocol.MessageKind.fetchState });
            }
        },
        onEnvironment: inForce => {
            gateway.setEnvironment(inForce.environment);
            logger.withTag("configuration").information("A document is in force.", { version: inForce.version });
        },
    }, owner);

    const logTask = logTasks.createLogTask({
        client,
        follower,
        timers,
        logger: logger.withTag("log"),
        onState: coordinator.applyState,
        onFolded: writer.notifyApplied,
        onEnd: coordinator.markLogCaughtUp,
    }, owner);

    listingTask.createListingTask({
        url: settings.platform.instanceList,
        timers,
        logger: logger.withTag("platform"),
        onListing: coordinator.updateInstanceList,
    }, owner);

    checkpointTask.createCheckpointTask({
        timers,
        logger: logger.withTag("log"),
        writer,
        isLeader: () => follower.state()?.leader === ledger.memberIdentifier(self),
        state: follower.state,
    }, owner);

    const explainIn = (service: string, slotCount: number, key: string): operatorApi.ExplainAnswer => {
        const slot = gateways.slotOf(key, slotCount);
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

    await operatorApi.createOperatorApi({
        ...addressOf(settings.operators.address),
        logger: logger.withTag("operators"),
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

    const door = await gateways.createCallerServer({
        ...addressOf(settings.callers.address),
        timers,
        logger: logger.withTag("callers"),
        handle: gateway.handle,
        isReady: () => coordinator.environment() !== undefined,
    }, owner);
    logger.withTag("instance").information("The instance listens.", { name: settings.name, incarnation });

    return {
        stop: async () => {
            logger.withTag("instance").information("The instance leaves; requests in flight finish first.", {
                requests: door.openRequests(),
            });
            coordinator.leave();
            await door.drain();
            await owner.dispose();
            logger.withTag("instance").information("The instance has left.");
        },
    };
};
