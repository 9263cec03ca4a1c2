/** Numbers of upstreams and callers that no timer, socket or estimate takes. */
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const digits = "9".repeat(400);

const respondWithHeaders = (headers: Record<string, string>): relayFixture.Behaviour => (request, response) => {
    response.writeHead(200, {
        "request-id": request.headers["request-id"],
        "response-signature": "signature",
        "content-length": 2,
        ...headers,
    });
    response.end("ok");
};

test.describe("a response with an odd number", () => {
    const cases: [string, Record<string, string>][] = [
        ["an idle timeout with very many digits", { "keep-alive": `timeout=${digits}` }],
        ["an idle timeout of years", { "keep-alive": "timeout=999999999" }],
        ["a load too large", { "server-load": "1e308,1e308,4" }],
        ["a load with very many digits", { "server-load": `${digits},${digits},4` }],
        ["a load with 0 slots", { "server-load": "3,9,0" }],
        ["a load that is no number", { "server-load": "NaN,Infinity,-1" }],
    ];
    for (const isKeyed of [false, true]) {
        for (const [name, headers] of cases) {
            test.it(`does not end the process or the requests after it: ${name}, ${isKeyed ? "with" : "without"} a key`, () =>
                withOddUpstream(headers, isKeyed));
        }
    }

    const withOddUpstream = (headers: Record<string, string>, isKeyed: boolean): Promise<void> =>
        relayFixture.withRelay({ behaviours: [respondWithHeaders(headers)], isKeyed }, async ({ sendRequest }) => {
            const statuses: number[] = [];
            for (let count = 0; count < 6; count += 1) {
                statuses.push((await sendRequest(isKeyed ? { key: 1 } : {})).status);
            }
            earl.expect(statuses).toEqual([200, 200, 200, 200, 200, 200]);
        });
});

test.describe("a caller that waits for years", () => {
    test.it("gets the whole of a large response", () => {
        const size = 2_000_000;
        const respondSlowly: relayFixture.Behaviour = (request, response) => {
            response.writeHead(200, {
                "request-id": request.headers["request-id"],
                "response-signature": "signature",
                "content-length": size,
            });
            response.write(Buffer.alloc(size - 1));
            setTimeout(() => response.end("x"), 100);
        };
        return relayFixture.withRelay({ behaviours: [respondSlowly] }, async ({ sendRequest }) => {
            const response = await sendRequest({ deadlineMilliseconds: 1e300 });
            earl.expect([response.status, response.isComplete, response.body.length]).toEqual([200, true, size]);
        });
    });
});

test.describe("a traffic split", () => {
    test.it("selects a service when a cost is no number", () => {
        const destinations = [{ service: "x", weight: 1 }, { service: "y", weight: 1 }];
        const nextService = routing.createSplitter(destinations);
        earl.expect(destinations.map(() => nextService(() => NaN))).toEqual(["x", "x"]);
    });
});
