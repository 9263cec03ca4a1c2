/** Entry of the binary. */
import { runCommandLine } from "./commandLine";

void runCommandLine(process.argv.slice(2)).then(code => process.exit(code));
