/** `npm run measure -- --list`, `npm run measure -- NAME --seed N --json`; the last line is one JSON object. */
import { createOwner } from "@mulberryseam/foundation";
import { cac } from "cac";
import { scenarios } from "./scenarios";

interface MeasureOptions {
    list?: boolean;
    seed: number;
    json?: boolean;
}

const defaultSeed = 1;

const measure = async (name: string | undefined, options: MeasureOptions): Promise<number> => {
    if (options.list === true || name === undefined) {
        scenarios.forEach(scenario => process.stdout.write(`${scenario.name.padEnd(16)} ${scenario.description}\n`));
        return options.list === true ? 0 : 2;
    }
    const scenario = scenarios.find(entry => entry.name === name);
    if (scenario === undefined) {
        process.stderr.write(`error: no scenario "${name}"; --list shows them\n`);
        return 2;
    }
    const say = (text: string): void => {
        if (options.json !== true) {
            process.stdout.write(`${text}\n`);
        }
    };
    const owner = createOwner();
    const startedAt = performance.now();
    try {
        const figures = await scenario.run({ seed: options.seed, owner, say });
        const seconds = Math.round((performance.now() - startedAt) / 1000);
        process.stdout.write(`${JSON.stringify({ scenario: name, seed: options.seed, seconds, ...figures })}\n`);
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

const program = cac("measure");
program.command("[name]", "Run a scenario")
    .option("--list", "List the scenarios")
    .option("--seed <number>", "Seed of the arrivals", { default: defaultSeed })
    .option("--json", "Print nothing but the result")
    .action((name: string | undefined, options: MeasureOptions) => {
        void measure(name, { ...options, seed: Number(options.seed) }).then(code => process.exit(code));
    });
program.help();
program.parse();
