/**
 * Fault matrix of the request path: injects each fault at each step of a request and compares the outcome reported to
 * the caller with the requests that the upstreams executed.
 */
import * as earl from "earl";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as test from "node:test";
import * as timers from "node:timers/promises";
import * as gatewayFixture from "./fixtures/gatewayFixture";

/** The result that a caller observes. */
interface CallerResult {
    /** `answered`, `not-run`, `unknown`, or `broken` if the connection closed before the response was complete. */
    outcome: string;
    isWhole: boolean;
}

/** A request in flight. */
interface StartedRequest {
    identifier: string;
    result: Promise<CallerResult>;
    /** Sends the rest of the body. */
    finishBody: () => void;
    abort: () => void;
}

const bodyBytes = 200_000;
const responseBytes = 300_000;
const stepDelayMilliseconds = 60;

const startRequest = (
    fixture: gatewayFixture.GatewayFixture,
    workMilliseconds: number,
    sendsWholeBody: boolean,
): StartedRequest => {
    const identifier = crypto.randomUUID();
    const body = crypto.randomBytes(bodyBytes);
    const digest = crypto.createHash("sha256").update(body).digest("hex");
    const half = bodyBytes / 2;
    let resolveResult: (callerResult: CallerResult) => void = () => undefined;
    const result = new Promise<CallerResult>(resolve => {
        resolveResult = resolve;
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
            "stand-in-answer-bytes": String(responseBytes),
        },
    }, response => {
        let text = "";
        const outcome = String(response.headers["mulberryseam-outcome"]);
        response.on("data", chunk => {
            text += String(chunk);
        });
        response.on("end", () => resolveResult({ outcome, isWhole: outcome !== "answered" || text.includes(digest) }));
        response.on("error", () => resolveResult({ outcome: "broken", isWhole: true }));
    });
    request.on("error", () => resolveResult({ outcome: "broken", isWhole: true }));
    request.write(body.subarray(0, half));
    const finishBody = (): void => {
        request.end(body.subarray(half));
    };
    if (sendsWholeBody) {
        finishBody();
    }
    return { identifier, result, finishBody, abort: () => request.destroy() };
};

/** Steps of a request; each is reached with a single upstream that has one concurrency slot. */
const steps: readonly {
    name: string;
    prepare: (fixture: gatewayFixture.GatewayFixture) => Promise<StartedRequest>;
}[] = [
    {
        name: "queued",
        prepare: async fixture => {
            const precedingRequest = startRequest(fixture, 400, true);
            await timers.setTimeout(stepDelayMilliseconds);
            void precedingRequest.result;
            return startRequest(fixture, 5, true);
        },
    },
    {
        name: "body half sent",
        prepare: async fixture => {
            const request = startRequest(fixture, 5, false);
            await timers.setTimeout(stepDelayMilliseconds);
            return request;
        },
    },
    {
        name: "running",
        prepare: async fixture => {
            const request = startRequest(fixture, 300, true);
            await timers.setTimeout(stepDelayMilliseconds);
            return request;
        },
    },
];

const faults: readonly {
    name: string;
    inject: (fixture: gatewayFixture.GatewayFixture, request: StartedRequest) => Promise<void>;
}[] = [
    { name: "no fault", inject: async () => undefined },
    { name: "caller disconnects", inject: async (...parameters) => parameters[1].abort() },
    { name: "upstream sheds load", inject: async fixture => fixture.pool[0].setFaults({ sheds: true }) },
    { name: "upstream drains", inject: async fixture => fixture.pool[0].setFaults({ isDraining: true }) },
    { name: "upstream never responds", inject: async fixture => fixture.pool[0].setFaults({ swallowsAnswers: true }) },
    {
        name: "upstream truncates its response",
        inject: async fixture => fixture.pool[0].setFaults({ cutsAnswers: true }),
    },
    { name: "upstream is stopped", inject: fixture => fixture.stopUpstream(0) },
    {
        name: "instance drains",
        inject: async fixture => {
            void fixture.callerServer.drain();
        },
    },
    {
        name: "environment document is replaced",
        inject: async fixture => fixture.gateway.setEnvironment({ ...fixture.environment, description: "second" }),
    },
];

const faultsWithResponse = ["no fault", "instance drains", "environment document is replaced"];

for (const step of steps) {
    test.describe(`at the step: ${step.name}`, () => {
        for (const fault of faults) {
            test.it(fault.name, () =>
                gatewayFixture.withGateway({ poolSize: 1, concurrency: 1 }, async fixture => {
                    const request = await step.prepare(fixture);
                    await fault.inject(fixture, request);
                    if (fault.name !== "caller disconnects" && step.name === "body half sent") {
                        request.finishBody();
                    }
                    const result = await request.result;
                    const runCount = fixture.runCountOf(request.identifier);
                    earl.expect(result.isWhole).toEqual(true);
                    earl.expect(runCount <= 1).toEqual(true);
                    earl.expect(result.outcome === "not-run" && runCount > 0).toEqual(false);
                    earl.expect(result.outcome === "answered" && runCount === 0).toEqual(false);
                    if (faultsWithResponse.includes(fault.name)) {
                        earl.expect(result.outcome).toEqual("answered");
                    }
                }));
        }
    });
}
