/** Who owns which keys, as it is agreed in the store. */

/** Number of keys of a keyed service. */
export const keyCount = 65_536;

/** One life of an upstream: a restart under the same identifier is another owner. */
export interface Owner {
    identifier: string;
    /** Its start in milliseconds since the epoch; only compared for equality. */
    startedAt: number;
    host: string;
    port: number;
}

/** Keys from the first to the last, both included, with their owner. */
export interface KeyRange {
    first: number;
    last: number;
    /** Undefined while no upstream can take the keys. */
    owner: Owner | undefined;
    /** Rises with each change of owner; no two owners of a key share one. */
    token: number;
    /** The owner before, until its keys are known to be given up or lapsed. */
    former: Owner | undefined;
}

/** The agreed owners of one service's keys. */
export interface ServiceAssignment {
    service: string;
    /** Higher than every token ever given out for this service. */
    nextToken: number;
    /** Sorted, without gaps, covering every key. */
    ranges: KeyRange[];
}

/**
 * Tells whether two owners are the same life of the same upstream.
 *
 * @param left - one owner
 * @param right - the other
 * @returns whether they are the same
 */
export const isSameOwner = (left: Owner | undefined, right: Owner | undefined): boolean =>
    left?.identifier === right?.identifier && left?.startedAt === right?.startedAt;

/**
 * Names a life of an upstream.
 *
 * @param owner - the owner
 * @returns a text that no other life has
 */
export const ownerName = (owner: Owner): string => `${owner.identifier}@${owner.startedAt}`;

/**
 * Gives every key to nobody.
 *
 * @param service - name of the service
 * @param width - keys in a range
 * @returns an assignment without owners
 */
export const createEmptyAssignment = (service: string, width: number): ServiceAssignment => {
    const ranges: KeyRange[] = [];
    for (let first = 0; first < keyCount; first += width) {
        ranges.push({
            first,
            last: Math.min(first + width, keyCount) - 1,
            owner: undefined,
            token: 0,
            former: undefined,
        });
    }
    return { service, nextToken: 1, ranges };
};
