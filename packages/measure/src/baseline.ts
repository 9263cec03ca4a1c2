/** Starts baseline routers next to a site, in front of the same upstreams. */
import type * as foundation from "@mulberryseam/foundation";
import * as sites from "@mulberryseam/site";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

/**
 * Starts one baseline router process for each instance of the site.
 *
 * @param site - the site whose document and upstreams the routers use
 * @param owner - terminates the routers and removes their bundle on cleanup
 * @returns the routers' addresses for callers, each `IP:PORT`
 */
export const startBaselineRouters = async (site: sites.Site, owner: foundation.Owner): Promise<string[]> => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-baseline-"));
    owner.onCleanup(() => fs.rmSync(folder, { recursive: true, force: true }));
    const script = await sites.bundleProgram("packages/measure/src/baselineRouter.ts", folder);
    const ports = await sites.reservePorts(site.instances.length);
    const document = JSON.stringify(site.document);
    await Promise.all(
        ports.map(port =>
            sites.startProcess({ script, parameters: [String(port), document], waitsForReady: true }, owner)
        ),
    );
    return ports.map(port => `127.0.0.1:${port}`);
};
