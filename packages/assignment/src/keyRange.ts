/** Assignment of key ranges to owners, as committed to the store. */

/** Number of keys of a keyed service. */
export const keyCount = 65_536;

/** One incarnation of an upstream: after a restart under the same identifier it is another owner. */
export interface Owner {
    identifier: string;
    /** Start time in milliseconds since the epoch; only compared for equality. */
    startedAt: number;
    host: string;
    port: number;
}

/** Keys from `first` to `last`, both included, and their owner. */
export interface KeyRange {
    first: number;
    last: number;
    /** Undefined while no upstream can own the keys. */
    owner: Owner | undefined;
    /** Fencing token. Increases with each change of owner; no two owners of a key share one. */
    token: number;
    /** The previous owner, until it has released the keys or its lease has expired. */
    previousOwner: Owner | undefined;
}

/** Owners of one service's keys. */
export interface ServiceAssignment {
    service: string;
    /** Higher than every token ever used for this service. */
    nextToken: number;
    /** Sorted and without gaps; covers every key. */
    ranges: KeyRange[];
}

/**
 * Whether two owners are the same incarnation of the same upstream.
 *
 * @param left - first owner, if any
 * @param right - second owner, if any
 * @returns true if both are the same owner or both are undefined
 */
export const isSameOwner = (left: Owner | undefined, right: Owner | undefined): boolean =>
    left?.identifier === right?.identifier && left?.startedAt === right?.startedAt;

/**
 * Returns the unique name of an incarnation of an upstream.
 *
 * @param owner - the owner
 * @returns the name, as `IDENTIFIER@STARTEDAT`
 */
export const ownerName = (owner: Owner): string => `${owner.identifier}@${owner.startedAt}`;

/**
 * Returns the unique name of an incarnation of an upstream at an address. The registry may be wrong about the address, and another
 * process there proves nothing about the upstream elsewhere.
 *
 * @param owner - the owner
 * @returns the name, as `IDENTIFIER@STARTEDAT/HOST:PORT`
 */
export const ownerNameWithAddress = (owner: Owner): string => `${ownerName(owner)}/${owner.host}:${owner.port}`;

/**
 * Creates an assignment in which no key has an owner.
 *
 * @param service - name of the service
 * @param keysPerRange - number of keys in each range
 * @returns the assignment
 */
export const createEmptyAssignment = (service: string, keysPerRange: number): ServiceAssignment => {
    const ranges: KeyRange[] = [];
    for (let first = 0; first < keyCount; first += keysPerRange) {
        ranges.push({
            first,
            last: Math.min(first + keysPerRange, keyCount) - 1,
            owner: undefined,
            token: 0,
            previousOwner: undefined,
        });
    }
    return { service, nextToken: 1, ranges };
};
