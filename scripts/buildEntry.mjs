import * as fs from "node:fs";
import { bundle } from "./bundle.mjs";

/** Parts of the metrics library that load half of Node's own modules at the start of each process. */
const unusedModules = /prom-client\/lib\/(pushgateway|cluster|defaultMetrics|exemplar|summary)(\.js)?$/;

fs.mkdirSync("target", { recursive: true });
await bundle("packages/entry/src/main.ts", "target/entry.cjs", unusedModules);
