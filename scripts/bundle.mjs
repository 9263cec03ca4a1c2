import * as esbuild from "esbuild";

/**
 * Bundles a program into a single CommonJS file.
 *
 * @param {string} entry - the path of its main module
 * @param {string} outfile - the path of the bundle
 * @returns {Promise<unknown>} resolves when the bundle is written
 */
export const bundle = (entry, outfile) =>
    esbuild.build({
        entryPoints: [entry],
        outfile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        mainFields: ["module", "main"],
        alias: { "unix-dgram": "./scripts/absentModule.cjs", "cbor-extract": "./scripts/absentModule.cjs" },
        logLevel: "error",
    });
