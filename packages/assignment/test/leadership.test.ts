/** Steps towards leadership, and the lease of a leader. */
import * as assignment from "@mulberryseam/assignment";
import * as earl from "earl";
import * as test from "node:test";

const record: assignment.LeaderRecord = {
    identifier: "entry-1/a",
    host: "10.0.0.1",
    port: 7200,
    term: 3,
    era: 2,
    beat: 9,
    isResigned: false,
    longestLeaseMilliseconds: 3500,
    previousCommandsMilliseconds: 0,
    previousLeasesMilliseconds: 0,
    unknownLeasesMilliseconds: 0,
    isSettled: true,
};

const createPreviousLeader = (change: Partial<assignment.PreviousLeader>): assignment.PreviousLeader => ({
    record,
    recordSeenAt: 5000,
    terminatedBy: undefined,
    areAssignmentsUncertain: false,
    ...change,
});

const createInput = (change: Partial<assignment.LeadershipInput>): assignment.LeadershipInput => ({
    now: 10_000,
    leader: record,
    hasRead: true,
    lastReadAt: 9900,
    unchangedSince: 9800,
    isLeaderUncertain: false,
    isReceivingUpdates: false,
    isLeaderUnavailable: false,
    host: "10.0.0.2",
    port: 7200,
    instanceCount: 8,
    readPhase: 0.5,
    missingSince: undefined,
    campaignDelayMilliseconds: 0,
    ...change,
});

const nextStep = (change: Partial<assignment.LeadershipInput>): string =>
    assignment.nextLeadershipStep(createInput(change));

test.describe("leadership step", () => {
    test.it("reads the store first, and follows the leader while its messages arrive", () => {
        earl.expect(nextStep({ hasRead: false })).toEqual("read");
        earl.expect(nextStep({ isReceivingUpdates: true, unchangedSince: 0 })).toEqual("follow");
    });

    test.it("leaves a vacant leadership to better suited instances at first", () => {
        const vacant = { leader: undefined, campaignDelayMilliseconds: 300 };
        earl.expect(nextStep({ ...vacant })).toEqual("follow");
        earl.expect(nextStep({ ...vacant, missingSince: 9800 })).toEqual("follow");
        earl.expect(nextStep({ ...vacant, missingSince: 9650 })).toEqual("campaign");
        earl.expect(nextStep({ ...vacant, missingSince: 9650, lastReadAt: 9500 })).toEqual("read");
        const strong = { processorCores: 1, linkMegabitsPerSecond: 1000, storeRoundTripMilliseconds: 4 };
        const delays = [
            {},
            { storeRoundTripMilliseconds: 64 },
            { processorCores: 0.27 },
            { linkMegabitsPerSecond: 14, storeRoundTripMilliseconds: 64 },
        ].map(change => assignment.campaignDelay({ ...strong, ...change }));
        earl.expect(delays[0]).toEqual(0);
        earl.expect(delays.every((delay, index) => index === 0 || delay > delays[index - 1])).toEqual(true);
    });

    test.it("bounds the total rate of store reads when many instances lose the leader at once", () => {
        const totalReads = (instances: number): number => {
            let reads = 0;
            for (let instance = 0; instance < instances; instance += 1) {
                let lastReadAt = 0;
                for (let now = 10; now <= 1500; now += 10) {
                    const input = {
                        now,
                        lastReadAt,
                        instanceCount: instances,
                        readPhase: instance / instances,
                        unchangedSince: 0,
                    };
                    if (nextStep(input) === "read") {
                        lastReadAt = now;
                        reads += 1;
                    }
                }
            }
            return reads;
        };
        earl.expect(totalReads(8)).toEqual(32);
        earl.expect(totalReads(64) <= 130).toEqual(true);
        earl.expect(totalReads(64) >= 32).toEqual(true);
    });

    test.it("campaigns if there is no leader, the leader resigned or is unavailable, or it ran at this address", () => {
        earl.expect(nextStep({ leader: undefined })).toEqual("campaign");
        earl.expect(nextStep({ leader: { ...record, isResigned: true } })).toEqual("campaign");
        earl.expect(nextStep({ isLeaderUnavailable: true })).toEqual("campaign");
        earl.expect(nextStep({ host: record.host })).toEqual("campaign");
    });

    // Guards against keys with two owners: another instance on the same host may still lead.
    test.it("does not take a leader at another port of its host for an earlier process of its own", () => {
        earl.expect(nextStep({ host: record.host, port: record.port + 1 })).toEqual("follow");
    });

    test.it("campaigns if the leader record has not changed for too long, but only after a recent read", () => {
        const unchangedSince = 10_000 - assignment.leaderTimeoutMilliseconds;
        earl.expect(nextStep({ unchangedSince })).toEqual("campaign");
        earl.expect(nextStep({ unchangedSince, lastReadAt: 9000 })).toEqual("read");
        earl.expect(nextStep({ unchangedSince: unchangedSince + 10 })).toEqual("follow");
    });
});

test.describe("the leader lease", () => {
    const maxLeaseMilliseconds = 10_000;

    test.it("expires a bounded time after the last confirmation, counted from when the call was sent", () => {
        const leaderLease = assignment.createLeaderLease(maxLeaseMilliseconds);
        earl.expect(leaderLease.canSendCommands(0)).toEqual(false);
        leaderLease.onConfirmation(100);
        earl.expect(leaderLease.canSendCommands(100 + assignment.leaderLeaseMilliseconds - 1)).toEqual(true);
        earl.expect(leaderLease.canSendCommands(100 + assignment.leaderLeaseMilliseconds)).toEqual(false);
    });

    test.it("ends if the process was suspended, whichever of the two clocks stopped", () => {
        for (const [now, wallClock] of [[1050, 9000], [8000, 5050]]) {
            const leaderLease = assignment.createLeaderLease(maxLeaseMilliseconds);
            leaderLease.detectSuspension(1000, 5000);
            leaderLease.onConfirmation(1000);
            leaderLease.detectSuspension(now, wallClock);
            earl.expect(leaderLease.canSendCommands(1060)).toEqual(false);
        }
    });

    test.it("is not restored by the response to a call that was sent before a suspension", () => {
        const leaderLease = assignment.createLeaderLease(maxLeaseMilliseconds);
        leaderLease.detectSuspension(1000, 5000);
        leaderLease.detectSuspension(1050, 13_050);
        leaderLease.onConfirmation(1040);
        earl.expect(leaderLease.canSendCommands(1060)).toEqual(false);
        leaderLease.onConfirmation(1055);
        earl.expect(leaderLease.canSendCommands(1060)).toEqual(true);
    });

    test.it("grants the longest leases once a confirmation is overdue, and reports them as granted for a while", () => {
        const leaderLease = assignment.createLeaderLease(maxLeaseMilliseconds);
        leaderLease.onConfirmation(0);
        earl.expect(leaderLease.keyLeaseMilliseconds(500)).toEqual(assignment.normalKeyLeaseMilliseconds);
        earl.expect(leaderLease.keyLeaseMilliseconds(1500)).toEqual(maxLeaseMilliseconds);
        leaderLease.onConfirmation(2000);
        earl.expect(leaderLease.maxKeyLeaseMilliseconds(2500)).toEqual(maxLeaseMilliseconds);
        earl.expect(leaderLease.maxKeyLeaseMilliseconds(20_000)).toEqual(assignment.normalKeyLeaseMilliseconds);
    });

    test.it("makes a successor wait, counted from the time at which the last record was stored", () => {
        const previousLeader = createPreviousLeader({});
        const commandsEndAt = assignment.previousCommandsEndAt(previousLeader);
        earl.expect(commandsEndAt >= 5000 + assignment.leaderLeaseMilliseconds).toEqual(true);
        earl.expect(
            assignment.previousLeasesEndAt(previousLeader, maxLeaseMilliseconds)
                >= commandsEndAt + maxLeaseMilliseconds,
        ).toEqual(true);
        const terminatedEndAt = assignment.previousCommandsEndAt({ ...previousLeader, terminatedBy: 5300 });
        earl.expect(terminatedEndAt > 5300 && terminatedEndAt < commandsEndAt).toEqual(true);
        earl.expect(assignment.previousCommandsEndAt({ ...previousLeader, record: undefined })).toEqual(-Infinity);
        const resigned = { ...previousLeader, record: { ...record, isResigned: true } };
        earl.expect(
            assignment.previousLeasesEndAt(resigned, maxLeaseMilliseconds)
                < assignment.previousLeasesEndAt(previousLeader, maxLeaseMilliseconds),
        )
            .toEqual(true);
        const resignedEndAt = assignment.previousCommandsEndAt(resigned);
        earl.expect(resignedEndAt > 5000 && resignedEndAt < commandsEndAt).toEqual(true);
    });

    test.it("passes on how long commands and leases of earlier leaders last, also if the leader resigns at once", () => {
        const previousLeader = createPreviousLeader({});
        const times = {
            previousCommandsUntil: assignment.previousCommandsEndAt(previousLeader),
            previousLeasesUntil: assignment.previousLeasesEndAt(previousLeader, maxLeaseMilliseconds),
            unknownLeasesUntil: -Infinity,
        };
        for (const isResigned of [false, true]) {
            for (const resignedAt of [5050, 9000, 30_000]) {
                const passedOn = assignment.passOnPreviousLeaders(times, resignedAt);
                const successor = createPreviousLeader({
                    record: { ...record, ...passedOn, isResigned },
                    recordSeenAt: resignedAt + 10,
                    terminatedBy: resignedAt,
                });
                earl.expect(assignment.previousCommandsEndAt(successor) >= times.previousCommandsUntil).toEqual(true);
                earl.expect(assignment.previousLeasesEndAt(successor, 1000) >= times.previousLeasesUntil).toEqual(true);
            }
        }
        const decoded = assignment.decodeLeader(
            assignment.encodeLeader({ ...record, ...assignment.passOnPreviousLeaders(times, 5050) }),
        ).unwrap();
        earl.expect(decoded.previousLeasesMilliseconds).toEqual(times.previousLeasesUntil - 5050);
    });

    test.it("waits for the longest lease of a leader that had a longer limit in its settings", () => {
        const previousLeader = createPreviousLeader({
            record: { ...record, longestLeaseMilliseconds: maxLeaseMilliseconds },
        });
        earl.expect(assignment.previousLeasesEndAt(previousLeader, 4000))
            .toEqual(assignment.previousLeasesEndAt(previousLeader, maxLeaseMilliseconds));
    });

    test.it("counts from the end of the read that first returned the record, as it may be appended during the read", () => {
        const previous = { leader: record, storedBy: 1000 };
        const next = { ...record, beat: record.beat + 1 };
        const read = { leader: next, endedAt: 3000, confirmedAt: undefined };
        earl.expect(assignment.recordStoredBy(previous, read)).toEqual(3000);
        earl.expect(assignment.recordStoredBy(previous, { ...read, confirmedAt: 2500 })).toEqual(2500);
        earl.expect(assignment.recordStoredBy(previous, { ...read, leader: record })).toEqual(1000);
    });
});
