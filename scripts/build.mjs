import { execFileSync } from "node:child_process";
import * as fs from "node:fs";
import { inject } from "postject";
import { bundle } from "./bundle.mjs";

const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const program = "dist/mulberryseam";

fs.mkdirSync("dist", { recursive: true });
await bundle("packages/cli/src/main.ts", "dist/mulberryseam.cjs");
fs.writeFileSync(
    "dist/sea-config.json",
    JSON.stringify({
        main: "dist/mulberryseam.cjs",
        output: "dist/mulberryseam.blob",
        disableExperimentalSEAWarning: true,
    }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea-config.json"], { stdio: "ignore" });
fs.copyFileSync(process.execPath, program);
fs.chmodSync(program, 0o755);
await inject(program, "NODE_SEA_BLOB", fs.readFileSync("dist/mulberryseam.blob"), { sentinelFuse });
console.log(`built ${program}`);
