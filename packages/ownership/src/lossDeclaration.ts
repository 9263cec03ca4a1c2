/** Declares the sessions of silent servers ended, ahead of the log. */
import * as ledger from "@mulberryseam/ledger";
import type * as coordinatorContext from "./coordinatorContext";

/** Looks for lost servers. */
export interface LossDeclaration {
    /**
     * Looks once; to be called at every renewal interval.
     *
     * @returns sessions that must count as ended from now on
     */
    look: () => ledger.ServerIdentifier[];
}

/**
 * Creates the declaration of losses.
 *
 * @param context - state of the instance
 * @param renews - tells whether this instance renews a server, and so watches it
 * @returns the declaration
 */
export const createLossDeclaration = (
    context: coordinatorContext.CoordinatorContext,
    renews: (server: string) => boolean,
): LossDeclaration => {
    const { timers, grants, detector, logger } = context;
    let lookedAt = timers.now();

    // Silence proves nothing to an instance that was itself paused, or that a majority of members does not answer.
    const hasListened = (): boolean => {
        const now = timers.now();
        const hasPaused = now - lookedAt > context.lease().renewalMilliseconds * 2;
        const confirmedAt = grants.confirmedAt();
        const isConfirmed = confirmedAt !== undefined && now - confirmedAt < context.suspicionMilliseconds();
        lookedAt = now;
        if (hasPaused || !isConfirmed) {
            detector.restart(now);
        }
        return !hasPaused && isConfirmed;
    };

    return {
        look: () => {
            const mayDeclare = hasListened() && context.isMember();
            if (!mayDeclare) {
                return [];
            }
            const lapses = (context.state()?.servers ?? [])
                .filter(server => server.status !== ledger.ServerStatus.lost && renews(server.name))
                .filter(server => detector.isLost(server.name, timers.now(), context.suspicionMilliseconds()))
                .map(ledger.serverIdentifier)
                .filter(session => !context.knowledge().lapses.includes(session));
            if (lapses.length > 0) {
                logger.warning("Servers are silent; their sessions end.", { sessions: lapses });
            }
            return lapses;
        },
    };
};
