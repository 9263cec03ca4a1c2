/** Whole sessions, compared with golden files; `npm run golden` writes them anew. */
import * as earl from "earl";
import * as fs from "node:fs";
import * as path from "node:path";
import * as test from "node:test";
import * as transcripts from "./fixtures/transcript";
import * as worlds from "./fixtures/world";

interface Session {
    name: string;
    play: (world: worlds.World, transcript: transcripts.Transcript) => Promise<void>;
}

const goldenFolder = path.resolve(__dirname, "golden");
const settleMilliseconds = 4000;

const start = async (world: worlds.World, transcript: transcripts.Transcript): Promise<void> => {
    transcript.heading("Publish and serve");
    void world.publish("first");
    await world.advanceUntil("serving", world.isServing, 15_000);
    await world.advance(settleMilliseconds);
    transcript.snapshot(world);
};

const step = async (
    world: worlds.World,
    transcript: transcripts.Transcript,
    heading: string,
    change: () => void,
): Promise<void> => {
    transcript.heading(heading);
    change();
    await world.advance(settleMilliseconds);
    transcript.snapshot(world);
};

const sessions: readonly Session[] = [
    {
        name: "publish-serve-move-drain-stop",
        play: async (world, transcript) => {
            await start(world, transcript);
            await step(world, transcript, "A new document", () => void world.publish("second"));
            await step(world, transcript, "server-1 drains", () => {
                world.servers[0].isDraining = true;
            });
            await step(world, transcript, "server-1 returns", () => {
                world.servers[0].isDraining = false;
            });
            await step(world, transcript, "entry-2 leaves as planned", () => {
                const leaving = world.running().find(instance => instance.member.name === "entry-2");
                leaving?.coordinator.leave();
            });
        },
    },
    {
        name: "losses-and-an-outage",
        play: async (world, transcript) => {
            await start(world, transcript);
            await step(world, transcript, "server-2 is lost", () => world.killServer(world.servers[1]));
            await step(world, transcript, "The log goes down", () => {
                world.log.faults.isDown = true;
            });
            await step(world, transcript, "server-3 and an instance are lost", () => {
                world.killServer(world.servers[2]);
                world.kill(world.running()[3]);
            });
            await step(world, transcript, "The log comes back", () => {
                world.log.faults.isDown = false;
            });
            await step(world, transcript, "Both servers return", () => {
                world.restartServer(world.servers[1]);
                world.restartServer(world.servers[2]);
            });
        },
    },
    {
        name: "operators-race",
        play: async (world, transcript) => {
            await start(world, transcript);
            transcript.heading("Two operators publish on the same basis");
            const outcomes = await Promise.all([
                Promise.all([world.publish("from amina", 0), world.publish("from talei", 0)]),
                world.advance(settleMilliseconds),
            ]);
            transcript.heading(`What they are told: ${outcomes[0].sort().join("; ")}`);
            transcript.snapshot(world);
        },
    },
];

test.describe("whole sessions", () => {
    for (const { name, play } of sessions) {
        test.it(name, async () => {
            const transcript = transcripts.createTranscript();
            const world = worlds.createWorld({ onAppend: transcript.onAppend });
            await play(world, transcript);
            const file = path.join(goldenFolder, `${name}.txt`);
            if (process.env.GOLDEN_WRITE === "1") {
                fs.writeFileSync(file, transcript.text());
            }
            earl.expect(transcript.text()).toEqual(fs.readFileSync(file, "utf8"));
        });
    }
});
