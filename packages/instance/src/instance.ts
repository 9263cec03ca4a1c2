/** Assembles an instance: tasks that own sockets and exchange messages with the coordinator and the gateway. */
import * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as gateways from "@mulberryseam/gateway";
import * as ledger from "@mulberryseam/ledger";
import * as ownership from "@mulberryseam/ownership";
import * as protocol from "@mulberryseam/protocol";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as checkpointTask from "./checkpointTask";
import * as instanceListTask from "./instanceListTask";
import * as logTasks from "./logTask";
import * as operatorApi from "./operatorApi";
import * as peerTask from "./peerTask";
import * as serverTasks from "./serverTask";

/** A running instance. */
export interface Instance {
    /** Shuts down gracefully: tells peers, accepts no new requests, finishes requests in flight, then closes everything. */
    stop: () => Promise<void>;
}

const minStateFetchIntervalMilliseconds = 200;

const parseValidAddress = (text: string): configuration.Address =>
    configuration.parseAddress(text) as configuration.Address;

const loadCredentials = (settings: configuration.Settings): protocol.PeerCredentials | undefined => {
    const files = settings.peers.tls;
    return files === undefined ? undefined : {
        key: fs.readFileSync(files.key, "utf8"),
        certificate: fs.readFileSync(files.certificate, "utf8"),
        authority: fs.readFileSync(files.authority, "utf8"),
    };
};

const createInstanceMetrics = (settings: configuration.Settings, owner: foundation.Owner): foundation.Metrics => {
    const address = settings.telemetry.metrics;
    const tags = { instance: settings.name, region: settings.region };
    return address === undefined
        ? foundation.createSilentMetrics()
        : foundation.createMetrics({ ...parseValidAddress(address), tags }, owner);
};

/**
 * Creates and starts an instance.
 *
 * @param settings - validated settings
 * @param providedLogger - the logger to use; by default a new one with the log level of the settings
 * @returns the instance once its caller, peer and operator servers are listening
 */
export const createInstance = async (
    settings: configuration.Settings,
    providedLogger?: foundation.Logger,
): Promise<Instance> => {
    const logger = providedLogger ?? foundation.createLogger(foundation.LogLevel[settings.telemetry.logLevel]);
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
        (server, response) => coordinator.handleRenewalResponse(server, response),
        owner,
    );
    let stateRequestedAt = -Infinity;
    const onMessage = (
        sender: protocol.Hello,
        message: protocol.Message,
        reply: (response: protocol.Message) => void,
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
                logTask.adoptState(state.val);
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
        ...parseValidAddress(settings.peers.address),
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
            const result = await writer.write(body);
            if (result.err) {
                logger.withTag("log").information("A record was not accepted.", {
                    record: body.kind,
                    outcome: result.val.kind,
                    reason: result.val.message,
                });
            }
        },
        localLoads: gateway.busiestSlots,
        requestState: peer => {
            if (timers.now() - stateRequestedAt > minStateFetchIntervalMilliseconds) {
                stateRequestedAt = timers.now();
                peers.send(peer, { kind: protocol.MessageKind.fetchState });
            }
        },
        onEnvironment: environmentInForce => {
            gateway.setEnvironment(environmentInForce.environment);
            logger.withTag("configuration").information("An environment document is in force.", {
                version: environmentInForce.version,
            });
        },
    }, owner);

    const logTask = logTasks.createLogTask({
        client,
        follower,
        timers,
        logger: logger.withTag("log"),
        onState: coordinator.applyState,
        onRecordApplied: writer.notifyApplied,
        onCaughtUp: coordinator.markLogCaughtUp,
    }, owner);

    instanceListTask.createInstanceListTask({
        url: settings.platform.instanceList,
        timers,
        logger: logger.withTag("platform"),
        onInstanceList: coordinator.updateInstanceList,
    }, owner);

    checkpointTask.createCheckpointTask({
        timers,
        logger: logger.withTag("log"),
        writer,
        isLeader: () => follower.state()?.leader === ledger.memberIdentifier(self),
        state: follower.state,
    }, owner);

    const explainKey = (service: string, slotCount: number, key: string): operatorApi.KeyExplanation => {
        const slot = gateways.slotOf(key, slotCount);
        const environment = coordinator.environment()?.environment;
        const definition = environment?.services.find(entry => entry.name === service);
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
        ...parseValidAddress(settings.operators.address),
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
                .map(entry => explainKey(entry.name, entry.keySlots, key)),
    }, owner);

    const callerServer = await gateways.createCallerServer({
        ...parseValidAddress(settings.callers.address),
        timers,
        logger: logger.withTag("callers"),
        handle: gateway.handle,
        isReady: () => coordinator.environment() !== undefined,
    }, owner);
    logger.withTag("instance").information("The instance is listening.", { name: settings.name, incarnation });

    return {
        stop: async () => {
            logger.withTag("instance").information(
                "The instance is shutting down once its requests in flight have finished.",
                {
                    requests: callerServer.openRequests(),
                },
            );
            coordinator.leave();
            await callerServer.drain();
            await owner.dispose();
            logger.withTag("instance").information("The instance has stopped.");
        },
    };
};
