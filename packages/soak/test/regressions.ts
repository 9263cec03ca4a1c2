/** Seeds that once broke a promise, each with its cause; played by `npm run soak -- --first SEED --seeds 1`. */
export const regressions: readonly { seed: number; cause: string; }[] = [];
