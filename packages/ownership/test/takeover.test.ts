/**
 * When servers or instances are lost, no slot may have two owners, and every slot must have an owner again within the
 * recovery target.
 */
import * as earl from "earl";
import * as test from "node:test";
import * as simulations from "./fixtures/simulation";

const recoveryTargetMilliseconds = 2000;

test.describe("takeover after lost servers and instances", () => {
    test.it("serves every key again within the recovery target after a server is killed", async () => {
        const simulation = await simulations.createServingSimulation();
        const killedAt = simulation.timers.now();
        simulation.killServer(simulation.servers[0]);
        await simulation.advance(4000);
        earl.expect(simulation.overlaps()).toEqual([]);
        earl.expect(simulation.maxGapMilliseconds(killedAt) < recoveryTargetMilliseconds).toEqual(true);
    });

    test.it("keeps one owner per slot when a frozen server resumes", async () => {
        const simulation = await simulations.createServingSimulation();
        const frozenAt = simulation.timers.now();
        simulation.freezeServer(simulation.servers[0]);
        await simulation.advance(5000);
        simulation.thawServer(simulation.servers[0]);
        await simulation.advance(5000);
        earl.expect(simulation.overlaps()).toEqual([]);
        earl.expect(simulation.maxGapMilliseconds(frozenAt) < recoveryTargetMilliseconds).toEqual(true);
        earl.expect(simulation.isServing()).toEqual(true);
    });

    test.it("serves every key again within the recovery target while the log is down", async () => {
        const simulation = await simulations.createServingSimulation();
        simulation.log.faults.isDown = true;
        await simulation.advance(3000);
        const killedAt = simulation.timers.now();
        simulation.killServer(simulation.servers[1]);
        await simulation.advance(6000);
        earl.expect(simulation.overlaps()).toEqual([]);
        earl.expect(simulation.maxGapMilliseconds(killedAt) < recoveryTargetMilliseconds).toEqual(true);
        simulation.log.faults.isDown = false;
        await simulation.advance(6000);
        earl.expect(simulation.overlaps()).toEqual([]);
        earl.expect(simulation.maxGapMilliseconds(killedAt) < recoveryTargetMilliseconds).toEqual(true);
    });

    test.it("recovers within the target when the leader and a server are lost while the log is down", async () => {
        const simulation = await simulations.createServingSimulation();
        simulation.log.faults.isDown = true;
        await simulation.advance(500);
        const lostAt = simulation.timers.now();
        simulation.killInstance(simulation.leader() as never);
        simulation.killServer(simulation.servers[2]);
        await simulation.advance(6000);
        earl.expect(simulation.overlaps()).toEqual([]);
        earl.expect(simulation.maxGapMilliseconds(lostAt) < recoveryTargetMilliseconds).toEqual(true);
    });

    test.it("keeps serving when the only instance that has read the last record is lost before any other reads it", async () => {
        const simulation = await simulations.createServingSimulation();
        const reader = simulation.addInstance();
        await simulation.advanceUntil("six members", () => (reader.follower.state()?.members.length ?? 0) === 6, 5000);
        simulation.instances.slice(0, 5).forEach(instance => {
            instance.isDisconnectedFromLog = true;
        });
        const recordedAt = simulation.timers.now();
        void reader.writer.write({ kind: "claim", term: 2, member: reader.member });
        await simulation.advanceUntil("claim of term 2 read", () => reader.follower.state()?.term === 2, 1000);
        await simulation.advance(30);
        simulation.killInstance(reader);
        simulation.log.faults.isDown = true;
        await simulation.advance(5000);
        earl.expect(simulation.maxGapMilliseconds(recordedAt)).toEqual(0);
        earl.expect(simulation.overlaps()).toEqual([]);
    });

    test.it("starts an instance with the newest document version of any peer while the log is down", async () => {
        for (const seed of [1, 2, 3, 4, 5, 6]) {
            const simulation = await simulations.createServingSimulation({
                seed,
                delayedFraction: 0.5,
                maxPeerDelayMilliseconds: 250,
            });
            simulation.instances.slice(1).forEach(instance => {
                instance.isDisconnectedFromLog = true;
                instance.isDisconnectedFromPeers = true;
            });
            void simulation.publish("second");
            await simulation.advanceUntil(
                "second document in force",
                () => (simulation.instances[0].versions.at(-1) ?? 0) > 0,
                2000,
            );
            const newest = simulation.instances[0].versions.at(-1);
            simulation.log.faults.isDown = true;
            simulation.instances.forEach(instance => {
                instance.isDisconnectedFromPeers = false;
            });
            const started = simulation.addInstance();
            await simulation.advance(3000);
            earl.expect(started.versions).toEqual([newest ?? -1]);
        }
    });

    test.it("does not route a key by a table with a different slot count than the document", async () => {
        const simulation = await simulations.createServingSimulation({ slotCount: 12 });
        const instance = simulation.runningInstances()[0];
        const [service] = instance.coordinator.environment()?.environment.services ?? [];
        earl.expect(instance.coordinator.route(service, 3)?.isReady).toEqual(true);
        earl.expect(instance.coordinator.route({ ...service, keySlots: 6 }, 3)).toEqual(undefined);
    });

    test.it("leaves no slot without an owner when an instance is lost", async () => {
        const simulation = await simulations.createServingSimulation();
        const lostAt = simulation.timers.now();
        simulation.killInstance(simulation.instances[0]);
        await simulation.advance(6000);
        earl.expect(simulation.overlaps()).toEqual([]);
        earl.expect(simulation.maxGapMilliseconds(lostAt)).toEqual(0);
    });

    test.it("records no server as lost when an instance resumes from a pause", async () => {
        const simulation = await simulations.createServingSimulation();
        const pausedAt = simulation.timers.now();
        for (const instance of simulation.instances) {
            simulation.pauseInstance(instance);
            await simulation.advance(2500);
            simulation.resumeInstance(instance);
            await simulation.advance(3000);
        }
        earl.expect(JSON.stringify(simulation.log.appended).includes("\"status\":\"lost\"")).toEqual(false);
        earl.expect(simulation.maxGapMilliseconds(pausedAt)).toEqual(0);
    });

    test.it("recovers when a majority of instances is lost at once", async () => {
        const simulation = await simulations.createServingSimulation();
        simulation.instances.slice(0, 3).forEach(simulation.killInstance);
        await simulation.advanceUntil("serving", simulation.isServing, 10_000);
        earl.expect(simulation.overlaps()).toEqual([]);
    });

    test.it("recovers when every instance is replaced at once", async () => {
        const simulation = await simulations.createServingSimulation();
        [...simulation.instances].forEach(simulation.killInstance);
        [1, 2, 3].forEach(index => simulation.addInstance(`new-${index}`));
        await simulation.advanceUntil("serving", simulation.isServing, 20_000);
        earl.expect(simulation.overlaps()).toEqual([]);
    });

    test.it("recovers when the founding leader is lost before it adds another member", async () => {
        const simulation = simulations.createSimulation();
        void simulation.publish("first");
        await simulation.advanceUntil("first leader", () => simulation.leader() !== undefined, 5000);
        simulation.killInstance(simulation.leader() as never);
        await simulation.advanceUntil("serving", simulation.isServing, 20_000);
        earl.expect(simulation.overlaps()).toEqual([]);
    });

    test.it("moves slots off a draining server with one owner at a time", async () => {
        const simulation = await simulations.createServingSimulation();
        const startedAt = simulation.timers.now();
        simulation.servers[0].isDraining = true;
        await simulation.advance(6000);
        earl.expect(simulation.overlaps()).toEqual([]);
        earl.expect([...Array(simulation.slotCount).keys()].map(slot => simulation.ownerOf(slot)?.name)).not.toInclude(
            "server-1",
        );
        earl.expect(simulation.maxGapMilliseconds(startedAt) < 250).toEqual(true);
    });
});
