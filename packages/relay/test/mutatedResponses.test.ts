/** Responses with random bytes removed, inserted or cut off, sent whole or in two parts, before and after the request is read. */
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const seeds = [1, 2, 3];
const requestsPerSeed = 120;
const concurrency = 8;
const upstreamCount = 6;
const timeoutMilliseconds = 300;
/** Bound of a test, in milliseconds; it only ends a test that hangs. */
const maxTestMilliseconds = 120_000;

const insertions: readonly string[] = [
    "\r\n",
    "\n",
    "\0",
    "\t",
    " ",
    ":",
    "\x80",
    "PHP Warning: x",
    "HTTP/1.1 000 None\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\n\r\n",
    "Content-Length: 5\r\n",
    "Content-Length: 99999999999\r\n",
    "Connection: close\r\n",
    `Keep-Alive: timeout=${"9".repeat(400)}\r\n`,
    `Retry-After: ${"9".repeat(400)}\r\n`,
    "Server-Load: 1e308,1e308,4\r\n",
    "Server-Load: 0,0,0\r\n",
    "Transfer-Encoding: chunked\r\n",
    "0\r\n\r\n",
];
const statuses = ["000 None", "099 None", "100 Continue", "204 Empty", "304 Same", "503 Full", "999 Odd"];

const createResponse = (identifier: string, random: foundation.Random): string => {
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${identifier}\r\nResponse-Signature: s\r\nServer-Load: 1,0,4\r\n`;
    const responses = [
        `${head}Keep-Alive: timeout=5\r\nContent-Length: 10\r\n\r\nabcdefghij`,
        `${head}Transfer-Encoding: chunked\r\n\r\na\r\nabcdefghij\r\n0\r\n\r\n`,
        `${head}\r\nabcdefghij`,
        `${head}Content-Length: 400000\r\n\r\n${"z".repeat(400_000)}`,
        `HTTP/1.1 503 Full\r\nRequest-Id: ${identifier}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
    ];
    return responses[random.below(responses.length)];
};

const mutate = (text: string, random: foundation.Random): string => {
    const position = random.below(Math.min(text.length, 200));
    const before = text.slice(0, position);
    switch (random.below(5)) {
        case 0:
            return before + insertions[random.below(insertions.length)] + text.slice(position);
        case 1:
            return before + text.slice(position + 1 + random.below(6));
        case 2:
            return before;
        case 3:
            return text.replace("200 OK", statuses[random.below(statuses.length)]);
        default:
            return text + insertions[random.below(insertions.length)] + text;
    }
};

/** Creates the behaviour of an upstream whose responses depend only on the seed and the request. */
const createBehaviour = (seed: number): relayFixture.Behaviour => ({ headers, socket }) => {
    const identifier = String(headers["request-id"]);
    const random = foundation.createRandom(seed * requestsPerSeed + Number(identifier.replace("request-", "")));
    const bytes = Buffer.from(mutate(mutate(createResponse(identifier, random), random), random), "latin1");
    const firstPart = random.below(2) === 0 ? bytes.length : random.below(bytes.length + 1);
    const endings = [() => socket.end(), () => socket.resetAndDestroy(), () => undefined];
    const end = endings[random.below(endings.length)];
    socket.write(bytes.subarray(0, firstPart));
    if (firstPart === bytes.length) {
        end();
        return;
    }
    setTimeout(() => {
        socket.write(bytes.subarray(firstPart));
        end();
    }, random.below(20));
};

test.describe("a mutated response", () => {
    for (const seed of seeds) {
        for (const kind of [routing.RouteKind.idempotent, routing.RouteKind.once]) {
            const options = { timeout: maxTestMilliseconds };
            test.it(`neither throws nor leaves a request without an end, ${kind}, seed ${seed}`, options, () => {
                const behaviours = Array.from({ length: upstreamCount }, () => createBehaviour(seed));
                // Some responses never end, so that only real time ends their requests; no check depends on how long that takes.
                const timers = foundation.createTimerService();
                return relayFixture.withRelay({ behaviours, kind, timeoutMilliseconds, timers }, async fixture => {
                    let sentCount = 0;
                    let endedCount = 0;
                    const sendInTurn = async (): Promise<void> => {
                        while (sentCount < requestsPerSeed) {
                            sentCount += 1;
                            // A response without a length that is cut off ends the caller's connection.
                            await fixture.sendRequest({
                                identifier: `request-${sentCount}`,
                                body: Buffer.from("order"),
                            })
                                .catch(() => undefined);
                            endedCount += 1;
                        }
                    };
                    await Promise.all(Array.from({ length: concurrency }, sendInTurn));
                    earl.expect(endedCount).toEqual(requestsPerSeed);
                });
            });
        }
    }
});
