/** Sole ownership and short unavailability when servers and instances are lost. */
import * as earl from "earl";
import * as test from "node:test";
import * as worlds from "./fixtures/world";

const targetMilliseconds = 2000;

test.describe("taking over from a lost server", () => {
    test.it("serves every key again within the target after a kill", async () => {
        const world = await worlds.createServingWorld();
        const killedAt = world.timers.now();
        world.killServer(world.servers[0]);
        await world.advance(4000);
        earl.expect(world.overlaps()).toEqual([]);
        earl.expect(world.longestGap(killedAt) < targetMilliseconds).toEqual(true);
    });

    test.it("keeps one owner when a frozen server wakes", async () => {
        const world = await worlds.createServingWorld();
        const frozenAt = world.timers.now();
        world.freeze(world.servers[0]);
        await world.advance(5000);
        world.thaw(world.servers[0]);
        await world.advance(5000);
        earl.expect(world.overlaps()).toEqual([]);
        earl.expect(world.longestGap(frozenAt) < targetMilliseconds).toEqual(true);
        earl.expect(world.isServing()).toEqual(true);
    });

    test.it("serves again within the target while the log is down", async () => {
        const world = await worlds.createServingWorld();
        world.log.faults.isDown = true;
        await world.advance(3000);
        const killedAt = world.timers.now();
        world.killServer(world.servers[1]);
        await world.advance(6000);
        earl.expect(world.overlaps()).toEqual([]);
        earl.expect(world.longestGap(killedAt) < targetMilliseconds).toEqual(true);
        world.log.faults.isDown = false;
        await world.advance(6000);
        earl.expect(world.overlaps()).toEqual([]);
        earl.expect(world.longestGap(killedAt) < targetMilliseconds).toEqual(true);
    });

    test.it("serves again within the target when the leader and a server are lost while the log is down", async () => {
        const world = await worlds.createServingWorld();
        world.log.faults.isDown = true;
        await world.advance(500);
        const lostAt = world.timers.now();
        world.kill(world.leader() as never);
        world.killServer(world.servers[2]);
        await world.advance(6000);
        earl.expect(world.overlaps()).toEqual([]);
        earl.expect(world.longestGap(lostAt) < targetMilliseconds).toEqual(true);
    });

    test.it("goes on when the only instance that read the last record is lost with it unread by the others", async () => {
        const world = await worlds.createServingWorld();
        const reader = world.addInstance();
        await world.advanceUntil("the record", () => (reader.follower.state()?.members.length ?? 0) === 6, 5000);
        world.instances.slice(0, 5).forEach(instance => {
            instance.isCutFromLog = true;
        });
        const recordedAt = world.timers.now();
        void reader.writer.write({ kind: "claim", term: 2, member: reader.member });
        await world.advanceUntil("the claim", () => reader.follower.state()?.term === 2, 1000);
        await world.advance(30);
        world.kill(reader);
        world.log.faults.isDown = true;
        await world.advance(5000);
        earl.expect(world.longestGap(recordedAt)).toEqual(0);
        earl.expect(world.overlaps()).toEqual([]);
    });

    test.it("starts an instance while the log is down with the newest version that any peer has", async () => {
        for (const seed of [1, 2, 3, 4, 5, 6]) {
            const world = await worlds.createServingWorld({ seed, lateShare: 0.5, latePeerMilliseconds: 250 });
            world.instances.slice(1).forEach(instance => {
                instance.isCutFromLog = true;
                instance.isCutFromPeers = true;
            });
            void world.publish("second");
            await world.advanceUntil("the version", () => (world.instances[0].versions.at(-1) ?? 0) > 0, 2000);
            const newest = world.instances[0].versions.at(-1);
            world.log.faults.isDown = true;
            world.instances.forEach(instance => {
                instance.isCutFromPeers = false;
            });
            const started = world.addInstance();
            await world.advance(3000);
            earl.expect(started.versions).toEqual([newest ?? -1]);
        }
    });

    test.it("routes no key by a table that was made for another number of slots", async () => {
        const world = await worlds.createServingWorld({ slots: 12 });
        const instance = world.running()[0];
        const [service] = instance.coordinator.environment()?.environment.services ?? [];
        earl.expect(instance.coordinator.route(service, 3)?.isReady).toEqual(true);
        earl.expect(instance.coordinator.route({ ...service, keySlots: 6 }, 3)).toEqual(undefined);
    });

    test.it("interrupts nothing when an instance is lost", async () => {
        const world = await worlds.createServingWorld();
        const lostAt = world.timers.now();
        world.kill(world.instances[0]);
        await world.advance(6000);
        earl.expect(world.overlaps()).toEqual([]);
        earl.expect(world.longestGap(lostAt)).toEqual(0);
    });

    test.it("ends no session when an instance wakes from a pause", async () => {
        const world = await worlds.createServingWorld();
        const pausedAt = world.timers.now();
        for (const instance of world.instances) {
            world.pause(instance);
            await world.advance(2500);
            world.resume(instance);
            await world.advance(3000);
        }
        earl.expect(JSON.stringify(world.log.appended).includes("\"status\":\"lost\"")).toEqual(false);
        earl.expect(world.longestGap(pausedAt)).toEqual(0);
    });

    test.it("recovers when a majority of instances is lost at once", async () => {
        const world = await worlds.createServingWorld();
        world.instances.slice(0, 3).forEach(world.kill);
        await world.advanceUntil("serving", world.isServing, 10_000);
        earl.expect(world.overlaps()).toEqual([]);
    });

    test.it("recovers when every instance is replaced at once", async () => {
        const world = await worlds.createServingWorld();
        [...world.instances].forEach(world.kill);
        [1, 2, 3].forEach(number => world.addInstance(`new-${number}`));
        await world.advanceUntil("serving", world.isServing, 20_000);
        earl.expect(world.overlaps()).toEqual([]);
    });

    test.it("recovers when the founder is lost before it has added another member", async () => {
        const world = worlds.createWorld();
        void world.publish("first");
        await world.advanceUntil("a founder", () => world.leader() !== undefined, 5000);
        world.kill(world.leader() as never);
        await world.advanceUntil("serving", world.isServing, 20_000);
        earl.expect(world.overlaps()).toEqual([]);
    });

    test.it("moves slots away from a draining server one owner at a time", async () => {
        const world = await worlds.createServingWorld();
        const startedAt = world.timers.now();
        world.servers[0].isDraining = true;
        await world.advance(6000);
        earl.expect(world.overlaps()).toEqual([]);
        earl.expect([...Array(world.slotCount).keys()].map(slot => world.ownerOf(slot)?.name)).not.toInclude(
            "server-1",
        );
        earl.expect(world.longestGap(startedAt) < 250).toEqual(true);
    });
});
