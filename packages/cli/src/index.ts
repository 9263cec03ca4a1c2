/** Command line of the router. */
export { runCommandLine } from "./commandLine";
export { ExitCode } from "./exitCode";
