/**
 * The part of an instance that decides on ownership with its peers. It takes messages and readings as they come and
 * acts through the functions it is given; it has no sockets and tells time by the timer service.
 */
import type * as configuration from "@mulberryseam/configuration";
import type * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";
import * as protocol from "@mulberryseam/protocol";
import type * as confirmations from "./confirmation";
import * as coordinatorContext from "./coordinatorContext";
import * as coordinatorViews from "./coordinatorViews";
import type * as environmentInForce from "./environmentInForce";
import type * as grantLedger from "./grantLedger";
import type * as knowing from "./knowledge";
import * as leaderDuty from "./leaderDuty";
import * as lossDeclaration from "./lossDeclaration";
import type * as peerDirectory from "./peerDirectory";
import * as renewals from "./renewal";
import * as reporting from "./reports";

/** Means by which the coordinator acts. */
export interface CoordinatorOptions {
    self: ledger.Member;
    environmentName: string;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    /** Sends to a peer by name; may drop the message. */
    sendToPeer: (peer: string, message: protocol.Message) => void;
    /** Tells the current addresses of peers by name. */
    onPeers: (addresses: Map<string, string>) => void;
    /** Sends to a server; its reply comes back by `takeServerReply`. */
    sendToServer: (server: string, address: string, renewal: renewals.Renewal) => void;
    /** Appends a record; what became of it is seen in the folded state. */
    append: (body: ledger.RecordBody) => Promise<unknown>;
    /** Busiest slots by the instance's own traffic. */
    ownLoads: () => protocol.PeerReport["loads"];
    /** Asks a peer for the state it has folded. */
    onStateWanted: (peer: string) => void;
    onEnvironment: (inForce: environmentInForce.InForce) => void;
}

/** Who sent a message, as its connection was greeted. */
export type Sender = Pick<ledger.Member, "name" | "incarnation">;

/** Decides on ownership with peers. */
export interface Coordinator {
    takeState: (state: ledger.LogState) => void;
    /** Tells whether the folded state came from the log itself, up to its end; claims need that. */
    takeLogReached: () => void;
    takeListing: (instances: readonly peerDirectory.ListedInstance[]) => void;
    takeMessage: (sender: Sender, message: protocol.Message, reply: (message: protocol.Message) => void) => void;
    takeServerReply: (server: string, reply: renewals.ServerReply) => void;
    /** Announces that this instance is leaving. */
    leave: () => void;
    route: (service: configuration.Service, slot: number) => coordinatorViews.Route | undefined;
    environment: () => environmentInForce.InForce | undefined;
    /** Number of instances that answer, the own one included. */
    liveInstanceCount: () => number;
    status: () => coordinatorViews.CoordinatorStatus;
}

const planIntervalMilliseconds = 50;
const stateWaitMilliseconds = 100;

/**
 * Creates the coordinator of an instance.
 *
 * @param options - means by which it acts
 * @param owner - ends its timers
 * @returns the coordinator
 */
export const createCoordinator = (options: CoordinatorOptions, owner: foundation.Owner): Coordinator => {
    const { timers } = options;
    const context = coordinatorContext.createCoordinatorContext(options);
    const { identifier, confirmation, grants, detector, directory, inForce } = context;
    const renewal = renewals.createServerRenewal(context, options.sendToServer);
    const views = coordinatorViews.createCoordinatorViews(context);
    const losses = lossDeclaration.createLossDeclaration(context, renewal.renews);
    let lastRound = 0;
    let lastFullRound = 0;
    let wantedOffset = -1;
    const duty = leaderDuty.createLeaderDuty(context, {
        append: options.append,
        ownLoads: options.ownLoads,
        lastFullRound: () => lastFullRound,
    });

    const reports = reporting.createReports(context, renewal, duty, options.ownLoads);

    const addresses = (): Map<string, string> => directory.addresses(context.state()?.members ?? []);

    const sendToPeers = (message: protocol.Message, peers = addresses()): void => {
        for (const peer of peers.keys()) {
            options.sendToPeer(peer, message);
        }
    };

    const onRoundConfirmed = (round: confirmations.ConfirmedRound): void => {
        const state = context.state();
        if (state !== undefined) {
            grants.takeRound(round, state, context.lease().durationMilliseconds);
        }
        renewal.renew(true);
    };

    const beginRound = (): void => {
        const state = context.state();
        const knowledge = context.knowledge();
        const peers = addresses();
        options.onPeers(peers);
        lastRound = confirmation.begin(timers.now(), {
            knowledge,
            members: (state?.members ?? []).map(ledger.memberIdentifier),
            isEnded: context.currentSessionTest(),
        });
        const message: protocol.Confirm = {
            kind: protocol.MessageKind.confirm,
            round: lastRound,
            knowledge,
            report: reports.create(),
        };
        sendToPeers(message, peers);
        const confirmed = confirmation.takeAnswer(lastRound, identifier, knowledge, timers.now());
        if (confirmed !== undefined) {
            onRoundConfirmed(confirmed);
        }
    };

    const tick = (): void => {
        const lapses = losses.look();
        context.learnLapses(lapses);
        lastFullRound = lastRound;
        beginRound();
        const confirmedAt = grants.confirmedAt();
        const isFresh = confirmedAt !== undefined
            && timers.now() - confirmedAt < context.lease().durationMilliseconds;
        if (!isFresh) {
            renewal.renew(false);
        }
        timers.onDelay(context.lease().renewalMilliseconds, () => {
            if (!owner.isDisposed()) {
                tick();
            }
        });
    };

    // The log mostly brings the change a moment later; a peer is asked for it only when it does not.
    const wantState = (peer: string, offset: number): void => {
        if (offset <= wantedOffset) {
            return;
        }
        wantedOffset = offset;
        timers.onDelay(stateWaitMilliseconds, () => {
            wantedOffset = -1;
            if (context.knowledge().offset < offset) {
                options.onStateWanted(peer);
            }
        });
    };

    const takeKnowledge = (peer: string, theirs: knowing.Knowledge): void => {
        if (theirs.offset > context.knowledge().offset) {
            wantState(peer, theirs.offset);
        }
        if (context.learnLapses(theirs.lapses)) {
            beginRound();
        }
    };

    const takeConfirm = (peer: string, message: protocol.Confirm, reply: (answer: protocol.Message) => void): void => {
        reports.take(message.report);
        takeKnowledge(peer, message.knowledge);
        reply({ kind: protocol.MessageKind.confirmed, round: message.round, knowledge: context.knowledge() });
    };

    const takeConfirmed = (sender: Sender, message: protocol.Confirmed): void => {
        const member = ledger.memberIdentifier(sender);
        const round = confirmation.takeAnswer(message.round, member, message.knowledge, timers.now());
        if (round !== undefined) {
            onRoundConfirmed(round);
        }
        takeKnowledge(sender.name, message.knowledge);
    };

    const takeReleased = (slots: readonly grantLedger.GrantedSlot[]): void => {
        slots.forEach(grants.takeRelease);
        const holders = new Set(slots.map(slot => grants.holder(slot.service, slot.slot, timers.now())?.holder));
        renewal.renew(true, server => {
            const registration = context.registrationOf(server);
            return registration !== undefined && holders.has(ledger.serverIdentifier(registration));
        });
    };

    const takeState = (next: ledger.LogState): void => {
        const before = context.state();
        if (before !== undefined && next.offset < before.offset) {
            return;
        }
        if (next.leader !== before?.leader) {
            duty.takeLeaderSign();
        }
        context.setState(next);
        const changed = inForce.takeState(next);
        if (changed !== undefined) {
            options.onEnvironment(changed);
        }
        if (before === undefined || next.changedAt > before.changedAt) {
            beginRound();
        }
    };

    const planTimer = timers.onInterval(planIntervalMilliseconds, duty.look);
    owner.onCleanup(() => planTimer.cancel());
    tick();

    return {
        takeState,
        takeLogReached: duty.takeLogReached,
        takeListing: instances => {
            directory.takeListing(instances, timers.now());
            const names = instances.filter(instance => !instance.isLeaving).map(instance => instance.name).sort();
            duty.setFounderRank(Math.max(names.indexOf(options.self.name), 0));
        },
        takeMessage: (sender, message, reply) => {
            if (message.kind === protocol.MessageKind.confirm) {
                takeConfirm(sender.name, message, reply);
            }
            else if (message.kind === protocol.MessageKind.confirmed) {
                takeConfirmed(sender, message);
            }
            else if (message.kind === protocol.MessageKind.released) {
                takeReleased(message.slots);
            }
        },
        takeServerReply: (server, reply) => {
            const answeredAt = timers.now();
            const { incarnation, isDraining, released } = reply;
            renewal.takeSample(server, { serverClock: reply.clock, receivedAt: answeredAt });
            detector.takeAnswer({ server, incarnation, isDraining, answeredAt });
            if (released.length > 0) {
                sendToPeers({ kind: protocol.MessageKind.released, slots: [...released] });
                takeReleased(released);
            }
        },
        leave: () => {
            context.setLeaving();
            beginRound();
        },
        route: views.route,
        environment: inForce.current,
        liveInstanceCount: () => Math.max(context.liveInstances().length, 1),
        status: views.status,
    };
};
