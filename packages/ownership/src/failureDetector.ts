/**
 * Detects lost servers. A server is lost if none of the instances that monitor it has received a response within the
 * suspicion timeout. A server that only one instance cannot reach is not lost.
 */

/** A response of a server, received directly or reported by a peer. */
export interface ServerObservation {
    /** Name of the server. */
    server: string;
    incarnation: string;
    isDraining: boolean;
    /** Time of the response on the local clock. */
    respondedAt: number;
}

/** Collects the responses of servers, received directly or reported by peers. */
export interface FailureDetector {
    recordResponse: (observation: ServerObservation) => void;
    /** Returns the latest response of a server, received directly or reported by a peer. */
    latest: (server: string) => ServerObservation | undefined;
    /**
     * Whether a server is lost.
     *
     * @param server - the name of the server
     * @param now - the local time, in milliseconds
     * @param suspicionTimeoutMilliseconds - time without a response after which the server counts as lost
     */
    isLost: (server: string, now: number, suspicionTimeoutMilliseconds: number) => boolean;
    /** Starts to monitor a server. Its suspicion timeout runs from now. */
    monitor: (server: string, now: number) => void;
    /** Restarts all suspicion timeouts, after a time in which the detector itself could not receive responses. */
    restartTimeouts: (now: number) => void;
}

/**
 * Creates a failure detector.
 *
 * @returns a detector that monitors no servers
 */
export const createFailureDetector = (): FailureDetector => {
    const observations = new Map<string, ServerObservation>();
    const monitoredSince = new Map<string, number>();
    return {
        recordResponse: observation => {
            const known = observations.get(observation.server);
            if (known === undefined || observation.respondedAt > known.respondedAt) {
                observations.set(observation.server, observation);
            }
        },
        latest: server => observations.get(server),
        isLost: (server, now, suspicionTimeoutMilliseconds) => {
            const monitoringStartedAt = monitoredSince.get(server);
            if (monitoringStartedAt === undefined) {
                return false;
            }
            const lastResponseAt = Math.max(
                monitoringStartedAt,
                observations.get(server)?.respondedAt ?? monitoringStartedAt,
            );
            return now - lastResponseAt > suspicionTimeoutMilliseconds;
        },
        monitor: (server, now) => {
            if (!monitoredSince.has(server)) {
                monitoredSince.set(server, now);
            }
        },
        restartTimeouts: now => {
            for (const server of monitoredSince.keys()) {
                monitoredSince.set(server, now);
            }
        },
    };
};
