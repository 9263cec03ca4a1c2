/** Keeps the environment document in force: the newest accepted version, parsed once. */
import * as configuration from "@mulberryseam/configuration";
import type * as foundation from "@mulberryseam/foundation";
import type * as ledger from "@mulberryseam/ledger";

/** A document in force. */
export interface InForce {
    version: number;
    environment: configuration.Environment;
}

/** Follows the versions of one environment. */
export interface EnvironmentInForce {
    /** Takes a folded state; returns the new document when there is one. */
    takeState: (state: ledger.LogState) => InForce | undefined;
    current: () => InForce | undefined;
}

/**
 * Creates a follower of an environment. A version that does not parse is logged and the one before stays in force.
 *
 * @param name - name of the environment
 * @param logger - where unreadable versions are reported
 * @returns the follower, nothing in force yet
 */
export const createEnvironmentInForce = (name: string, logger: foundation.Logger): EnvironmentInForce => {
    let current: InForce | undefined;
    let seenVersion = -1;
    return {
        takeState: state => {
            const entry = state.environments.find(candidate => candidate.environment === name);
            if (entry === undefined || entry.version <= seenVersion) {
                return undefined;
            }
            seenVersion = entry.version;
            const parsed = configuration.parseEnvironment(`${name}@${entry.version}`, entry.document);
            if (parsed.err) {
                logger.error("The published document cannot be read.", {
                    version: entry.version,
                    problems: parsed.val,
                });
                return undefined;
            }
            current = { version: entry.version, environment: parsed.val };
            return current;
        },
        current: () => current,
    };
};
