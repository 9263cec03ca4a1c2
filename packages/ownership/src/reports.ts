/** Reports between instances: the heartbeat, the servers heard, and the busiest slots. */
import * as ledger from "@mulberryseam/ledger";
import type * as protocol from "@mulberryseam/protocol";
import type * as coordinatorContext from "./coordinatorContext";
import type * as leaderDuty from "./leaderDuty";
import type * as renewals from "./renewal";

/** Writes own reports and takes those of peers. */
export interface Reports {
    create: () => protocol.PeerReport;
    take: (report: protocol.PeerReport) => void;
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
    context: coordinatorContext.CoordinatorContext,
    renewal: renewals.ServerRenewal,
    duty: leaderDuty.LeaderDuty,
    ownLoads: () => protocol.PeerReport["loads"],
): Reports => {
    const { timers, detector, directory } = context;

    // Short, since it is sent to every peer at every interval.
    const describeAnswer = (server: string, ageMilliseconds: number): protocol.ServerLiveness => {
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

    const create = (): protocol.PeerReport => {
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

    const take = (report: protocol.PeerReport): void => {
        const now = timers.now();
        directory.takeReport(report, now);
        if (ledger.memberIdentifier(report) === context.state()?.leader && !report.isLeaving) {
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
