import * as esbuild from "esbuild";
import * as path from "node:path";

const absentModule = path.resolve("scripts/absentModule.cjs");

/** Replaces the modules that match a pattern, and that the program does not use, by an empty one. */
const omitModules = pattern => ({
    name: "omit-modules",
    setup: build => {
        build.onResolve(
            { filter: /./ },
            ({ path: request, resolveDir }) =>
                pattern.test(path.join(resolveDir, request)) ? { path: absentModule } : undefined,
        );
    },
});

/**
 * Bundles a program into a single CommonJS file.
 *
 * @param {string} entry - the path of its main module
 * @param {string} outfile - the path of the bundle
 * @param {RegExp | undefined} unusedModules - absolute paths of modules that the program imports and does not use
 * @returns {Promise<unknown>} resolves when the bundle is written
 */
export const bundle = (entry, outfile, unusedModules) =>
    esbuild.build({
        entryPoints: [entry],
        outfile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        mainFields: ["module", "main"],
        minifyWhitespace: true,
        minifySyntax: true,
        alias: { "unix-dgram": "./scripts/absentModule.cjs", "cbor-extract": "./scripts/absentModule.cjs" },
        plugins: unusedModules === undefined ? [] : [omitModules(unusedModules)],
        logLevel: "error",
    });
