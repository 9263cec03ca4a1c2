/** Entry point of the binary. */
import * as commandLine from "./commandLine";

void commandLine.runCommandLine(process.argv.slice(2)).then(code => process.exit(code));
