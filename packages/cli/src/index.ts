/** The command line. */
export { runCommandLine } from "./commandLine";
export { ExitCode } from "./exitCode";
