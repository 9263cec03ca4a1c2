/** What happens to an instance's process from outside: signals, its output, settings, and exceptions that nothing has caught. */
import * as earl from "earl";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as test from "node:test";
import * as entrySite from "./fixtures/entrySite";

/** Time until a program that should have ended is killed, in milliseconds; only one that hangs reaches it. */
const maxProgramMilliseconds = 60_000;

/** Response of an instance whose process gets too little processor time, which says nothing about the requests in flight. */
const overloadedResponse: entrySite.EntryResponse = { status: 503, body: "the instance is behind with its work\n" };

/** Sends requests, again while the instance refuses them as overloaded, and returns their responses once upstreams run all of them. */
const sendAccepted = async (site: entrySite.EntrySite, count: number): Promise<Promise<entrySite.EntryResponse>[]> => {
    const executionCount = (): number => site.upstreams.reduce((sum, upstream) => sum + upstream.executionCount(), 0);
    const [instance] = site.instances;
    for (;;) {
        const expectedCount = executionCount() + count;
        let endedCount = 0;
        const responses = Array.from({ length: count }, async () => {
            const response = await site.send(instance);
            endedCount += 1;
            return response;
        });
        await entrySite.waitUntil(
            () => executionCount() >= expectedCount || endedCount > 0,
            "the requests run or are refused",
        );
        if (executionCount() >= expectedCount) {
            return responses;
        }
        const refusals = (await Promise.all(responses)).filter(({ status }) => status !== 200);
        earl.expect(refusals).toEqual(refusals.map(() => overloadedResponse));
    }
};

/** Sends a request, changes something while it is in flight, and expects that it is answered and the instance goes on. */
const expectToGoOn = async (
    site: entrySite.EntrySite,
    change: (instance: entrySite.EntryProcess) => void,
): Promise<void> => {
    const [instance] = site.instances;
    const inFlight = await sendAccepted(site, 2);
    change(instance);
    earl.expect((await Promise.all(inFlight)).map(({ status }) => status)).toEqual([200, 200]);
    const [response] = await sendAccepted(site, 1);
    earl.expect((await response).status).toEqual(200);
    earl.expect(instance.isRunning()).toEqual(true);
};

/** Stops an instance with a request in flight, and expects that it is answered and the process ends with exit code 0. */
const expectToStop = async (site: entrySite.EntrySite): Promise<void> => {
    const [instance] = site.instances;
    const [inFlight] = await sendAccepted(site, 1);
    instance.child.kill("SIGTERM");
    instance.child.kill("SIGHUP");
    earl.expect((await inFlight).status).toEqual(200);
    instance.child.kill("SIGTERM");
    earl.expect(await instance.exited()).toEqual(0);
};

/** Whether the process handles SIGHUP, the first bit of its set of handled signals. */
const isSignalHandled = ({ child }: entrySite.EntryProcess): boolean => {
    const status = fs.readFileSync(`/proc/${child.pid}/status`, "utf8");
    const [, digits = "0"] = /^SigCgt:\s*([\da-f]+)$/m.exec(status) ?? [];
    return (Number.parseInt(digits.slice(-1), 16) & 1) === 1;
};

test.describe("the process of an instance", () => {
    const oddSettings: [string, string][] = [
        ["no settings", ""],
        ["deeply nested settings", "[".repeat(100_000)],
        ["settings with a number too large", "{\"bounds\":{\"retryBudgetRatio\":1e999}}"],
        ["settings without fields", "{}"],
        ["bytes that are no text", "\u0000\ufffd"],
    ];

    test.it("goes on when its output has no reader and when it rereads odd settings, and then stops", () =>
        entrySite.withEntrySite({ instances: 1, serviceTimeMilliseconds: 200 }, async site => {
            for (const [, text] of oddSettings) {
                await expectToGoOn(site, ({ child, settingsFile }) => {
                    fs.writeFileSync(settingsFile, text);
                    child.kill("SIGHUP");
                });
            }
            await expectToGoOn(site, ({ child, settingsFile }) => {
                fs.rmSync(settingsFile);
                child.kill("SIGHUP");
            });
            await expectToGoOn(site, ({ child, settingsFile, settings }) => {
                fs.writeFileSync(settingsFile, JSON.stringify({ ...settings, bounds: { drain: "3s" } }));
                child.kill("SIGHUP");
                child.kill("SIGHUP");
            });
            await site.waitForLine(line => line.event === "settings-reread" && line.valid === true);
            await expectToGoOn(site, ({ child }) => {
                child.stdout?.destroy();
            });
            // Each failed request writes a line to the closed output.
            await expectToGoOn(site, ({ host, callerPort }) => {
                for (let count = 0; count < 20; count += 1) {
                    net.connect(callerPort, host, function onConnect(this: net.Socket) {
                        this.end("GET /unknown/ HTTP/1.1\r\nHost: unknown.example\r\n\r\n");
                    }).on("error", () => undefined).resume();
                }
            });
            await new Promise(resolve => setTimeout(resolve, 300));
            await expectToStop(site);
        }));

    test.it("goes on after exceptions that nothing has caught, and writes where they come from", () =>
        entrySite.withEntrySite({
            instances: 1,
            serviceTimeMilliseconds: 200,
            preloaded: "packages/entry/test/fixtures/throwOnSignal.ts",
        }, async site => {
            for (const part of ["uncaught exception", "unhandled rejection"]) {
                await expectToGoOn(site, ({ child }) => {
                    child.kill("SIGUSR2");
                });
                await site.waitForLine(line => line.event === "internal-error" && line.part === part);
            }
            const line = site.instances[0].lines.find(({ event }) => event === "internal-error");
            earl.expect([line?.instance, line?.message]).toEqual([
                `entry-${site.instances[0].host}`,
                "thrown by the test",
            ]);
            earl.expect(String(line?.stack)).toEqual(earl.expect.includes("throwOnSignal.ts"));
            await expectToStop(site);
        }));

    test.it("ends cleanly on SIGTERM while it starts, and is not ended by SIGHUP", () =>
        entrySite.withEntrySite({ instances: 0, serviceTimeMilliseconds: 0 }, async site => {
            for (const delayMilliseconds of [0, 100]) {
                const instance = await site.startInstance();
                await entrySite.waitUntil(() => isSignalHandled(instance), "the signals are handled");
                instance.child.kill("SIGHUP");
                await new Promise(resolve => setTimeout(resolve, delayMilliseconds));
                instance.child.kill("SIGTERM");
                earl.expect([delayMilliseconds, await instance.exited()]).toEqual([delayMilliseconds, 0]);
            }
        }));

    test.it("ends with a status and a line of the log if its port is taken", () =>
        entrySite.withEntrySite({ instances: 1, serviceTimeMilliseconds: 0 }, async site => {
            const [first] = site.instances;
            const child = childProcess.spawn(process.execPath, ["--import", "tsx", "packages/entry/src/main.ts"], {
                env: { ...process.env, MULBERRYSEAM_SETTINGS: first.settingsFile },
                stdio: ["ignore", "pipe", "ignore"],
                killSignal: "SIGKILL",
                timeout: maxProgramMilliseconds,
            });
            let output = "";
            child.stdout.on("data", chunk => {
                output += String(chunk);
            });
            const exitCode = await new Promise(resolve => child.once("close", resolve));
            earl.expect(exitCode).toEqual(1);
            earl.expect(output).toEqual(earl.expect.includes("EADDRINUSE"));
            earl.expect(JSON.parse(output.trim().split("\n").at(-1) ?? "")).toEqual(
                earl.expect.subset({ event: "internal-error", code: "EADDRINUSE" }),
            );
        }));
});
