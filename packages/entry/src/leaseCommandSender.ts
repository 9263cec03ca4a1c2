/** Sends the lease manager's commands to upstreams and passes their outcomes on. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";

/** Dependencies of a lease command sender. */
export interface LeaseCommandSenderOptions {
    leaseClient: platform.LeaseClient;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
    /** Called for each response in which an upstream announces that it is leaving. */
    onLeaving: (owner: assignment.Owner) => void;
    /** Whether the session has stopped, so that responses are ignored. */
    isStopped: () => boolean;
}

/** Sends lease commands. */
export interface LeaseCommandSender {
    send: (service: string, leaseManager: assignment.LeaseManager, command: assignment.LeaseCommand) => void;
}

const outcomes: Record<platform.CommandResponse["result"], assignment.CommandOutcomeValue> = {
    done: assignment.CommandOutcome.done,
    fenced: assignment.CommandOutcome.fenced,
    refused: assignment.CommandOutcome.refused,
    misdirected: assignment.CommandOutcome.misdirected,
    notListening: assignment.CommandOutcome.undelivered,
    unknown: assignment.CommandOutcome.unanswered,
};

/** Stands for the response to a command after an exception; the upstream may have executed it. */
const unknownResponse: platform.CommandResponse = {
    result: platform.CommandResult.unknown,
    handover: undefined,
    reason: "internal error",
    isLeaving: false,
};

/**
 * Creates a lease command sender.
 *
 * @param options - dependencies of the sender
 * @returns the sender
 */
export const createLeaseCommandSender = (options: LeaseCommandSenderOptions): LeaseCommandSender => {
    const { leaseClient, timers, log } = options;
    return {
        send: (service, leaseManager, command) => {
            const { owner, first, last, token } = command;
            const keys = { first, last, token };
            const fields = { service, owner: assignment.ownerName(owner), first, last };
            const runCommand = async (): Promise<platform.CommandResponse> => {
                try {
                    return await (command.kind === assignment.CommandKind.grant
                        ? leaseClient.grant(owner, keys, command.leaseMilliseconds, command.handover)
                        : leaseClient.release(owner, keys));
                }
                catch (error) {
                    options.failures.report("lease command", error, fields);
                    return unknownResponse;
                }
            };
            const handledResponse = runCommand().then(response => {
                if (options.isStopped()) {
                    return;
                }
                // The outcome must reach the lease manager, or the range would count as in flight for good.
                options.failures.run("lease command", () => {
                    if (response.isLeaving) {
                        options.onLeaving(owner);
                    }
                }, { service, owner: assignment.ownerName(owner) });
                leaseManager.onOutcome(command, outcomes[response.result], response.handover, timers.now());
                if (
                    command.kind === assignment.CommandKind.release || response.result !== platform.CommandResult.done
                ) {
                    const { kind } = command;
                    const { result, reason } = response;
                    const name = assignment.ownerName(owner);
                    log.write("order", { kind, service, owner: name, first, last, token, result, reason });
                }
            });
            options.failures.watch("lease command", handledResponse, fields);
        },
    };
};
