/** What an instance logs and reports of the upstreams that have announced that they are leaving. */
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as leavingUpstreams from "../src/leavingUpstreams";
import * as keyedUpstream from "./fixtures/keyedUpstream";

const createUpstream = (identifier: string, port: number, service = "records"): routing.Upstream =>
    keyedUpstream.createKeyedUpstream({ identifier, port, service, startedAt: 100 });

const createFixture = () => {
    const directory = routing.createUpstreamDirectory();
    const timers = foundation.createVirtualTimerService();
    const events: (foundation.EventFields | undefined)[] = [];
    const log: foundation.EventLog = {
        write: (...[, fields]) => events.push(fields),
        sample: () => undefined,
    };
    let learnedCount = 0;
    const leaving = leavingUpstreams.createLeavingUpstreams({ directory, timers, log });
    leaving.onLearned(() => {
        learnedCount += 1;
    });
    return { directory, timers, events, leaving, learnedCount: () => learnedCount };
};

test.describe("leaving upstreams", () => {
    test.it("are logged and reported at once when first known, from whatever source", () => {
        const { directory, events, leaving, learnedCount } = createFixture();
        directory.onEntry(createUpstream("a", 1), 0);
        directory.onEntry(createUpstream("b", 2), 0);
        leaving.learn({ identifier: "a", startedAt: 100 }, leavingUpstreams.LeavingSource.answer);
        leaving.learn({ identifier: "a", startedAt: 100 }, leavingUpstreams.LeavingSource.command);
        leaving.learnReported({
            kind: "report",
            samples: [],
            speeds: [],
            leaving: ["a", "b"].map(identifier => ({ identifier, startedAt: 100, age: 0 })),
        });
        earl.expect(events).toEqual([{ upstream: "a", source: "answer" }, { upstream: "b", source: "report" }]);
        earl.expect(learnedCount()).toEqual(2);
    });

    test.it("are reported while they are registered as ready for a keyed service, so that a new leader learns of them", () => {
        const { directory, timers, leaving } = createFixture();
        directory.onEntry(createUpstream("a", 1), timers.now());
        directory.onEntry(createUpstream("b", 2, "orders"), timers.now());
        ["a", "b"].forEach(identifier =>
            leaving.learn({ identifier, startedAt: 100 }, leavingUpstreams.LeavingSource.answer)
        );
        timers.advance(300);
        earl.expect(leaving.collectReport(["records"])).toEqual([{ identifier: "a", startedAt: 100, age: 300 }]);
        directory.onEntry({ ...createUpstream("a", 1), isDraining: true }, timers.now());
        earl.expect(leaving.collectReport(["records"])).toEqual([]);
    });
});
