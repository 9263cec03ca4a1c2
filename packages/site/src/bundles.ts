/** Bundles programs of the workspace, so that their processes start fast. */
import * as path from "node:path";

const root = path.resolve(__dirname, "../../..");

/**
 * Bundles a program.
 *
 * @param entry - its main module, from the root of the workspace
 * @param folder - where to write
 * @returns path of the bundle
 */
export const bundleProgram = async (entry: string, folder: string): Promise<string> => {
    const { bundle } = await import(path.join(root, "scripts/bundle.mjs")) as {
        bundle: (entry: string, outfile: string) => Promise<unknown>;
    };
    const outfile = path.join(folder, `${entry.replace(/[^a-z]+/gi, "-")}.cjs`);
    await bundle(path.join(root, entry), outfile);
    return outfile;
};
