import { spawnSync } from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

/**
 * Applies one mutant at a time to a copy of the packages and runs the fault tests there: a mutant that no test fails
 * on shows a gap. `npm run mutants [-- PART_OF_A_NAME]`.
 */
const root = process.cwd();
const wanted = process.argv[2] ?? "";
const mutants = JSON.parse(fs.readFileSync("scripts/mutants.json", "utf8"))
    .filter(mutant => mutant.name.includes(wanted));
const slowSuites = ["faultMatrix.test.ts"];
const suites = ["ownership", "ledger", "standins", "traffic"];

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

const runTests = folder => {
    const files = suites.flatMap(suite => {
        const tests = path.join(folder, "packages", suite, "test");
        return fs.readdirSync(tests).filter(file => file.endsWith(".test.ts") && !slowSuites.includes(file)).map(file =>
            path.join(tests, file)
        );
    });
    const result = spawnSync(process.execPath, ["--import", "tsx", "--test", ...files], {
        cwd: folder,
        encoding: "utf8",
        env: { ...process.env, INTERLEAVINGS_QUICK: "1" },
    });
    const failed = result.stdout.split("\n").map(line => line.trim())
        .filter(line => line.startsWith("not ok"))
        .map(line => line.replace(/^not ok \d+ - /, ""));
    return failed;
};

const folder = createCopy();
let survivors = 0;
const failedBefore = runTests(folder);
if (failedBefore.length > 0) {
    console.log(`the tests fail without any mutant: ${failedBefore[0]}`);
    process.exit(2);
}
for (const mutant of mutants) {
    const originals = new Map();
    let isStale = false;
    for (const { file, find, replace } of mutant.edits) {
        const place = path.join(folder, file);
        const text = fs.readFileSync(place, "utf8");
        isStale ||= !text.includes(find);
        originals.set(place, originals.get(place) ?? text);
        fs.writeFileSync(place, text.replace(find, replace));
    }
    const failed = isStale ? [] : runTests(folder);
    originals.forEach((text, place) => fs.writeFileSync(place, text));
    const isCaught = failed.length > 0;
    survivors += isCaught ? 0 : 1;
    const verdict = isStale ? "STALE   " : isCaught ? "caught  " : "SURVIVED";
    console.log(`${verdict} ${mutant.name}${isCaught ? `: ${failed[0]}` : ""}`);
}
fs.rmSync(folder, { recursive: true, force: true });
console.log(`${mutants.length - survivors} of ${mutants.length} caught`);
process.exit(survivors === 0 ? 0 : 1);
