/**
 * Formats the sources as `dprint.json` says; with `--check`, lists the files that differ and fails. Runs dprint's plugin in
 * WebAssembly, as dprint's own program needs a newer C library than some of the machines have.
 */
import * as formatter from "@dprint/formatter";
import * as typescriptPlugin from "@dprint/typescript";
import * as fs from "node:fs";
import * as path from "node:path";

const isCheck = process.argv.includes("--check");
const { typescript, folders, files, ...globalConfiguration } = JSON.parse(fs.readFileSync("dprint.json", "utf8"));

const findSources = folder =>
    fs.readdirSync(folder, { recursive: true })
        .filter(file => /\.(ts|mjs)$/.test(file) && !/(^|\/)(node_modules|dist)\//.test(file))
        .map(file => path.join(folder, file));

const context = formatter.createContext(globalConfiguration);
context.addPlugin(fs.readFileSync(typescriptPlugin.getPath()), typescript);

let differing = 0;
for (const filePath of [...folders.flatMap(findSources), ...files]) {
    const fileText = fs.readFileSync(filePath, "utf8");
    const formatted = context.formatText({ filePath, fileText });
    if (formatted === fileText) {
        continue;
    }
    differing += 1;
    process.stdout.write(`${filePath}\n`);
    if (!isCheck) {
        fs.writeFileSync(filePath, formatted);
    }
}
process.exitCode = isCheck && differing > 0 ? 1 : 0;
