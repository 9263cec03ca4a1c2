/**
 * Random interleavings of faults and operations must not produce two owners, revert a document version or prevent
 * recovery. The seed is fixed unless `INTERLEAVINGS_SEED` sets another; `npm run interleavings` does more runs.
 */
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";
import * as simulations from "./fixtures/simulation";
import * as simulationActions from "./fixtures/simulationActions";
import * as simulationInvariants from "./fixtures/simulationInvariants";

const seed = Number(process.env.INTERLEAVINGS_SEED ?? 20261204);
const runCount = Number(process.env.INTERLEAVINGS_RUNS ?? 40);

const actionArbitrary: fastCheck.Arbitrary<simulationActions.Action> = fastCheck.record({
    kind: fastCheck.constantFrom(...Object.values(simulationActions.ActionKind)),
    target: fastCheck.nat(7),
    waitMilliseconds: fastCheck.constantFrom(0, 20, 100, 300, 700, 1500),
});

const runAndFindViolations = async (
    simulationSeed: number,
    actions: readonly simulationActions.Action[],
): Promise<string[]> => {
    const simulation = await simulations.createServingSimulation({
        seed: simulationSeed,
        delayedFraction: 0.2,
        maxServerDelayMilliseconds: 1500,
        maxPeerDelayMilliseconds: 600,
    });
    const publishResults: string[] = [];
    for (const action of actions) {
        await simulationActions.performAction(simulation, action, publishResults);
    }
    const violations = simulationInvariants.findViolations(simulation);
    simulationActions.repairAll(simulation);
    return [...violations, ...await simulationInvariants.findRecoveryViolations(simulation, publishResults)];
};

/** Interleavings that once violated an invariant. */
const regressions: readonly { name: string; simulationSeed: number; actions: readonly simulationActions.Action[]; }[] =
    [
        {
            name: "a slot released to a new owner is not granted immediately to that owner's successor",
            simulationSeed: 1,
            actions: [
                { kind: "drainServer", target: 3, waitMilliseconds: 1500 },
                { kind: "freezeServer", target: 2, waitMilliseconds: 1500 },
            ],
        },
    ];

test.describe("random interleavings", () => {
    for (const { name, simulationSeed, actions } of regressions) {
        test.it(name, async () => {
            earl.expect(await runAndFindViolations(simulationSeed, actions)).toEqual([]);
        });
    }

    test.it("keep one owner per slot, never revert a document version, and recover", async () => {
        await fastCheck.assert(
            fastCheck.asyncProperty(
                fastCheck.integer({ min: 1, max: 1_000_000 }),
                fastCheck.array(actionArbitrary, { minLength: 3, maxLength: 14 }),
                async (simulationSeed, actions) => {
                    earl.expect(await runAndFindViolations(simulationSeed, actions)).toEqual([]);
                },
            ),
            { seed, numRuns: runCount, endOnFailure: process.env.INTERLEAVINGS_QUICK === "1" },
        );
    });
});
