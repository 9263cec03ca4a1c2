/** What the parts of a coordinator share: the folded state, knowledge, and who is there. */
import type * as configuration from "@mulberryseam/configuration";
import type * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";
import * as confirmation from "./confirmation";
import * as environmentInForce from "./environmentInForce";
import * as failureDetector from "./failureDetector";
import * as grantLedger from "./grantLedger";
import * as knowing from "./knowledge";
import * as peerDirectory from "./peerDirectory";

/** What the context is made from. */
export interface ContextOptions {
    self: ledger.Member;
    environmentName: string;
    timers: foundation.TimerService;
    logger: foundation.Logger;
}

/** State shared by the parts of one coordinator. */
export interface CoordinatorContext {
    self: ledger.Member;
    /** Identifier of the instance as a member. */
    identifier: string;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    startedAt: number;
    confirmation: confirmation.Confirmation;
    grants: grantLedger.GrantLedger;
    detector: failureDetector.FailureDetector;
    directory: peerDirectory.PeerDirectory;
    inForce: environmentInForce.EnvironmentInForce;
    state: () => ledger.LogState | undefined;
    setState: (state: ledger.LogState) => void;
    knowledge: () => knowing.Knowledge;
    /** Takes sessions declared ended that are new; gives whether there were any. */
    learnLapses: (lapses: readonly ledger.ServerIdentifier[]) => boolean;
    isLeaving: () => boolean;
    setLeaving: () => void;
    lease: () => configuration.Environment["lease"];
    /** Silence after which a server counts as lost, in milliseconds. */
    suspicionMilliseconds: () => number;
    isMember: () => boolean;
    /** Tells whether the log, as folded now, has ended a session. */
    isEnded: ledger.SessionPredicate;
    /** The same test, bound to what is folded now whatever is folded later. */
    currentSessionTest: () => ledger.SessionPredicate;
    registrationOf: (server: string) => ledger.ServerRegistration | undefined;
    keyedUpstreams: () => configuration.Service["upstreams"];
    /** Instances that answer and are not leaving, the own one included. */
    liveInstances: () => ledger.Member[];
}

/** Time without a report after which an instance no longer counts as live. */
export const heartbeatSilenceMilliseconds = 1000;

const suspicionShare = 0.6;
const fallbackLease = { durationMilliseconds: 700, renewalMilliseconds: 200 };

/**
 * Creates the context of a coordinator.
 *
 * @param options - what it is made from
 * @returns the context, with nothing folded
 */
export const createCoordinatorContext = (options: ContextOptions): CoordinatorContext => {
    const { self, timers, logger } = options;
    const identifier = ledger.memberIdentifier(self);
    const directory = peerDirectory.createPeerDirectory(self.name);
    const inForce = environmentInForce.createEnvironmentInForce(options.environmentName, logger);
    let state: ledger.LogState | undefined;
    let knowledge = knowing.emptyKnowledge();
    let isLeaving = false;

    const lease = (): configuration.Environment["lease"] => inForce.current()?.environment.lease ?? fallbackLease;
    let testSession: ledger.SessionPredicate = () => false;
    const isEnded: ledger.SessionPredicate = session => testSession(session);
    const livePeers = (): ledger.Member[] =>
        directory.heardWithin(timers.now(), heartbeatSilenceMilliseconds)
            .filter(heard => !heard.report.isLeaving)
            .map(({ report }) => ({
                name: report.name,
                incarnation: report.incarnation,
                address: report.address,
                region: report.region,
                failureDomain: report.failureDomain,
            }));

    return {
        self,
        identifier,
        timers,
        logger,
        startedAt: timers.now(),
        confirmation: confirmation.createConfirmation(),
        grants: grantLedger.createGrantLedger(),
        detector: failureDetector.createFailureDetector(),
        directory,
        inForce,
        state: () => state,
        setState: next => {
            state = next;
            testSession = ledger.createEndedSessionPredicate(next.servers);
            knowledge = { offset: next.changedAt, lapses: knowledge.lapses.filter(session => !isEnded(session)) };
        },
        knowledge: () => knowledge,
        learnLapses: lapses => {
            const merged = knowing.mergeLapses(knowledge.lapses, lapses.filter(session => !isEnded(session)));
            const hasGrown = merged.length > knowledge.lapses.length;
            knowledge = { ...knowledge, lapses: merged };
            return hasGrown;
        },
        isLeaving: () => isLeaving,
        setLeaving: () => {
            isLeaving = true;
        },
        lease,
        suspicionMilliseconds: () => lease().durationMilliseconds * suspicionShare,
        isMember: () => state?.members.some(member => ledger.memberIdentifier(member) === identifier) ?? false,
        isEnded,
        currentSessionTest: () => testSession,
        registrationOf: server => state?.servers.find(entry => entry.name === server),
        keyedUpstreams: () =>
            (inForce.current()?.environment.services ?? [])
                .filter(service => service.kind === "keyed")
                .flatMap(service => service.upstreams),
        liveInstances: () => isLeaving ? livePeers() : [self, ...livePeers()],
    };
};
