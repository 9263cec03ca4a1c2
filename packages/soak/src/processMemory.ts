/** Reads the memory of processes. */
import * as fs from "node:fs";

const peakPattern = /^VmHWM:\s+(\d+) kB$/m;
const bytesPerKilobyte = 1024;

/**
 * Reads the largest resident memory that a process has had.
 *
 * @param processIdentifier - the process; undefined if there is none
 * @returns the memory in bytes; 0 if the process has ended or the system does not tell it
 */
export const readPeakMemory = (processIdentifier: number | undefined): number => {
    try {
        const status = fs.readFileSync(`/proc/${processIdentifier}/status`, "utf8");
        return Number(peakPattern.exec(status)?.[1] ?? 0) * bytesPerKilobyte;
    }
    catch {
        return 0;
    }
};
