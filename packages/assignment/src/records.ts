/** Records of the ownership topic. An assignment record lists each owner once; its ranges refer to owners by index. */
import * as cbor from "cbor-x";
import * as tsResults from "ts-results";
import * as zod from "zod";
import * as keyRange from "./keyRange";

/** Key of the leader record. */
export const leaderKey = "leader";

const servicePrefix = "service/";

/** The instance that can change assignments, and its address. */
export interface LeaderRecord {
    /** Identifies one process of an instance. */
    identifier: string;
    host: string;
    port: number;
    /** Increases with each leader. */
    term: number;
    /**
     * Era of the store that the writer knew: leadership holds in the era of its record only. Undefined in records of releases that do not
     * know eras.
     */
    era: number | undefined;
    /** Record number: increases with each record of a leader, so that other instances see that it is alive. */
    beat: number;
    /** Whether the leader has resigned and sends no more grants. */
    isResigned: boolean;
    /** Longest lease that the leader may have granted, in milliseconds; if it has resigned, the longest one granted recently. */
    longestLeaseMilliseconds: number;
    /** Time after this record in which commands of earlier leaders may still arrive, in milliseconds. */
    previousCommandsMilliseconds: number;
    /** Time after this record in which leases that earlier leaders granted may still run, in milliseconds. */
    previousLeasesMilliseconds: number;
    /** Time after this record in which owners that no stored assignment names may hold keys, in milliseconds. */
    unknownLeasesMilliseconds: number;
    /** Whether operators and upstreams have had the time to write again what was lost before the era. */
    isSettled: boolean;
}

const leaderSchema = zod.object({
    identifier: zod.string(),
    host: zod.string(),
    port: zod.int(),
    term: zod.int(),
    era: zod.int().min(0).optional(),
    beat: zod.int(),
    isResigned: zod.boolean(),
    longestLeaseMilliseconds: zod.number(),
    previousCommandsMilliseconds: zod.number().default(0),
    previousLeasesMilliseconds: zod.number().default(0),
    unknownLeasesMilliseconds: zod.number().default(0),
    isSettled: zod.boolean().default(true),
});

const assignmentSchema = zod.object({
    era: zod.int().min(0).optional(),
    nextToken: zod.int(),
    owners: zod.array(zod.tuple([zod.string(), zod.number(), zod.string(), zod.int()])),
    /** First key, index of the owner, token, index of the previous owner; an index of -1 means none. */
    ranges: zod.array(zod.tuple([zod.int(), zod.int(), zod.int(), zod.int()])).min(1),
});

/** An assignment as stored. */
export interface StoredAssignment extends keyRange.ServiceAssignment {
    /** Era of the store that the writer knew; undefined in records of releases that do not know eras. */
    era: number | undefined;
}

/**
 * Whether a record belongs to another era than the topic that contains it. It is then left over from before the store returned from an older
 * copy, or its append took effect late, and records that were stored after it may have been lost.
 *
 * @param record - the record
 * @param era - era of the topic
 * @returns false also for records of releases that do not know eras
 */
export const isOfOtherEra = (record: Pick<StoredAssignment, "era">, era: number): boolean =>
    record.era !== undefined && record.era !== era;

/**
 * Returns the record key of a service's assignment.
 *
 * @param service - name of the service
 * @returns the record key
 */
export const assignmentKey = (service: string): string => `${servicePrefix}${service}`;

/**
 * Returns the service whose assignment is stored under a record key.
 *
 * @param key - record key
 * @returns the name of the service, or undefined for other records
 */
export const serviceOfKey = (key: string): string | undefined =>
    key.startsWith(servicePrefix) ? key.slice(servicePrefix.length) : undefined;

/**
 * Encodes a leader record.
 *
 * @param leader - the leader record
 * @returns the value to store, in CBOR
 */
export const encodeLeader = (leader: LeaderRecord): Buffer => cbor.encode(leader);

/**
 * Decodes a leader record.
 *
 * @param bytes - the stored value
 * @returns the leader record, or the error message if the value is invalid
 */
export const decodeLeader = (bytes: Buffer): tsResults.Result<LeaderRecord, string> => {
    try {
        const leader = leaderSchema.parse(cbor.decode(bytes));
        return tsResults.Ok({ ...leader, era: leader.era });
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};

/**
 * Encodes an assignment.
 *
 * @param assignment - the assignment of a service
 * @param era - era of the store that the writer knows
 * @returns the value to store, in CBOR
 */
export const encodeAssignment = (assignment: keyRange.ServiceAssignment, era: number | undefined): Buffer => {
    const indexByName = new Map<string, number>();
    const owners: [string, number, string, number][] = [];
    const indexOf = (owner: keyRange.Owner | undefined): number => {
        if (owner === undefined) {
            return -1;
        }
        const name = keyRange.ownerNameWithAddress(owner);
        const existingIndex = indexByName.get(name);
        if (existingIndex !== undefined) {
            return existingIndex;
        }
        indexByName.set(name, owners.length);
        return owners.push([owner.identifier, owner.startedAt, owner.host, owner.port]) - 1;
    };
    const ranges = assignment.ranges.map(
        range => [range.first, indexOf(range.owner), range.token, indexOf(range.previousOwner)],
    );
    return cbor.encode({ era, nextToken: assignment.nextToken, owners, ranges });
};

/**
 * Decodes an assignment.
 *
 * @param service - name of the service
 * @param bytes - the stored value
 * @returns the assignment, or the error message if the value is invalid
 */
export const decodeAssignment = (
    service: string,
    bytes: Buffer,
): tsResults.Result<StoredAssignment, string> => {
    try {
        const stored = assignmentSchema.parse(cbor.decode(bytes));
        const owners = stored.owners.map(([identifier, startedAt, host, port]) => ({
            identifier,
            startedAt,
            host,
            port,
        }));
        const ranges = stored.ranges.map(([first, ownerIndex, token, previousOwnerIndex], index) => ({
            first,
            last: (stored.ranges[index + 1]?.[0] ?? keyRange.keyCount) - 1,
            owner: owners[ownerIndex],
            token,
            previousOwner: owners[previousOwnerIndex],
        }));
        return tsResults.Ok({ service, era: stored.era, nextToken: stored.nextToken, ranges });
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};
