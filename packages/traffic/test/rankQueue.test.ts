/** The queue by rank: urgent first, floors kept, hopeless work refused early. */
import * as traffic from "@mulberryseam/traffic";
import * as earl from "earl";
import * as test from "node:test";

const ranks = [
    { name: "lookup", floorShare: 0.3, maximumShare: 1, targetMilliseconds: 100 },
    { name: "order", floorShare: 0.2, maximumShare: 1, targetMilliseconds: 100_000 },
    { name: "scan", floorShare: 0.1, maximumShare: 0.5, targetMilliseconds: 100_000 },
];
const always = (): boolean => true;

const fill = (queue: traffic.RankQueue<number>, rank: string, count: number, deadlineAt = 1_000_000): void => {
    for (let index = 0; index < count; index++) {
        queue.enqueue({ item: index, rank, deadlineAt, bytes: 0 }, 0);
    }
};

const serve = (queue: traffic.RankQueue<number>, rounds: number, heldMilliseconds: Record<string, number>) => {
    const served: Record<string, number> = { lookup: 0, order: 0, scan: 0 };
    for (let round = 0; round < rounds; round++) {
        const next = queue.next(1, 0, always);
        if (next === undefined) {
            break;
        }
        served[next.rank] += 1;
        queue.onDone(next.rank, heldMilliseconds[next.rank] ?? 5);
    }
    return served;
};

test.describe("the queue by rank", () => {
    test.it("serves the most urgent rank first", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        fill(queue, "scan", 1);
        fill(queue, "lookup", 1);
        earl.expect(queue.next(1, 0, always)?.rank).toEqual("lookup");
    });

    test.it("keeps each rank's floor while urgent work floods", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        fill(queue, "lookup", 500);
        fill(queue, "order", 500);
        fill(queue, "scan", 500);
        const served = serve(queue, 200, {});
        earl.expect(served.order >= 38).toEqual(true);
        earl.expect(served.scan >= 18).toEqual(true);
        earl.expect(served.lookup >= 120).toEqual(true);
    });

    test.it("counts floors in time held, so dear requests take their turn less often", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        fill(queue, "lookup", 900);
        fill(queue, "scan", 500);
        const served = serve(queue, 600, { scan: 50 });
        const scanTime = served.scan * 50;
        const share = scanTime / (scanTime + served.lookup * 5);
        earl.expect(share > 0.05 && share < 0.2).toEqual(true);
    });

    test.it("never lets a rank hold more than its largest share", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        fill(queue, "scan", 10);
        const taken = [...Array(10).keys()].map(() => queue.next(6, 0, always)).filter(next => next !== undefined);
        earl.expect(taken.length).toEqual(3);
    });

    test.it("refuses at once what cannot be answered in time", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        fill(queue, "lookup", 1);
        queue.next(1, 0, always);
        fill(queue, "lookup", 100);
        const refusal = queue.enqueue({ item: 1, rank: "lookup", deadlineAt: 50, bytes: 0 }, 0);
        earl.expect(refusal?.reason).toEqual("deadline");
        earl.expect((refusal?.retryAfterMilliseconds ?? 0) > 0).toEqual(true);
    });

    test.it("answers within the target in a lasting overload, rather than every request late", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        const waits: number[] = [];
        const started = new Map<number, number>();
        for (let now = 0; now < 5000; now++) {
            queue.enqueue({ item: now, rank: "lookup", deadlineAt: now + 2000, bytes: 0 }, now);
            queue.expire(now);
            const isDone = now % 4 === 0;
            const next = isDone ? queue.next(1, now, always) : undefined;
            if (next !== undefined) {
                started.set(next.item, now);
                waits.push(now - next.item);
                queue.onDone("lookup", 4);
            }
        }
        const lasting = waits.slice(waits.length / 2);
        earl.expect(lasting.every(wait => wait <= 100)).toEqual(true);
        earl.expect(waits.length > 1100).toEqual(true);
    });

    test.it("lets a short burst wait for its deadline", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        fill(queue, "lookup", 100, 2000);
        earl.expect(queue.length()).toEqual(100);
        earl.expect(queue.expire(90).length).toEqual(0);
    });

    test.it("admits urgent work past a long queue of other work", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        fill(queue, "scan", 1000);
        earl.expect(queue.enqueue({ item: 1, rank: "lookup", deadlineAt: 50, bytes: 0 }, 0)).toEqual(undefined);
    });

    test.it("bounds what waits by number and by bytes", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        fill(queue, "scan", 2000);
        earl.expect(queue.enqueue({ item: 1, rank: "lookup", deadlineAt: 9e9, bytes: 0 }, 0)?.reason).toEqual(
            "overload",
        );
        const heavy = traffic.createRankQueue<number>(ranks);
        heavy.enqueue({ item: 1, rank: "scan", deadlineAt: 9e9, bytes: 30_000_000 }, 0);
        earl.expect(heavy.enqueue({ item: 2, rank: "scan", deadlineAt: 9e9, bytes: 9_000_000 }, 0)?.reason)
            .toEqual("overload");
    });

    test.it("gives out what has expired", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        fill(queue, "lookup", 2, 100);
        fill(queue, "scan", 1, 900);
        earl.expect(queue.expire(200).length).toEqual(2);
        earl.expect(queue.length()).toEqual(1);
    });

    test.it("lets a rank that can run go ahead of one that cannot", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        queue.enqueue({ item: 1, rank: "lookup", deadlineAt: 9e9, bytes: 0 }, 0);
        queue.enqueue({ item: 2, rank: "scan", deadlineAt: 9e9, bytes: 0 }, 0);
        earl.expect(queue.next(4, 0, item => item === 2)?.rank).toEqual("scan");
    });
});
