/** Processor time and memory of a process, as the system counts them. */
import * as fs from "node:fs";

const ticksPerSecond = 100;
const pageBytes = 4096;
const userTimeField = 13;
const systemTimeField = 14;
const residentField = 23;

/** What a process has used. */
export interface ProcessUsage {
    processorSeconds: number;
    residentBytes: number;
}

/**
 * Reads what a process has used.
 *
 * @param processIdentifier - the process
 * @returns its usage so far
 */
export const readUsage = (processIdentifier: number): ProcessUsage => {
    const text = fs.readFileSync(`/proc/${processIdentifier}/stat`, "utf8");
    // The name of the program stands in parentheses and may hold spaces.
    const fields = `0 name ${text.slice(text.lastIndexOf(")") + 2)}`.split(" ");
    return {
        processorSeconds: (Number(fields[userTimeField]) + Number(fields[systemTimeField])) / ticksPerSecond,
        residentBytes: Number(fields[residentField]) * pageBytes,
    };
};
