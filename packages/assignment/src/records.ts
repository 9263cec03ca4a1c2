/** Records of the ownership topic. Owners stand once in a list; ranges name them by their place in it. */
import * as cbor from "cbor-x";
import * as tsResults from "ts-results";
import * as zod from "zod";
import * as keyRange from "./keyRange";

/** Key of the leader's record. */
export const leaderKey = "leader";

const servicePrefix = "service/";

/** The instance that may change assignments, and how to reach it. */
export interface LeaderRecord {
    /** Names one process of one instance. */
    identifier: string;
    host: string;
    port: number;
    /** Rises with each leader. */
    term: number;
    /** Rises with each record of a leader, so that others see that it lives. */
    beat: number;
    /** Whether the leader gave its duty up and sends no more grants. */
    isResigned: boolean;
    /** Longest lease granted in the last minute, in milliseconds; holds only for a leader that resigned. */
    longestLeaseMilliseconds: number;
}

const leaderSchema = zod.object({
    identifier: zod.string(),
    host: zod.string(),
    port: zod.int(),
    term: zod.int(),
    beat: zod.int(),
    isResigned: zod.boolean(),
    longestLeaseMilliseconds: zod.number(),
});

const assignmentSchema = zod.object({
    nextToken: zod.int(),
    owners: zod.array(zod.tuple([zod.string(), zod.number(), zod.string(), zod.int()])),
    /** First key, place of the owner, token, place of the former owner; -1 is none. */
    ranges: zod.array(zod.tuple([zod.int(), zod.int(), zod.int(), zod.int()])).min(1),
});

/**
 * Gives the key of a service's assignment.
 *
 * @param service - its name
 * @returns the key
 */
export const assignmentKey = (service: string): string => `${servicePrefix}${service}`;

/**
 * Gives the service of a key.
 *
 * @param key - key of a record
 * @returns the service, or undefined for other records
 */
export const serviceOfKey = (key: string): string | undefined =>
    key.startsWith(servicePrefix) ? key.slice(servicePrefix.length) : undefined;

/**
 * Encodes the leader's record.
 *
 * @param leader - the record
 * @returns its bytes
 */
export const encodeLeader = (leader: LeaderRecord): Buffer => cbor.encode(leader);

/**
 * Decodes the leader's record.
 *
 * @param bytes - the stored value
 * @returns the record, or what is wrong with it
 */
export const decodeLeader = (bytes: Buffer): tsResults.Result<LeaderRecord, string> => {
    try {
        return tsResults.Ok(leaderSchema.parse(cbor.decode(bytes)));
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};

/**
 * Encodes an assignment.
 *
 * @param assignment - owners of a service's keys
 * @returns its bytes
 */
export const encodeAssignment = (assignment: keyRange.ServiceAssignment): Buffer => {
    const places = new Map<string, number>();
    const owners: [string, number, string, number][] = [];
    const placeOf = (owner: keyRange.Owner | undefined): number => {
        if (owner === undefined) {
            return -1;
        }
        const name = keyRange.ownerName(owner);
        const known = places.get(name);
        if (known !== undefined) {
            return known;
        }
        places.set(name, owners.length);
        return owners.push([owner.identifier, owner.startedAt, owner.host, owner.port]) - 1;
    };
    const ranges = assignment.ranges.map(
        range => [range.first, placeOf(range.owner), range.token, placeOf(range.former)],
    );
    return cbor.encode({ nextToken: assignment.nextToken, owners, ranges });
};

/**
 * Decodes an assignment.
 *
 * @param service - the service that it is of
 * @param bytes - the stored value
 * @returns the assignment, or what is wrong with it
 */
export const decodeAssignment = (
    service: string,
    bytes: Buffer,
): tsResults.Result<keyRange.ServiceAssignment, string> => {
    try {
        const stored = assignmentSchema.parse(cbor.decode(bytes));
        const owners = stored.owners.map(([identifier, startedAt, host, port]) => ({
            identifier,
            startedAt,
            host,
            port,
        }));
        const ranges = stored.ranges.map(([first, owner, token, former], index) => ({
            first,
            last: (stored.ranges[index + 1]?.[0] ?? keyRange.keyCount) - 1,
            owner: owners[owner],
            token,
            former: owners[former],
        }));
        return tsResults.Ok({ service, nextToken: stored.nextToken, ranges });
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};
