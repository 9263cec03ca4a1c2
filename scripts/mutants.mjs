import { spawnSync } from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

/**
 * Mutation testing: applies one mutant at a time to a copy of the packages and runs the fault tests there. A mutant that
 * no test detects shows a gap in the tests. `npm run mutants [-- NAME_FILTER]` selects the mutants whose name contains the
 * filter.
 */
const root = process.cwd();
const nameFilter = process.argv[2] ?? "";
const mutants = JSON.parse(fs.readFileSync("scripts/mutants.json", "utf8"))
    .filter(mutant => mutant.name.includes(nameFilter));
const slowTestFiles = ["faultMatrix.test.ts"];
const testedPackages = ["ownership", "ledger", "standins", "traffic"];

const createCopy = () => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mutants-"));
    fs.cpSync("packages", path.join(folder, "packages"), { recursive: true });
    fs.copyFileSync("package.json", path.join(folder, "package.json"));
    fs.mkdirSync(path.join(folder, "node_modules"));
    for (const entry of fs.readdirSync("node_modules")) {
        if (entry !== "@mulberryseam") {
            fs.symlinkSync(path.join(root, "node_modules", entry), path.join(folder, "node_modules", entry));
        }
    }
    fs.mkdirSync(path.join(folder, "node_modules/@mulberryseam"));
    for (const entry of fs.readdirSync("packages")) {
        const link = path.join(folder, "node_modules/@mulberryseam", entry);
        fs.symlinkSync(path.join(folder, "packages", entry), link);
    }
    return folder;
};

const runTests = copyFolder => {
    const files = testedPackages.flatMap(packageName => {
        const testFolder = path.join(copyFolder, "packages", packageName, "test");
        return fs.readdirSync(testFolder).filter(file => file.endsWith(".test.ts") && !slowTestFiles.includes(file))
            .map(file => path.join(testFolder, file));
    });
    const result = spawnSync(process.execPath, ["--import", "tsx", "--test", ...files], {
        cwd: copyFolder,
        encoding: "utf8",
        env: { ...process.env, INTERLEAVINGS_QUICK: "1" },
    });
    const failedTests = result.stdout.split("\n").map(line => line.trim())
        .filter(line => line.startsWith("not ok"))
        .map(line => line.replace(/^not ok \d+ - /, ""));
    // A run that ends early, by a signal or an error before the first test, has shown nothing.
    const hasCrashed = result.status === null || (result.status !== 0 && failedTests.length === 0);
    return { failedTests, hasCrashed };
};

const folder = createCopy();
let survivorCount = 0;
const { failedTests: failedWithoutMutants, hasCrashed: crashesWithoutMutants } = runTests(folder);
if (failedWithoutMutants.length > 0 || crashesWithoutMutants) {
    console.log(`the tests fail without any mutant: ${failedWithoutMutants[0] ?? "the run crashed"}`);
    process.exit(2);
}
for (const mutant of mutants) {
    const originals = new Map();
    let isStale = false;
    for (const { file, find, replace } of mutant.edits) {
        const filePath = path.join(folder, file);
        const text = fs.readFileSync(filePath, "utf8");
        isStale ||= !text.includes(find);
        originals.set(filePath, originals.get(filePath) ?? text);
        fs.writeFileSync(filePath, text.replace(find, replace));
    }
    const { failedTests, hasCrashed } = isStale ? { failedTests: [], hasCrashed: false } : runTests(folder);
    originals.forEach((text, filePath) => fs.writeFileSync(filePath, text));
    const isCaught = failedTests.length > 0 && !hasCrashed;
    survivorCount += isCaught ? 0 : 1;
    const status = isStale ? "STALE   " : hasCrashed ? "CRASHED " : isCaught ? "caught  " : "SURVIVED";
    console.log(`${status} ${mutant.name}${isCaught ? `: ${failedTests[0]}` : ""}`);
}
fs.rmSync(folder, { recursive: true, force: true });
console.log(`${mutants.length - survivorCount} of ${mutants.length} caught`);
process.exit(survivorCount === 0 ? 0 : 1);
