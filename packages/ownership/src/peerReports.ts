/** Reports between instances: heartbeats, the latest server responses and the busiest slots. */
import * as ledger from "@mulberryseam/ledger";
import type * as protocol from "@mulberryseam/protocol";
import type * as coordinatorContext from "./coordinatorContext";
import type * as leaseRenewer from "./leaseRenewer";
import type * as recordProposer from "./recordProposer";

/** Creates the reports of this instance and applies those of its peers. */
export interface PeerReports {
    create: () => protocol.PeerReport;
    apply: (report: protocol.PeerReport) => void;
}

/**
 * Creates the peer reports of an instance.
 *
 * @param context - the shared state of the instance
 * @param renewer - provides the time of the last response of each server
 * @param proposer - notified of reports from the leader
 * @param localLoads - returns the busiest slots in the traffic of this instance
 * @returns the peer reports
 */
export const createPeerReports = (
    context: coordinatorContext.CoordinatorContext,
    renewer: leaseRenewer.LeaseRenewer,
    proposer: recordProposer.RecordProposer,
    localLoads: () => protocol.PeerReport["loads"],
): PeerReports => {
    const { timers, detector, directory } = context;

    // Kept short, since a report is sent to every peer in every renewal interval.
    const describeResponse = (server: string, ageMilliseconds: number): protocol.ServerLiveness => {
        const observation = detector.latest(server);
        const registration = context.registrationOf(server);
        const isRegistered = registration !== undefined && observation?.incarnation === registration.incarnation;
        return {
            server,
            ageMilliseconds: Math.ceil(ageMilliseconds),
            ...isRegistered ? { session: registration.session } : { incarnation: observation?.incarnation },
            ...observation?.isDraining === true ? { isDraining: true } : {},
        };
    };

    const create = (): protocol.PeerReport => {
        const now = timers.now();
        const responsiveServers = context.keyedUpstreams().map(upstream => upstream.name)
            .filter(server =>
                now - (renewer.lastResponseAt(server) ?? -Infinity) < context.lease().durationMilliseconds
            );
        return {
            ...context.self,
            isLeaving: context.isLeaving(),
            answers: responsiveServers.map(server =>
                describeResponse(server, now - (renewer.lastResponseAt(server) ?? now))
            ),
            loads: localLoads(),
        };
    };

    const apply = (report: protocol.PeerReport): void => {
        const now = timers.now();
        directory.recordReport(report, now);
        if (ledger.memberIdentifier(report) === context.state()?.leader && !report.isLeaving) {
            proposer.recordLeaderActivity();
        }
        for (const response of report.answers) {
            const registration = context.registrationOf(response.server);
            const isKnownSession = registration !== undefined && registration.session === response.session;
            const incarnation = isKnownSession ? registration.incarnation : response.incarnation;
            if (incarnation !== undefined) {
                detector.recordResponse({
                    server: response.server,
                    incarnation,
                    isDraining: response.isDraining ?? false,
                    respondedAt: now - response.ageMilliseconds,
                });
            }
        }
    };

    return { create, apply };
};
