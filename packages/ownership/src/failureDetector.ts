/**
 * Decides when a server is lost: no instance that watches it has had an answer for a while. One instance that cannot
 * reach a server which others reach proves nothing.
 */

/** A report that a server answered. */
export interface ServerObservation {
    /** Name of the server. */
    server: string;
    incarnation: string;
    isDraining: boolean;
    /** Local instant of the answer. */
    answeredAt: number;
}

/** Gathers answers of servers, own ones and those that peers report. */
export interface FailureDetector {
    takeAnswer: (observation: ServerObservation) => void;
    /** The latest answer of a server, by any report. */
    latest: (server: string) => ServerObservation | undefined;
    /**
     * Tells whether a server is lost.
     *
     * @param server - its name
     * @param now - the local instant
     * @param suspicionMilliseconds - silence after which a server counts as lost
     */
    isLost: (server: string, now: number, suspicionMilliseconds: number) => boolean;
    /** Begins to watch a server, so that its silence counts from now. */
    watch: (server: string, now: number) => void;
    /** Counts all silence from now, after a time in which the detector itself could not listen. */
    restart: (now: number) => void;
}

/**
 * Creates a detector.
 *
 * @returns a detector that watches nothing
 */
export const createFailureDetector = (): FailureDetector => {
    const answers = new Map<string, ServerObservation>();
    const watchedSince = new Map<string, number>();
    return {
        takeAnswer: observation => {
            const known = answers.get(observation.server);
            if (known === undefined || observation.answeredAt > known.answeredAt) {
                answers.set(observation.server, observation);
            }
        },
        latest: server => answers.get(server),
        isLost: (server, now, suspicionMilliseconds) => {
            const since = watchedSince.get(server);
            if (since === undefined) {
                return false;
            }
            const heardAt = Math.max(since, answers.get(server)?.answeredAt ?? since);
            return now - heardAt > suspicionMilliseconds;
        },
        watch: (server, now) => {
            if (!watchedSince.has(server)) {
                watchedSince.set(server, now);
            }
        },
        restart: now => {
            for (const server of watchedSince.keys()) {
                watchedSince.set(server, now);
            }
        },
    };
};
