/**
 * The signals that the platform sends. The listeners are registered while this module loads: without one, a signal ends the
 * process, and loading the program takes a while.
 */

/** Handles signals. */
export interface SignalHandlers {
    /** Stops the process after SIGTERM; called for each signal, as the listeners stay registered. */
    onStop: () => void;
    /** Reads the settings again after SIGHUP. */
    onReload: () => void;
}

let handlers: SignalHandlers = {
    onStop: () => process.exit(0),
    onReload: () => undefined,
};

process.on("SIGTERM", () => handlers.onStop());
process.on("SIGHUP", () => handlers.onReload());

/**
 * Sets the handlers. Until then, SIGTERM ends the process with exit code 0, and SIGHUP does nothing, as the settings have not been
 * read.
 *
 * @param newHandlers - the handlers
 */
export const setSignalHandlers = (newHandlers: SignalHandlers): void => {
    handlers = newHandlers;
};
