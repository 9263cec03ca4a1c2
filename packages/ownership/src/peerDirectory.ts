/** Tracks which instances exist, where peers reach them, and which of them have terminated. */
import * as ledger from "@mulberryseam/ledger";
import type * as protocol from "@mulberryseam/protocol";

/** An entry of the platform's instance list. */
export interface ListedInstance {
    name: string;
    /** Address for peers, `IP:PORT`. */
    address: string;
    isLeaving: boolean;
}

/** A report and the time of its arrival. */
export interface ReceivedReport {
    report: protocol.PeerReport;
    receivedAt: number;
}

/** Directory of the known instances, from their reports and the platform's instance list. */
export interface PeerDirectory {
    recordReport: (report: protocol.PeerReport, now: number) => void;
    updateInstanceList: (instances: readonly ListedInstance[], now: number) => void;
    /** Returns the addresses of peers by name, from reports, the instance list and the given members. */
    addresses: (members: readonly ledger.Member[]) => Map<string, string>;
    /** Returns the latest reports that arrived within the given time before now. */
    reportsWithin: (now: number, milliseconds: number) => ReceivedReport[];
    /** Returns when the last report of a member arrived, by member identifier. */
    lastReportAt: (member: string) => number | undefined;
    /**
     * Returns the time since which a member is known to have terminated: another process runs under its name, the
     * platform no longer lists it, or it has neither been listed nor sent reports for the absence timeout.
     */
    terminatedSince: (member: ledger.Member, now: number) => number | undefined;
}

/** Time after which an instance that is neither listed by the platform nor sends reports counts as terminated. */
const absenceTimeoutMilliseconds = 10_000;
/** Maximum age of an instance list that counts as evidence that an instance is absent. */
const maxListAgeMilliseconds = 5000;

/**
 * Creates a peer directory.
 *
 * @param self - the name of this instance, which is not its own peer
 * @returns an empty directory
 */
export const createPeerDirectory = (self: string): PeerDirectory => {
    const reports = new Map<string, ReceivedReport>();
    const terminatedMembers = new Map<string, number>();
    const delistedNames = new Map<string, number>();
    let instanceList: readonly ListedInstance[] = [];
    let firstListAt: number | undefined;
    let lastListAt = -Infinity;
    let seenInstances = new Map<string, ListedInstance>();

    const absentSince = (member: ledger.Member, now: number): number | undefined => {
        const isListed = instanceList.some(instance => instance.name === member.name);
        if (isListed || firstListAt === undefined || now - lastListAt > maxListAgeMilliseconds) {
            return undefined;
        }
        const lastReportAt = reports.get(ledger.memberIdentifier(member))?.receivedAt ?? firstListAt;
        const terminatedAt = Math.max(lastReportAt, firstListAt) + absenceTimeoutMilliseconds;
        return now >= terminatedAt ? terminatedAt : undefined;
    };

    return {
        recordReport: (report, now) => {
            const identifier = ledger.memberIdentifier(report);
            for (const [other, received] of reports) {
                if (received.report.name === report.name && other !== identifier) {
                    terminatedMembers.set(other, now);
                    reports.delete(other);
                }
            }
            delistedNames.delete(report.name);
            reports.set(identifier, { report, receivedAt: now });
        },
        updateInstanceList: (instances, now) => {
            instanceList = instances;
            firstListAt ??= now;
            lastListAt = now;
            const names = new Set(instances.map(instance => instance.name));
            for (const name of seenInstances.keys()) {
                if (!names.has(name) && !delistedNames.has(name)) {
                    delistedNames.set(name, now);
                }
            }
            names.forEach(name => delistedNames.delete(name));
            seenInstances = new Map([...seenInstances, ...instances.map(entry => [entry.name, entry] as const)]);
        },
        addresses: members => {
            const addresses = new Map<string, string>();
            instanceList.forEach(instance => addresses.set(instance.name, instance.address));
            members.forEach(member => addresses.set(member.name, member.address));
            reports.forEach(({ report }) => addresses.set(report.name, report.address));
            addresses.delete(self);
            return addresses;
        },
        reportsWithin: (now, milliseconds) =>
            [...reports.values()].filter(received => now - received.receivedAt <= milliseconds),
        lastReportAt: member => reports.get(member)?.receivedAt,
        terminatedSince: (member, now) => {
            const identifier = ledger.memberIdentifier(member);
            const replacement = [...reports.values()].find(({ report }) =>
                report.name === member.name && report.incarnation !== member.incarnation
            );
            return terminatedMembers.get(identifier) ?? replacement?.receivedAt ?? delistedNames.get(member.name)
                ?? absentSince(member, now);
        },
    };
};
