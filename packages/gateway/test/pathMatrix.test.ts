/**
 * The fault matrix of the path: at each step of a request, each fault; what the caller was told is judged against what
 * the upstreams truly ran.
 */
import * as earl from "earl";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as test from "node:test";
import * as timers from "node:timers/promises";
import * as gatewayFixture from "./fixtures/gatewayFixture";

/** What a caller saw. */
interface Seen {
    /** `answered`, `not-run`, `unknown`, or `broken` when the connection ended without a whole answer. */
    outcome: string;
    isWhole: boolean;
}

/** A request under way. */
interface Underway {
    identifier: string;
    seen: Promise<Seen>;
    /** Sends the rest of the body. */
    finish: () => void;
    leave: () => void;
}

const bodyBytes = 200_000;
const answerBytes = 300_000;
const stepMilliseconds = 60;

const begin = (fixture: gatewayFixture.GatewayFixture, workMilliseconds: number, sendsWhole: boolean): Underway => {
    const identifier = crypto.randomUUID();
    const body = crypto.randomBytes(bodyBytes);
    const digest = crypto.createHash("sha256").update(body).digest("hex");
    const half = bodyBytes / 2;
    let resolveSeen: (seen: Seen) => void = () => undefined;
    const seen = new Promise<Seen>(resolve => {
        resolveSeen = resolve;
    });
    const request = http.request({
        host: "127.0.0.1",
        port: fixture.port,
        path: "/desk/work",
        method: "POST",
        headers: {
            "content-length": bodyBytes,
            "mulberryseam-rank": "order",
            "mulberryseam-idempotent": "false",
            "mulberryseam-request-identifier": identifier,
            "mulberryseam-deadline-milliseconds": "1500",
            "stand-in-work-milliseconds": String(workMilliseconds),
            "stand-in-answer-bytes": String(answerBytes),
        },
    }, response => {
        let text = "";
        const outcome = String(response.headers["mulberryseam-outcome"]);
        response.on("data", chunk => {
            text += String(chunk);
        });
        response.on("end", () => resolveSeen({ outcome, isWhole: outcome !== "answered" || text.includes(digest) }));
        response.on("error", () => resolveSeen({ outcome: "broken", isWhole: true }));
    });
    request.on("error", () => resolveSeen({ outcome: "broken", isWhole: true }));
    request.write(body.subarray(0, half));
    const finish = (): void => {
        request.end(body.subarray(half));
    };
    if (sendsWhole) {
        finish();
    }
    return { identifier, seen, finish, leave: () => request.destroy() };
};

/** Steps of a request, each reached with one upstream of one slot. */
const steps: readonly { name: string; reach: (fixture: gatewayFixture.GatewayFixture) => Promise<Underway>; }[] = [
    {
        name: "queued",
        reach: async fixture => {
            const ahead = begin(fixture, 400, true);
            await timers.setTimeout(stepMilliseconds);
            void ahead.seen;
            return begin(fixture, 5, true);
        },
    },
    {
        name: "body half sent",
        reach: async fixture => {
            const underway = begin(fixture, 5, false);
            await timers.setTimeout(stepMilliseconds);
            return underway;
        },
    },
    {
        name: "running",
        reach: async fixture => {
            const underway = begin(fixture, 300, true);
            await timers.setTimeout(stepMilliseconds);
            return underway;
        },
    },
];

const faults: readonly {
    name: string;
    strike: (fixture: gatewayFixture.GatewayFixture, underway: Underway) => Promise<void>;
}[] = [
    { name: "nothing", strike: async () => undefined },
    { name: "caller leaves", strike: async (...struck) => struck[1].leave() },
    { name: "upstream sheds", strike: async fixture => fixture.pool[0].setFaults({ sheds: true }) },
    { name: "upstream drains", strike: async fixture => fixture.pool[0].setFaults({ isDraining: true }) },
    { name: "upstream never answers", strike: async fixture => fixture.pool[0].setFaults({ swallowsAnswers: true }) },
    { name: "upstream cuts its answer", strike: async fixture => fixture.pool[0].setFaults({ cutsAnswers: true }) },
    { name: "upstream lost", strike: fixture => fixture.stopUpstream(0) },
    {
        name: "instance stops as planned",
        strike: async fixture => {
            void fixture.door.drain();
        },
    },
    {
        name: "a new document",
        strike: async fixture => fixture.gateway.setEnvironment({ ...fixture.environment, description: "second" }),
    },
];

const mustBeAnswered = ["nothing", "instance stops as planned", "a new document"];

for (const step of steps) {
    test.describe(`at the step: ${step.name}`, () => {
        for (const fault of faults) {
            test.it(fault.name, () =>
                gatewayFixture.withGateway({ poolSize: 1, concurrency: 1 }, async fixture => {
                    const underway = await step.reach(fixture);
                    await fault.strike(fixture, underway);
                    if (fault.name !== "caller leaves" && step.name === "body half sent") {
                        underway.finish();
                    }
                    const seen = await underway.seen;
                    const runs = fixture.runsOf(underway.identifier);
                    earl.expect(seen.isWhole).toEqual(true);
                    earl.expect(runs <= 1).toEqual(true);
                    earl.expect(seen.outcome === "not-run" && runs > 0).toEqual(false);
                    earl.expect(seen.outcome === "answered" && runs === 0).toEqual(false);
                    if (mustBeAnswered.includes(fault.name)) {
                        earl.expect(seen.outcome).toEqual("answered");
                    }
                }));
        }
    });
}
