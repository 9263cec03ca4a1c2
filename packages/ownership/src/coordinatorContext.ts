/** What the parts of a coordinator share: the folded state, knowledge, and who is there. */
import type { Environment, Service } from "@mulberryseam/configuration";
import type { Logger, TimerService } from "@mulberryseam/foundation";
import {
    createSessionTest,
    type LogState,
    type Member,
    memberIdentifier,
    type ServerIdentifier,
    type ServerRegistration,
    type SessionTest,
} from "@mulberryseam/ledger";
import { type Confirmation, createConfirmation } from "./confirmation";
import { createEnvironmentInForce, type EnvironmentInForce } from "./environmentInForce";
import { createFailureDetector, type FailureDetector } from "./failureDetector";
import { createGrantLedger, type GrantLedger } from "./grantLedger";
import { emptyKnowledge, type Knowledge, mergeLapses } from "./knowledge";
import { createPeerDirectory, type PeerDirectory } from "./peerDirectory";

/** What the context is made from. */
export interface ContextOptions {
    self: Member;
    environmentName: string;
    timers: TimerService;
    logger: Logger;
}

/** State shared by the parts of one coordinator. */
export interface CoordinatorContext {
    self: Member;
    /** Identifier of the instance as a member. */
    identifier: string;
    timers: TimerService;
    logger: Logger;
    startedAt: number;
    confirmation: Confirmation;
    grants: GrantLedger;
    detector: FailureDetector;
    directory: PeerDirectory;
    inForce: EnvironmentInForce;
    state: () => LogState | undefined;
    setState: (state: LogState) => void;
    knowledge: () => Knowledge;
    /** Takes sessions declared ended that are new; gives whether there were any. */
    learnLapses: (lapses: readonly ServerIdentifier[]) => boolean;
    isLeaving: () => boolean;
    setLeaving: () => void;
    lease: () => Environment["lease"];
    /** Silence after which a server counts as lost, in milliseconds. */
    suspicionMilliseconds: () => number;
    isMember: () => boolean;
    /** Tells whether the log, as folded now, has ended a session. */
    isEnded: SessionTest;
    /** The same test, bound to what is folded now whatever is folded later. */
    currentSessionTest: () => SessionTest;
    registrationOf: (server: string) => ServerRegistration | undefined;
    keyedUpstreams: () => Service["upstreams"];
    /** Instances that answer and are not leaving, the own one included. */
    liveInstances: () => Member[];
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
    const identifier = memberIdentifier(self);
    const directory = createPeerDirectory(self.name);
    const inForce = createEnvironmentInForce(options.environmentName, logger);
    let state: LogState | undefined;
    let knowledge = emptyKnowledge();
    let isLeaving = false;

    const lease = (): Environment["lease"] => inForce.current()?.environment.lease ?? fallbackLease;
    let testSession: SessionTest = () => false;
    const isEnded: SessionTest = session => testSession(session);
    const livePeers = (): Member[] =>
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
        confirmation: createConfirmation(),
        grants: createGrantLedger(),
        detector: createFailureDetector(),
        directory,
        inForce,
        state: () => state,
        setState: next => {
            state = next;
            testSession = createSessionTest(next.servers);
            knowledge = { offset: next.changedAt, lapses: knowledge.lapses.filter(session => !isEnded(session)) };
        },
        knowledge: () => knowledge,
        learnLapses: lapses => {
            const merged = mergeLapses(knowledge.lapses, lapses.filter(session => !isEnded(session)));
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
        isMember: () => state?.members.some(member => memberIdentifier(member) === identifier) ?? false,
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
