/** Tests that the rank queue serves urgent ranks first, keeps floors and refuses requests that would be late. */
import * as traffic from "@mulberryseam/traffic";
import * as earl from "earl";
import * as test from "node:test";

const ranks = [
    { name: "lookup", floorShare: 0.3, maximumShare: 1, targetMilliseconds: 100 },
    { name: "order", floorShare: 0.2, maximumShare: 1, targetMilliseconds: 100_000 },
    { name: "scan", floorShare: 0.1, maximumShare: 0.5, targetMilliseconds: 100_000 },
];
const alwaysRunnable = (): boolean => true;

const enqueueMany = (queue: traffic.RankQueue<number>, rank: string, count: number, deadlineAt = 1_000_000): void => {
    for (let index = 0; index < count; index++) {
        queue.enqueue({ item: index, rank, deadlineAt, bytes: 0 }, 0);
    }
};

const serve = (queue: traffic.RankQueue<number>, maxRequests: number, holdMilliseconds: Record<string, number>) => {
    const served: Record<string, number> = { lookup: 0, order: 0, scan: 0 };
    for (let requestCount = 0; requestCount < maxRequests; requestCount++) {
        const request = queue.dequeue(1, 0, alwaysRunnable);
        if (request === undefined) {
            break;
        }
        served[request.rank] += 1;
        queue.releaseSlot(request.rank, holdMilliseconds[request.rank] ?? 5);
    }
    return served;
};

test.describe("the rank queue", () => {
    test.it("serves the most urgent rank first", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        enqueueMany(queue, "scan", 1);
        enqueueMany(queue, "lookup", 1);
        earl.expect(queue.dequeue(1, 0, alwaysRunnable)?.rank).toEqual("lookup");
    });

    test.it("keeps each rank's floor while urgent requests overload the queue", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        enqueueMany(queue, "lookup", 500);
        enqueueMany(queue, "order", 500);
        enqueueMany(queue, "scan", 500);
        const served = serve(queue, 200, {});
        earl.expect(served.order >= 38).toEqual(true);
        earl.expect(served.scan >= 18).toEqual(true);
        earl.expect(served.lookup >= 120).toEqual(true);
    });

    test.it("measures floors in slot time, so expensive requests are served less often", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        enqueueMany(queue, "lookup", 900);
        enqueueMany(queue, "scan", 500);
        const served = serve(queue, 600, { scan: 50 });
        const scanTime = served.scan * 50;
        const ratio = scanTime / (scanTime + served.lookup * 5);
        earl.expect(ratio > 0.05 && ratio < 0.2).toEqual(true);
    });

    test.it("never lets a rank hold more than its maximum fraction of the capacity", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        enqueueMany(queue, "scan", 10);
        const dequeued = [...Array(10).keys()].map(() => queue.dequeue(6, 0, alwaysRunnable)).filter(request =>
            request !== undefined
        );
        earl.expect(dequeued.length).toEqual(3);
    });

    test.it("immediately refuses a request that cannot be answered in time", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        enqueueMany(queue, "lookup", 1);
        queue.dequeue(1, 0, alwaysRunnable);
        enqueueMany(queue, "lookup", 100);
        const refusal = queue.enqueue({ item: 1, rank: "lookup", deadlineAt: 50, bytes: 0 }, 0);
        earl.expect(refusal?.reason).toEqual("deadline");
        earl.expect((refusal?.retryAfterMilliseconds ?? 0) > 0).toEqual(true);
    });

    test.it("answers within the target in a sustained overload, instead of answering every request late", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        const waitsMilliseconds: number[] = [];
        const startedAtByItem = new Map<number, number>();
        for (let now = 0; now < 5000; now++) {
            queue.enqueue({ item: now, rank: "lookup", deadlineAt: now + 2000, bytes: 0 }, now);
            queue.expire(now);
            const isSlotFree = now % 4 === 0;
            const request = isSlotFree ? queue.dequeue(1, now, alwaysRunnable) : undefined;
            if (request !== undefined) {
                startedAtByItem.set(request.item, now);
                waitsMilliseconds.push(now - request.item);
                queue.releaseSlot("lookup", 4);
            }
        }
        const laterWaits = waitsMilliseconds.slice(waitsMilliseconds.length / 2);
        earl.expect(laterWaits.every(wait => wait <= 100)).toEqual(true);
        earl.expect(waitsMilliseconds.length > 1100).toEqual(true);
    });

    test.it("lets requests of a short burst wait until their deadline", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        enqueueMany(queue, "lookup", 100, 2000);
        earl.expect(queue.length()).toEqual(100);
        earl.expect(queue.expire(90).length).toEqual(0);
    });

    test.it("admits an urgent request ahead of a long queue of less urgent ones", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        enqueueMany(queue, "scan", 1000);
        earl.expect(queue.enqueue({ item: 1, rank: "lookup", deadlineAt: 50, bytes: 0 }, 0)).toEqual(undefined);
    });

    test.it("limits the queue by number of requests and by bytes", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        enqueueMany(queue, "scan", 2000);
        earl.expect(queue.enqueue({ item: 1, rank: "lookup", deadlineAt: 9e9, bytes: 0 }, 0)?.reason).toEqual(
            "overload",
        );
        const byteLimitedQueue = traffic.createRankQueue<number>(ranks);
        byteLimitedQueue.enqueue({ item: 1, rank: "scan", deadlineAt: 9e9, bytes: 30_000_000 }, 0);
        earl.expect(byteLimitedQueue.enqueue({ item: 2, rank: "scan", deadlineAt: 9e9, bytes: 9_000_000 }, 0)?.reason)
            .toEqual("overload");
    });

    test.it("removes and returns expired requests", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        enqueueMany(queue, "lookup", 2, 100);
        enqueueMany(queue, "scan", 1, 900);
        earl.expect(queue.expire(200).length).toEqual(2);
        earl.expect(queue.length()).toEqual(1);
    });

    test.it("skips a rank whose first request cannot run", () => {
        const queue = traffic.createRankQueue<number>(ranks);
        queue.enqueue({ item: 1, rank: "lookup", deadlineAt: 9e9, bytes: 0 }, 0);
        queue.enqueue({ item: 2, rank: "scan", deadlineAt: 9e9, bytes: 0 }, 0);
        earl.expect(queue.dequeue(4, 0, item => item === 2)?.rank).toEqual("scan");
    });
});
