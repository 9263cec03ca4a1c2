/** The slots and the queue of an emulated upstream. */

/** Requests that an emulated upstream holds: it responds neither to further ones nor to what follows them on their connections. */
export interface EmulatedQueue {
    slots: number;
    maxWaiting: number;
}

/** Executes requests in order, as many at a time as there are slots. */
export interface ExecutionQueue {
    isFull: () => boolean;
    /** Executes a request once it has a slot; it calls `finish` to free the slot. */
    add: (execute: (finish: () => void) => void) => void;
    /** Returns the load report. */
    load: () => string;
}

/** Slots in load reports of an upstream without a queue. */
const defaultSlots = 4;

/**
 * Creates a queue.
 *
 * @param queue - the slots and the places; without them, every request is executed at once, and none is reported
 * @returns the queue
 */
export const createExecutionQueue = (queue: EmulatedQueue | undefined): ExecutionQueue => {
    const waiting: (() => void)[] = [];
    let running = 0;
    const slots = queue?.slots ?? Infinity;
    const startNext = (): void => {
        while (running < slots && waiting.length > 0) {
            running += 1;
            waiting.shift()?.();
        }
    };
    return {
        isFull: () => queue !== undefined && running >= slots && waiting.length >= queue.maxWaiting,
        add: execute => {
            waiting.push(() =>
                execute(() => {
                    running -= 1;
                    startNext();
                })
            );
            startNext();
        },
        load: () => queue === undefined ? `0,0,${defaultSlots}` : `${running},${waiting.length},${queue.slots}`,
    };
};
