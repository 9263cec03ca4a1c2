/** When the lease manager grants keys, and how it applies the outcomes of lease commands. */
import * as assignment from "@mulberryseam/assignment";
import * as earl from "earl";
import * as test from "node:test";

const lease = 3500;

const createOwner = (identifier: string, startedAt = 1): assignment.Owner => ({
    identifier,
    startedAt,
    host: "127.0.0.1",
    port: 1,
});

const first = createOwner("first");
const second = createOwner("second");
const third = createOwner("third");

const createAssignment = (
    ...ranges: [number, assignment.Owner | undefined, number, assignment.Owner?][]
): assignment.ServiceAssignment => ({
    service: "records",
    nextToken: 100,
    ranges: ranges.map(([start, owner, token, previousOwner], index) => ({
        first: start,
        last: (ranges[index + 1]?.[0] ?? assignment.keyCount) - 1,
        owner,
        token,
        previousOwner,
    })),
});

const createManagerWithGrant = (owner: assignment.Owner): assignment.LeaseManager => {
    const manager = assignment.createLeaseManager();
    manager.setAssignment(createAssignment([0, owner, 1]), -Infinity);
    const [command] = manager.startDueCommands(0, lease);
    manager.onOutcome(command, assignment.CommandOutcome.done, undefined, 10);
    return manager;
};

/** Returns the time of the first grant while all releases have the same outcome, which is known a millisecond after they were sent. */
const findFirstGrant = (
    manager: assignment.LeaseManager,
    from: number,
    until: number,
    outcome: assignment.CommandOutcomeValue,
): number => {
    for (let now = from; now < until; now += 20) {
        for (const command of manager.startDueCommands(now, lease)) {
            if (command.kind === assignment.CommandKind.grant) {
                return now;
            }
            manager.onOutcome(command, outcome, undefined, now + 1);
        }
    }
    throw new Error(`nothing was granted until ${until}`);
};

test.describe("the lease manager", () => {
    test.it("grants keys without a previous owner and renews them", () => {
        const manager = createManagerWithGrant(first);
        earl.expect(manager.startDueCommands(500, lease)).toEqual([]);
        const [renewal] = manager.startDueCommands(10 + assignment.renewalIntervalMilliseconds, lease);
        earl.expect(renewal.kind).toEqual(assignment.CommandKind.grant);
        earl.expect(renewal.token).toEqual(1);
    });

    test.it("sends a release to the previous owner with the next token and passes its handover on", () => {
        const manager = createManagerWithGrant(first);
        manager.setAssignment(createAssignment([0, second, 2, first]), -Infinity);
        const [release] = manager.startDueCommands(20, lease);
        earl.expect(release.kind).toEqual(assignment.CommandKind.release);
        earl.expect(release.owner).toEqual(first);
        earl.expect(release.token).toEqual(2);
        manager.onOutcome(release, assignment.CommandOutcome.done, "memory", 60);
        const [grant] = manager.startDueCommands(60, lease);
        earl.expect(grant.owner).toEqual(second);
        earl.expect(grant.handover).toEqual("memory");
    });

    test.it("keeps routing merged ranges to their owner, and waits for their longest lease", () => {
        const manager = assignment.createLeaseManager();
        manager.setAssignment(createAssignment([0, first, 1], [500, first, 2]), -Infinity);
        for (const command of manager.startDueCommands(0, lease)) {
            manager.onOutcome(command, assignment.CommandOutcome.done, undefined, command.first === 0 ? 10 : 400);
        }
        manager.drainChanges();
        manager.setAssignment(createAssignment([0, first, 3]), -Infinity);
        earl.expect(manager.drainChanges()).toEqual([]);
        earl.expect(manager.routing().map(change => change.owner)).toEqual([first]);
        const [grant] = manager.startDueCommands(420, lease);
        earl.expect([grant.first, grant.last, grant.token]).toEqual([0, assignment.keyCount - 1, 3]);

        manager.onOutcome(grant, assignment.CommandOutcome.unanswered, undefined, 1020);
        manager.setAssignment(createAssignment([0, second, 4, first]), -Infinity);
        const grantedAt = findFirstGrant(manager, 1040, 8000, assignment.CommandOutcome.unanswered);
        // The unanswered grant of the merged range may have taken effect as late as its timeout.
        earl.expect(grantedAt >= 1020 + lease * 1.02).toEqual(true);
    });

    test.it("waits for the lease of a previous owner that does not respond to the release", () => {
        const manager = createManagerWithGrant(first);
        manager.setAssignment(createAssignment([0, second, 2, first]), -Infinity);
        const grantedAt = findFirstGrant(manager, 20, 6000, assignment.CommandOutcome.unanswered);
        earl.expect(grantedAt >= lease * 1.02).toEqual(true);
        earl.expect(grantedAt < lease * 1.02 + 200).toEqual(true);
    });

    test.it("counts a lease that an unanswered grant may have started from the end of its connection, early or late", () => {
        for (const endedAt of [5, assignment.commandTimeoutMilliseconds, 1500]) {
            const manager = assignment.createLeaseManager();
            manager.setAssignment(createAssignment([0, first, 1]), -Infinity);
            const [command] = manager.startDueCommands(0, lease);
            manager.onOutcome(command, assignment.CommandOutcome.unanswered, undefined, endedAt);
            manager.setAssignment(createAssignment([0, second, 2, first]), -Infinity);
            const until = endedAt + lease * 1.02;
            earl.expect(manager.startDueCommands(until, lease).some(due => due.owner === second)).toEqual(false);
            earl.expect(manager.startDueCommands(until + 140, lease).some(due => due.owner === second)).toEqual(true);
        }
    });

    test.it("waits only for the earlier leases of an owner that refuses connections, as its renewals are not delivered", () => {
        const manager = createManagerWithGrant(first);
        for (let now = 1520; now < 2500; now += 20) {
            for (const command of manager.startDueCommands(now, lease)) {
                manager.onOutcome(command, assignment.CommandOutcome.undelivered, undefined, now + 1);
            }
        }
        earl.expect(manager.unresponsiveSince(first, 2500)).toEqual(1521);
        manager.setAssignment(createAssignment([0, second, 2, first]), -Infinity);
        const grantedAt = findFirstGrant(manager, 2500, 6000, assignment.CommandOutcome.undelivered);
        earl.expect(grantedAt >= 10 + lease * 1.02).toEqual(true);
        earl.expect(grantedAt < 10 + lease * 1.02 + 40).toEqual(true);
        earl.expect(manager.unresponsiveSince(first, 5000)).toEqual(1521);
    });

    test.it("waits for leases that a previous leader may have granted", () => {
        const manager = assignment.createLeaseManager();
        manager.setAssignment(createAssignment([0, second, 2, first]), 13_000);
        const kinds = (now: number): string[] => manager.startDueCommands(now, lease).map(command => command.kind);
        earl.expect(kinds(0)).toEqual([assignment.CommandKind.release]);
        earl.expect(kinds(12_900)).toEqual([]);
        earl.expect(kinds(13_000)).toEqual([assignment.CommandKind.grant]);
    });

    test.it("renews the leases of current owners at once under a new leader", () => {
        const manager = assignment.createLeaseManager();
        manager.setAssignment(createAssignment([0, first, 1]), 13_000);
        earl.expect(manager.startDueCommands(0, lease).map(command => command.owner)).toEqual([first]);
    });

    test.it("does not send a first grant while an assignment to another owner is pending", () => {
        const manager = createManagerWithGrant(first);
        manager.setAssignment(createAssignment([0, second, 2, first]), -Infinity);
        const [release] = manager.startDueCommands(20, lease);
        manager.setPendingAssignment(createAssignment([0, third, 3, first]));
        manager.onOutcome(release, assignment.CommandOutcome.done, undefined, 40);
        earl.expect(manager.startDueCommands(50, lease)).toEqual([]);
        manager.setPendingAssignment(undefined);
        earl.expect(manager.startDueCommands(60, lease).map(command => command.owner)).toEqual([second]);
    });

    test.it("does not renew an expired lease while an assignment to another owner is pending", () => {
        const manager = assignment.createLeaseManager();
        manager.setAssignment(createAssignment([0, second, 2, first]), 100);
        manager.setPendingAssignment(createAssignment([0, third, 3, first]));
        earl.expect(manager.startDueCommands(200, lease)).toEqual([]);
        manager.setPendingAssignment(undefined);
        earl.expect(manager.startDueCommands(210, lease).map(command => command.owner)).toEqual([second]);
    });

    test.it("reports an uncertain holder while both the previous and the current owner may hold a range", () => {
        const manager = assignment.createLeaseManager();
        const stored = createAssignment([0, second, 2, first]);
        manager.setAssignment(stored, 13_000);
        earl.expect(manager.isHolderUncertain(stored.ranges[0], 100)).toEqual(true);
        earl.expect(manager.isMoving(stored.ranges[0])).toEqual(true);
        earl.expect(manager.isHolderUncertain(stored.ranges[0], 13_000)).toEqual(false);
    });

    test.it("keeps the remainder of a split range with its owner, and stops routing the moved subrange", () => {
        const manager = createManagerWithGrant(first);
        manager.drainChanges();
        manager.setAssignment(createAssignment([0, first, 1], [100, second, 2, first], [200, first, 1]), -Infinity);
        earl.expect(manager.drainChanges()).toEqual([{ first: 100, last: 199, owner: undefined, token: 2 }]);
        earl.expect(manager.startDueCommands(20, lease).map(command => [command.kind, command.first, command.last]))
            .toEqual([
                [assignment.CommandKind.release, 100, 199],
            ]);
    });

    test.it("sends an unresponsive owner one grant at a time", () => {
        const manager = assignment.createLeaseManager();
        manager.setAssignment(createAssignment([0, first, 1], [100, first, 2], [200, first, 3]), -Infinity);
        const commands = manager.startDueCommands(0, lease);
        earl.expect(commands.length).toEqual(3);
        commands.forEach(command => manager.onOutcome(command, assignment.CommandOutcome.unanswered, undefined, 600));
        earl.expect(manager.startDueCommands(800, lease).length).toEqual(1);
        earl.expect(manager.unresponsiveSince(first, 800)).toEqual(600);
    });

    test.it("has no more grants in flight to one owner than there are connections to it", () => {
        const manager = assignment.createLeaseManager();
        const ranges = [...new Array(40).keys()].map((
            index,
        ): [number, assignment.Owner, number] => [index, first, index]);
        manager.setAssignment(createAssignment(...ranges), -Infinity);
        earl.expect(manager.startDueCommands(0, lease).length).toEqual(assignment.maxGrantsPerOwner);
        earl.expect(manager.startDueCommands(10, lease).length).toEqual(0);
    });

    test.it("reports a range as fenced, and stops granting it, if the owner has seen a higher token", () => {
        const manager = assignment.createLeaseManager();
        const stored = createAssignment([0, first, 1]);
        manager.setAssignment(stored, -Infinity);
        const [command] = manager.startDueCommands(0, lease);
        manager.onOutcome(command, assignment.CommandOutcome.fenced, undefined, 10);
        earl.expect(manager.isFenced(stored.ranges[0])).toEqual(true);
        earl.expect(manager.startDueCommands(5000, lease)).toEqual([]);
    });
});

test.describe("the lease manager of an owner at whose address another process answers", () => {
    // Guards against keys with two owners: a release that was answered as by another process frees no keys.
    test.it("waits for the lease of a previous owner whose releases are answered as by another process", () => {
        const manager = createManagerWithGrant(first);
        manager.setAssignment(createAssignment([0, second, 2, first]), -Infinity);
        const grantedAt = findFirstGrant(manager, 20, 6000, assignment.CommandOutcome.misdirected);
        earl.expect(grantedAt >= 10 + lease * 1.02).toEqual(true);
        earl.expect(grantedAt < 10 + lease * 1.02 + 40).toEqual(true);
    });

    test.it("stops routing keys whose renewal is answered as by another process, and then counts the owner as unresponsive", () => {
        const manager = createManagerWithGrant(first);
        manager.drainChanges();
        const renewalAt = 10 + assignment.renewalIntervalMilliseconds;
        for (let now = renewalAt; now < renewalAt + 900; now += 20) {
            for (const command of manager.startDueCommands(now, lease)) {
                manager.onOutcome(command, assignment.CommandOutcome.misdirected, undefined, now + 1);
            }
        }
        earl.expect(manager.drainChanges()).toEqual([
            { first: 0, last: assignment.keyCount - 1, owner: undefined, token: 1 },
        ]);
        earl.expect(manager.unresponsiveSince(first, renewalAt + 900)).toEqual(renewalAt + 1);
    });
});

test.describe("the lease manager with many releases due", () => {
    test.it("does not keep the grants to an owner waiting behind releases in flight to it", () => {
        const manager = assignment.createLeaseManager();
        const ranges = [...new Array(40).keys()].map((
            index,
        ): [number, assignment.Owner, number, assignment.Owner] => [index, second, index + 1, first]);
        manager.setAssignment(createAssignment(...ranges), 60_000);
        const releases = manager.startDueCommands(0, lease);
        earl.expect(releases.map(({ kind, owner }) => [kind, owner.identifier]))
            .toEqual(releases.map(() => [assignment.CommandKind.release, "first"]));
        earl.expect(releases.length).toEqual(assignment.maxReleasesPerOwner);
        earl.expect(manager.startDueCommands(10, lease)).toEqual([]);
        const [{ first: refusedFirst }, { first: doneFirst }] = releases;
        manager.onOutcome(releases[0], assignment.CommandOutcome.unanswered, undefined, 20);
        manager.onOutcome(releases[1], assignment.CommandOutcome.done, undefined, 20);
        const next = manager.startDueCommands(30, lease);
        earl.expect(next.filter(({ kind }) => kind === assignment.CommandKind.grant).map(({ first: key }) => key))
            .toEqual([doneFirst]);
        const nextReleases = next.filter(({ kind }) => kind === assignment.CommandKind.release);
        earl.expect(nextReleases.length).toEqual(2);
        earl.expect(nextReleases.some(({ first: key }) => key === refusedFirst)).toEqual(false);
    });
});
