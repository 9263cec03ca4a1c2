/**
 * Limits the memory that the bodies of all requests use. A body that is not buffered any further is streamed instead, which takes a fixed
 * number of bytes; without these, it is given up.
 */

/** Memory for the bodies of all requests of an instance. */
export interface ByteBudget {
    /** Creates the reservation of one request, which is empty. */
    createReservation: () => ByteReservation;
    /** Bytes that are reserved for buffered bodies. */
    bufferedBytes: () => number;
}

/** Memory for the bodies of one request and its response. */
export interface ByteReservation {
    /** Reserves further bytes to buffer; returns false if there are no more. */
    tryReserve: (bytes: number) => boolean;
    /** Reserves what a streamed body takes; returns false if there is no more. */
    tryReserveStream: () => boolean;
    /** Returns everything to the budget; nothing can be reserved after that. */
    release: () => void;
}

/** Size up to which a body is buffered without a reservation, in bytes, so that small requests are served whatever others send. */
export const unreservedBytes = 8 * 1024;

/** What a streamed body takes, in bytes: the buffers of its stream and of the sockets on both sides. */
const streamBytes = 128 * 1024;

/** A part of the budget. */
interface Pool {
    total: number;
    max: number;
}

/**
 * Creates a budget of which nothing is reserved.
 *
 * @param maxBytes - bytes for buffered bodies; as many are for streamed ones
 * @returns the budget
 */
export const createByteBudget = (maxBytes: number): ByteBudget => {
    const buffered: Pool = { total: 0, max: maxBytes };
    const streamed: Pool = { total: 0, max: maxBytes };
    return {
        createReservation: () => {
            const own = new Map<Pool, number>();
            let isReleased = false;
            const tryReserveFrom = (pool: Pool, bytes: number): boolean => {
                if (isReleased || pool.total + bytes > pool.max) {
                    return false;
                }
                pool.total += bytes;
                own.set(pool, (own.get(pool) ?? 0) + bytes);
                return true;
            };
            return {
                tryReserve: bytes => tryReserveFrom(buffered, bytes),
                tryReserveStream: () => tryReserveFrom(streamed, streamBytes),
                release: () => {
                    isReleased = true;
                    for (const [pool, bytes] of own) {
                        pool.total -= bytes;
                    }
                    own.clear();
                },
            };
        },
        bufferedBytes: () => buffered.total,
    };
};
