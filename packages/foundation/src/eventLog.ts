/** Structured events on standard output: one JSON line each, never blocking, bounded in volume. */

import type * as eventNames from "./eventNames";

/** Fields of an event. */
export type EventFields = Record<string, string | number | boolean | undefined>;

/** Writes events. */
export interface EventLog {
    /** An event that must not be left out while there is room. */
    write: (event: eventNames.EventName, fields?: EventFields) => void;
    /** An event of which a fixed number a second is kept; the rest is counted. */
    sample: (event: eventNames.EventName, fields?: EventFields) => void;
}

/** Where lines go; `pendingBytes` are those that the reader has not taken. */
export interface EventSink {
    write: (line: string) => void;
    pendingBytes: () => number;
}

/** Unread bytes above which events are dropped: what a stalled reader may cost in memory. */
const highestPendingBytes = 1024 * 1024;
/** Sampled events kept in a second. */
const samplesPerSecond = 5;
/** Events of one name kept in a second; a flood of failures tells no more than its first ones and a count. */
const eventsPerSecond = 50;

interface Window {
    startedAt: number;
    kept: number;
    dropped: number;
}

/**
 * Creates the log of a process.
 *
 * @param instance - name of the instance, on each line
 * @param sink - where lines go
 * @param wallClock - milliseconds since the epoch
 * @returns the log
 */
export const createEventLog = (instance: string, sink: EventSink, wallClock: () => number): EventLog => {
    const windows = new Map<string, Window>();
    let droppedByReader = 0;
    const windowMilliseconds = 1000;
    const keep = (event: string, limit: number, now: number): number | undefined => {
        const window = windows.get(event);
        if (window === undefined || now - window.startedAt >= windowMilliseconds) {
            windows.set(event, { startedAt: now, kept: 1, dropped: 0 });
            return window?.dropped ?? 0;
        }
        if (window.kept >= limit) {
            window.dropped += 1;
            return undefined;
        }
        window.kept += 1;
        return 0;
    };
    const write = (event: string, fields: EventFields | undefined, limit: number): void => {
        const now = wallClock();
        const leftOut = keep(event, limit, now);
        if (leftOut === undefined) {
            return;
        }
        if (sink.pendingBytes() > highestPendingBytes) {
            droppedByReader += 1;
            return;
        }
        const line = {
            time: new Date(now).toISOString(),
            instance,
            event,
            ...fields,
            ...(leftOut > 0 ? { leftOut } : {}),
            ...(droppedByReader > 0 ? { droppedByReader } : {}),
        };
        droppedByReader = 0;
        sink.write(`${JSON.stringify(line)}\n`);
    };
    return {
        write: (event, fields) => write(event, fields, eventsPerSecond),
        sample: (event, fields) => write(event, fields, samplesPerSecond),
    };
};
