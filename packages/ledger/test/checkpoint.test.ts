/** Checkpoints: readers that start after records have expired, and writers lost half-way. */
import { createCheckpoint, createLogFollower, type LogState } from "@mulberryseam/ledger";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createPublish, createTestLog, followToEnd, type TestLog } from "./fixtures";

const largeDocument = "x".repeat(120_000);

const createPublishedLog = (): TestLog => {
    const log = createTestLog();
    log.append(createPublish(largeDocument, -1));
    log.append(createPublish("second", 0));
    return log;
};

const stateOf = (log: TestLog): LogState => followToEnd(log).state() as LogState;

const documentOf = (log: TestLog): string | undefined => followToEnd(log).state()?.environments[0]?.document;

describe("a reader that starts late", () => {
    it("starts from a whole checkpoint and the records after it", () => {
        const log = createPublishedLog();
        const chunks = createCheckpoint(stateOf(log), "one");
        const firstChunk = chunks.map(chunk => log.append(chunk))[0];
        log.append(createPublish("third", 1));
        log.expireBelow(firstChunk);
        expect(documentOf(log)).toEqual("third");
    });

    it("keeps accepted documents over many retention periods", () => {
        const log = createPublishedLog();
        for (let period = 0; period < 20; period++) {
            const chunks = createCheckpoint(stateOf(log), `period ${period}`);
            log.expireBelow(chunks.map(chunk => log.append(chunk))[0]);
        }
        expect(documentOf(log)).toEqual("second");
    });

    it("passes over a checkpoint whose writer was lost half-way", () => {
        const log = createTestLog();
        log.append(createPublish(largeDocument, -1));
        const whole = createCheckpoint(stateOf(log), "whole");
        const firstWhole = whole.map(chunk => log.append(chunk))[0];
        log.append(createPublish(`${largeDocument}2`, 0));
        createCheckpoint(stateOf(log), "half").slice(0, -1).forEach(chunk => log.append(chunk));
        log.expireBelow(firstWhole);
        expect(whole.length > 1).toEqual(true);
        expect(documentOf(log)).toEqual(`${largeDocument}2`);
    });

    it("does not start where records between the checkpoint and the oldest kept one are missing", () => {
        const log = createPublishedLog();
        const chunks = createCheckpoint(stateOf(log), "old");
        log.append(createPublish("third", 1));
        log.append(createPublish("fourth", 2));
        const firstChunk = chunks.map(chunk => log.append(chunk))[0];
        log.expireBelow(firstChunk);
        expect(followToEnd(log).state()).toEqual(undefined);
    });

    it("starts over when it was cut off for longer than records are kept", () => {
        const log = createPublishedLog();
        const follower = createLogFollower();
        follower.takePage(log.page(0, 1));
        const chunks = createCheckpoint(stateOf(log), "one");
        log.expireBelow(chunks.map(chunk => log.append(chunk))[0]);
        follower.takePage(log.page(follower.nextOffset()));
        expect(follower.state()?.environments[0].document).toEqual("second");
    });

    it("refuses a checkpoint whose digest is wrong", () => {
        const log = createPublishedLog();
        const chunks = createCheckpoint(stateOf(log), "one");
        chunks[0] = { ...chunks[0], data: chunks[0].data.replace("second", "secund") };
        log.expireBelow(chunks.map(chunk => log.append(chunk))[0]);
        expect(followToEnd(log).state()).toEqual(undefined);
    });
});
