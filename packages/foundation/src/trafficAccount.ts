/** Counts the bytes that an instance exchanges, by purpose and by distance: traffic between regions is billed. */
import type * as net from "node:net";

/** How far bytes go. */
export const TrafficReach = {
    failureDomain: "failureDomain",
    region: "region",
    remote: "remote",
    unknown: "unknown",
} as const;

/** One of {@link TrafficReach}. */
export type TrafficReachValue = typeof TrafficReach[keyof typeof TrafficReach];

/** What an instance exchanges bytes for; messages between instances are counted by their kind. */
export const TrafficPurpose = {
    request: "request",
    delegatedRequest: "delegatedRequest",
    leaseCommand: "leaseCommand",
    store: "store",
} as const;

/** Bytes of an exchange. */
export interface Transfer {
    sentBytes: number;
    receivedBytes: number;
}

/** Bytes exchanged so far for one purpose at one distance. */
export interface TrafficTotal extends Transfer {
    purpose: string;
    reach: TrafficReachValue;
}

/** Account of the bytes of an instance. */
export interface TrafficAccount {
    add: (purpose: string, reach: TrafficReachValue, transfer: Transfer) => void;
    totals: () => readonly TrafficTotal[];
}

/**
 * Creates an empty account.
 *
 * @returns the account
 */
export const createTrafficAccount = (): TrafficAccount => {
    const totals = new Map<string, TrafficTotal>();
    return {
        add: (purpose, reach, { sentBytes, receivedBytes }) => {
            const name = `${purpose}/${reach}`;
            const total = totals.get(name) ?? { purpose, reach, sentBytes: 0, receivedBytes: 0 };
            total.sentBytes += sentBytes;
            total.receivedBytes += receivedBytes;
            totals.set(name, total);
        },
        totals: () => [...totals.values()],
    };
};

/**
 * Returns how far it is from one failure domain to another.
 *
 * @param regions - region of each failure domain
 * @param from - a failure domain
 * @param to - another one; undefined if unknown
 * @returns the distance
 */
export const reachBetween = (
    regions: Record<string, string>,
    from: string,
    to: string | undefined,
): TrafficReachValue => {
    if (to === undefined || regions[to] === undefined) {
        return TrafficReach.unknown;
    }
    if (to === from) {
        return TrafficReach.failureDomain;
    }
    return regions[to] === regions[from] ? TrafficReach.region : TrafficReach.remote;
};

/**
 * Starts to count the bytes of a connection.
 *
 * @param socket - the connection, which may have been used before
 * @returns a function that returns the bytes since this call
 */
export const startTransfer = (socket: net.Socket): () => Transfer => {
    // A connection that is closed early has no number of bytes, contrary to its type.
    const bytesWritten = (): number => (socket.bytesWritten as number | undefined) ?? 0;
    const bytesRead = (): number => (socket.bytesRead as number | undefined) ?? 0;
    const writtenBefore = bytesWritten();
    const readBefore = bytesRead();
    return () => ({
        sentBytes: Math.max(0, bytesWritten() - writtenBefore),
        receivedBytes: Math.max(0, bytesRead() - readBefore),
    });
};
