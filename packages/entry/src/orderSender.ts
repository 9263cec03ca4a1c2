/** Sends a keeper's orders to upstreams and tells which upstreams have surely ended. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";

/** What the sender needs. */
export interface OrderSenderOptions {
    grants: platform.LeaseClient;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    /** A life of an upstream has surely ended; told once. */
    onEnded: (owner: assignment.Owner) => void;
    /** Whether answers are of no interest any more. */
    isStopped: () => boolean;
}

/** Sends orders. */
export interface OrderSender {
    send: (service: string, keeper: assignment.Keeper, order: assignment.Order) => void;
    markEnded: (owner: assignment.Owner, reason: string) => void;
    hasEnded: (owner: assignment.Owner) => boolean;
}

/** Time between refused connections from which an upstream has surely ended, in milliseconds. */
const refusalMilliseconds = 250;

const outcomes: Record<platform.CommandResponse["result"], assignment.OrderOutcomeValue> = {
    done: assignment.OrderOutcome.done,
    fenced: assignment.OrderOutcome.fenced,
    refused: assignment.OrderOutcome.refused,
    replaced: assignment.OrderOutcome.refused,
    notListening: assignment.OrderOutcome.unanswered,
    unknown: assignment.OrderOutcome.unanswered,
};

/**
 * Creates the sender.
 *
 * @param options - what it needs
 * @returns the sender
 */
export const createOrderSender = (options: OrderSenderOptions): OrderSender => {
    const { grants, timers, log } = options;
    const refusals = new Map<string, number>();
    const ended = new Set<string>();

    const markEnded = (owner: assignment.Owner, reason: string): void => {
        const name = assignment.ownerName(owner);
        if (!ended.has(name)) {
            ended.add(name);
            log.write("owner-ended", { owner: name, reason });
            options.onEnded(owner);
        }
    };

    const judgeLife = (owner: assignment.Owner, answer: platform.CommandResponse): void => {
        const name = assignment.ownerName(owner);
        if (answer.result === platform.CommandResult.done) {
            refusals.delete(name);
        }
        else if (answer.result === platform.CommandResult.replaced) {
            markEnded(owner, answer.reason);
        }
        else if (answer.result === platform.CommandResult.notListening) {
            const now = timers.now();
            const since = refusals.get(name) ?? now;
            refusals.set(name, since);
            if (now - since >= refusalMilliseconds) {
                markEnded(owner, answer.reason);
            }
        }
    };

    return {
        send: (service, keeper, order) => {
            const { owner, first, last, token } = order;
            const keys = { first, last, token };
            const answered = order.kind === assignment.OrderKind.grant
                ? grants.grant(owner, keys, order.leaseMilliseconds, order.handover)
                : grants.release(owner, keys);
            void answered.then(answer => {
                if (options.isStopped()) {
                    return;
                }
                judgeLife(owner, answer);
                keeper.onAnswer(order, outcomes[answer.result], answer.handover, timers.now());
                if (order.kind === assignment.OrderKind.release || answer.result !== platform.CommandResult.done) {
                    const { kind } = order;
                    const { result, reason } = answer;
                    const name = assignment.ownerName(owner);
                    log.write("order", { kind, service, owner: name, first, last, token, result, reason });
                }
            });
        },
        markEnded,
        hasEnded: owner => ended.has(assignment.ownerName(owner)),
    };
};
