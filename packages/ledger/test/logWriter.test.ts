/** Writers: answers that are lost after the write took effect, and outcomes that are only said when certain. */
import { createVirtualTimerService } from "@mulberryseam/foundation";
import { createLogFollower, createLogWriter, type LogClient, LogErrorKind } from "@mulberryseam/ledger";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Err, Ok } from "ts-results";
import { createPublish, createTestLog } from "./fixtures";

const flush = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const createFixture = (losesAnswers: boolean, losesWrites = false) => {
    const log = createTestLog();
    const timers = createVirtualTimerService();
    const follower = createLogFollower();
    const client: LogClient = {
        append: async value => {
            const { identifier, body } = value as Parameters<typeof log.append>[0] & {
                identifier: { writer: string; sequence: number; };
                body: Parameters<typeof log.append>[0];
            };
            const offset = losesWrites ? -1 : log.append(body, identifier.writer, identifier.sequence);
            return losesAnswers ? Err({ kind: LogErrorKind.unavailable, message: "lost" }) : Ok(offset);
        },
        read: async from => Ok(log.page(from)),
    };
    const writer = createLogWriter({ client, timers, writer: "leader#run-1" });
    const readBack = (): void => follower.takePage(log.page(follower.nextOffset())).forEach(writer.takeFolded);
    return { log, timers, writer, readBack };
};

describe("a writer", () => {
    it("says accepted only after the record was read back", async () => {
        const { writer, readBack } = createFixture(false);
        let isSettled = false;
        const writing = writer.write(createPublish("first", -1)).finally(() => {
            isSettled = true;
        });
        await flush();
        expect(isSettled).toEqual(false);
        readBack();
        expect((await writing).ok).toEqual(true);
    });

    it("finds its record when the answer was lost after the write took effect", async () => {
        const { log, timers, writer, readBack } = createFixture(true);
        const writing = writer.write(createPublish("first", -1));
        await flush();
        timers.advance(2500);
        await flush();
        expect(log.page(0).records.length).toEqual(3);
        readBack();
        expect((await writing).val).toEqual(0);
    });

    it("says unknown when nothing is read back in time", async () => {
        const { timers, writer } = createFixture(true, true);
        const writing = writer.write(createPublish("first", -1));
        await flush();
        timers.advance(10_000);
        const result = await writing;
        expect(result.err && result.val.kind).toEqual("unknown");
    });

    it("tells the reason when the fold refuses the record", async () => {
        const { log, writer, readBack } = createFixture(false);
        log.append(createPublish("other", -1), "operator");
        const writing = writer.write(createPublish("first", -1));
        await flush();
        readBack();
        const result = await writing;
        expect(result.err && result.val.kind).toEqual("refused");
    });
});
