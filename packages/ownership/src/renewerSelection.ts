/** Selects the instances that renew the lease of a server. */
import * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";

/**
 * Selects renewers, in different failure domains as far as possible. Instances that see different candidates may select
 * different renewers, which costs additional messages but does not affect safety.
 *
 * @param server - the name of the server
 * @param candidates - the responsive instances
 * @param count - the number of renewers to select
 * @returns the identifiers of the selected instances
 */
export const selectRenewers = (server: string, candidates: readonly ledger.Member[], count: number): string[] => {
    const byIdentifier = new Map(candidates.map(member => [ledger.memberIdentifier(member), member]));
    const ordered = foundation.rendezvousOrder(server, [...byIdentifier.keys()]);
    const selected: string[] = [];
    const usedDomains = new Set<string>();
    for (const identifier of ordered) {
        const domain = byIdentifier.get(identifier)?.failureDomain ?? "";
        if (selected.length < count && !usedDomains.has(domain)) {
            selected.push(identifier);
            usedDomains.add(domain);
        }
    }
    const rest = ordered.filter(identifier => !selected.includes(identifier));
    return [...selected, ...rest].slice(0, count);
};
