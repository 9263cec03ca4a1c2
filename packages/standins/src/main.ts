/**
 * Runs stand-ins as a process: `log PORT`, `list PORT LAG`, or `upstream JSON...` with the options of one or more
 * upstreams. Prints `ready` once they are listening.
 */
import * as foundation from "@mulberryseam/foundation";
import * as instanceListStandIn from "./instanceListStandIn";
import * as logServiceStandIn from "./logServiceStandIn";
import * as upstreamStandIn from "./upstreamStandIn";

const run = async (role: string, parameters: readonly string[]): Promise<void> => {
    const owner = foundation.createOwner();
    process.on("SIGTERM", () => void owner.dispose().then(() => process.exit(0)));
    if (role === "log") {
        await logServiceStandIn.createLogServiceStandIn(Number(parameters[0]), owner);
    }
    else if (role === "list") {
        await instanceListStandIn.createInstanceListStandIn(Number(parameters[0]), Number(parameters[1]), owner);
    }
    else if (role === "upstream") {
        for (const parameter of parameters) {
            await upstreamStandIn.createUpstreamStandIn(
                JSON.parse(parameter) as upstreamStandIn.UpstreamStandInOptions,
                owner,
            );
        }
    }
    else {
        throw new Error(`unknown stand-in ${role}`);
    }
    process.stdout.write("ready\n");
};

void run(process.argv[2], process.argv.slice(3));
