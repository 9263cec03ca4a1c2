/** Chooses which instances renew the lease of a server. */
import { rendezvousOrder } from "@mulberryseam/foundation";
import { type Member, memberIdentifier } from "@mulberryseam/ledger";

/**
 * Chooses renewers in different failure domains where there are enough. Instances that see different candidates
 * choose differently; that costs messages, never safety.
 *
 * @param server - name of the server
 * @param candidates - instances that answer
 * @param count - how many to choose
 * @returns identifiers of the chosen instances
 */
export const chooseRenewers = (server: string, candidates: readonly Member[], count: number): string[] => {
    const byIdentifier = new Map(candidates.map(member => [memberIdentifier(member), member]));
    const ordered = rendezvousOrder(server, [...byIdentifier.keys()]);
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
