/** Reports between instances: the heartbeat, the servers heard, and the busiest slots. */
import { memberIdentifier } from "@mulberryseam/ledger";
import type { PeerReport, ServerAnswer } from "@mulberryseam/protocol";
import type { CoordinatorContext } from "./coordinatorContext";
import type { LeaderDuty } from "./leaderDuty";
import type { ServerRenewal } from "./renewal";

/** Writes own reports and takes those of peers. */
export interface Reports {
    create: () => PeerReport;
    take: (report: PeerReport) => void;
}

/**
 * Creates the reports of an instance.
 *
 * @param context - state of the instance
 * @param renewal - knows when servers answered this instance
 * @param duty - is told when the leader was heard
 * @param ownLoads - busiest slots by the instance's own traffic
 * @returns the reports
 */
export const createReports = (
    context: CoordinatorContext,
    renewal: ServerRenewal,
    duty: LeaderDuty,
    ownLoads: () => PeerReport["loads"],
): Reports => {
    const { timers, detector, directory } = context;

    // Short, since it is sent to every peer at every interval.
    const describeAnswer = (server: string, ageMilliseconds: number): ServerAnswer => {
        const seen = detector.latest(server);
        const registration = context.registrationOf(server);
        const isRegistered = registration !== undefined && seen?.incarnation === registration.incarnation;
        return {
            server,
            ageMilliseconds: Math.ceil(ageMilliseconds),
            ...isRegistered ? { session: registration.session } : { incarnation: seen?.incarnation },
            ...seen?.isDraining === true ? { isDraining: true } : {},
        };
    };

    const create = (): PeerReport => {
        const now = timers.now();
        const heard = context.keyedUpstreams().map(upstream => upstream.name)
            .filter(server => now - (renewal.answeredAt(server) ?? -Infinity) < context.lease().durationMilliseconds);
        return {
            ...context.self,
            isLeaving: context.isLeaving(),
            answers: heard.map(server => describeAnswer(server, now - (renewal.answeredAt(server) ?? now))),
            loads: ownLoads(),
        };
    };

    const take = (report: PeerReport): void => {
        const now = timers.now();
        directory.takeReport(report, now);
        if (memberIdentifier(report) === context.state()?.leader && !report.isLeaving) {
            duty.takeLeaderSign();
        }
        for (const answer of report.answers) {
            const registration = context.registrationOf(answer.server);
            const isKnownSession = registration !== undefined && registration.session === answer.session;
            const incarnation = isKnownSession ? registration.incarnation : answer.incarnation;
            if (incarnation !== undefined) {
                detector.takeAnswer({
                    server: answer.server,
                    incarnation,
                    isDraining: answer.isDraining ?? false,
                    answeredAt: now - answer.ageMilliseconds,
                });
            }
        }
    };

    return { create, take };
};
