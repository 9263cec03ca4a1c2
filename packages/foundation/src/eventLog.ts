/** Structured event log for standard output: one JSON line per event, written without blocking and limited in rate. */

import type * as eventNames from "./eventNames";

/** Fields of an event, by name. */
export type EventFields = Record<string, string | number | boolean | undefined>;

/** Writes structured events. */
export interface EventLog {
    /** Writes an event, subject only to the rate limit per event name and the limit on unread bytes. */
    write: (event: eventNames.EventName, fields?: EventFields) => void;
    /** Writes a sample of a frequent event: a small fixed number per second; the rest are only counted. */
    sample: (event: eventNames.EventName, fields?: EventFields) => void;
}

/** Output of an event log. `pendingBytes` returns the number of bytes written but not yet read. */
export interface EventSink {
    write: (line: string) => void;
    pendingBytes: () => number;
}

/** Unread bytes above which events are dropped; bounds the memory that a stalled reader costs. */
const maxPendingBytes = 1024 * 1024;
/** Limit of sampled events, per event name. */
const maxSamplesPerSecond = 5;
/** Limit per event name; in a flood of failures the first events and a count are enough. */
const maxEventsPerSecond = 50;

interface RateLimitWindow {
    startedAt: number;
    kept: number;
    dropped: number;
}

/**
 * Creates the event log of a process.
 *
 * @param instance - instance name, included in each line
 * @param sink - output of the log
 * @param wallClock - returns milliseconds since the epoch
 * @returns the event log
 */
export const createEventLog = (instance: string, sink: EventSink, wallClock: () => number): EventLog => {
    const windows = new Map<string, RateLimitWindow>();
    let droppedByReader = 0;
    const windowMilliseconds = 1000;
    // Returns how many events of this name the previous window dropped, or undefined if this event is over the limit.
    const applyRateLimit = (event: string, maxPerSecond: number, now: number): number | undefined => {
        const window = windows.get(event);
        if (window === undefined || now - window.startedAt >= windowMilliseconds) {
            windows.set(event, { startedAt: now, kept: 1, dropped: 0 });
            return window?.dropped ?? 0;
        }
        if (window.kept >= maxPerSecond) {
            window.dropped += 1;
            return undefined;
        }
        window.kept += 1;
        return 0;
    };
    const write = (event: string, fields: EventFields | undefined, maxPerSecond: number): void => {
        const now = wallClock();
        const droppedByRateLimit = applyRateLimit(event, maxPerSecond, now);
        if (droppedByRateLimit === undefined) {
            return;
        }
        if (sink.pendingBytes() > maxPendingBytes) {
            droppedByReader += 1;
            // The next line that is written reports them.
            (windows.get(event) as RateLimitWindow).dropped += droppedByRateLimit;
            return;
        }
        const line = {
            time: new Date(now).toISOString(),
            instance,
            event,
            ...fields,
            ...(droppedByRateLimit > 0 ? { leftOut: droppedByRateLimit } : {}),
            ...(droppedByReader > 0 ? { droppedByReader } : {}),
        };
        droppedByReader = 0;
        sink.write(`${JSON.stringify(line)}\n`);
    };
    return {
        write: (event, fields) => write(event, fields, maxEventsPerSecond),
        sample: (event, fields) => write(event, fields, maxSamplesPerSecond),
    };
};
