/** The instances of the failure domain that an instance delegates requests to, with the health of and connections to each. */
import * as delegateHealth from "./delegateHealth";
import * as delegation from "./delegation";
import * as upstreamConnections from "./upstreamConnections";

/** An instance that accepts requests of the other instances of its failure domain. */
export interface Delegate {
    /** Identifies one process of the instance. */
    identifier: string;
    host: string;
    port: number;
}

/** A delegate with its health and connections. */
export interface PooledDelegate {
    delegate: Delegate;
    health: delegateHealth.DelegateHealth;
    connections: upstreamConnections.UpstreamConnections;
}

/** Configures a delegate pool. */
export interface DelegatePoolOptions {
    /** Identifier of this instance among the delegates. */
    ownIdentifier: string;
    /** The delegates of the failure domain; a change is another array. */
    delegates: () => readonly Delegate[];
    now: () => number;
}

/** Pool of the delegates of an instance. */
export interface DelegatePool {
    /** Number of delegates, including this instance. */
    count: () => number;
    /** Returns the delegate that sends requests to an upstream; undefined if this instance sends them itself. */
    choose: (upstream: string) => PooledDelegate | undefined;
    /** Finds a delegate that is not avoided, other than this instance. */
    find: (identifier: string) => PooledDelegate | undefined;
}

/** Connections to one delegate; more than the requests that it can have for one instance. */
const maxConnections = 256;
const maxIdleConnections = 16;
/** Delegates that are tried in order for an upstream, before an instance sends the requests itself. */
const maxRank = 2;

/**
 * Creates a delegate pool.
 *
 * @param options - the delegates and the clock
 * @returns a pool without connections
 */
export const createDelegatePool = ({ ownIdentifier, delegates, now }: DelegatePoolOptions): DelegatePool => {
    const pooled = new Map<string, PooledDelegate>();
    let known: readonly Delegate[] = [];
    let rankings = new Map<string, string[]>();

    const create = (delegate: Delegate): PooledDelegate => ({
        delegate,
        health: delegateHealth.createDelegateHealth(),
        connections: upstreamConnections.createUpstreamConnections(maxConnections, maxIdleConnections),
    });
    const update = (): void => {
        const current = delegates();
        if (current === known) {
            return;
        }
        known = current;
        rankings = new Map();
        const identifiers = new Set(current.map(delegate => delegate.identifier));
        for (const [identifier, { connections, health }] of pooled) {
            if (!identifiers.has(identifier) && health.pendingCount() === 0) {
                connections.close();
                pooled.delete(identifier);
            }
        }
        for (const delegate of current) {
            pooled.set(delegate.identifier, pooled.get(delegate.identifier) ?? create(delegate));
        }
    };
    const rankingOf = (upstream: string): string[] => {
        const ranking = rankings.get(upstream)
            ?? delegation.rankDelegates(upstream, known.map(delegate => delegate.identifier)).slice(0, maxRank);
        rankings.set(upstream, ranking);
        return ranking;
    };
    const find = (identifier: string): PooledDelegate | undefined => {
        update();
        const target = identifier === ownIdentifier ? undefined : pooled.get(identifier);
        return target === undefined || target.health.isAvoided(now()) ? undefined : target;
    };
    return {
        count: () => {
            update();
            return known.length;
        },
        choose: upstream => {
            update();
            const preferred = rankingOf(upstream).find(identifier =>
                identifier === ownIdentifier || find(identifier) !== undefined
            );
            return preferred === undefined ? undefined : find(preferred);
        },
        find,
    };
};
