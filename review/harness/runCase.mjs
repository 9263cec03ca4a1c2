/** Runs a case: writes its record, bounds its time, and turns its verdict into the exit code. */
import * as fs from "node:fs";
import * as path from "node:path";

const maxMilliseconds = 110_000;

/** Whether the disruption is left out. */
export const hasTrouble = process.env.TROUBLE !== "0";

/**
 * Runs a case in its folder. `run(record)` resolves to the descriptions of what broke the rule; exit code 1 if there are any, 0 if there
 * are none, 2 if the case could not run.
 */
export const runCase = async (folder, run) => {
    const lines = [];
    const startedAt = performance.now();
    const record = text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
    const end = code => {
        fs.writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`);
        process.exit(code);
    };
    setTimeout(() => {
        record("the case did not end in time");
        end(2);
    }, maxMilliseconds);
    // The exit handlers end the instances.
    ["SIGTERM", "SIGINT"].forEach(signal => process.once(signal, () => end(2)));
    record(`start, ${hasTrouble ? "with" : "without"} the disruption`);
    try {
        const broken = await run(record);
        broken.forEach(text => record(`BROKEN: ${text}`));
        const verdict = broken.length > 0 ? `rule broken: ${broken[0]}` : "rule held";
        record(verdict);
        console.log(verdict);
        end(broken.length > 0 ? 1 : 0);
    }
    catch (error) {
        record(`could not run: ${error.stack}`);
        console.log(`could not run: ${error.message}`);
        end(2);
    }
};
