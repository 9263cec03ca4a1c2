/**
 * Decides which of the requests that wait for a set of upstreams is sent next, which ones are refused, and when the callers of
 * refused ones should return. The requests that are refused are those that cost their callers least, by rank, target and work.
 */

/** A request that waits for room, or arrives while there is none; times in milliseconds of the caller's clock. */
export interface QueuedRequest {
    /** Name of the route. */
    kind: string;
    /** Priority of the request; 0 is the most urgent. */
    rank: number;
    /** Time until which a response has its full value, counted from the caller's first attempt. */
    targetAt: number;
    deadlineAt: number;
    /** Expected time at the upstream without a wait. */
    workMilliseconds: number;
    /** Whether the caller came back after a refusal. */
    hasReturned: boolean;
    arrivedAt: number;
}

/** Room at the upstreams of a set. */
export interface Room {
    /** Requests that may be sent now. */
    free: number;
    /** Expected time until there is room for another request, in milliseconds. */
    nextMilliseconds: number;
    /** Expected time between two requests after that, in milliseconds. */
    intervalMilliseconds: number;
}

/** Orders the requests of different kinds. */
export interface OrderPolicy {
    /** Returns the value of sending a request now; the highest is sent first. */
    score: (request: QueuedRequest, now: number) => number;
    /** Ratio of the average rate of service below which a kind of request goes first; 0 for none. */
    floorRatio: number;
    /** Whether a kind goes before less urgent ones that are served more often. */
    isRankMonotone: boolean;
}

/** A refused request, and the time after which its caller should return. */
export interface RefusedRequest<Request> {
    request: Request;
    returnMilliseconds: number;
}

/** What is waiting and arriving, and the room for it. */
export interface OrderInput<Request> {
    waiting: readonly Request[];
    arriving: readonly Request[];
    room: Room;
    now: number;
}

/** What happens to the requests; those that are not named wait. */
export interface OrderDecision<Request> {
    /** The request that is sent now; undefined without room. */
    next: Request | undefined;
    /** The requests that are refused now, the most worthy first. */
    refused: RefusedRequest<Request>[];
}

/** Order of the requests for one set of upstreams. */
export interface WaitingOrder<Request extends QueuedRequest> {
    /** Decides once; each request is in `arriving` of one decision only, also if there is room for it. */
    decide: (input: OrderInput<Request>) => OrderDecision<Request>;
    onSent: (request: Request, now: number) => void;
}

/** Arrived callers and served requests of a kind, with weights that fade. */
interface KindCount {
    rank: number;
    arrived: number;
    served: number;
    updatedAt: number;
}

/** Expected service of a planned request. */
interface PlannedRequest<Request> {
    request: Request;
    startsAt: number;
}

/** Value of a response after its target, relative to one in time. */
const lateValueRatio = 0.3;
/** Factor on the value of a request that was refused once: a second refusal is worse than the first. */
const returnedFactor = 1.5;
/** Factor between the values of two neighbouring ranks. */
const rankFactor = 2;
/**
 * Floor of a kind relative to the average. It is above the required quarter because the counts fade and an arrival that finds
 * a full queue is refused before the floor takes effect.
 */
const floorRatio = 0.4;
/**
 * Difference of the rates of service up to which a more urgent kind goes before a less urgent one. Without it, urgent kinds with long work were
 * served up to 0.01 less than less urgent ones, as they are refused on arrival more often.
 */
const monotoneMargin = 0.05;
/** Time constant with which counts of arrived and served requests fade, in milliseconds. */
const countTimeConstantMilliseconds = 10_000;
/** Arrivals before the rate of service of a kind is known. */
const minArrivals = 3;
/** Factor on the expected work of an arriving request, which covers the spread of the work. */
const arrivalWorkFactor = 1.25;
/**
 * Factor on the expected wait of an arriving request. With 1, 13 % of the callers were refused after a wait at 1.5 times the capacity,
 * with 2 only 5 %, while the responses in time fell from 70 % to 69 % (`competingLoad.ts`).
 */
const arrivalWaitFactor = 2;
/** Upper bound of the ratio of the room that is expected to be used by requests that arrive later and go first. */
const maxReservedRatio = 0.75;
/** Longest wait of a request that can no longer be served before its target, in multiples of its work. */
const maxLateWaitWorks = 2;
/** Return times that are booked ahead of the newest one at most. */
const maxBookings = 64;
/** Rank from which requests are valued alike, but still ordered by their ranks where these are compared. */
const maxRank = 15;
/** Kinds of requests that are counted; names come from the document, so there are few. */
const maxKinds = 256;

/** Returns a rank with which values and gaps can be computed; documents may contain any integer. */
const boundRank = (rank: number): number => Math.min(maxRank, Math.max(0, rank));

const canBeInTime = (request: QueuedRequest, now: number): boolean =>
    now + request.workMilliseconds <= Math.min(request.targetAt, request.deadlineAt);

const valueOf = (request: QueuedRequest, now: number): number =>
    rankFactor ** -boundRank(request.rank) * (canBeInTime(request, now) ? 1 : lateValueRatio)
    * (request.hasReturned ? returnedFactor : 1);

/** The policies that were compared; `floorWithShares` is the one in use. */
export const OrderPolicies = {
    strictRank: { score: request => -request.rank, floorRatio: 0, isRankMonotone: false },
    valuePerSlotSecond: {
        score: (request, now) => valueOf(request, now) / request.workMilliseconds,
        floorRatio: 0,
        isRankMonotone: false,
    },
    shortestWork: { score: request => -request.workMilliseconds, floorRatio: 0, isRankMonotone: false },
    leastLaxity: {
        score: (request, now) => now + request.workMilliseconds - request.targetAt,
        floorRatio: 0,
        isRankMonotone: false,
    },
    floorWithShares: {
        score: (request, now) => valueOf(request, now) / request.workMilliseconds,
        floorRatio,
        isRankMonotone: true,
    },
} as const satisfies Record<string, OrderPolicy>;

/** Compares two requests of one kind: those in time first, then those that have returned, then by their target. */
const compareWithinKind = (now: number) => (left: QueuedRequest, right: QueuedRequest): number => {
    const lateness = Number(!canBeInTime(left, now)) - Number(!canBeInTime(right, now));
    const returned = Number(right.hasReturned) - Number(left.hasReturned);
    return lateness || returned || left.targetAt - right.targetAt || left.arrivedAt - right.arrivedAt;
};

const isServable = (
    { request, startsAt }: PlannedRequest<QueuedRequest>,
    workFactor: number,
    now: number,
): boolean => {
    const endsAt = startsAt + request.workMilliseconds * workFactor;
    if (canBeInTime(request, now)) {
        // Without a wait, a request is sent even if its work may take longer than expected.
        return startsAt <= now || endsAt <= Math.min(request.targetAt, request.deadlineAt);
    }
    return startsAt - request.arrivedAt <= request.workMilliseconds * maxLateWaitWorks
        && startsAt + request.workMilliseconds <= request.deadlineAt;
};

const rateOf = ({ arrived, served }: Pick<KindCount, "arrived" | "served">): number =>
    arrived === 0 ? 1 : served / arrived;

/** Groups requests by kind, the first to be served in front. */
const groupByKind = <Request extends QueuedRequest>(
    requests: readonly Request[],
    now: number,
): Map<string, Request[]> => {
    const groups = new Map<string, Request[]>();
    for (const request of requests) {
        const group = groups.get(request.kind) ?? [];
        group.push(request);
        groups.set(request.kind, group);
    }
    groups.forEach(group => group.sort(compareWithinKind(now)));
    return groups;
};

/** Selects the kind whose first request goes next. */
const selectKind = (
    groups: ReadonlyMap<string, readonly QueuedRequest[]>,
    counts: ReadonlyMap<string, KindCount>,
    policy: OrderPolicy,
    now: number,
): string => {
    const totals = [...counts.values()].reduce(
        (sum, count) => ({ arrived: sum.arrived + count.arrived, served: sum.served + count.served }),
        { arrived: 0, served: 0 },
    );
    const floor = rateOf(totals) * policy.floorRatio;
    const kinds = [...groups].filter(([, group]) => group.length > 0).map(([kind, [first]]) => {
        const count = counts.get(kind);
        const rate = count === undefined ? 1 : rateOf(count);
        const isBelowFloor = count !== undefined && count.arrived >= minArrivals && rate < floor;
        return { kind, rank: first.rank, rate, isBelowFloor, score: policy.score(first, now) };
    });
    const starved = kinds.filter(kind => kind.isBelowFloor).sort((left, right) => left.rate - right.rate);
    const [preferred] = starved.length > 0 ? starved : kinds.sort((left, right) => right.score - left.score);
    if (!policy.isRankMonotone) {
        return preferred.kind;
    }
    const [underserved] = kinds.filter(({ rank, rate }) =>
        rank < preferred.rank && rate < preferred.rate + monotoneMargin
    )
        .sort((left, right) => left.rate - right.rate);
    return (underserved ?? preferred).kind;
};

/** Times at which refused callers are asked to return, one gap of room for each. */
const createBookings = (): (rank: number, from: number, interval: number, now: number) => number => {
    const booked = new Set<number>();
    return (rank, from, interval, now) => {
        for (const time of booked) {
            if (time < now) {
                booked.delete(time);
            }
        }
        // Less urgent callers leave gaps for more urgent ones, which may be refused after them.
        const step = interval * (boundRank(rank) + 1);
        for (let index = 1; index <= maxBookings; index += 1) {
            const time = from + index * step;
            const isFree = [...booked].every(other => Math.abs(other - time) >= interval * 0.5);
            if (isFree && booked.size < maxBookings) {
                booked.add(time);
                return time;
            }
        }
        return from + maxBookings * step;
    };
};

/**
 * Creates the order of a set of upstreams without any requests.
 *
 * @param policy - orders requests of different kinds
 * @returns the order
 */
export const createWaitingOrder = <Request extends QueuedRequest>(
    policy: OrderPolicy = OrderPolicies.floorWithShares,
): WaitingOrder<Request> => {
    const counts = new Map<string, KindCount>();
    const book = createBookings();

    const fade = (count: KindCount, now: number): void => {
        const weight = Math.exp((count.updatedAt - now) / countTimeConstantMilliseconds);
        count.arrived *= weight;
        count.served *= weight;
        count.updatedAt = now;
    };
    const countOf = (request: QueuedRequest, now: number): KindCount => {
        const count = counts.get(request.kind) ?? { rank: request.rank, arrived: 0, served: 0, updatedAt: now };
        if (counts.size < maxKinds) {
            counts.set(request.kind, count);
        }
        return count;
    };

    /** Plans the requests in the order in which they would be served. */
    const plan = (requests: readonly Request[], room: Room, now: number): PlannedRequest<Request>[] => {
        const groups = groupByKind(requests, now);
        const expected = new Map([...counts].map(([kind, count]) => [kind, { ...count }]));
        const meanWork = requests.reduce((sum, request) => sum + request.workMilliseconds, 0) / requests.length;
        const planned: PlannedRequest<Request>[] = [];
        let startsAt = now + room.nextMilliseconds;
        while (planned.length < requests.length) {
            const kind = selectKind(groups, expected, policy, now);
            const request = groups.get(kind)?.shift() as Request;
            const count = expected.get(kind);
            if (count !== undefined) {
                count.served += 1;
            }
            if (planned.length < room.free) {
                planned.push({ request, startsAt: now });
                continue;
            }
            planned.push({ request, startsAt });
            startsAt += room.intervalMilliseconds * request.workMilliseconds / meanWork;
        }
        return planned;
    };

    /** Returns the ratio of the room that more urgent requests use which have not arrived yet. */
    const reservedRatio = (request: QueuedRequest, room: Room): number => {
        const perMillisecond = [...counts.values()].filter(count => count.rank < request.rank)
            .reduce((sum, count) => sum + count.arrived / countTimeConstantMilliseconds, 0);
        return Math.min(maxReservedRatio, perMillisecond * room.intervalMilliseconds);
    };

    return {
        decide: ({ waiting, arriving, room, now }) => {
            counts.forEach(count => fade(count, now));
            // A caller that returns has been counted already; otherwise a kind that is refused often would seem to ask more often.
            arriving.forEach(request => {
                countOf(request, now).arrived += request.hasReturned ? 0 : 1;
            });
            let requests = [...waiting, ...arriving];
            const refused: Request[] = [];
            const isArriving = new Set(arriving);
            /** Whether a request is expected to be served; an arriving one leaves room for what arrives later and goes first. */
            const isKept = ({ request, startsAt }: PlannedRequest<Request>): boolean => {
                if (!isArriving.has(request)) {
                    return isServable({ request, startsAt }, 1, now);
                }
                const wait = (startsAt - now) * arrivalWaitFactor / (1 - reservedRatio(request, room));
                return isServable({ request, startsAt: now + wait }, arrivalWorkFactor, now);
            };
            let planned = requests.length === 0 ? [] : plan(requests, room, now);
            // Only the first request that cannot be served is refused at a time: the ones behind it start earlier without it.
            for (
                let late = planned.find(item => !isKept(item));
                late !== undefined;
                late = planned.find(item => !isKept(item))
            ) {
                const { request } = late;
                refused.push(request);
                requests = requests.filter(other => other !== request);
                planned = requests.length === 0 ? [] : plan(requests, room, now);
            }
            const roomFrom = Math.max(now + room.nextMilliseconds, planned.at(-1)?.startsAt ?? now);
            const worth = (request: Request): number => valueOf(request, now) / request.workMilliseconds;
            return {
                next: room.free > 0 ? planned[0]?.request : undefined,
                refused: refused.sort((left, right) => worth(right) - worth(left)).map(request => ({
                    request,
                    returnMilliseconds: book(request.rank, roomFrom, room.intervalMilliseconds, now) - now,
                })),
            };
        },
        onSent: (request, now) => {
            countOf(request, now).served += 1;
        },
    };
};
