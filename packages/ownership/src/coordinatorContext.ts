/** State shared by the modules of a coordinator: the applied log state, knowledge and known peers. */
import type * as configuration from "@mulberryseam/configuration";
import type * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";
import * as confirmation from "./confirmation";
import * as environmentTracker from "./environmentTracker";
import * as failureDetector from "./failureDetector";
import * as grantTracker from "./grantTracker";
import * as instanceKnowledge from "./knowledge";
import * as peerDirectory from "./peerDirectory";

/** Configures a coordinator context. */
export interface ContextOptions {
    self: ledger.Member;
    environmentName: string;
    timers: foundation.TimerService;
    logger: foundation.Logger;
}

/** State shared by the modules of one coordinator. */
export interface CoordinatorContext {
    self: ledger.Member;
    /** Member identifier of the instance, `NAME#INCARNATION`. */
    identifier: string;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    startedAt: number;
    rounds: confirmation.ConfirmationRounds;
    grants: grantTracker.GrantTracker;
    detector: failureDetector.FailureDetector;
    directory: peerDirectory.PeerDirectory;
    environments: environmentTracker.EnvironmentTracker;
    state: () => ledger.LogState | undefined;
    setState: (state: ledger.LogState) => void;
    knowledge: () => instanceKnowledge.Knowledge;
    /** Adds expired sessions to the knowledge. Returns whether any of them was new. */
    addExpiredSessions: (expiredSessions: readonly ledger.ServerIdentifier[]) => boolean;
    isLeaving: () => boolean;
    setLeaving: () => void;
    lease: () => configuration.Environment["lease"];
    /** Time without a response after which a server counts as lost. */
    suspicionTimeoutMilliseconds: () => number;
    isMember: () => boolean;
    /** Whether the log, as currently applied, has ended a session. */
    isSessionEnded: ledger.SessionPredicate;
    /** Returns `isSessionEnded` for the current state, unaffected by records applied later. */
    currentSessionPredicate: () => ledger.SessionPredicate;
    registrationOf: (server: string) => ledger.ServerRegistration | undefined;
    keyedUpstreams: () => configuration.Service["upstreams"];
    /** Returns the responsive instances that are not leaving, including this one unless it is leaving. */
    liveInstances: () => ledger.Member[];
}

/** Time without a report after which an instance counts as unresponsive. */
export const heartbeatTimeoutMilliseconds = 1000;

const suspicionTimeoutRatio = 0.6;
const defaultLease = { durationMilliseconds: 700, renewalMilliseconds: 200 };

/**
 * Creates the context of a coordinator.
 *
 * @param options - the identity of the instance, its timers and its logger
 * @returns the context, with no log records applied
 */
export const createCoordinatorContext = (options: ContextOptions): CoordinatorContext => {
    const { self, timers, logger } = options;
    const identifier = ledger.memberIdentifier(self);
    const directory = peerDirectory.createPeerDirectory(self.name);
    const environments = environmentTracker.createEnvironmentTracker(options.environmentName, logger);
    let state: ledger.LogState | undefined;
    let knowledge = instanceKnowledge.emptyKnowledge();
    let isLeaving = false;

    const lease = (): configuration.Environment["lease"] => environments.current()?.environment.lease ?? defaultLease;
    let sessionPredicate: ledger.SessionPredicate = () => false;
    const isSessionEnded: ledger.SessionPredicate = session => sessionPredicate(session);
    const livePeers = (): ledger.Member[] =>
        directory.reportsWithin(timers.now(), heartbeatTimeoutMilliseconds)
            .filter(received => !received.report.isLeaving)
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
        rounds: confirmation.createConfirmationRounds(),
        grants: grantTracker.createGrantTracker(),
        detector: failureDetector.createFailureDetector(),
        directory,
        environments,
        state: () => state,
        setState: next => {
            state = next;
            sessionPredicate = ledger.createEndedSessionPredicate(next.servers);
            knowledge = {
                offset: next.changedAt,
                lapses: knowledge.lapses.filter(session => !isSessionEnded(session)),
            };
        },
        knowledge: () => knowledge,
        addExpiredSessions: expiredSessions => {
            const merged = instanceKnowledge.mergeExpiredSessions(
                knowledge.lapses,
                expiredSessions.filter(session => !isSessionEnded(session)),
            );
            const hasNewSessions = merged.length > knowledge.lapses.length;
            knowledge = { ...knowledge, lapses: merged };
            return hasNewSessions;
        },
        isLeaving: () => isLeaving,
        setLeaving: () => {
            isLeaving = true;
        },
        lease,
        suspicionTimeoutMilliseconds: () => lease().durationMilliseconds * suspicionTimeoutRatio,
        isMember: () => state?.members.some(member => ledger.memberIdentifier(member) === identifier) ?? false,
        isSessionEnded,
        currentSessionPredicate: () => sessionPredicate,
        registrationOf: server => state?.servers.find(entry => entry.name === server),
        keyedUpstreams: () =>
            (environments.current()?.environment.services ?? [])
                .filter(service => service.kind === "keyed")
                .flatMap(service => service.upstreams),
        liveInstances: () => isLeaving ? livePeers() : [self, ...livePeers()],
    };
};
