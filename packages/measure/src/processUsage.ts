/** Reads the processor time and memory of a process from `/proc`. */
import * as fs from "node:fs";

const ticksPerSecond = 100;
const pageBytes = 4096;
const userTimeField = 13;
const systemTimeField = 14;
const residentField = 23;

/** Resources used by a process. */
export interface ProcessUsage {
    processorSeconds: number;
    residentBytes: number;
}

/**
 * Reads the resource usage of a process.
 *
 * @param processIdentifier - the identifier of the process (PID)
 * @returns the processor time since its start and its current resident memory
 */
export const readUsage = (processIdentifier: number): ProcessUsage => {
    const text = fs.readFileSync(`/proc/${processIdentifier}/stat`, "utf8");
    // The program name is enclosed in parentheses and may contain spaces.
    const fields = `0 name ${text.slice(text.lastIndexOf(")") + 2)}`.split(" ");
    return {
        processorSeconds: (Number(fields[userTimeField]) + Number(fields[systemTimeField])) / ticksPerSecond,
        residentBytes: Number(fields[residentField]) * pageBytes,
    };
};
