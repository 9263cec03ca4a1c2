/** The command line as a new user meets it, bad input included, against a stand-in of the log. */
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

interface Ended {
    code: number;
    output: string;
    errors: string;
}

const runProgram = (program: string, parameters: readonly string[]): Promise<Ended> =>
    new Promise(resolve => {
        childProcess.execFile(program, parameters, { cwd: root }, (error, output, errors) => {
            resolve({ code: typeof error?.code === "number" ? error.code : 0, output, errors });
        });
    });

const run = (...parameters: string[]): Promise<Ended> =>
    runProgram(process.execPath, ["--import", "tsx", "packages/cli/src/main.ts", ...parameters]);

const withLog = async (work: (url: string) => Promise<void>): Promise<void> => {
    const owner: foundation.Owner = foundation.createOwner();
    try {
        await work((await standins.createLogServiceStandIn(0, owner)).url);
    }
    finally {
        await owner.dispose();
    }
};

test.describe("the command line", () => {
    test.it("prints the version and help", async () => {
        earl.expect((await run("version")).output).toEqual("0.1.0\n");
        earl.expect((await run("version", "--json")).output).toEqual("{\"version\":\"0.1.0\"}\n");
        const help = await run("--help");
        earl.expect([help.code, help.output.includes("publish <file>")]).toEqual([0, true]);
    });

    test.it("tells the story of a request out of logs, and exits with 1 when none names it", async () => {
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
        const told = await run("explain-request", "a", file);
        earl.expect([told.code, told.output.includes("Version 3 of the document has no route for x.example/y/.")])
            .toEqual([0, true]);
        earl.expect((await run("explain-request", "b", file)).code).toEqual(1);
        earl.expect((await run("explain-key", "7", path.join(folder, "absent"))).code).toEqual(2);
        fs.rmSync(folder, { recursive: true });
    });

    test.it("exits with 2 and says why on a wrong command", async () => {
        for (const parameters of [[], ["nonsense"], ["serve"], ["check"], ["publish", "absent.yaml"], ["explain"]]) {
            const ended = await run(...parameters);
            earl.expect([ended.code, ended.errors.startsWith("error: ")]).toEqual([2, true]);
        }
    });

    test.it("names file, line and field of what is wrong in a document", async () => {
        const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-cli-"));
        const file = path.join(folder, "bad.yaml");
        fs.writeFileSync(file, "regions: []\nranks: 3\nservices: []\n");
        const ended = await run("check", file);
        fs.rmSync(folder, { recursive: true });
        earl.expect(ended.code).toEqual(2);
        earl.expect(ended.errors.includes(`${file}:2: ranks: Invalid input: expected array, received number`)).toEqual(
            true,
        );
    });

    test.it("publishes, refuses a stale basis with 3, and promotes", () =>
        withLog(async url => {
            const publish = (...more: string[]) =>
                run("publish", "examples/vatuwaqa.yaml", "--log-service", url, "--json", ...more);
            earl.expect((await publish()).output).toEqual("{\"environment\":\"trial\",\"version\":0}\n");
            const stale = await publish();
            earl.expect([stale.code, JSON.parse(stale.errors).error.includes("is at version 0")]).toEqual([3, true]);
            earl.expect((await publish("--based-on", "0")).output).toEqual(
                "{\"environment\":\"trial\",\"version\":2}\n",
            );
            const promoted = await run("promote", "--log-service", url, "--json");
            earl.expect(promoted.output).toEqual("{\"environment\":\"production\",\"version\":3}\n");
        }));

    test.it("exits with 1 when nobody answers", async () => {
        const status = await run("status", "--instance", "127.0.0.1:9");
        earl.expect([status.code, status.errors.startsWith("error: 127.0.0.1:9 does not answer")]).toEqual([1, true]);
        const publish = await run("publish", "examples/vatuwaqa.yaml", "--log-service", "http://127.0.0.1:9");
        earl.expect(publish.code).toEqual(1);
    });
});

test.describe("the binary", () => {
    test.it("runs by itself and checks a document", async () => {
        if (!fs.existsSync(binary)) {
            childProcess.execFileSync(process.execPath, ["scripts/build.mjs"], { cwd: root, stdio: "ignore" });
        }
        earl.expect(await runProgram(binary, ["version"])).toEqual({ code: 0, output: "0.1.0\n", errors: "" });
        const checked = await runProgram(binary, ["check", "examples/dar-el-sikka.yaml"]);
        earl.expect(checked).toEqual({ code: 0, output: "examples/dar-el-sikka.yaml is valid\n", errors: "" });
    });
});
