/**
 * Coordinates key ownership with the peers of an instance. Performs no I/O itself: the instance passes in
 * messages and responses, the coordinator sends through callbacks, and time comes from the timer service.
 */
import type * as configuration from "@mulberryseam/configuration";
import type * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";
import * as protocol from "@mulberryseam/protocol";
import type * as confirmation from "./confirmation";
import * as coordinatorContext from "./coordinatorContext";
import * as coordinatorViews from "./coordinatorViews";
import type * as environmentTracker from "./environmentTracker";
import type * as grantTracker from "./grantTracker";
import type * as instanceKnowledge from "./knowledge";
import * as leaseRenewer from "./leaseRenewer";
import type * as peerDirectory from "./peerDirectory";
import * as peerReports from "./peerReports";
import * as recordProposer from "./recordProposer";
import * as sessionExpiry from "./sessionExpiry";

/** Configures a coordinator. */
export interface CoordinatorOptions {
    self: ledger.Member;
    environmentName: string;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    /** Sends a message to a peer, by name. Delivery is not guaranteed. */
    sendToPeer: (peer: string, message: protocol.Message) => void;
    /** Receives the current addresses of peers, by name. */
    onPeerAddresses: (addresses: Map<string, string>) => void;
    /** Sends a request to a server. Its response is passed to `handleRenewalResponse`. */
    sendToServer: (server: string, address: string, request: leaseRenewer.RenewalRequest) => void;
    /** Appends a record to the log. The outcome shows in the applied state. */
    append: (body: ledger.RecordBody) => Promise<unknown>;
    /** Returns the busiest slots in the traffic of this instance. */
    localLoads: () => protocol.PeerReport["loads"];
    /** Requests the applied log state from a peer. */
    requestState: (peer: string) => void;
    onEnvironment: (environment: environmentTracker.EnvironmentInForce) => void;
}

/** Sender of a message, as identified by the `hello` message of its connection. */
export type Sender = Pick<ledger.Member, "name" | "incarnation">;

/** Coordinates key ownership with peers. */
export interface Coordinator {
    applyState: (state: ledger.LogState) => void;
    /** Marks that the state was read from the log itself, up to its end. Leadership is not claimed before. */
    markLogCaughtUp: () => void;
    updateInstanceList: (instances: readonly peerDirectory.ListedInstance[]) => void;
    handleMessage: (sender: Sender, message: protocol.Message, reply: (message: protocol.Message) => void) => void;
    handleRenewalResponse: (server: string, response: leaseRenewer.RenewalResponse) => void;
    /** Announces to peers that this instance is leaving. */
    leave: () => void;
    route: (service: configuration.Service, slot: number) => coordinatorViews.Route | undefined;
    environment: () => environmentTracker.EnvironmentInForce | undefined;
    /** Returns the number of responsive instances that are not leaving, at least 1. */
    liveInstanceCount: () => number;
    status: () => coordinatorViews.CoordinatorStatus;
}

const planIntervalMilliseconds = 50;
const stateFetchDelayMilliseconds = 100;

/**
 * Creates the coordinator of an instance.
 *
 * @param options - the identity of the instance and its callbacks
 * @param owner - disposes of the timers
 * @returns the coordinator
 */
export const createCoordinator = (options: CoordinatorOptions, owner: foundation.Owner): Coordinator => {
    const { timers } = options;
    const context = coordinatorContext.createCoordinatorContext(options);
    const { identifier, rounds, grants, detector, directory, environments } = context;
    const renewer = leaseRenewer.createLeaseRenewer(context, options.sendToServer);
    const views = coordinatorViews.createCoordinatorViews(context);
    const expiry = sessionExpiry.createSessionExpiry(context, renewer.isRenewerOf);
    let lastRound = 0;
    let previousIntervalRound = 0;
    let requestedOffset = -1;
    const proposer = recordProposer.createRecordProposer(context, {
        append: options.append,
        localLoads: options.localLoads,
        previousIntervalRound: () => previousIntervalRound,
    });

    const reports = peerReports.createPeerReports(context, renewer, proposer, options.localLoads);

    const peerAddresses = (): Map<string, string> => directory.addresses(context.state()?.members ?? []);

    const sendToPeers = (message: protocol.Message, peers = peerAddresses()): void => {
        for (const peer of peers.keys()) {
            options.sendToPeer(peer, message);
        }
    };

    const onRoundConfirmed = (round: confirmation.ConfirmedRound): void => {
        const state = context.state();
        if (state !== undefined) {
            grants.applyRound(round, state, context.lease().durationMilliseconds);
        }
        renewer.renew(true);
    };

    const beginRound = (): void => {
        const state = context.state();
        const knowledge = context.knowledge();
        const peers = peerAddresses();
        options.onPeerAddresses(peers);
        lastRound = rounds.begin(timers.now(), {
            knowledge,
            members: (state?.members ?? []).map(ledger.memberIdentifier),
            isEnded: context.currentSessionPredicate(),
        });
        const message: protocol.Confirm = {
            kind: protocol.MessageKind.confirm,
            round: lastRound,
            knowledge,
            report: reports.create(),
        };
        sendToPeers(message, peers);
        const confirmed = rounds.recordResponse(lastRound, identifier, knowledge, timers.now());
        if (confirmed !== undefined) {
            onRoundConfirmed(confirmed);
        }
    };

    const tick = (): void => {
        const expiredSessions = expiry.expireSessions();
        context.addExpiredSessions(expiredSessions);
        previousIntervalRound = lastRound;
        beginRound();
        const confirmedAt = grants.confirmedAt();
        const isFresh = confirmedAt !== undefined
            && timers.now() - confirmedAt < context.lease().durationMilliseconds;
        if (!isFresh) {
            renewer.renew(false);
        }
        timers.onDelay(context.lease().renewalMilliseconds, () => {
            if (!owner.isDisposed()) {
                tick();
            }
        });
    };

    // Usually the log delivers the change shortly after. The peer's state is requested only if it does not.
    const scheduleStateFetch = (peer: string, offset: number): void => {
        if (offset <= requestedOffset) {
            return;
        }
        requestedOffset = offset;
        timers.onDelay(stateFetchDelayMilliseconds, () => {
            requestedOffset = -1;
            if (context.knowledge().offset < offset) {
                options.requestState(peer);
            }
        });
    };

    const mergeKnowledge = (peer: string, peerKnowledge: instanceKnowledge.Knowledge): void => {
        if (peerKnowledge.offset > context.knowledge().offset) {
            scheduleStateFetch(peer, peerKnowledge.offset);
        }
        if (context.addExpiredSessions(peerKnowledge.lapses)) {
            beginRound();
        }
    };

    const handleConfirm = (
        peer: string,
        message: protocol.Confirm,
        reply: (response: protocol.Message) => void,
    ): void => {
        reports.apply(message.report);
        mergeKnowledge(peer, message.knowledge);
        reply({ kind: protocol.MessageKind.confirmed, round: message.round, knowledge: context.knowledge() });
    };

    const handleConfirmed = (sender: Sender, message: protocol.Confirmed): void => {
        const member = ledger.memberIdentifier(sender);
        const round = rounds.recordResponse(message.round, member, message.knowledge, timers.now());
        if (round !== undefined) {
            onRoundConfirmed(round);
        }
        mergeKnowledge(sender.name, message.knowledge);
    };

    const handleReleased = (slots: readonly grantTracker.GrantedSlot[]): void => {
        slots.forEach(grants.recordRelease);
        const holders = new Set(slots.map(slot => grants.holder(slot.service, slot.slot, timers.now())?.holder));
        renewer.renew(true, server => {
            const registration = context.registrationOf(server);
            return registration !== undefined && holders.has(ledger.serverIdentifier(registration));
        });
    };

    const applyState = (next: ledger.LogState): void => {
        const previousState = context.state();
        if (previousState !== undefined && next.offset < previousState.offset) {
            return;
        }
        if (next.leader !== previousState?.leader) {
            proposer.recordLeaderActivity();
        }
        context.setState(next);
        const newEnvironment = environments.update(next);
        if (newEnvironment !== undefined) {
            options.onEnvironment(newEnvironment);
        }
        if (previousState === undefined || next.changedAt > previousState.changedAt) {
            beginRound();
        }
    };

    const planTimer = timers.onInterval(planIntervalMilliseconds, proposer.proposeNext);
    owner.onCleanup(() => planTimer.cancel());
    tick();

    return {
        applyState,
        markLogCaughtUp: proposer.markLogCaughtUp,
        updateInstanceList: instances => {
            directory.updateInstanceList(instances, timers.now());
            const names = instances.filter(instance => !instance.isLeaving).map(instance => instance.name).sort();
            proposer.setFounderRank(Math.max(names.indexOf(options.self.name), 0));
        },
        handleMessage: (sender, message, reply) => {
            if (message.kind === protocol.MessageKind.confirm) {
                handleConfirm(sender.name, message, reply);
            }
            else if (message.kind === protocol.MessageKind.confirmed) {
                handleConfirmed(sender, message);
            }
            else if (message.kind === protocol.MessageKind.released) {
                handleReleased(message.slots);
            }
        },
        handleRenewalResponse: (server, response) => {
            const respondedAt = timers.now();
            const { incarnation, isDraining, released } = response;
            renewer.recordClockSample(server, { serverClock: response.clock, receivedAt: respondedAt });
            detector.recordResponse({ server, incarnation, isDraining, respondedAt });
            if (released.length > 0) {
                sendToPeers({ kind: protocol.MessageKind.released, slots: [...released] });
                handleReleased(released);
            }
        },
        leave: () => {
            context.setLeaving();
            beginRound();
        },
        route: views.route,
        environment: environments.current,
        liveInstanceCount: () => Math.max(context.liveInstances().length, 1),
        status: views.status,
    };
};
