/** Compares transcripts of complete scenarios with golden files, which `npm run golden` rewrites. */
import * as earl from "earl";
import * as fs from "node:fs";
import * as path from "node:path";
import * as test from "node:test";
import * as simulations from "./fixtures/simulation";
import * as transcripts from "./fixtures/transcript";

interface Scenario {
    name: string;
    run: (simulation: simulations.Simulation, transcript: transcripts.Transcript) => Promise<void>;
}

const goldenFolder = path.resolve(__dirname, "golden");
const settleMilliseconds = 4000;

const publishAndServe = async (
    simulation: simulations.Simulation,
    transcript: transcripts.Transcript,
): Promise<void> => {
    transcript.addHeading("Publish and serve");
    void simulation.publish("first");
    await simulation.advanceUntil("serving", simulation.isServing, 15_000);
    await simulation.advance(settleMilliseconds);
    transcript.addSnapshot(simulation);
};

const runStep = async (
    simulation: simulations.Simulation,
    transcript: transcripts.Transcript,
    heading: string,
    action: () => void,
): Promise<void> => {
    transcript.addHeading(heading);
    action();
    await simulation.advance(settleMilliseconds);
    transcript.addSnapshot(simulation);
};

const scenarios: readonly Scenario[] = [
    {
        name: "publish-serve-move-drain-stop",
        run: async (simulation, transcript) => {
            await publishAndServe(simulation, transcript);
            await runStep(simulation, transcript, "A new document", () => void simulation.publish("second"));
            await runStep(simulation, transcript, "server-1 drains", () => {
                simulation.servers[0].isDraining = true;
            });
            await runStep(simulation, transcript, "server-1 returns", () => {
                simulation.servers[0].isDraining = false;
            });
            await runStep(simulation, transcript, "entry-2 leaves as planned", () => {
                const leaving = simulation.runningInstances().find(instance => instance.member.name === "entry-2");
                leaving?.coordinator.leave();
            });
        },
    },
    {
        name: "losses-and-an-outage",
        run: async (simulation, transcript) => {
            await publishAndServe(simulation, transcript);
            await runStep(
                simulation,
                transcript,
                "server-2 is lost",
                () => simulation.killServer(simulation.servers[1]),
            );
            await runStep(simulation, transcript, "The log goes down", () => {
                simulation.log.faults.isDown = true;
            });
            await runStep(simulation, transcript, "server-3 and an instance are lost", () => {
                simulation.killServer(simulation.servers[2]);
                simulation.killInstance(simulation.runningInstances()[3]);
            });
            await runStep(simulation, transcript, "The log comes back", () => {
                simulation.log.faults.isDown = false;
            });
            await runStep(simulation, transcript, "Both servers return", () => {
                simulation.restartServer(simulation.servers[1]);
                simulation.restartServer(simulation.servers[2]);
            });
        },
    },
    {
        name: "operators-race",
        run: async (simulation, transcript) => {
            await publishAndServe(simulation, transcript);
            transcript.addHeading("Two operators publish on the same basis");
            const outcomes = await Promise.all([
                Promise.all([simulation.publish("from amina", 0), simulation.publish("from talei", 0)]),
                simulation.advance(settleMilliseconds),
            ]);
            transcript.addHeading(`What they are told: ${outcomes[0].sort().join("; ")}`);
            transcript.addSnapshot(simulation);
        },
    },
];

test.describe("complete scenarios", () => {
    for (const { name, run } of scenarios) {
        test.it(name, async () => {
            const transcript = transcripts.createTranscript();
            const simulation = simulations.createSimulation({ onAppend: transcript.onAppend });
            await run(simulation, transcript);
            const file = path.join(goldenFolder, `${name}.txt`);
            if (process.env.GOLDEN_WRITE === "1") {
                fs.writeFileSync(file, transcript.text());
            }
            earl.expect(transcript.text()).toEqual(fs.readFileSync(file, "utf8"));
        });
    }
});
