/** The keeper: when keys may be granted, and what an answer changes. */
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
    ranges: ranges.map(([start, owner, token, former], index) => ({
        first: start,
        last: (ranges[index + 1]?.[0] ?? assignment.keyCount) - 1,
        owner,
        token,
        former,
    })),
});

const createHeld = (owner: assignment.Owner): assignment.Keeper => {
    const keeper = assignment.createKeeper();
    keeper.adopt(createAssignment([0, owner, 1]), -Infinity);
    const [order] = keeper.takeDueOrders(0, lease);
    keeper.onAnswer(order, assignment.OrderOutcome.done, undefined, 10);
    return keeper;
};

test.describe("the keeper of an assignment", () => {
    test.it("grants keys that nobody had and renews them", () => {
        const keeper = createHeld(first);
        earl.expect(keeper.takeDueOrders(500, lease)).toEqual([]);
        const [renewal] = keeper.takeDueOrders(10 + assignment.renewalMilliseconds, lease);
        earl.expect(renewal.kind).toEqual(assignment.OrderKind.grant);
        earl.expect(renewal.token).toEqual(1);
    });

    test.it("releases a former owner under the next token and passes its handover on", () => {
        const keeper = createHeld(first);
        keeper.adopt(createAssignment([0, second, 2, first]), -Infinity);
        const [release] = keeper.takeDueOrders(20, lease);
        earl.expect(release.kind).toEqual(assignment.OrderKind.release);
        earl.expect(release.owner).toEqual(first);
        earl.expect(release.token).toEqual(2);
        keeper.onAnswer(release, assignment.OrderOutcome.done, "memory", 60);
        const [grant] = keeper.takeDueOrders(60, lease);
        earl.expect(grant.owner).toEqual(second);
        earl.expect(grant.handover).toEqual("memory");
    });

    test.it("goes on serving ranges of one owner that were joined, and waits for their longest lease", () => {
        const keeper = assignment.createKeeper();
        keeper.adopt(createAssignment([0, first, 1], [500, first, 2]), -Infinity);
        for (const order of keeper.takeDueOrders(0, lease)) {
            keeper.onAnswer(order, assignment.OrderOutcome.done, undefined, order.first === 0 ? 10 : 400);
        }
        keeper.takeChanges();
        keeper.adopt(createAssignment([0, first, 3]), -Infinity);
        earl.expect(keeper.takeChanges()).toEqual([]);
        earl.expect(keeper.routing().map(change => change.owner)).toEqual([first]);
        const [grant] = keeper.takeDueOrders(420, lease);
        earl.expect([grant.first, grant.last, grant.token]).toEqual([0, assignment.keyCount - 1, 3]);

        keeper.onAnswer(grant, assignment.OrderOutcome.unanswered, undefined, 1020);
        keeper.adopt(createAssignment([0, second, 4, first]), -Infinity);
        const granted: number[] = [];
        for (let now = 1040; now < 8000; now += 20) {
            for (const order of keeper.takeDueOrders(now, lease)) {
                if (order.kind === assignment.OrderKind.grant) {
                    granted.push(now);
                }
                else {
                    keeper.onAnswer(order, assignment.OrderOutcome.unanswered, undefined, now);
                }
            }
        }
        // The unanswered grant of the joined range may have been done when it was given up.
        earl.expect(granted[0] >= 1020 + lease * 1.02).toEqual(true);
    });

    test.it("waits for the lease of a former owner that does not answer", () => {
        const keeper = createHeld(first);
        keeper.adopt(createAssignment([0, second, 2, first]), -Infinity);
        const granted: number[] = [];
        for (let now = 20; now < 6000; now += 20) {
            for (const order of keeper.takeDueOrders(now, lease)) {
                if (order.kind === assignment.OrderKind.grant) {
                    granted.push(now);
                }
                else {
                    keeper.onAnswer(order, assignment.OrderOutcome.unanswered, undefined, now);
                }
            }
        }
        earl.expect(granted[0] >= lease * 1.02).toEqual(true);
        earl.expect(granted[0] < lease * 1.02 + 200).toEqual(true);
    });

    test.it("takes an unanswered grant as one that may have arrived until its connection was reset", () => {
        const keeper = assignment.createKeeper();
        keeper.adopt(createAssignment([0, first, 1]), -Infinity);
        const [order] = keeper.takeDueOrders(0, lease);
        keeper.onAnswer(order, assignment.OrderOutcome.unanswered, undefined, assignment.grantTimeoutMilliseconds);
        keeper.adopt(createAssignment([0, second, 2, first]), -Infinity);
        const until = assignment.grantTimeoutMilliseconds + lease * 1.02;
        earl.expect(keeper.takeDueOrders(until, lease).some(due => due.owner === second)).toEqual(false);
        earl.expect(keeper.takeDueOrders(until + 200, lease).some(due => due.owner === second)).toEqual(true);
    });

    test.it("gives keys on at once when the former owner has surely ended", () => {
        const keeper = createHeld(first);
        keeper.onEnded(first);
        keeper.adopt(createAssignment([0, second, 2, first]), -Infinity);
        const [grant] = keeper.takeDueOrders(20, lease);
        earl.expect(grant.kind).toEqual(assignment.OrderKind.grant);
        earl.expect(grant.owner).toEqual(second);
    });

    test.it("as a new leader waits for leases that an earlier one may have granted", () => {
        const keeper = assignment.createKeeper();
        keeper.adopt(createAssignment([0, second, 2, first]), 13_000);
        const kinds = (now: number): string[] => keeper.takeDueOrders(now, lease).map(order => order.kind);
        earl.expect(kinds(0)).toEqual([assignment.OrderKind.release]);
        earl.expect(kinds(12_900)).toEqual([]);
        earl.expect(kinds(13_000)).toEqual([assignment.OrderKind.grant]);
    });

    test.it("as a new leader renews what stands at once", () => {
        const keeper = assignment.createKeeper();
        keeper.adopt(createAssignment([0, first, 1]), 13_000);
        earl.expect(keeper.takeDueOrders(0, lease).map(order => order.owner)).toEqual([first]);
    });

    test.it("does not grant keys for the first time while another owner is being agreed", () => {
        const keeper = createHeld(first);
        keeper.adopt(createAssignment([0, second, 2, first]), -Infinity);
        const [release] = keeper.takeDueOrders(20, lease);
        keeper.setPlanned(createAssignment([0, third, 3, first]));
        keeper.onAnswer(release, assignment.OrderOutcome.done, undefined, 40);
        earl.expect(keeper.takeDueOrders(50, lease)).toEqual([]);
        keeper.setPlanned(undefined);
        earl.expect(keeper.takeDueOrders(60, lease).map(order => order.owner)).toEqual([second]);
    });

    test.it("does not renew a lease that has run out while another owner is being agreed", () => {
        const keeper = assignment.createKeeper();
        keeper.adopt(createAssignment([0, second, 2, first]), 100);
        keeper.setPlanned(createAssignment([0, third, 3, first]));
        earl.expect(keeper.takeDueOrders(200, lease)).toEqual([]);
        keeper.setPlanned(undefined);
        earl.expect(keeper.takeDueOrders(210, lease).map(order => order.owner)).toEqual([second]);
    });

    test.it("calls a range undecided while both its owners may hold it", () => {
        const keeper = assignment.createKeeper();
        const stored = createAssignment([0, second, 2, first]);
        keeper.adopt(stored, 13_000);
        earl.expect(keeper.isUndecided(stored.ranges[0], 100)).toEqual(true);
        keeper.onEnded(second);
        keeper.adopt(stored, 13_000);
        earl.expect(keeper.isMoving(stored.ranges[0])).toEqual(true);
    });

    test.it("keeps the rest of a range that was cut with its owner, and routes the cut part nowhere", () => {
        const keeper = createHeld(first);
        keeper.takeChanges();
        keeper.adopt(createAssignment([0, first, 1], [100, second, 2, first], [200, first, 1]), -Infinity);
        earl.expect(keeper.takeChanges()).toEqual([{ first: 100, last: 199, owner: undefined, token: 2 }]);
        earl.expect(keeper.takeDueOrders(20, lease).map(order => [order.kind, order.first, order.last])).toEqual([
            [assignment.OrderKind.release, 100, 199],
        ]);
    });

    test.it("asks an owner that does not answer for one range at a time", () => {
        const keeper = assignment.createKeeper();
        keeper.adopt(createAssignment([0, first, 1], [100, first, 2], [200, first, 3]), -Infinity);
        const orders = keeper.takeDueOrders(0, lease);
        earl.expect(orders.length).toEqual(3);
        orders.forEach(order => keeper.onAnswer(order, assignment.OrderOutcome.unanswered, undefined, 600));
        earl.expect(keeper.takeDueOrders(800, lease).length).toEqual(1);
        earl.expect(keeper.silentSince(first, 800)).toEqual(600);
    });

    test.it("sends one owner no more orders at a time than it has connections for", () => {
        const keeper = assignment.createKeeper();
        const ranges = [...new Array(40).keys()].map((
            index,
        ): [number, assignment.Owner, number] => [index, first, index]);
        keeper.adopt(createAssignment(...ranges), -Infinity);
        earl.expect(keeper.takeDueOrders(0, lease).length).toEqual(assignment.ordersPerOwner);
        earl.expect(keeper.takeDueOrders(10, lease).length).toEqual(0);
    });

    test.it("asks for a new token where the owner has seen a higher one", () => {
        const keeper = assignment.createKeeper();
        const stored = createAssignment([0, first, 1]);
        keeper.adopt(stored, -Infinity);
        const [order] = keeper.takeDueOrders(0, lease);
        keeper.onAnswer(order, assignment.OrderOutcome.fenced, undefined, 10);
        earl.expect(keeper.isFenced(stored.ranges[0])).toEqual(true);
        earl.expect(keeper.takeDueOrders(5000, lease)).toEqual([]);
    });
});
