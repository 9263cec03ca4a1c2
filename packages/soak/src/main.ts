/** Plays soak runs, several side by side. Needs the built program: `npm run build`. */
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
    folder: string;
    regressions: boolean;
}

const program = ["target/entry.cjs"];
/** First port of the protocol between instances; runs side by side have addresses of their own. */
const peerPort = 17_300;

const playSeed = async (options: MainOptions, seed: number, lane: number): Promise<boolean> => {
    const logFile = path.join(options.folder, `seed-${seed}.log`);
    const result = await soakRun.runSoak({
        seed,
        faultMilliseconds: options.seconds * 1000,
        instances: options.instances,
        upstreamsPerService: options.upstreams,
        requestsPerSecond: options.rate,
        program,
        logFile,
        checksTimes: true,
        network: `127.1.${lane + 1}`,
        peerPort: peerPort + lane * 20,
    });
    const isKept = result.broken.length === 0;
    const kinds = result.faults.map(fault => fault.kind).join(",");
    process.stdout.write(
        `seed ${seed}: ${isKept ? "kept" : "BROKEN"}, served ${result.served} of ${result.requests}; ${kinds}\n`,
    );
    result.broken.slice(0, 10).forEach(line => process.stdout.write(`    ${line}\n`));
    if (isKept) {
        fs.rmSync(logFile);
    }
    return isKept;
};

const run = async (options: MainOptions): Promise<void> => {
    fs.mkdirSync(options.folder, { recursive: true });
    const seeds = options.regressions
        ? regressions.regressions.map(({ seed }) => seed)
        : Array.from({ length: options.seeds }, (...[, index]) => options.first + index);
    const count = seeds.length;
    const broken: number[] = [];
    const playLane = async (lane: number): Promise<void> => {
        for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
            if (!await playSeed(options, seed, lane)) {
                broken.push(seed);
            }
        }
    };
    await Promise.all(Array.from({ length: options.beside }, (...[, lane]) => playLane(lane)));
    process.stdout.write(`${count - broken.length} passed, ${broken.length} failed\n`);
    process.stdout.write(broken.length > 0 ? `seeds with a broken promise: ${broken.join(" ")}\n` : "");
    process.exitCode = broken.length === 0 ? 0 : 1;
};

const commandLine = cac.cac("soak");
commandLine.command("", "Play runs with random faults")
    .option("--first <seed>", "First seed", { default: 1 })
    .option("--seeds <number>", "How many seeds", { default: 10 })
    .option("--regressions", "Play the seeds that once broke a promise instead", { default: false })
    .option("--seconds <number>", "How long faults begin in a run", { default: 10 })
    .option("--instances <number>", "Instances of a run", { default: 4 })
    .option("--upstreams <number>", "Upstreams of each service", { default: 4 })
    .option("--rate <number>", "Requests a second", { default: 80 })
    .option("--beside <number>", "Runs side by side", { default: 3 })
    .option("--folder <path>", "Where the logs of runs with a broken promise stay", { default: "soak-logs" })
    .action(run);
commandLine.help();
commandLine.parse();
