/** Runs soak tests, several in parallel. Requires the built program: `npm run build`. */
import * as cac from "cac";
import * as fs from "node:fs";
import * as path from "node:path";
import * as regressions from "./regressions";
import * as soakRun from "./soakRun";

interface MainOptions {
    first: number;
    seeds: number;
    seconds: number;
    instances: number;
    upstreams: number;
    rate: number;
    beside: number;
    kinds: string;
    folder: string;
    regressions: boolean;
}

const programArguments = ["target/entry.cjs"];
const maxReportedViolations = 20;
const interruptedExitCode = 130;

const runSeed = async (options: MainOptions, seed: number): Promise<boolean> => {
    const logFile = path.join(options.folder, `seed-${seed}.log`);
    const result = await soakRun.runSoak({
        seed,
        faultPeriodMilliseconds: options.seconds * 1000,
        instances: options.instances,
        upstreamsPerService: options.upstreams,
        requestsPerSecond: options.rate,
        programArguments,
        logFile,
        checksTiming: true,
        kinds: options.kinds === "" ? undefined : options.kinds.split(","),
    });
    const hasPassed = result.violations.length === 0;
    const kinds = result.faults.map(fault => fault.kind).join(",");
    process.stdout.write(
        `seed ${seed}: ${
            hasPassed ? "kept" : "BROKEN"
        }, served ${result.servedCount} of ${result.requestCount}; ${kinds}\n`,
    );
    const violations = [...new Set(result.violations)];
    violations.slice(0, maxReportedViolations).forEach(violation => process.stdout.write(`    ${violation}\n`));
    if (hasPassed) {
        fs.rmSync(logFile);
    }
    return hasPassed;
};

// Exits instead of ending at once, so that the instances are killed too.
for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => process.exit(interruptedExitCode));
}

const run = async (options: MainOptions): Promise<void> => {
    fs.mkdirSync(options.folder, { recursive: true });
    const seeds = options.regressions
        ? regressions.regressions.map(({ seed }) => seed)
        : Array.from({ length: options.seeds }, (...[, index]) => options.first + index);
    const seedCount = seeds.length;
    const failedSeeds: number[] = [];
    const runWorker = async (): Promise<void> => {
        for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
            const hasPassed = await runSeed(options, seed).catch((error: Error) => {
                process.stdout.write(`seed ${seed}: BROKEN, ${error.message}\n`);
                return false;
            });
            if (!hasPassed) {
                failedSeeds.push(seed);
            }
        }
    };
    await Promise.all(Array.from({ length: options.beside }, runWorker));
    process.stdout.write(`${seedCount - failedSeeds.length} passed, ${failedSeeds.length} failed\n`);
    process.stdout.write(failedSeeds.length > 0 ? `seeds with a broken promise: ${failedSeeds.join(" ")}\n` : "");
    process.exitCode = failedSeeds.length === 0 ? 0 : 1;
};

const commandLine = cac.cac("soak");
commandLine.command("", "Run soak tests with random faults")
    .option("--first <seed>", "First seed", { default: 1 })
    .option("--seeds <number>", "Number of seeds", { default: 10 })
    .option("--regressions", "Run the seeds of known regressions instead", { default: false })
    .option("--seconds <number>", "Seconds during which faults start in a run", { default: 10 })
    .option("--instances <number>", "Instances in each run", { default: 4 })
    .option("--upstreams <number>", "Upstreams of each service", { default: 4 })
    .option("--rate <number>", "Requests per second", { default: 80 })
    .option("--beside <number>", "Number of parallel runs", { default: 3 })
    .option("--kinds <names>", "Inject only these kinds of the faults of a schedule, separated by commas", {
        default: "",
    })
    .option("--folder <path>", "Folder that keeps the logs of failed runs", { default: "soak-logs" })
    .action(run);
commandLine.help();
commandLine.parse();
