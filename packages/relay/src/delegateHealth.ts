/** Health of another instance as seen by one that delegates requests to it: whether it shows signs of life. */

/** A request that was delegated and has not ended. */
export interface PendingDelegation {
    /** Time of the newest sign of life for the request, or at which it was sent. */
    lastSignAt: number;
}

/** Health record of one instance. */
export interface DelegateHealth {
    onSent: (now: number) => PendingDelegation;
    onSignOfLife: (pending: PendingDelegation, now: number) => void;
    /** Records the end of a request; it is lost if the instance gave no response. */
    onEnd: (pending: PendingDelegation, isLost: boolean, now: number) => void;
    isSilent: (pending: PendingDelegation, now: number) => boolean;
    /** Whether other instances should get the requests. */
    isAvoided: (now: number) => boolean;
    pendingCount: () => number;
}

/** Interval between signs of life for a request, in milliseconds. */
export const signOfLifeMilliseconds = 500;
/** Time without a sign of life after which an instance counts as silent, in milliseconds: two of them are missing. */
const maxSilenceMilliseconds = 1100;
/** Avoidance after a lost request, in milliseconds; each further one in a row doubles it. */
const baseAvoidanceMilliseconds = 300;
const maxAvoidanceMilliseconds = 3000;

/**
 * Creates the health record of an instance without requests.
 *
 * @returns the health record
 */
export const createDelegateHealth = (): DelegateHealth => {
    const pendingDelegations = new Set<PendingDelegation>();
    let consecutiveLosses = 0;
    let avoidedUntil = -Infinity;
    const isSilent = ({ lastSignAt }: PendingDelegation, now: number): boolean =>
        now - lastSignAt > maxSilenceMilliseconds;
    return {
        onSent: now => {
            const pending = { lastSignAt: now };
            pendingDelegations.add(pending);
            return pending;
        },
        onSignOfLife: (pending, now) => {
            pending.lastSignAt = now;
        },
        onEnd: (pending, isLost, now) => {
            pendingDelegations.delete(pending);
            if (!isLost) {
                consecutiveLosses = 0;
                avoidedUntil = -Infinity;
                return;
            }
            const avoidance = baseAvoidanceMilliseconds * 2 ** Math.min(consecutiveLosses, 10);
            avoidedUntil = now + Math.min(avoidance, maxAvoidanceMilliseconds);
            consecutiveLosses += 1;
        },
        isSilent,
        isAvoided: now => now < avoidedUntil || [...pendingDelegations].some(pending => isSilent(pending, now)),
        pendingCount: () => pendingDelegations.size,
    };
};
