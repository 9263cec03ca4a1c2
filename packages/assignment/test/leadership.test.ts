/** Who leads, and for how long. */
import * as assignment from "@mulberryseam/assignment";
import * as earl from "earl";
import * as test from "node:test";

const record: assignment.LeaderRecord = {
    identifier: "entry-1/a",
    host: "10.0.0.1",
    port: 7200,
    term: 3,
    beat: 9,
    isResigned: false,
    longestLeaseMilliseconds: 3500,
};

const createInput = (change: Partial<assignment.LeadershipInput>): assignment.LeadershipInput => ({
    now: 10_000,
    leader: record,
    hasRead: true,
    lastReadAt: 9900,
    unchangedSince: 9800,
    isHearing: false,
    isLeaderEnded: false,
    host: "10.0.0.2",
    instances: 8,
    readPhase: 0.5,
    ...change,
});

const step = (change: Partial<assignment.LeadershipInput>): string =>
    assignment.nextLeadershipStep(createInput(change));

test.describe("leadership", () => {
    test.it("is read first, and followed while it is heard", () => {
        earl.expect(step({ hasRead: false })).toEqual("read");
        earl.expect(step({ isHearing: true, unchangedSince: 0 })).toEqual("follow");
    });

    test.it("is looked for in the store about as often by all together, however many instances lose the leader", () => {
        const readsOfAll = (instances: number): number => {
            let reads = 0;
            for (let instance = 0; instance < instances; instance += 1) {
                let lastReadAt = 0;
                for (let now = 10; now <= 1500; now += 10) {
                    const input = { now, lastReadAt, instances, readPhase: instance / instances, unchangedSince: 0 };
                    if (step(input) === "read") {
                        lastReadAt = now;
                        reads += 1;
                    }
                }
            }
            return reads;
        };
        earl.expect(readsOfAll(8)).toEqual(32);
        earl.expect(readsOfAll(64) <= 130).toEqual(true);
        earl.expect(readsOfAll(64) >= 32).toEqual(true);
    });

    test.it("is asked for when nobody has it, the leader resigned or ended, or this host had it", () => {
        earl.expect(step({ leader: undefined })).toEqual("campaign");
        earl.expect(step({ leader: { ...record, isResigned: true } })).toEqual("campaign");
        earl.expect(step({ isLeaderEnded: true })).toEqual("campaign");
        earl.expect(step({ host: record.host })).toEqual("campaign");
    });

    test.it("is asked for when its record has not changed for long, on a recent reading only", () => {
        const unchangedSince = 10_000 - assignment.leaderSilenceMilliseconds;
        earl.expect(step({ unchangedSince })).toEqual("campaign");
        earl.expect(step({ unchangedSince, lastReadAt: 9000 })).toEqual("read");
        earl.expect(step({ unchangedSince: unchangedSince + 10 })).toEqual("follow");
    });
});

test.describe("the authority of a leader", () => {
    const longest = 10_000;

    test.it("ends a bounded time after the last proof, counted from when the call was sent", () => {
        const authority = assignment.createAuthority(longest);
        earl.expect(authority.mayOrder(0)).toEqual(false);
        authority.onProof(100);
        earl.expect(authority.mayOrder(100 + assignment.authorityMilliseconds - 1)).toEqual(true);
        earl.expect(authority.mayOrder(100 + assignment.authorityMilliseconds)).toEqual(false);
    });

    test.it("ends when the process was suspended, whichever clock went on", () => {
        for (const [now, wallClock] of [[1050, 9000], [8000, 5050]]) {
            const authority = assignment.createAuthority(longest);
            authority.observe(1000, 5000);
            authority.onProof(1000);
            authority.observe(now, wallClock);
            earl.expect(authority.mayOrder(1060)).toEqual(false);
        }
    });

    test.it("grants the longest leases once a proof is overdue, and remembers it", () => {
        const authority = assignment.createAuthority(longest);
        authority.onProof(0);
        earl.expect(authority.leaseMilliseconds(500)).toEqual(assignment.ordinaryLeaseMilliseconds);
        earl.expect(authority.leaseMilliseconds(1500)).toEqual(longest);
        authority.onProof(2000);
        earl.expect(authority.longestLeaseMilliseconds(2500)).toEqual(longest);
        earl.expect(authority.longestLeaseMilliseconds(20_000)).toEqual(assignment.ordinaryLeaseMilliseconds);
    });

    test.it("lets a successor count from when the last record was there", () => {
        const earlier = { record, recordSeenAt: 5000, hasEnded: false };
        const orders = assignment.earlierOrdersEnd(earlier);
        earl.expect(orders >= 5000 + assignment.authorityMilliseconds).toEqual(true);
        earl.expect(assignment.earlierLeasesEnd(earlier, longest) >= orders + longest).toEqual(true);
        earl.expect(assignment.earlierOrdersEnd({ ...earlier, hasEnded: true })).toEqual(-Infinity);
        earl.expect(assignment.earlierOrdersEnd({ ...earlier, record: undefined })).toEqual(-Infinity);
        const resigned = { ...earlier, record: { ...record, isResigned: true } };
        earl.expect(assignment.earlierLeasesEnd(resigned, longest) < assignment.earlierLeasesEnd(earlier, longest))
            .toEqual(true);
    });
});
