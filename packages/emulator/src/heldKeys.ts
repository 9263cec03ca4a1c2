/** The keys that an emulated upstream holds according to the lease commands that have reached it. */

interface HeldRange {
    from: number;
    target: number;
    fence: number;
    expiresAt: number;
}

/** Body of a lease command. */
export interface LeaseCommandBody {
    from: number;
    target: number;
    fence: number;
    hold_time?: string;
}

/** The keys that an emulated upstream holds. */
export interface HeldKeys {
    /** Whether the upstream holds an unexpired grant for a key. */
    owns: (key: number) => boolean;
    /** Applies a grant; returns false if a command with a higher fence was applied to one of its keys. */
    grant: (body: LeaseCommandBody) => boolean;
    release: (body: LeaseCommandBody) => void;
}

/**
 * Creates an upstream's keys, of which it holds none.
 *
 * @returns the keys
 */
export const createHeldKeys = (): HeldKeys => {
    let heldRanges: HeldRange[] = [];
    const appliedCommands: HeldRange[] = [];

    const excludeRange = (body: LeaseCommandBody): HeldRange[] =>
        heldRanges.flatMap(range =>
            [
                { ...range, target: Math.min(range.target, body.from - 1) },
                { ...range, from: Math.max(range.from, body.target + 1) },
            ].filter(subrange => subrange.from <= subrange.target)
        );

    return {
        owns: key =>
            heldRanges.some(range => range.from <= key && range.target >= key && range.expiresAt > performance.now()),
        grant: body => {
            const isFenced = appliedCommands.some(command =>
                command.from <= body.target && command.target >= body.from && command.fence > body.fence
            );
            if (isFenced) {
                return false;
            }
            const heldRange = { ...body, expiresAt: performance.now() + Number.parseInt(body.hold_time ?? "0", 10) };
            heldRanges = [...excludeRange(body), heldRange];
            appliedCommands.push(heldRange);
            return true;
        },
        release: body => {
            heldRanges = excludeRange(body);
            appliedCommands.push({ ...body, expiresAt: 0 });
        },
    };
};
