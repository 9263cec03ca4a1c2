/** Seeds that once broke a promise, each with its cause; played by `npm run soak -- --regressions`. */
export const regressions: readonly { seed: number; cause: string; }[] = [
    {
        seed: 15,
        cause:
            "A second SIGTERM ended an instance that was stopping, and cut what it had under way: it listened for one only.",
    },
];
