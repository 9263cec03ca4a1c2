/** Runs a case: records what was seen, ends every process that it started, and turns the result into an exit status. */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";

/** Exit statuses of a case. */
export const ExitStatus = { held: 0, broken: 1, notRun: 2 };

/** Limit of a whole run, in milliseconds: a case has 120 s. */
const maxRunMilliseconds = 110_000;

/** Root of the repository, where the deploy file's commands run. */
export const repositoryRoot = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");

/** Whether the run contains the disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

export const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Waits until a condition holds; rejects after a time, so that the case counts as not run. */
export const waitUntil = async (condition, description, maxMilliseconds) => {
    const startedAt = performance.now();
    while (!condition()) {
        if (performance.now() - startedAt > maxMilliseconds) {
            throw new Error(`timed out while waiting until ${description}`);
        }
        await pause(20);
    }
};

/**
 * Runs a case and exits.
 *
 * @param caseUrl - `import.meta.url` of the case, whose folder gets `record.txt`
 * @param run - gets `record`, `onCleanup` and `folder`; returns descriptions of how the rule was broken
 */
export const runCase = async (caseUrl, run) => {
    const caseFolder = path.dirname(url.fileURLToPath(caseUrl));
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-review-"));
    const startedAt = performance.now();
    const lines = [];
    const cleanups = [];
    const record = text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`);
    const finish = status => {
        cleanups.reverse().forEach(cleanUp => {
            try {
                cleanUp();
            }
            catch (error) {
                lines.push(`cleanup failed: ${error.message}`);
            }
        });
        lines.push(`exit status ${status}`);
        fs.writeFileSync(path.join(caseFolder, "record.txt"), `${lines.join("\n")}\n`);
        fs.rmSync(folder, { recursive: true, force: true });
        process.exit(status);
    };
    setTimeout(() => {
        record("the run takes too long");
        finish(ExitStatus.notRun);
    }, maxRunMilliseconds).unref();
    try {
        record(`${process.arch}, Node.js ${process.version}, ${hasTrouble ? "with" : "without"} the disruption`);
        const violations = await run({ record, onCleanup: cleanUp => cleanups.push(cleanUp), folder });
        violations.slice(0, 20).forEach(violation => record(`BROKEN: ${violation}`));
        record(`${violations.length} violations`);
        process.stdout.write(`${violations.length} violations\n`);
        violations.slice(0, 3).forEach(violation => process.stdout.write(`${violation}\n`));
        finish(violations.length > 0 ? ExitStatus.broken : ExitStatus.held);
    }
    catch (error) {
        record(`not run: ${error.stack}`);
        process.stderr.write(`not run: ${error.message}\n`);
        finish(ExitStatus.notRun);
    }
};
