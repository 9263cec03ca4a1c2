/**
 * Command line of the measurements: `npm run measure -- --list` or `npm run measure -- NAME --seed N --json`. The last
 * line of the output is the result as one JSON object.
 */
import * as foundation from "@mulberryseam/foundation";
import * as cac from "cac";
import * as scenarios from "./scenarios";

interface MeasureOptions {
    list?: boolean;
    seed: number;
    json?: boolean;
}

const defaultSeed = 1;
const spinIterations = 30_000_000;

/** Measures a fixed computation in milliseconds, to tell a slow machine from a slow program. */
const measureSpinMilliseconds = (): number => {
    const startedAt = performance.now();
    let sum = 0;
    for (let iteration = 0; iteration < spinIterations; iteration++) {
        sum += iteration % 7;
    }
    return sum > 0 ? Math.round(performance.now() - startedAt) : 0;
};

const runScenario = async (name: string | undefined, options: MeasureOptions): Promise<number> => {
    if (options.list === true || name === undefined) {
        scenarios.scenarios.forEach(scenario =>
            process.stdout.write(`${scenario.name.padEnd(16)} ${scenario.description}\n`)
        );
        return options.list === true ? 0 : 2;
    }
    const scenario = scenarios.scenarios.find(entry => entry.name === name);
    if (scenario === undefined) {
        process.stderr.write(`error: no scenario "${name}"; --list shows them\n`);
        return 2;
    }
    const reportProgress = (text: string): void => {
        if (options.json !== true) {
            process.stdout.write(`${text}\n`);
        }
    };
    const owner = foundation.createOwner();
    const spinBefore = measureSpinMilliseconds();
    const startedAt = performance.now();
    try {
        const measurements = await scenario.run({ seed: options.seed, owner, reportProgress });
        const seconds = Math.round((performance.now() - startedAt) / 1000);
        const machine = { spinMilliseconds: { before: spinBefore, after: measureSpinMilliseconds() } };
        const result = { scenario: name, seed: options.seed, seconds, machine, ...measurements };
        process.stdout.write(`${JSON.stringify(result)}\n`);
        return 0;
    }
    catch (error) {
        process.stderr.write(`error: ${(error as Error).stack}\n`);
        return 1;
    }
    finally {
        await owner.dispose();
    }
};

const program = cac.cac("measure");
program.command("[name]", "Run a scenario")
    .option("--list", "List the scenarios")
    .option("--seed <number>", "Seed of the random arrivals", { default: defaultSeed })
    .option("--json", "Print only the result")
    .action((name: string | undefined, options: MeasureOptions) => {
        void runScenario(name, { ...options, seed: Number(options.seed) }).then(code => process.exit(code));
    });
program.help();
program.parse();
