/** The settings of a running instance, some of which can change while it runs. */
import type * as platform from "@mulberryseam/platform";

/** Names of the settings that differ between two versions of the settings file. */
export interface SettingsChange {
    applied: string[];
    /** Settings that take effect when the process starts the next time. */
    needsRestart: string[];
}

/** Settings of a running instance. */
export interface SettingsInForce {
    current: () => platform.InstanceSettings;
    /** Applies the settings that can change while the process runs. */
    apply: (next: platform.InstanceSettings) => SettingsChange;
}

/**
 * Limits that are read each time they are used. The longest lease is not among them: a leader relies on the one that the leader before it
 * had.
 */
const changeableSettings: ReadonlySet<string> = new Set<keyof platform.InstanceSettings>([
    "gracePeriodMilliseconds",
    "drainMilliseconds",
    "retryBudgetRatio",
    "retryBudgetSlack",
]);

/**
 * Creates the settings in force.
 *
 * @param initial - the settings at the start of the process
 * @returns the settings
 */
export const createSettingsInForce = (initial: platform.InstanceSettings): SettingsInForce => {
    let current = initial;
    return {
        current: () => current,
        apply: next => {
            const changed = Object.entries(next).filter(([name, value]) =>
                JSON.stringify(value) !== JSON.stringify(current[name as keyof platform.InstanceSettings])
            );
            const applicable = changed.filter(([name]) => changeableSettings.has(name));
            current = { ...current, ...Object.fromEntries(applicable) };
            return {
                applied: applicable.map(([name]) => name),
                needsRestart: changed.map(([name]) => name).filter(name => !changeableSettings.has(name)),
            };
        },
    };
};
