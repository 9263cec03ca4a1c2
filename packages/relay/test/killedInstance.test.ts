/** Responses that an instance streams while its process is killed. */
import * as earl from "earl";
import * as childProcess from "node:child_process";
import * as readline from "node:readline";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const killCount = 3;
const responseCount = 4;
/** Size of the part of each response that arrives before the instance is killed, in bytes; more than is buffered. */
const receivedBytes = 400_000;

const program = "packages/relay/test/fixtures/streamingInstance.ts";

test.describe("an instance that is killed", () => {
    // Guards against a part of a response that looks complete, as the system ends the connections of a killed process regularly.
    test.it("leaves no part of a response without a length that looks complete", async () => {
        for (let kill = 0; kill < killCount; kill += 1) {
            const child = childProcess.spawn(process.execPath, ["--import", "tsx", program], {
                stdio: ["ignore", "pipe", "inherit"],
            });
            try {
                const lines = readline.createInterface({ input: child.stdout });
                const port = Number(await new Promise<string>(resolve => lines.once("line", resolve)));
                let partCount = 0;
                const onPart = (): void => {
                    partCount += 1;
                    if (partCount === responseCount) {
                        child.kill("SIGKILL");
                    }
                };
                const responses = await Promise.all(
                    [...Array(responseCount)].map(() => relayFixture.receive(port, receivedBytes, onPart)),
                );
                earl.expect(responses).toEqual([...Array(responseCount)].map(() => false));
            }
            finally {
                child.kill("SIGKILL");
            }
        }
    });
});
