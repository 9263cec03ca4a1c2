/** Expires the sessions of unresponsive servers before the log records their loss. */
import * as ledger from "@mulberryseam/ledger";
import type * as coordinatorContext from "./coordinatorContext";

/** Detects lost servers and expires their sessions. */
export interface SessionExpiry {
    /**
     * Checks all servers that this instance renews. Must be called once per renewal interval.
     *
     * @returns the sessions that have newly expired
     */
    expireSessions: () => ledger.ServerIdentifier[];
}

/**
 * Creates the session expiry of an instance.
 *
 * @param context - the shared state of the instance
 * @param isRenewerOf - whether this instance renews the lease of a server and therefore monitors it
 * @returns the session expiry
 */
export const createSessionExpiry = (
    context: coordinatorContext.CoordinatorContext,
    isRenewerOf: (server: string) => boolean,
): SessionExpiry => {
    const { timers, grants, detector, logger } = context;
    let lastCheckedAt = timers.now();

    // Missing responses are no evidence of a lost server if this instance was itself paused, or has no recent response
    // from a majority of members.
    const canTrustTimeouts = (): boolean => {
        const now = timers.now();
        const hasPaused = now - lastCheckedAt > context.lease().renewalMilliseconds * 2;
        const confirmedAt = grants.confirmedAt();
        const isConfirmed = confirmedAt !== undefined && now - confirmedAt < context.suspicionTimeoutMilliseconds();
        lastCheckedAt = now;
        if (hasPaused || !isConfirmed) {
            detector.restartTimeouts(now);
        }
        return !hasPaused && isConfirmed;
    };

    return {
        expireSessions: () => {
            const canExpireSessions = canTrustTimeouts() && context.isMember();
            if (!canExpireSessions) {
                return [];
            }
            const expiredSessions = (context.state()?.servers ?? [])
                .filter(server => server.status !== ledger.ServerStatus.lost && isRenewerOf(server.name))
                .filter(server => detector.isLost(server.name, timers.now(), context.suspicionTimeoutMilliseconds()))
                .map(ledger.serverIdentifier)
                .filter(session => !context.knowledge().lapses.includes(session));
            if (expiredSessions.length > 0) {
                logger.warning("Servers are unresponsive; their sessions expire.", { sessions: expiredSessions });
            }
            return expiredSessions;
        },
    };
};
