/** Stops an instance: open requests may finish within the grace period. */
import * as foundation from "@mulberryseam/foundation";
import type * as relay from "@mulberryseam/relay";
import type * as ownershipTask from "./ownershipTask";

/** What a stop of an instance ends. */
export interface StopOptions {
    signal: NodeJS.Signals;
    gracePeriodMilliseconds: number;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
    requestRelay: relay.Relay;
    callerServer: relay.CallerServer;
    ownership: ownershipTask.OwnershipTask;
    owner: foundation.Owner;
}

/** Time between the responses to requests that are still open and the end of their connections, in milliseconds. */
const stopResponseMarginMilliseconds = 250;
/** Time left when a stopping process closes all open connections before the platform terminates it, in milliseconds. */
const stopMarginMilliseconds = 250;
/**
 * Time after SIGTERM in which callers still connect, in milliseconds: the platform checks readiness once a second and
 * needs two failed checks.
 */
const deregistrationMilliseconds = 3000;
const stopPollMilliseconds = 50;

/**
 * Stops an instance within the grace period.
 *
 * @param options - what the stop ends, and the grace period
 */
export const stopInstance = async (options: StopOptions): Promise<void> => {
    const { timers, log, requestRelay, callerServer, owner } = options;
    const startedAt = timers.now();
    log.write("stopping", { signal: options.signal, open: requestRelay.openRequestCount() });
    const closeAt = startedAt + options.gracePeriodMilliseconds - stopMarginMilliseconds;
    requestRelay.stopAt(closeAt - stopResponseMarginMilliseconds);
    // The store may not respond, which must not keep the process beyond its grace time.
    options.failures.watch("stop", options.ownership.resign());
    await foundation.pause(timers, deregistrationMilliseconds);
    callerServer.stopListening();
    while (requestRelay.openRequestCount() > 0 && timers.now() < closeAt) {
        callerServer.closeIdleConnections();
        await foundation.pause(timers, stopPollMilliseconds);
    }
    log.write("stopped", { open: requestRelay.openRequestCount() });
    await owner.dispose();
};
