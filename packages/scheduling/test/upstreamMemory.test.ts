/** The bound on the bytes of requests at one upstream. */
import * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as test from "node:test";
import * as sharedMemory from "./fixtures/sharedMemory";

const kilobyte = 1024;
const idle: scheduling.UpstreamLoad = { capacity: 30, otherRequests: 0, isReportRecent: true };
const unknown: scheduling.UpstreamLoad = { ...idle, isReportRecent: false };
const createMemory = (instances: number): scheduling.UpstreamMemory => scheduling.createUpstreamMemory(() => instances);

test.describe("the bytes of requests at an upstream", () => {
    // Guards against a large request that no upstream ever takes.
    test.it("never keep a request from being sent while nothing else is outstanding", () => {
        const memory = createMemory(1000);
        memory.onSent(100);
        memory.onBroken(0);
        earl.expect(memory.hasRoom(1_000_000_000, unknown, 0)).toEqual(true);
    });

    test.it("never keep a small request from being sent, and small requests are not counted", () => {
        const memory = createMemory(65);
        memory.onSent(10_000_000);
        earl.expect(memory.hasRoom(8 * kilobyte, unknown, 0)).toEqual(true);
        memory.onSent(8 * kilobyte);
        earl.expect(memory.outstandingBytes(0)).toEqual(10_000_000);
    });

    test.it("are bounded by the share of an instance, or by two uploads while the upstream reports room", () => {
        const memory = createMemory(65);
        memory.onSent(50 * kilobyte);
        earl.expect(memory.hasRoom(60 * kilobyte, unknown, 0)).toEqual(false);
        earl.expect(memory.hasRoom(60 * kilobyte, idle, 0)).toEqual(true);
        earl.expect(memory.hasRoom(80 * kilobyte, idle, 0)).toEqual(false);
        earl.expect(memory.hasRoom(60 * kilobyte, { ...idle, otherRequests: 30 }, 0)).toEqual(false);
        const alone = createMemory(1);
        alone.onSent(1700 * kilobyte);
        earl.expect(alone.hasRoom(100 * kilobyte, unknown, 0)).toEqual(true);
        earl.expect(alone.hasRoom(101 * kilobyte, unknown, 0)).toEqual(false);
    });

    test.it("count until the deadline of a request without a response", () => {
        const memory = createMemory(1);
        memory.onSent(100_000);
        memory.onEnd(100_000);
        memory.occupyUntil(100_000, 4000);
        earl.expect([memory.outstandingBytes(3999), memory.outstandingBytes(4000)]).toEqual([100_000, 0]);
    });

    // Guards against a crash that repeats with each start of the upstream.
    test.it("are halved for a time when a connection is lost while they are outstanding, once for a crash", () => {
        const memory = createMemory(1);
        earl.expect(memory.onBroken(0)).toEqual(false);
        memory.onSent(800 * kilobyte);
        earl.expect(memory.hasRoom(900 * kilobyte, unknown, 0)).toEqual(true);
        earl.expect([memory.onBroken(5000), memory.onBroken(5001)]).toEqual([true, false]);
        earl.expect(memory.hasRoom(200 * kilobyte, unknown, 5001)).toEqual(false);
        earl.expect(memory.hasRoom(900 * kilobyte, unknown, 40_000)).toEqual(true);
    });
});

const load: sharedMemory.UploadLoad = {
    seed: 1,
    instanceCount: 65,
    upstreamCount: 4,
    uploadsPerSecond: 80,
    meanBytes: 60 * kilobyte,
    maxBytes: 360 * kilobyte,
    durationMilliseconds: 40_000,
    isBounded: true,
    isReporting: () => true,
    killedAt: Infinity,
};
/** Memory that an upstream is taken to have for requests, in bytes. */
const totalBytes = 30 * 60 * kilobyte;

test.describe("instances that send uploads to the same upstreams", () => {
    // Summed over all instances. Twice what the upstreams serve; without the bound, the bytes grow with the queue.
    for (const instanceCount of [5, 20]) {
        test.it(`keep the sum of ${instanceCount} instances within the memory under overload`, () => {
            const overload = { ...load, instanceCount, uploadsPerSecond: 180 };
            const bounded = sharedMemory.playUploads(overload);
            const unbounded = sharedMemory.playUploads({ ...overload, isBounded: false });
            earl.expect(unbounded.peakBytes > totalBytes * 2).toEqual(true);
            earl.expect(bounded.peakBytes <= totalBytes * 1.25).toEqual(true);
        });
    }

    test.it("refuse hardly any upload below the capacity of the upstreams", () => {
        const { sent, refused } = sharedMemory.playUploads(load);
        earl.expect(refused <= sent * 0.01).toEqual(true);
    });

    test.it("keep within the memory after half of them were killed while upstreams held their uploads", () => {
        const killed = sharedMemory.playUploads({
            ...load,
            instanceCount: 20,
            uploadsPerSecond: 180,
            killedAt: 20_000,
        });
        earl.expect(killed.peakBytesAfterKill > 0 && killed.peakBytesAfterKill <= totalBytes * 1.25).toEqual(true);
    });

    test.it("keep within the memory when the reports stop halfway", () => {
        const stopped = sharedMemory.playUploads({
            ...load,
            instanceCount: 20,
            uploadsPerSecond: 180,
            isReporting: now => now < 20_000,
        });
        earl.expect(stopped.peakBytes <= totalBytes * 1.25).toEqual(true);
    });

    test.it("decide the same as without a bound if all bodies are small", () => {
        const small = { ...load, meanBytes: 2 * kilobyte, maxBytes: 8 * kilobyte, uploadsPerSecond: 180 };
        const { decisions } = sharedMemory.playUploads(small);
        earl.expect(decisions.length > 1000).toEqual(true);
        earl.expect(decisions).toEqual(sharedMemory.playUploads({ ...small, isBounded: false }).decisions);
    });
});
