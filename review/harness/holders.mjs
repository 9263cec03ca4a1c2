/** Watches which keys the upstreams of a keyed service hold, and how long two of them hold the same ones. */

const intervalMilliseconds = 10;

/**
 * Starts watching. `stop()` returns, for each pair of upstreams that held the same keys at the same time, the longest such time without a
 * break and one of the keys.
 */
export const watchHolders = (upstreams, record) => {
    const open = new Map();
    const longest = new Map();
    const interval = setInterval(() => {
        const now = performance.now();
        const found = new Map();
        upstreams.forEach((left, index) =>
            upstreams.slice(index + 1).forEach(right => {
                for (const one of left.liveHolds()) {
                    const other = right.liveHolds().find(hold => hold.from <= one.target && hold.target >= one.from);
                    if (other !== undefined) {
                        found.set(`${left.identifier} and ${right.identifier}`, Math.max(one.from, other.from));
                    }
                }
            })
        );
        for (const [pair, key] of found) {
            if (!open.has(pair)) {
                open.set(pair, now);
                record(`${pair} both hold key ${key}`);
            }
            const milliseconds = now - open.get(pair);
            if (milliseconds >= (longest.get(pair)?.milliseconds ?? 0)) {
                longest.set(pair, { pair, key, milliseconds });
            }
        }
        for (const pair of [...open.keys()]) {
            if (!found.has(pair)) {
                record(`${pair} no longer hold the same keys, after ${Math.round(now - open.get(pair))} ms`);
                open.delete(pair);
            }
        }
    }, intervalMilliseconds);
    return { stop: () => {
        clearInterval(interval);
        return [...longest.values()];
    } };
};
