/** The environment document: services, regions, links, ranks and placement. */
import type * as tsResults from "ts-results";
import * as zod from "zod";
import * as address from "./address";
import * as problems from "./problems";

const maximumDocumentBytes = 262_144;
const maximumKeySlots = 16_384;
const nameSchema = zod.string().regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    "expected lower-case letters, digits, dots, dashes",
);

/** Kinds of service: keys with one owner each, or a pool whose upstreams are alike. */
export const ServiceKind = { keyed: "keyed", pool: "pool" } as const;

const upstreamSchema = zod.strictObject({
    name: nameSchema,
    address: address.addressSchema,
    failureDomain: nameSchema,
});

const serviceSchema = zod.strictObject({
    name: nameSchema,
    kind: zod.enum([ServiceKind.keyed, ServiceKind.pool]),
    /** Number of slots that keys hash into; keyed services only. */
    keySlots: zod.int().min(1).max(maximumKeySlots).default(256),
    /** Whether every upstream refuses a request whose token is stale. */
    checksTokens: zod.boolean().default(true),
    /** Requests one upstream runs at a time. */
    concurrency: zod.int().min(1).max(1000),
    /** Connections one upstream accepts. */
    connections: zod.int().min(1).max(100_000),
    upstreams: zod.array(upstreamSchema).min(1).max(1000),
});

const rankSchema = zod.strictObject({
    name: nameSchema,
    /** Target for the whole answer; the default deadline of a request that names none. */
    targetMilliseconds: zod.int().min(1),
    /** Deadline for the first byte of an answer when the caller names none. */
    deadlineMilliseconds: zod.int().min(1),
    /** Worth of one answer within the target, relative to the other ranks. */
    worth: zod.number().positive(),
    /** Share of capacity the rank keeps while others flood. */
    floorShare: zod.number().min(0).max(1),
    /** Largest share of an upstream's concurrency the rank may hold. */
    maximumShare: zod.number().positive().max(1).default(1),
    /** Share of a link's rate the rank may use; 0 keeps its pool requests in the region of the caller. */
    linkShare: zod.number().min(0).max(1).default(0),
});

const regionSchema = zod.strictObject({
    name: nameSchema,
    failureDomains: zod.array(nameSchema).min(1),
});

const linkSchema = zod.strictObject({
    between: zod.tuple([nameSchema, nameSchema]),
    megabitsPerSecond: zod.number().positive(),
});

const documentSchema = zod.strictObject({
    /** A line for people; changes nothing. */
    description: zod.string().max(500).default(""),
    regions: zod.array(regionSchema).min(1),
    links: zod.array(linkSchema).default([]),
    services: zod.array(serviceSchema).min(1),
    /** Ranks, the most urgent first. */
    ranks: zod.array(rankSchema).min(1).max(8),
    placement: zod.strictObject({
        /** A slot moves for balance only while the busiest server exceeds the mean by this factor. */
        imbalanceLimit: zod.number().min(1.01).default(1.3),
        /** Slots of a service that may move for balance at a time. */
        movesAtATime: zod.int().min(1).default(4),
    }).prefault({}),
    lease: zod.strictObject({
        durationMilliseconds: zod.int().min(200).max(60_000).default(700),
        renewalMilliseconds: zod.int().min(20).max(20_000).default(200),
    }).prefault({}),
}).superRefine((document, context) => {
    const refuse = (path: PropertyKey[], message: string): void => {
        context.addIssue({ code: "custom", path, message });
    };
    const refuseDuplicates = (path: PropertyKey[], names: readonly string[]): void => {
        names.forEach((name, index) => {
            if (names.indexOf(name) !== index) {
                refuse([...path, index], `duplicate name "${name}"`);
            }
        });
    };
    const regionNames = document.regions.map(region => region.name);
    const failureDomains = document.regions.flatMap(region => region.failureDomains);
    refuseDuplicates(["regions"], regionNames);
    refuseDuplicates(["services"], document.services.map(service => service.name));
    refuseDuplicates(["ranks"], document.ranks.map(rank => rank.name));
    document.regions.forEach((region, index) => {
        const others = document.regions.filter(other => other !== region).flatMap(other => other.failureDomains);
        const path = ["regions", index, "failureDomains"];
        refuseDuplicates(path, region.failureDomains);
        region.failureDomains.filter(name => others.includes(name)).forEach(name => {
            refuse(path, `failure domain "${name}" stands in two regions`);
        });
    });
    document.links.forEach((link, index) => {
        link.between.filter(name => !regionNames.includes(name)).forEach(name => {
            refuse(["links", index, "between"], `unknown region "${name}"`);
        });
    });
    const floors = document.ranks.reduce((sum, rank) => sum + rank.floorShare, 0);
    if (floors > 1) {
        refuse(["ranks"], `the floors add up to ${floors.toFixed(2)}, expected at most 1`);
    }
    document.ranks.forEach((rank, index) => {
        if (rank.floorShare > rank.maximumShare) {
            refuse(["ranks", index, "floorShare"], `expected at most maximumShare, ${rank.maximumShare}`);
        }
    });
    if (document.lease.renewalMilliseconds * 3 > document.lease.durationMilliseconds) {
        refuse(["lease", "renewalMilliseconds"], "expected at most a third of durationMilliseconds");
    }
    const upstreamNames: string[] = [];
    const addresses: string[] = [];
    document.services.forEach((service, serviceIndex) => {
        service.upstreams.forEach((upstream, index) => {
            const path = ["services", serviceIndex, "upstreams", index];
            if (!failureDomains.includes(upstream.failureDomain)) {
                refuse([...path, "failureDomain"], `unknown failure domain "${upstream.failureDomain}"`);
            }
            if (upstreamNames.includes(upstream.name)) {
                refuse([...path, "name"], `duplicate name "${upstream.name}"`);
            }
            if (addresses.includes(upstream.address)) {
                refuse([...path, "address"], `duplicate address "${upstream.address}"`);
            }
            upstreamNames.push(upstream.name);
            addresses.push(upstream.address);
        });
    });
});

/** A checked environment document. */
export type Environment = zod.infer<typeof documentSchema>;

/** A service of the document. */
export type Service = Environment["services"][number];

/** One upstream of a service. */
export type Upstream = Service["upstreams"][number];

/** One rank of the document. */
export type Rank = Environment["ranks"][number];

/** One region of the document. */
export type Region = Environment["regions"][number];

/** One link between regions. */
export type Link = Environment["links"][number];

/**
 * Reads an environment document.
 *
 * @param file - the name shown in problems
 * @param text - YAML
 * @returns the document, or every problem found
 */
export const parseEnvironment = (
    file: string,
    text: string,
): tsResults.Result<Environment, problems.ConfigurationProblem[]> =>
    problems.readDocument({ file, text, maximumBytes: maximumDocumentBytes }, documentSchema);
