/**
 * The part of an instance that decides on ownership with its peers. It owns its state, takes messages and readings
 * as they come, and acts through the functions it is given; it has no sockets and tells time by the timer service.
 */
import type { Environment, Service } from "@mulberryseam/configuration";
import type { Logger, Owner, TimerService } from "@mulberryseam/foundation";
import {
    isSessionEnded,
    type LogState,
    type Member,
    memberIdentifier,
    type RecordBody,
    type ServerIdentifier,
    serverIdentifier,
    type ServerRegistration,
    ServerStatus,
} from "@mulberryseam/ledger";
import { type Confirm, type Confirmed, type Message, MessageKind, type PeerReport } from "@mulberryseam/protocol";
import { type ConfirmedRound, createConfirmation } from "./confirmation";
import { createEnvironmentInForce, type InForce } from "./environmentInForce";
import { createFailureDetector } from "./failureDetector";
import { createGrantLedger, type GrantedSlot } from "./grantLedger";
import { emptyKnowledge, type Knowledge, knowsMore, mergeKnowledge } from "./knowledge";
import { planClaim } from "./leadership";
import { type ClockSample, leaseExpiry, waitOutMilliseconds } from "./lease";
import { createPeerDirectory, type ListedInstance } from "./peerDirectory";
import type { SlotLoad } from "./placement";
import { planNext } from "./planner";
import { chooseRenewers } from "./renewers";

/** What a server is told by one message. */
export interface Renewal {
    /** Session that the grants are for; undefined in a mere probe. */
    session: ServerIdentifier | undefined;
    /** Run of the server's process that the grants are for. */
    incarnation: string | undefined;
    /** Instant on the server's clock at which these grants end. */
    expiresAt: number | undefined;
    slots: readonly GrantedSlot[];
    /** Slots to give up, with the tokens they were held under. */
    release: readonly GrantedSlot[];
}

/** What a server answers. */
export interface ServerReply {
    incarnation: string;
    /** The server's monotonic clock, in milliseconds. */
    clock: number;
    isDraining: boolean;
    /** Slots that it held under the given tokens and gave up. */
    released: readonly GrantedSlot[];
}

/** Where a key's requests go. */
export interface Route {
    server: string;
    address: string;
    token: number;
    /** Whether the holder's grant is due and, for servers that check no tokens, our view of it is fresh enough. */
    isReady: boolean;
}

/** Means by which the coordinator acts. */
export interface CoordinatorOptions {
    self: Member;
    environmentName: string;
    timers: TimerService;
    logger: Logger;
    /** Sends to a peer by name; may drop the message. */
    sendToPeer: (peer: string, message: Message) => void;
    /** Tells the current addresses of peers by name. */
    onPeers: (addresses: Map<string, string>) => void;
    /** Sends to a server; its reply comes back by `takeServerReply`. */
    sendToServer: (server: string, address: string, renewal: Renewal) => void;
    /** Appends a record; what became of it is seen in the folded state. */
    append: (body: RecordBody) => Promise<unknown>;
    /** Busiest slots by the instance's own traffic. */
    ownLoads: () => PeerReport["loads"];
    /** Asks a peer for the state it has folded. */
    onStateWanted: (peer: string) => void;
    onEnvironment: (inForce: InForce) => void;
}

/** Who sent a message, as its connection was greeted. */
export type Sender = Pick<Member, "name" | "incarnation">;

/** Status for operators. */
export interface CoordinatorStatus {
    identifier: string;
    offset: number;
    environmentVersion: number | undefined;
    term: number;
    leader: string | undefined;
    members: string[];
    isMember: boolean;
    /** Age of the last confirmed round in milliseconds. */
    confirmedAgeMilliseconds: number | undefined;
    lapses: string[];
    livePeers: string[];
}

/** Decides on ownership with peers. */
export interface Coordinator {
    takeState: (state: LogState) => void;
    /** Tells whether the folded state came from the log itself, up to its end; claims need that. */
    takeLogReached: () => void;
    takeListing: (instances: readonly ListedInstance[]) => void;
    takeMessage: (sender: Sender, message: Message, reply: (message: Message) => void) => void;
    takeServerReply: (server: string, reply: ServerReply) => void;
    /** Announces that this instance is leaving. */
    leave: () => void;
    route: (service: Service, slot: number) => Route | undefined;
    environment: () => InForce | undefined;
    /** Number of instances that answer, the own one included. */
    liveInstanceCount: () => number;
    status: () => CoordinatorStatus;
}

const heartbeatSilenceMilliseconds = 1000;
const memberSilenceMilliseconds = 3000;
const planIntervalMilliseconds = 50;
const balanceIntervalMilliseconds = 2000;
const renewerCount = 3;
const suspicionShare = 0.6;
const fallbackLease = { durationMilliseconds: 700, renewalMilliseconds: 150 };

/**
 * Creates the coordinator of an instance.
 *
 * @param options - means by which it acts
 * @param owner - ends its timers
 * @returns the coordinator
 */
export const createCoordinator = (options: CoordinatorOptions, owner: Owner): Coordinator => {
    const { self, timers, logger } = options;
    const identifier = memberIdentifier(self);
    const confirmation = createConfirmation();
    const grants = createGrantLedger();
    const detector = createFailureDetector();
    const directory = createPeerDirectory(self.name);
    const inForce = createEnvironmentInForce(options.environmentName, logger);
    const samples = new Map<string, ClockSample>();
    const startedAt = timers.now();
    let state: LogState | undefined;
    let knowledge: Knowledge = emptyKnowledge();
    let isLeaving = false;
    let isLogReached = false;
    let isAppending = false;
    let lastRound = 0;
    let lastBalanceAt = startedAt;
    let lastTickAt = startedAt;
    let leaderHeardAt = startedAt;
    let founderRank = 0;

    const lease = (): Environment["lease"] => inForce.current()?.environment.lease ?? fallbackLease;
    const isEnded = (session: ServerIdentifier): boolean =>
        state !== undefined && isSessionEnded(state.servers, session);
    const isMember = (): boolean => state?.members.some(member => memberIdentifier(member) === identifier) ?? false;
    const keyedUpstreams = (): Service["upstreams"] =>
        (inForce.current()?.environment.services ?? [])
            .filter(service => service.kind === "keyed")
            .flatMap(service => service.upstreams);

    const liveInstances = (): Member[] => {
        const now = timers.now();
        const peers = directory.heardWithin(now, heartbeatSilenceMilliseconds)
            .filter(heard => !heard.report.isLeaving)
            .map(({ report }): Member => ({
                name: report.name,
                incarnation: report.incarnation,
                address: report.address,
                region: report.region,
                failureDomain: report.failureDomain,
            }));
        return isLeaving ? peers : [self, ...peers];
    };

    const renews = (server: string): boolean =>
        chooseRenewers(server, liveInstances(), renewerCount).includes(identifier);

    const sendToPeers = (addresses: Map<string, string>, message: Message): void => {
        for (const peer of addresses.keys()) {
            options.sendToPeer(peer, message);
        }
    };

    const createReport = (): PeerReport => {
        const now = timers.now();
        const answers = keyedUpstreams()
            .map(upstream => ({ upstream, sample: samples.get(upstream.name), seen: detector.latest(upstream.name) }))
            .filter(entry => entry.sample !== undefined && entry.seen !== undefined)
            .map(({ upstream, sample, seen }) => ({
                server: upstream.name,
                incarnation: seen?.incarnation ?? "",
                ageMilliseconds: now - (sample?.receivedAt ?? 0),
                isDraining: seen?.isDraining ?? false,
            }))
            .filter(answer => answer.ageMilliseconds < lease().durationMilliseconds);
        return { ...self, isLeaving, answers, loads: options.ownLoads() };
    };

    const pruneLapses = (): void => {
        knowledge = { ...knowledge, lapses: knowledge.lapses.filter(session => !isEnded(session)) };
    };

    const registrationOf = (server: string): ServerRegistration | undefined =>
        state?.servers.find(entry => entry.name === server);

    const renewalOf = (server: string, mayGrant: boolean): Renewal => {
        const registration = registrationOf(server);
        const sample = samples.get(server);
        const confirmedAt = grants.confirmedAt();
        const session = registration === undefined ? undefined : serverIdentifier(registration);
        const isEndedSession = session === undefined || registration?.status === ServerStatus.lost
            || knowledge.lapses.includes(session);
        if (isEndedSession || !mayGrant || sample === undefined || confirmedAt === undefined) {
            return { session: undefined, incarnation: undefined, expiresAt: undefined, slots: [], release: [] };
        }
        return {
            session,
            incarnation: registration?.incarnation,
            expiresAt: leaseExpiry(sample, confirmedAt, lease().durationMilliseconds),
            slots: grants.dueFor(session, timers.now()),
            release: grants.toRelease(session),
        };
    };

    const renewServers = (mayGrant: boolean, only?: (server: string) => boolean): void => {
        for (const upstream of keyedUpstreams()) {
            const isChosen = renews(upstream.name) && (only === undefined || only(upstream.name));
            if (isChosen) {
                detector.watch(upstream.name, timers.now());
                options.sendToServer(upstream.name, upstream.address, renewalOf(upstream.name, mayGrant));
            }
        }
    };

    const onRoundConfirmed = (round: ConfirmedRound): void => {
        if (state !== undefined) {
            grants.takeRound(round, state, lease().durationMilliseconds);
        }
        renewServers(true);
    };

    const isEndedBy = (folded: LogState | undefined) => (session: ServerIdentifier): boolean =>
        folded !== undefined && isSessionEnded(folded.servers, session);

    const beginRound = (): void => {
        const current = state;
        const addresses = directory.addresses(current?.members ?? []);
        options.onPeers(addresses);
        const isInformed = current !== undefined && current.changedAt >= knowledge.offset;
        const members = isInformed ? current.members.map(memberIdentifier) : [];
        lastRound = confirmation.begin(timers.now(), { knowledge, members, isEnded: isEndedBy(current) });
        const message: Confirm = { kind: MessageKind.confirm, round: lastRound, knowledge, report: createReport() };
        sendToPeers(addresses, message);
        const confirmed = confirmation.takeAnswer(lastRound, identifier, knowledge, timers.now());
        if (confirmed !== undefined) {
            onRoundConfirmed(confirmed);
        }
    };

    // Silence proves nothing to an instance that was itself paused, or that a majority of members does not answer.
    const hasListened = (suspicion: number): boolean => {
        const now = timers.now();
        const hasPaused = now - lastTickAt > lease().renewalMilliseconds * 2;
        const confirmedAt = grants.confirmedAt();
        const isConfirmed = confirmedAt !== undefined && now - confirmedAt < suspicion;
        lastTickAt = now;
        if (hasPaused || !isConfirmed) {
            detector.restart(now);
        }
        return !hasPaused && isConfirmed;
    };

    const declareLost = (): void => {
        const suspicion = lease().durationMilliseconds * suspicionShare;
        if (!isMember() || !hasListened(suspicion)) {
            return;
        }
        const lapses = (state?.servers ?? [])
            .filter(server => server.status !== ServerStatus.lost)
            .filter(server => renews(server.name) && detector.isLost(server.name, timers.now(), suspicion))
            .map(serverIdentifier)
            .filter(session => !knowledge.lapses.includes(session));
        if (lapses.length === 0) {
            return;
        }
        logger.warning("Servers are silent; their sessions end.", { sessions: lapses });
        knowledge = mergeKnowledge(knowledge, { offset: knowledge.offset, lapses });
    };

    const tick = (): void => {
        declareLost();
        beginRound();
        const confirmedAt = grants.confirmedAt();
        const isFresh = confirmedAt !== undefined && timers.now() - confirmedAt < lease().durationMilliseconds;
        if (!isFresh) {
            renewServers(false);
        }
        timers.onDelay(lease().renewalMilliseconds, () => {
            if (!owner.isDisposed()) {
                tick();
            }
        });
    };

    const loadsOf = (service: string): SlotLoad[] => {
        const sums = new Map<number, number>();
        const heard = directory.heardWithin(timers.now(), heartbeatSilenceMilliseconds);
        const all = [...options.ownLoads(), ...heard.flatMap(entry => entry.report.loads)];
        for (const load of all.filter(entry => entry.service === service)) {
            sums.set(load.slot, (sums.get(load.slot) ?? 0) + load.requestsPerSecond);
        }
        return [...sums].map(([slot, requestsPerSecond]) => ({ slot, requestsPerSecond }));
    };

    const goneMembers = (current: LogState): string[] => {
        const now = timers.now();
        const leaving = directory.heardWithin(now, heartbeatSilenceMilliseconds)
            .filter(heard => heard.report.isLeaving)
            .map(heard => memberIdentifier(heard.report));
        return current.members
            .filter(member => {
                const heardAt = directory.lastHeard(memberIdentifier(member)) ?? startedAt;
                const isSilent = now - heardAt > memberSilenceMilliseconds;
                const isGone = isSilent || directory.endedSince(member) !== undefined;
                return isGone || leaving.includes(memberIdentifier(member));
            })
            .map(memberIdentifier);
    };

    // A majority that has ended for certain can agree to nothing any more, old or new, once its last leases are out.
    const isConfirmedBySurvivors = (current: LogState): boolean => {
        const agreed = confirmation.agreedTo(lastRound - 1);
        const wait = waitOutMilliseconds(lease().durationMilliseconds);
        return current.members.every(member => {
            const endedSince = directory.endedSince(member);
            const hasEnded = endedSince !== undefined && timers.now() - endedSince > wait;
            return hasEnded || agreed.includes(memberIdentifier(member));
        });
    };

    const areMembersConfirmed = (current: LogState): boolean => {
        const latest = confirmation.latest();
        const isByMajority = latest !== undefined && latest.knowledge.offset >= current.membersVersion
            && timers.now() - latest.beganAt < lease().durationMilliseconds;
        return isByMajority || isConfirmedBySurvivors(current);
    };

    const planAsLeader = (current: LogState, environment: Environment): RecordBody | undefined => {
        const now = timers.now();
        const mayBalance = now - lastBalanceAt >= balanceIntervalMilliseconds;
        const suspicion = lease().durationMilliseconds * suspicionShare;
        const body = planNext({
            state: current,
            environment,
            self,
            liveInstances: liveInstances(),
            goneMembers: goneMembers(current),
            sightings: keyedUpstreams()
                .map(upstream => detector.latest(upstream.name))
                .filter(seen => seen !== undefined)
                .filter(seen => now - seen.answeredAt < suspicion)
                .map(seen => ({ name: seen.server, incarnation: seen.incarnation, isDraining: seen.isDraining })),
            lapses: knowledge.lapses,
            loadsOf,
            mayBalance,
            areMembersConfirmed: areMembersConfirmed(current),
        });
        if (mayBalance) {
            lastBalanceAt = now;
        }
        return body;
    };

    const planRecord = (current: LogState): RecordBody | undefined => {
        if (current.leader !== identifier) {
            return isLogReached && !isLeaving
                ? planClaim({
                    state: current,
                    self,
                    now: timers.now(),
                    liveMembers: liveInstances().map(memberIdentifier)
                        .filter(name => current.members.some(member => memberIdentifier(member) === name)),
                    leaderHeardAt,
                    founderRank,
                })
                : undefined;
        }
        const environment = inForce.current()?.environment;
        return environment === undefined ? undefined : planAsLeader(current, environment);
    };

    const plan = (): void => {
        const current = state;
        if (current === undefined || isAppending || current.changedAt < knowledge.offset) {
            return;
        }
        const body = planRecord(current);
        if (body === undefined) {
            return;
        }
        isAppending = true;
        void options.append(body).finally(() => {
            isAppending = false;
        });
    };

    const takeKnowledge = (peer: string, theirs: Knowledge): void => {
        const isNew = knowsMore(theirs, knowledge, isEnded);
        if (!isNew) {
            return;
        }
        knowledge = mergeKnowledge(knowledge, { ...theirs, lapses: theirs.lapses.filter(lapse => !isEnded(lapse)) });
        if (state === undefined || state.changedAt < knowledge.offset) {
            options.onStateWanted(peer);
        }
        beginRound();
    };

    const takeReport = (report: PeerReport): void => {
        const now = timers.now();
        directory.takeReport(report, now);
        if (memberIdentifier(report) === state?.leader && !report.isLeaving) {
            leaderHeardAt = now;
        }
        for (const answer of report.answers) {
            detector.takeAnswer({
                server: answer.server,
                incarnation: answer.incarnation,
                isDraining: answer.isDraining,
                answeredAt: now - answer.ageMilliseconds,
            });
        }
    };

    const takeConfirm = (peer: string, message: Confirm, reply: (answer: Message) => void): void => {
        takeReport(message.report);
        takeKnowledge(peer, message.knowledge);
        reply({ kind: MessageKind.confirmed, round: message.round, knowledge });
    };

    const takeConfirmed = (sender: Sender, message: Confirmed): void => {
        const member = memberIdentifier(sender);
        const round = confirmation.takeAnswer(message.round, member, message.knowledge, timers.now());
        if (round !== undefined) {
            onRoundConfirmed(round);
        }
        takeKnowledge(sender.name, message.knowledge);
    };

    const takeReleased = (slots: readonly GrantedSlot[]): void => {
        slots.forEach(grants.takeRelease);
        const holders = new Set(slots.map(slot => grants.holder(slot.service, slot.slot, timers.now())?.holder));
        renewServers(true, server => {
            const registration = registrationOf(server);
            return registration !== undefined && holders.has(serverIdentifier(registration));
        });
    };

    const planTimer = timers.onInterval(planIntervalMilliseconds, plan);
    owner.onCleanup(() => planTimer.cancel());
    tick();

    return {
        takeState: next => {
            if (state !== undefined && next.offset < state.offset) {
                return;
            }
            const hasChanged = state === undefined || next.changedAt > state.changedAt;
            if (next.leader !== state?.leader) {
                leaderHeardAt = timers.now();
            }
            state = next;
            knowledge = mergeKnowledge(knowledge, { offset: next.changedAt, lapses: [] });
            pruneLapses();
            const changed = inForce.takeState(next);
            if (changed !== undefined) {
                options.onEnvironment(changed);
            }
            if (hasChanged) {
                beginRound();
            }
        },
        takeLogReached: () => {
            isLogReached = true;
        },
        takeListing: instances => {
            directory.takeListing(instances, timers.now());
            const names = instances.filter(instance => !instance.isLeaving).map(instance => instance.name).sort();
            founderRank = Math.max(names.indexOf(self.name), 0);
        },
        takeMessage: (sender, message, reply) => {
            if (message.kind === MessageKind.confirm) {
                takeConfirm(sender.name, message, reply);
            }
            else if (message.kind === MessageKind.confirmed) {
                takeConfirmed(sender, message);
            }
            else if (message.kind === MessageKind.released) {
                takeReleased(message.slots);
            }
        },
        takeServerReply: (server, reply) => {
            const now = timers.now();
            samples.set(server, { serverClock: reply.clock, receivedAt: now });
            detector.takeAnswer({
                server,
                incarnation: reply.incarnation,
                isDraining: reply.isDraining,
                answeredAt: now,
            });
            if (reply.released.length > 0) {
                const message: Message = { kind: MessageKind.released, slots: [...reply.released] };
                sendToPeers(directory.addresses(state?.members ?? []), message);
                takeReleased(reply.released);
            }
        },
        leave: () => {
            isLeaving = true;
            beginRound();
        },
        route: (service, slot) => {
            const holder = grants.holder(service.name, slot, timers.now());
            const server = holder?.holder.slice(0, holder.holder.lastIndexOf("@"));
            const upstream = service.upstreams.find(entry => entry.name === server);
            if (holder === undefined || upstream === undefined) {
                return undefined;
            }
            const confirmedAge = timers.now() - (grants.confirmedAt() ?? -Infinity);
            const isFresh = service.checksTokens || confirmedAge < lease().durationMilliseconds;
            return {
                server: upstream.name,
                address: upstream.address,
                token: holder.token,
                isReady: holder.isDue && isFresh,
            };
        },
        environment: inForce.current,
        liveInstanceCount: () => Math.max(liveInstances().length, 1),
        status: () => {
            const confirmedAt = grants.confirmedAt();
            return {
                identifier,
                offset: state?.offset ?? -1,
                environmentVersion: inForce.current()?.version,
                term: state?.term ?? 0,
                leader: state?.leader,
                members: (state?.members ?? []).map(memberIdentifier),
                isMember: isMember(),
                confirmedAgeMilliseconds: confirmedAt === undefined ? undefined : timers.now() - confirmedAt,
                lapses: [...knowledge.lapses],
                livePeers: liveInstances().map(memberIdentifier),
            };
        },
    };
};
