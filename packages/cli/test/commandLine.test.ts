/** The command line, including invalid input, run as a child process against a stand-in of the log service. */
import * as foundation from "@mulberryseam/foundation";
import * as standins from "@mulberryseam/standins";
import * as earl from "earl";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as test from "node:test";

const root = path.resolve(__dirname, "../../..");
const binary = path.join(root, "dist/mulberryseam");

interface ProgramResult {
    exitCode: number;
    stdout: string;
    stderr: string;
}

const runProgram = (program: string, programArguments: readonly string[]): Promise<ProgramResult> =>
    new Promise(resolve => {
        childProcess.execFile(program, programArguments, { cwd: root }, (error, stdout, stderr) => {
            resolve({ exitCode: typeof error?.code === "number" ? error.code : 0, stdout, stderr });
        });
    });

const run = (...commandArguments: string[]): Promise<ProgramResult> =>
    runProgram(process.execPath, ["--import", "tsx", "packages/cli/src/main.ts", ...commandArguments]);

const withLogService = async (runWithUrl: (url: string) => Promise<void>): Promise<void> => {
    const owner: foundation.Owner = foundation.createOwner();
    try {
        await runWithUrl((await standins.createLogServiceStandIn(0, owner)).url);
    }
    finally {
        await owner.dispose();
    }
};

test.describe("command line", () => {
    test.it("prints the version and help", async () => {
        earl.expect((await run("version")).stdout).toEqual("0.1.0\n");
        earl.expect((await run("version", "--json")).stdout).toEqual("{\"version\":\"0.1.0\"}\n");
        const help = await run("--help");
        earl.expect([help.exitCode, help.stdout.includes("publish <file>")]).toEqual([0, true]);
    });

    test.it("prints the timeline of a request from logs, and exits with 1 if no line has its identifier", async () => {
        const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-logs-"));
        const file = path.join(folder, "entry-1.log");
        const time = "2026-01-01T00:00:00.000Z";
        const line = {
            time,
            instance: "entry-1",
            event: "request-failed",
            request: "a",
            reason: "no route",
            version: 3,
        };
        fs.writeFileSync(file, `${JSON.stringify({ ...line, host: "x.example", path: "/y/" })}\n`);
        const result = await run("explain-request", "a", file);
        earl.expect([
            result.exitCode,
            result.stdout.includes("Version 3 of the document has no route for x.example/y/."),
        ])
            .toEqual([0, true]);
        earl.expect((await run("explain-request", "b", file)).exitCode).toEqual(1);
        earl.expect((await run("explain-key", "7", path.join(folder, "absent"))).exitCode).toEqual(2);
        fs.rmSync(folder, { recursive: true });
    });

    test.it("exits with 2 and prints an error on an invalid command", async () => {
        for (
            const commandArguments of [[], ["nonsense"], ["serve"], ["check"], ["publish", "absent.yaml"], ["explain"]]
        ) {
            const result = await run(...commandArguments);
            earl.expect([result.exitCode, result.stderr.startsWith("error: ")]).toEqual([2, true]);
        }
    });

    test.it("reports the file, line and field of a problem in a document", async () => {
        const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-cli-"));
        const file = path.join(folder, "bad.yaml");
        fs.writeFileSync(file, "regions: []\nranks: 3\nservices: []\n");
        const result = await run("check", file);
        fs.rmSync(folder, { recursive: true });
        earl.expect(result.exitCode).toEqual(2);
        earl.expect(result.stderr.includes(`${file}:2: ranks: Invalid input: expected array, received number`)).toEqual(
            true,
        );
    });

    test.it("publishes, exits with 3 on a stale base version, and promotes", () =>
        withLogService(async url => {
            const publish = (...extraArguments: string[]) =>
                run("publish", "examples/vatuwaqa.yaml", "--log-service", url, "--json", ...extraArguments);
            earl.expect((await publish()).stdout).toEqual("{\"environment\":\"trial\",\"version\":0}\n");
            const stale = await publish();
            earl.expect([stale.exitCode, JSON.parse(stale.stderr).error.includes("is at version 0")]).toEqual([
                3,
                true,
            ]);
            earl.expect((await publish("--based-on", "0")).stdout).toEqual(
                "{\"environment\":\"trial\",\"version\":2}\n",
            );
            const promoted = await run("promote", "--log-service", url, "--json");
            earl.expect(promoted.stdout).toEqual("{\"environment\":\"production\",\"version\":3}\n");
        }));

    test.it("exits with 1 if the instance or the log service does not respond", async () => {
        const status = await run("status", "--instance", "127.0.0.1:9");
        earl.expect([status.exitCode, status.stderr.startsWith("error: 127.0.0.1:9 does not answer")]).toEqual([
            1,
            true,
        ]);
        const publish = await run("publish", "examples/vatuwaqa.yaml", "--log-service", "http://127.0.0.1:9");
        earl.expect(publish.exitCode).toEqual(1);
    });
});

test.describe("binary", () => {
    test.it("runs as a standalone file and checks a document", async () => {
        if (!fs.existsSync(binary)) {
            childProcess.execFileSync(process.execPath, ["scripts/build.mjs"], { cwd: root, stdio: "ignore" });
        }
        earl.expect(await runProgram(binary, ["version"])).toEqual({ exitCode: 0, stdout: "0.1.0\n", stderr: "" });
        const checked = await runProgram(binary, ["check", "examples/dar-el-sikka.yaml"]);
        earl.expect(checked).toEqual({ exitCode: 0, stdout: "examples/dar-el-sikka.yaml is valid\n", stderr: "" });
    });
});
