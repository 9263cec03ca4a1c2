/** Placement of keys: played loads, and what it costs in moved keys. */
import * as assignment from "@mulberryseam/assignment";
import * as earl from "earl";
import * as test from "node:test";

const createCandidates = (count: number, capacity = 6): assignment.Candidate[] =>
    [...new Array(count).keys()].map(index => ({
        owner: { identifier: `owner-${index}`, startedAt: 1, host: "127.0.0.1", port: index + 1 },
        capacity,
    }));

const createInput = (
    current: assignment.ServiceAssignment,
    candidates: assignment.Candidate[],
    loads: (key: number) => number,
): assignment.BalanceInput => {
    const loadSums = new Float64Array(assignment.keyCount + 1);
    for (let key = 0; key < assignment.keyCount; key += 1) {
        loadSums[key + 1] = loadSums[key] + loads(key);
    }
    return {
        assignment: current,
        candidates,
        loadSums,
        isMoving: () => false,
        mayMove: () => true,
        isFenced: () => false,
    };
};

const settle = (current: assignment.ServiceAssignment): assignment.ServiceAssignment => ({
    ...current,
    ranges: current.ranges.map(range => ({ ...range, former: undefined })),
});

const busiestOverMean = (
    current: assignment.ServiceAssignment,
    candidates: assignment.Candidate[],
    loads: (key: number) => number,
): number => {
    const byOwner = new Map(candidates.map(({ owner }) => [owner.identifier, 0]));
    let total = 0;
    for (const range of current.ranges) {
        for (let key = range.first; key <= range.last; key += 1) {
            const name = range.owner?.identifier ?? "";
            byOwner.set(name, (byOwner.get(name) ?? 0) + loads(key));
            total += loads(key);
        }
    }
    return Math.max(...byOwner.values()) / (total / candidates.length);
};

const deal = (candidates: assignment.Candidate[]): assignment.ServiceAssignment =>
    settle(
        assignment.balance(
            createInput(assignment.createEmptyAssignment("records", 256), candidates, () => 0),
        ) as assignment.ServiceAssignment,
    );

const play = (
    start: assignment.ServiceAssignment,
    candidates: assignment.Candidate[],
    loads: (key: number) => number,
    rounds: number,
): { end: assignment.ServiceAssignment; movedKeys: number; } => {
    let current = start;
    let movedKeys = 0;
    for (let round = 0; round < rounds; round += 1) {
        const next = assignment.balance(createInput(current, candidates, loads));
        if (next === undefined) {
            break;
        }
        for (const range of next.ranges.filter(one => one.former !== undefined)) {
            movedKeys += range.last - range.first + 1;
        }
        current = settle(next);
    }
    return { end: current, movedKeys };
};

const covers = (current: assignment.ServiceAssignment): boolean =>
    current.ranges[0].first === 0
    && current.ranges[current.ranges.length - 1].last === assignment.keyCount - 1
    && current.ranges.every((range, index) => index === 0 || range.first === current.ranges[index - 1].last + 1);

test.describe("the balance of keys", () => {
    const candidates = createCandidates(14);

    test.it("deals every key evenly at first", () => {
        const dealt = deal(candidates);
        earl.expect(covers(dealt)).toEqual(true);
        earl.expect(busiestOverMean(dealt, candidates, () => 1) < 1.1).toEqual(true);
    });

    for (const width of [60, 200]) {
        test.it(`spreads a hot stretch of ${width} keys within two rounds and moves few keys`, () => {
            const loads = (key: number): number => 0.01 + (key >= 30_000 && key < 30_000 + width ? 500 / width : 0);
            const dealt = deal(candidates);
            earl.expect(busiestOverMean(dealt, candidates, loads) > 4).toEqual(true);
            const { end, movedKeys } = play(dealt, candidates, loads, 2);
            earl.expect(covers(end)).toEqual(true);
            earl.expect(busiestOverMean(end, candidates, loads) < 2).toEqual(true);
            earl.expect(movedKeys < assignment.keyCount * 0.02).toEqual(true);
        });
    }

    test.it("frees the owner of one hot key from its other load", () => {
        const loads = (key: number): number => key === 4242 ? 300 : key < 20_000 ? 0.05 : 0.01;
        const dealt = deal(candidates);
        const { end } = play(dealt, candidates, loads, 12);
        const owner = end.ranges.find(range => range.first <= 4242 && range.last >= 4242)?.owner;
        let others = 0;
        for (const range of end.ranges.filter(one => one.owner?.identifier === owner?.identifier)) {
            for (let key = range.first; key <= range.last; key += 1) {
                others += key === 4242 ? 0 : loads(key);
            }
        }
        let total = 0;
        for (let key = 0; key < assignment.keyCount; key += 1) {
            total += loads(key);
        }
        earl.expect(others < total / candidates.length / 2).toEqual(true);
    });

    test.it("gives an empty upstream some of the load", () => {
        const loads = (key: number): number => 0.01 + (key >= 100 && key < 200 ? 3 : 0);
        const { end } = play(deal(createCandidates(4)), createCandidates(4), loads, 10);
        const { end: grown } = play(end, createCandidates(5), loads, 10);
        earl.expect(busiestOverMean(grown, createCandidates(5), loads) < 1.35).toEqual(true);
    });

    test.it("moves nothing while every owner is comfortable, however uneven the load", () => {
        const loads = (key: number): number => 0.001 + (key >= 100 && key < 200 ? 1 : 0);
        const roomy = createCandidates(4, 300);
        earl.expect(assignment.balance(createInput(deal(roomy), roomy, loads))).toEqual(undefined);
        const tight = createCandidates(4, 150);
        earl.expect(assignment.balance(createInput(deal(tight), tight, loads)) === undefined).toEqual(false);
    });

    test.it("gives an empty upstream keys also while every owner is comfortable", () => {
        const loads = (): number => 0.02;
        const roomy = createCandidates(5, 3000);
        const { end } = play(deal(createCandidates(4, 3000)), roomy, loads, 10);
        earl.expect(end.ranges.some(range => range.owner?.identifier === "owner-4")).toEqual(true);
    });

    test.it("gives a slow upstream less", () => {
        const uneven = createCandidates(4).map((candidate, index) => ({ ...candidate, capacity: index === 0 ? 2 : 6 }));
        const loads = (): number => 0.02;
        const { end } = play(deal(createCandidates(4)), uneven, loads, 60);
        const slow = end.ranges.filter(range => range.owner?.identifier === "owner-0");
        const keys = slow.reduce((sum, range) => sum + range.last - range.first + 1, 0);
        earl.expect(keys < assignment.keyCount * 0.14).toEqual(true);
    });

    test.it("goes on balancing however many stretches have been hot before, with a bounded number of ranges", () => {
        let current = deal(candidates);
        for (let stretch = 0; stretch < 60; stretch += 1) {
            const first = stretch * 1087 % 65_000;
            const loads = (key: number): number => 0.01 + (key >= first && key < first + 200 ? 2.5 : 0);
            const { end, movedKeys } = play(current, candidates, loads, 4);
            current = end;
            earl.expect(covers(current)).toEqual(true);
            earl.expect(current.ranges.length <= 520).toEqual(true);
            earl.expect(busiestOverMean(current, candidates, loads) < 2).toEqual(true);
            earl.expect(movedKeys < assignment.keyCount * 0.08).toEqual(true);
        }
    });

    test.it("gives joined ranges tokens of their own and keeps their owner", () => {
        const [first, second] = candidates;
        const ranges = Array.from({ length: 512 }, (...[, index]) => ({
            first: index * 128,
            last: index * 128 + 127,
            owner: index % 4 < 2 ? first.owner : second.owner,
            token: index + 1,
            former: undefined,
        }));
        const current = { service: "records", nextToken: 513, ranges };
        const next = assignment.balance(createInput(current, [first, second], () => 0.01));
        const changed = next?.ranges.filter(range => range.token >= 513) ?? [];
        earl.expect(changed.length > 0).toEqual(true);
        earl.expect(new Set(changed.map(range => range.token)).size).toEqual(changed.length);
        earl.expect(changed.every(range => range.former === undefined && range.last - range.first === 255)).toEqual(
            true,
        );
        for (const range of changed) {
            const before = ranges.find(one => one.first === range.first);
            earl.expect(assignment.isSameOwner(before?.owner, range.owner)).toEqual(true);
        }
    });

    test.it("leaves a balanced assignment as it is", () => {
        const dealt = deal(candidates);
        earl.expect(assignment.balance(createInput(dealt, candidates, () => 0.02))).toEqual(undefined);
    });

    test.it("gives tokens that were never given before", () => {
        const dealt = deal(candidates);
        const { end } = play(dealt, candidates, key => key < 50 ? 20 : 0.01, 5);
        const tokens = new Set(end.ranges.filter(range => range.token >= dealt.nextToken).map(range => range.token));
        const changed = end.ranges.filter(range => range.token >= dealt.nextToken);
        earl.expect(changed.every(range => range.token < end.nextToken)).toEqual(true);
        earl.expect(tokens.size > 0).toEqual(true);
    });

    test.it("keeps on record who had a range that gets an owner and is cut in one plan", () => {
        const dealt = deal(candidates);
        const [lost] = candidates;
        const hot = dealt.ranges.find(range => range.owner === lost.owner)?.first ?? 0;
        const loads = (key: number): number => 0.01 + (key >= hot && key < hot + 60 ? 10 : 0);
        const next = assignment.balance(createInput(dealt, candidates.slice(1), loads));
        const formers = next?.ranges.filter(range => range.former !== undefined).map(range => range.former);
        const owners = new Set(dealt.ranges.map(range => range.owner));
        earl.expect(formers?.every(former => former !== undefined && owners.has(former))).toEqual(true);
        for (const range of next?.ranges.filter(one => one.former !== undefined) ?? []) {
            const before = dealt.ranges.find(one => one.first <= range.first && one.last >= range.last);
            earl.expect(range.former).toEqual(before?.owner);
        }
    });
});
