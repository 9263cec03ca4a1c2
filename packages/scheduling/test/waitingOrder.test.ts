/** The order of requests that wait for room: which one is sent next, which ones are refused, and when their callers return. */
import * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as test from "node:test";
import * as competingLoad from "./fixtures/competingLoad";

const now = 1000;
const fullRoom: scheduling.Room = { free: 0, nextMilliseconds: 50, intervalMilliseconds: 50 };
const oneFree: scheduling.Room = { ...fullRoom, free: 1 };

const createRequest = (fields: Partial<scheduling.QueuedRequest> = {}): scheduling.QueuedRequest => ({
    kind: "lookup",
    rank: 1,
    targetAt: now + 1000,
    deadlineAt: now + 4000,
    workMilliseconds: 200,
    hasReturned: false,
    arrivedAt: now,
    ...fields,
});

const requestsOf = (count: number, fields: Partial<scheduling.QueuedRequest> = {}): scheduling.QueuedRequest[] =>
    Array.from({ length: count }, () => createRequest(fields));

const isServed = ({ inTime, late }: competingLoad.KindResult): number => inTime + late;

/** Plays a load with several seeds and returns the ratio of callers that were served, by kind and of all. */
const playServedRatios = (
    load: Omit<competingLoad.CompetingLoad, "seed">,
): { byKind: Map<string, number>; average: number; } => {
    const totals = new Map<string, { callers: number; served: number; }>();
    for (const seed of [1, 2, 3]) {
        for (const [kind, result] of competingLoad.playCompetingLoad({ ...load, seed })) {
            const { callers, served } = totals.get(kind) ?? { callers: 0, served: 0 };
            totals.set(kind, { callers: callers + result.callers, served: served + isServed(result) });
        }
    }
    const all = [...totals.values()];
    return {
        byKind: new Map([...totals].map(([kind, { callers, served }]) => [kind, served / callers])),
        average: all.reduce((sum, { served }) => sum + served, 0) / all.reduce((sum, { callers }) => sum + callers, 0),
    };
};

/** Difference of two served ratios that chance explains in three runs of a minute. */
const tolerance = 0.01;

const loads: Record<string, readonly competingLoad.LoadKind[]> = {
    "short work is urgent": competingLoad.mixedKinds,
    "long work is urgent": competingLoad.mixedKinds.map((kind, index) => ({ ...kind, rank: 3 - index })),
    "all targets are equal": competingLoad.mixedKinds.map(kind => ({ ...kind, targetMilliseconds: 1200 })),
    "most callers are urgent": competingLoad.mixedKinds.map((kind, index) => ({
        ...kind,
        share: [0.7, 0.1, 0.1, 0.1][index],
    })),
};

test.describe("kinds of requests that compete for room", () => {
    for (const [name, kinds] of Object.entries(loads)) {
        for (const loadFactor of [1.5, 3]) {
            const load = { kinds, slots: 6, loadFactor, durationMilliseconds: 60_000 };

            // Guards against kinds that starve, and against urgent ones that wait for less urgent ones.
            test.it(`are all served, and the urgent ones most, at ${loadFactor} times the capacity when ${name}`, () => {
                const { floorWithShares } = scheduling.OrderPolicies;
                const { byKind, average } = playServedRatios({ ...load, policy: floorWithShares });
                const byRank = [...kinds].sort((left, right) => left.rank - right.rank)
                    .map(kind => byKind.get(kind.name) ?? 0);
                earl.expect(byRank.filter(ratio => ratio < average / 4)).toEqual([]);
                earl.expect(
                    byRank.filter((ratio, index) =>
                        byRank.some((other, less) => less > index && other > ratio + tolerance)
                    ),
                ).toEqual([]);
            });
        }
    }

    // Shows that the load tells a policy that starves a kind from one that does not.
    test.it("starve at 3 times the capacity by strict rank alone", () => {
        const { byKind, average } = playServedRatios({
            kinds: competingLoad.mixedKinds,
            slots: 6,
            loadFactor: 3,
            durationMilliseconds: 60_000,
            policy: scheduling.OrderPolicies.strictRank,
        });
        earl.expect((byKind.get("upload") ?? 0) < average / 4).toEqual(true);
    });

    // Guards against an order that keeps slots idle, or sends what is answered too late.
    test.it("are served in time as often as there is room", () => {
        const results = competingLoad.playCompetingLoad({
            seed: 1,
            kinds: competingLoad.mixedKinds,
            slots: 6,
            loadFactor: 1.5,
            durationMilliseconds: 60_000,
            policy: scheduling.OrderPolicies.floorWithShares,
        });
        const all = [...results.values()];
        const callers = all.reduce((sum, result) => sum + result.callers, 0);
        const inTime = all.reduce((sum, result) => sum + result.inTime, 0);
        const refusedLate = all.reduce((sum, result) => sum + result.lateRefusals, 0);
        earl.expect(inTime > callers * 0.62).toEqual(true);
        earl.expect(refusedLate < callers * 0.1).toEqual(true);
    });
});

test.describe("the decision about waiting requests", () => {
    // Guards against a second refusal of a caller while an equal one is refused for the first time.
    test.it("prefers a request that was refused once and is back in time", () => {
        const order = scheduling.createWaitingOrder();
        const first = createRequest();
        const returned = createRequest({ hasReturned: true });
        const { next } = order.decide({ waiting: [first], arriving: [returned], room: oneFree, now });
        earl.expect(next === returned).toEqual(true);

        // There is room for five of six before their target.
        const requests = requestsOf(5);
        const room = { free: 0, nextMilliseconds: 150, intervalMilliseconds: 150 };
        const { refused } = order.decide({
            waiting: requests,
            arriving: [createRequest({ hasReturned: true })],
            room,
            now,
        });
        earl.expect(refused.map(({ request }) => request.hasReturned)).toEqual([false]);
    });

    // Guards against requests that wait although it is known at once that they will be answered late.
    test.it("refuses on arrival what cannot be served in time", () => {
        const order = scheduling.createWaitingOrder();
        const room = { free: 0, nextMilliseconds: 1000, intervalMilliseconds: 1000 };
        const arriving = [createRequest()];
        const { refused } = order.decide({ waiting: [], arriving, room, now });
        earl.expect(refused.map(({ request }) => request)).toEqual(arriving);

        const tight = createRequest({ deadlineAt: now + 100 });
        earl.expect(order.decide({ waiting: [], arriving: [tight], room: oneFree, now }).refused.length).toEqual(1);
    });

    test.it("lets a request wait that is expected to be served in time, and refuses it once it is not", () => {
        const order = scheduling.createWaitingOrder();
        const request = createRequest();
        earl.expect(order.decide({ waiting: [], arriving: [request], room: fullRoom, now })).toEqual({
            next: undefined,
            refused: [],
        });
        const later = order.decide({ waiting: [request], arriving: [], room: fullRoom, now: now + 760 });
        earl.expect(later.refused.map(refusal => refusal.request)).toEqual([request]);
    });

    // Guards against an arriving request that is sent because room appears at that moment.
    test.it("does not let an arriving request overtake one that it prefers", () => {
        const order = scheduling.createWaitingOrder();
        const waiting = createRequest({ arrivedAt: now - 100, targetAt: now + 900 });
        const { next } = order.decide({ waiting: [waiting], arriving: [createRequest()], room: oneFree, now });
        earl.expect(next === waiting).toEqual(true);
        const urgent = createRequest({ kind: "alarm", rank: 0 });
        const second = order.decide({ waiting: [waiting], arriving: [urgent], room: oneFree, now });
        earl.expect(second.next === urgent).toEqual(true);
    });

    // Guards against callers that come back to a full queue, or all at the same time.
    test.it("asks refused callers to return when there is room, the most worthy first, one after another", () => {
        const order = scheduling.createWaitingOrder();
        const waiting = requestsOf(4);
        const arriving = [
            createRequest({ kind: "upload", rank: 3, targetAt: now + 210 }),
            createRequest({ kind: "map", rank: 2, targetAt: now + 210 }),
            createRequest({ kind: "alarm", rank: 0, targetAt: now + 210 }),
        ];
        const { refused } = order.decide({ waiting, arriving, room: fullRoom, now });
        earl.expect(refused.map(({ request }) => request.kind)).toEqual(["alarm", "map", "upload"]);
        const times = refused.map(refusal => refusal.returnMilliseconds);
        const lastPlanned = fullRoom.nextMilliseconds + 3 * fullRoom.intervalMilliseconds;
        earl.expect(times.filter(time => time < lastPlanned)).toEqual([]);
        earl.expect(times.slice(1).filter((time, index) => time - times[index] < 25)).toEqual([]);
        // One that is more urgent and is refused later takes a gap that was left before the others.
        const again = order.decide({
            waiting,
            arriving: [createRequest({ kind: "alarm", rank: 0, targetAt: now + 210 })],
            room: fullRoom,
            now,
        });
        earl.expect(again.refused[0].returnMilliseconds < times[1]).toEqual(true);
    });

    // Guards against a return time that grows without end while refusals go on.
    test.it("books a limited number of returns", () => {
        const order = scheduling.createWaitingOrder();
        const times = Array.from(
            { length: 300 },
            () =>
                order.decide({ waiting: [], arriving: [createRequest({ targetAt: now + 210 })], room: fullRoom, now })
                    .refused[0].returnMilliseconds,
        );
        earl.expect(Math.max(...times) <= 64 * 2 * fullRoom.intervalMilliseconds + fullRoom.nextMilliseconds).toEqual(
            true,
        );
    });

    // Guards against values and return times that are no numbers, as a document may contain any integer as a priority.
    test.it("orders requests with any rank and target", () => {
        const order = scheduling.createWaitingOrder();
        const ranks = [-1_000_000, -1, 0, 40, 1_000_000];
        const arriving = ranks.flatMap(rank =>
            [Infinity, now + 210, -Infinity].map(targetAt => createRequest({ kind: `kind ${rank}`, rank, targetAt }))
        );
        const { next, refused } = order.decide({ waiting: [], arriving, room: oneFree, now });
        earl.expect(next?.rank).toEqual(-1_000_000);
        earl.expect(refused.length > 0).toEqual(true);
        earl.expect(
            refused.filter(({ returnMilliseconds }) => !Number.isFinite(returnMilliseconds) || returnMilliseconds <= 0),
        ).toEqual([]);
    });
});
