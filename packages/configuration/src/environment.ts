/** The environment document: services, regions, links, ranks and placement. */
import type * as tsResults from "ts-results";
import * as zod from "zod";
import * as address from "./address";
import * as problems from "./problems";

const maxDocumentBytes = 262_144;
const maxKeySlots = 16_384;
const nameSchema = zod.string().regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    "expected lower-case letters, digits, dots, dashes",
);

/** Kinds of service: `keyed`, where each key has one owner, or `pool`, where all upstreams are interchangeable. */
export const ServiceKind = { keyed: "keyed", pool: "pool" } as const;

const upstreamSchema = zod.strictObject({
    name: nameSchema,
    address: address.addressSchema,
    failureDomain: nameSchema,
});

const serviceSchema = zod.strictObject({
    name: nameSchema,
    kind: zod.enum([ServiceKind.keyed, ServiceKind.pool]),
    /** Number of slots that keys are hashed to; used by keyed services only. */
    keySlots: zod.int().min(1).max(maxKeySlots).default(256),
    /** Whether every upstream rejects requests with a stale token. */
    checksTokens: zod.boolean().default(true),
    /** Maximum number of concurrent requests per upstream. */
    concurrency: zod.int().min(1).max(1000),
    /** Maximum number of connections per upstream. */
    connections: zod.int().min(1).max(100_000),
    upstreams: zod.array(upstreamSchema).min(1).max(1000),
});

const rankSchema = zod.strictObject({
    name: nameSchema,
    /** Target time for the whole response. */
    targetMilliseconds: zod.int().min(1),
    /** Deadline for the first byte of the response, unless the caller sends one. */
    deadlineMilliseconds: zod.int().min(1),
    /** Value of one response within the target, relative to the other ranks. */
    worth: zod.number().positive(),
    /** Fraction of the capacity that is guaranteed to the rank while other ranks send excess load. */
    floorShare: zod.number().min(0).max(1),
    /** Maximum fraction of an upstream's concurrency that the rank may use. */
    maximumShare: zod.number().positive().max(1).default(1),
    /** Fraction of a link's rate that the rank may use; 0 keeps its pool requests in the caller's region. */
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
    /** Free text for readers; has no effect. */
    description: zod.string().max(500).default(""),
    regions: zod.array(regionSchema).min(1),
    links: zod.array(linkSchema).default([]),
    services: zod.array(serviceSchema).min(1),
    /** Ranks, most urgent first. */
    ranks: zod.array(rankSchema).min(1).max(8),
    placement: zod.strictObject({
        /** Slots are rebalanced only while the load of the busiest server exceeds the mean by this factor. */
        imbalanceLimit: zod.number().min(1.01).default(1.3),
        /** Maximum number of slots per service that are rebalanced at the same time. */
        movesAtATime: zod.int().min(1).default(4),
    }).prefault({}),
    lease: zod.strictObject({
        durationMilliseconds: zod.int().min(200).max(60_000).default(700),
        renewalMilliseconds: zod.int().min(20).max(20_000).default(200),
    }).prefault({}),
}).superRefine((document, context) => {
    const reportProblem = (path: PropertyKey[], message: string): void => {
        context.addIssue({ code: "custom", path, message });
    };
    const reportDuplicates = (path: PropertyKey[], names: readonly string[]): void => {
        names.forEach((name, index) => {
            if (names.indexOf(name) !== index) {
                reportProblem([...path, index], `duplicate name "${name}"`);
            }
        });
    };
    const regionNames = document.regions.map(region => region.name);
    const failureDomains = document.regions.flatMap(region => region.failureDomains);
    reportDuplicates(["regions"], regionNames);
    reportDuplicates(["services"], document.services.map(service => service.name));
    reportDuplicates(["ranks"], document.ranks.map(rank => rank.name));
    document.regions.forEach((region, index) => {
        const otherDomains = document.regions.filter(other => other !== region).flatMap(other => other.failureDomains);
        const path = ["regions", index, "failureDomains"];
        reportDuplicates(path, region.failureDomains);
        region.failureDomains.filter(name => otherDomains.includes(name)).forEach(name => {
            reportProblem(path, `failure domain "${name}" is listed in two regions`);
        });
    });
    document.links.forEach((link, index) => {
        link.between.filter(name => !regionNames.includes(name)).forEach(name => {
            reportProblem(["links", index, "between"], `unknown region "${name}"`);
        });
    });
    const floorShareSum = document.ranks.reduce((sum, rank) => sum + rank.floorShare, 0);
    if (floorShareSum > 1) {
        reportProblem(["ranks"], `the floors add up to ${floorShareSum.toFixed(2)}, expected at most 1`);
    }
    document.ranks.forEach((rank, index) => {
        if (rank.floorShare > rank.maximumShare) {
            reportProblem(["ranks", index, "floorShare"], `expected at most maximumShare, ${rank.maximumShare}`);
        }
    });
    if (document.lease.renewalMilliseconds * 3 > document.lease.durationMilliseconds) {
        reportProblem(["lease", "renewalMilliseconds"], "expected at most a third of durationMilliseconds");
    }
    const upstreamNames: string[] = [];
    const addresses: string[] = [];
    document.services.forEach((service, serviceIndex) => {
        service.upstreams.forEach((upstream, index) => {
            const path = ["services", serviceIndex, "upstreams", index];
            if (!failureDomains.includes(upstream.failureDomain)) {
                reportProblem([...path, "failureDomain"], `unknown failure domain "${upstream.failureDomain}"`);
            }
            if (upstreamNames.includes(upstream.name)) {
                reportProblem([...path, "name"], `duplicate name "${upstream.name}"`);
            }
            if (addresses.includes(upstream.address)) {
                reportProblem([...path, "address"], `duplicate address "${upstream.address}"`);
            }
            upstreamNames.push(upstream.name);
            addresses.push(upstream.address);
        });
    });
});

/** A validated environment document. */
export type Environment = zod.infer<typeof documentSchema>;

/** A service of the environment document. */
export type Service = Environment["services"][number];

/** An upstream of a service. */
export type Upstream = Service["upstreams"][number];

/** A rank of the environment document. */
export type Rank = Environment["ranks"][number];

/** A region of the environment document. */
export type Region = Environment["regions"][number];

/** A link between two regions. */
export type Link = Environment["links"][number];

/**
 * Parses and validates an environment document.
 *
 * @param file - file name reported in problems
 * @param text - the document as YAML
 * @returns the document, or all problems found
 */
export const parseEnvironment = (
    file: string,
    text: string,
): tsResults.Result<Environment, problems.ConfigurationProblem[]> =>
    problems.readDocument({ file, text, maxBytes: maxDocumentBytes }, documentSchema);
