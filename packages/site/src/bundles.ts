/** Bundles programs of the workspace into single files, so that their processes start quickly. */
import * as path from "node:path";

const root = path.resolve(__dirname, "../../..");

/**
 * Bundles a program into a single file.
 *
 * @param entryModule - path of the main module, relative to the root of the workspace
 * @param folder - the output folder
 * @returns the path of the bundle
 */
export const bundleProgram = async (entryModule: string, folder: string): Promise<string> => {
    const { bundle } = await import(path.join(root, "scripts/bundle.mjs")) as {
        bundle: (entry: string, outfile: string) => Promise<unknown>;
    };
    const outfile = path.join(folder, `${entryModule.replace(/[^a-z]+/gi, "-")}.cjs`);
    await bundle(path.join(root, entryModule), outfile);
    return outfile;
};
