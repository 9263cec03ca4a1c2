import * as esbuild from "esbuild";

/**
 * Bundles one program into a single file.
 *
 * @param {string} entry - path of its main module
 * @param {string} outfile - path of the file to write
 * @returns {Promise<unknown>} when written
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
