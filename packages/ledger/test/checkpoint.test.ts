/** Checkpoints: readers that start after records have expired, and checkpoints that are incomplete or corrupted. */
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

const readState = (log: fixtures.TestLog): ledger.LogState =>
    fixtures.createFollowerAtEnd(log).state() as ledger.LogState;

const readDocument = (log: fixtures.TestLog): string | undefined =>
    fixtures.createFollowerAtEnd(log).state()?.environments[0]?.document;

test.describe("a reader that starts after records have expired", () => {
    test.it("starts from a complete checkpoint and the records after it", () => {
        const log = createPublishedLog();
        const chunks = ledger.createCheckpoint(readState(log), "one");
        const firstChunk = chunks.map(chunk => log.append(chunk))[0];
        log.append(fixtures.createPublish("third", 1));
        log.expireBelow(firstChunk);
        earl.expect(readDocument(log)).toEqual("third");
    });

    test.it("keeps accepted documents across many retention periods", () => {
        const log = createPublishedLog();
        for (let period = 0; period < 20; period++) {
            const chunks = ledger.createCheckpoint(readState(log), `period ${period}`);
            log.expireBelow(chunks.map(chunk => log.append(chunk))[0]);
        }
        earl.expect(readDocument(log)).toEqual("second");
    });

    test.it("ignores an incomplete checkpoint whose writer terminated before the last chunk", () => {
        const log = fixtures.createTestLog();
        log.append(fixtures.createPublish(largeDocument, -1));
        const completeChunks = ledger.createCheckpoint(readState(log), "whole");
        const firstChunk = completeChunks.map(chunk => log.append(chunk))[0];
        log.append(fixtures.createPublish(`${largeDocument}2`, 0));
        ledger.createCheckpoint(readState(log), "half").slice(0, -1).forEach(chunk => log.append(chunk));
        log.expireBelow(firstChunk);
        earl.expect(completeChunks.length > 1).toEqual(true);
        earl.expect(readDocument(log)).toEqual(`${largeDocument}2`);
    });

    test.it("does not start from a checkpoint if records directly after it have expired", () => {
        const log = createPublishedLog();
        const chunks = ledger.createCheckpoint(readState(log), "old");
        log.append(fixtures.createPublish("third", 1));
        log.append(fixtures.createPublish("fourth", 2));
        const firstChunk = chunks.map(chunk => log.append(chunk))[0];
        log.expireBelow(firstChunk);
        earl.expect(fixtures.createFollowerAtEnd(log).state()).toEqual(undefined);
    });

    test.it("restarts from a checkpoint if it was disconnected for longer than the retention period", () => {
        const log = createPublishedLog();
        const follower = ledger.createLogFollower();
        follower.applyPage(log.page(0, 1));
        const chunks = ledger.createCheckpoint(readState(log), "one");
        log.expireBelow(chunks.map(chunk => log.append(chunk))[0]);
        follower.applyPage(log.page(follower.nextOffset()));
        earl.expect(follower.state()?.environments[0].document).toEqual("second");
    });

    test.it("refuses a checkpoint with a wrong digest", () => {
        const log = createPublishedLog();
        const chunks = ledger.createCheckpoint(readState(log), "one");
        chunks[0] = { ...chunks[0], data: chunks[0].data.replace("second", "secund") };
        log.expireBelow(chunks.map(chunk => log.append(chunk))[0]);
        earl.expect(fixtures.createFollowerAtEnd(log).state()).toEqual(undefined);
    });
});
