/** Tracks the environment document in force: the newest valid version, parsed once. */
import * as configuration from "@mulberryseam/configuration";
import type * as foundation from "@mulberryseam/foundation";
import type * as ledger from "@mulberryseam/ledger";

/** A parsed environment document and its version. */
export interface EnvironmentInForce {
    version: number;
    environment: configuration.Environment;
}

/** Tracks the versions of one environment. */
export interface EnvironmentTracker {
    /** Updates the document from the applied log state. Returns the document if a new version came into force. */
    update: (state: ledger.LogState) => EnvironmentInForce | undefined;
    /** Returns the document in force. */
    current: () => EnvironmentInForce | undefined;
}

/**
 * Creates an environment tracker. A version that fails to parse is logged, and the previous one stays in force.
 *
 * @param name - the name of the environment
 * @param logger - logs invalid versions
 * @returns the tracker, with no document in force
 */
export const createEnvironmentTracker = (name: string, logger: foundation.Logger): EnvironmentTracker => {
    let current: EnvironmentInForce | undefined;
    let lastVersion = -1;
    return {
        update: state => {
            const entry = state.environments.find(candidate => candidate.environment === name);
            if (entry === undefined || entry.version <= lastVersion) {
                return undefined;
            }
            lastVersion = entry.version;
            const parsed = configuration.parseEnvironment(`${name}@${entry.version}`, entry.document);
            if (parsed.err) {
                logger.error("The published environment document is invalid.", {
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
