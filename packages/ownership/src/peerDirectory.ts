/** Knows which instances there are: those that report, and those that the platform lists. */
import * as ledger from "@mulberryseam/ledger";
import type * as protocol from "@mulberryseam/protocol";

/** An instance as the platform lists it. */
export interface ListedInstance {
    name: string;
    /** Address for peers, `IP:PORT`. */
    address: string;
    isLeaving: boolean;
}

/** A report and when it came. */
export interface HeardReport {
    report: protocol.PeerReport;
    heardAt: number;
}

/** Who is there. */
export interface PeerDirectory {
    takeReport: (report: protocol.PeerReport, now: number) => void;
    takeListing: (instances: readonly ListedInstance[], now: number) => void;
    /** Addresses of peers by name, from reports, the listing and the members given. */
    addresses: (members: readonly ledger.Member[]) => Map<string, string>;
    /** Reports heard within a time. */
    heardWithin: (now: number, milliseconds: number) => HeardReport[];
    /** When a member was last heard from, by identifier. */
    lastHeard: (member: string) => number | undefined;
    /**
     * Since when a member is known to have ended: another process runs under its name, or the platform listed it and
     * does so no longer, or the platform has not listed it for long while nothing was heard of it.
     */
    endedSince: (member: ledger.Member, now: number) => number | undefined;
}

/** An instance that the platform has not listed, and nobody has heard, for this long has ended. */
const absenceMilliseconds = 10_000;
/** A listing older than this proves nothing. */
const listingAgeMilliseconds = 5000;

/**
 * Creates a directory.
 *
 * @param self - name of the instance itself, which is never its own peer
 * @returns an empty directory
 */
export const createPeerDirectory = (self: string): PeerDirectory => {
    const reports = new Map<string, HeardReport>();
    const ended = new Map<string, number>();
    const delisted = new Map<string, number>();
    let listing: readonly ListedInstance[] = [];
    let firstListingAt: number | undefined;
    let lastListingAt = -Infinity;
    let everListed = new Map<string, ListedInstance>();

    const absentSince = (member: ledger.Member, now: number): number | undefined => {
        const isListed = listing.some(instance => instance.name === member.name);
        if (isListed || firstListingAt === undefined || now - lastListingAt > listingAgeMilliseconds) {
            return undefined;
        }
        const heardAt = reports.get(ledger.memberIdentifier(member))?.heardAt ?? firstListingAt;
        const endedAt = Math.max(heardAt, firstListingAt) + absenceMilliseconds;
        return now >= endedAt ? endedAt : undefined;
    };

    return {
        takeReport: (report, now) => {
            const identifier = ledger.memberIdentifier(report);
            for (const [other, heard] of reports) {
                if (heard.report.name === report.name && other !== identifier) {
                    ended.set(other, now);
                    reports.delete(other);
                }
            }
            delisted.delete(report.name);
            reports.set(identifier, { report, heardAt: now });
        },
        takeListing: (instances, now) => {
            listing = instances;
            firstListingAt ??= now;
            lastListingAt = now;
            const names = new Set(instances.map(instance => instance.name));
            for (const name of everListed.keys()) {
                if (!names.has(name) && !delisted.has(name)) {
                    delisted.set(name, now);
                }
            }
            names.forEach(name => delisted.delete(name));
            everListed = new Map([...everListed, ...instances.map(entry => [entry.name, entry] as const)]);
        },
        addresses: members => {
            const addresses = new Map<string, string>();
            listing.forEach(instance => addresses.set(instance.name, instance.address));
            members.forEach(member => addresses.set(member.name, member.address));
            reports.forEach(({ report }) => addresses.set(report.name, report.address));
            addresses.delete(self);
            return addresses;
        },
        heardWithin: (now, milliseconds) => [...reports.values()].filter(heard => now - heard.heardAt <= milliseconds),
        lastHeard: member => reports.get(member)?.heardAt,
        endedSince: (member, now) => {
            const identifier = ledger.memberIdentifier(member);
            const replaced = [...reports.values()].find(({ report }) =>
                report.name === member.name && report.incarnation !== member.incarnation
            );
            return ended.get(identifier) ?? replaced?.heardAt ?? delisted.get(member.name)
                ?? absentSince(member, now);
        },
    };
};
