/** Checkpoints: readers that start after records have expired, and writers lost half-way. */
import * as ledger from "@mulberryseam/ledger";
import * as earl from "earl";
import * as test from "node:test";
import * as fixtures from "./fixtures";

const largeDocument = "x".repeat(120_000);

const createPublishedLog = (): fixtures.TestLog => {
    const log = fixtures.createTestLog();
    log.append(fixtures.createPublish(largeDocument, -1));
    log.append(fixtures.createPublish("second", 0));
    return log;
};

const stateOf = (log: fixtures.TestLog): ledger.LogState => fixtures.followToEnd(log).state() as ledger.LogState;

const documentOf = (log: fixtures.TestLog): string | undefined =>
    fixtures.followToEnd(log).state()?.environments[0]?.document;

test.describe("a reader that starts late", () => {
    test.it("starts from a whole checkpoint and the records after it", () => {
        const log = createPublishedLog();
        const chunks = ledger.createCheckpoint(stateOf(log), "one");
        const firstChunk = chunks.map(chunk => log.append(chunk))[0];
        log.append(fixtures.createPublish("third", 1));
        log.expireBelow(firstChunk);
        earl.expect(documentOf(log)).toEqual("third");
    });

    test.it("keeps accepted documents over many retention periods", () => {
        const log = createPublishedLog();
        for (let period = 0; period < 20; period++) {
            const chunks = ledger.createCheckpoint(stateOf(log), `period ${period}`);
            log.expireBelow(chunks.map(chunk => log.append(chunk))[0]);
        }
        earl.expect(documentOf(log)).toEqual("second");
    });

    test.it("passes over a checkpoint whose writer was lost half-way", () => {
        const log = fixtures.createTestLog();
        log.append(fixtures.createPublish(largeDocument, -1));
        const whole = ledger.createCheckpoint(stateOf(log), "whole");
        const firstWhole = whole.map(chunk => log.append(chunk))[0];
        log.append(fixtures.createPublish(`${largeDocument}2`, 0));
        ledger.createCheckpoint(stateOf(log), "half").slice(0, -1).forEach(chunk => log.append(chunk));
        log.expireBelow(firstWhole);
        earl.expect(whole.length > 1).toEqual(true);
        earl.expect(documentOf(log)).toEqual(`${largeDocument}2`);
    });

    test.it("does not start where records between the checkpoint and the oldest kept one are missing", () => {
        const log = createPublishedLog();
        const chunks = ledger.createCheckpoint(stateOf(log), "old");
        log.append(fixtures.createPublish("third", 1));
        log.append(fixtures.createPublish("fourth", 2));
        const firstChunk = chunks.map(chunk => log.append(chunk))[0];
        log.expireBelow(firstChunk);
        earl.expect(fixtures.followToEnd(log).state()).toEqual(undefined);
    });

    test.it("starts over when it was cut off for longer than records are kept", () => {
        const log = createPublishedLog();
        const follower = ledger.createLogFollower();
        follower.takePage(log.page(0, 1));
        const chunks = ledger.createCheckpoint(stateOf(log), "one");
        log.expireBelow(chunks.map(chunk => log.append(chunk))[0]);
        follower.takePage(log.page(follower.nextOffset()));
        earl.expect(follower.state()?.environments[0].document).toEqual("second");
    });

    test.it("refuses a checkpoint whose digest is wrong", () => {
        const log = createPublishedLog();
        const chunks = ledger.createCheckpoint(stateOf(log), "one");
        chunks[0] = { ...chunks[0], data: chunks[0].data.replace("second", "secund") };
        log.expireBelow(chunks.map(chunk => log.append(chunk))[0]);
        earl.expect(fixtures.followToEnd(log).state()).toEqual(undefined);
    });
});
