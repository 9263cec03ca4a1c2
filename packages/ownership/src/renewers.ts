/** Chooses which instances renew the lease of a server. */
import * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";

/**
 * Chooses renewers in different failure domains where there are enough. Instances that see different candidates
 * choose differently; that costs messages, never safety.
 *
 * @param server - name of the server
 * @param candidates - instances that answer
 * @param count - how many to choose
 * @returns identifiers of the chosen instances
 */
export const chooseRenewers = (server: string, candidates: readonly ledger.Member[], count: number): string[] => {
    const byIdentifier = new Map(candidates.map(member => [ledger.memberIdentifier(member), member]));
    const ordered = foundation.rendezvousOrder(server, [...byIdentifier.keys()]);
    const chosen: string[] = [];
    const usedDomains = new Set<string>();
    for (const identifier of ordered) {
        const domain = byIdentifier.get(identifier)?.failureDomain ?? "";
        if (chosen.length < count && !usedDomains.has(domain)) {
            chosen.push(identifier);
            usedDomains.add(domain);
        }
    }
    const rest = ordered.filter(identifier => !chosen.includes(identifier));
    return [...chosen, ...rest].slice(0, count);
};
