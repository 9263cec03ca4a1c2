import * as fs from "node:fs";
import { bundle } from "./bundle.mjs";

fs.mkdirSync("target", { recursive: true });
await bundle("packages/entry/src/main.ts", "target/entry.cjs");
