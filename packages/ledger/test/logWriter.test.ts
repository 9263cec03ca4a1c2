/** Writers: answers that are lost after the write took effect, and outcomes that are only said when certain. */
import * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";
import * as earl from "earl";
import * as test from "node:test";
import * as tsResults from "ts-results";
import * as fixtures from "./fixtures";

const flush = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const createFixture = (losesAnswers: boolean, losesWrites = false) => {
    const log = fixtures.createTestLog();
    const timers = foundation.createVirtualTimerService();
    const follower = ledger.createLogFollower();
    const client: ledger.LogClient = {
        append: async value => {
            const { identifier, body } = value as Parameters<typeof log.append>[0] & {
                identifier: { writer: string; sequence: number; };
                body: Parameters<typeof log.append>[0];
            };
            const offset = losesWrites ? -1 : log.append(body, identifier.writer, identifier.sequence);
            return losesAnswers
                ? tsResults.Err({ kind: ledger.LogErrorKind.unavailable, message: "lost" })
                : tsResults.Ok(offset);
        },
        read: async from => tsResults.Ok(log.page(from)),
    };
    const writer = ledger.createLogWriter({ client, timers, writer: "leader#run-1" });
    const readBack = (): void => follower.takePage(log.page(follower.nextOffset())).forEach(writer.takeFolded);
    return { log, timers, writer, readBack };
};

test.describe("a writer", () => {
    test.it("says accepted only after the record was read back", async () => {
        const { writer, readBack } = createFixture(false);
        let isSettled = false;
        const writing = writer.write(fixtures.createPublish("first", -1)).finally(() => {
            isSettled = true;
        });
        await flush();
        earl.expect(isSettled).toEqual(false);
        readBack();
        earl.expect((await writing).ok).toEqual(true);
    });

    test.it("finds its record when the answer was lost after the write took effect", async () => {
        const { log, timers, writer, readBack } = createFixture(true);
        const writing = writer.write(fixtures.createPublish("first", -1));
        await flush();
        timers.advance(2500);
        await flush();
        earl.expect(log.page(0).records.length).toEqual(3);
        readBack();
        earl.expect((await writing).val).toEqual(0);
    });

    test.it("says unknown when nothing is read back in time", async () => {
        const { timers, writer } = createFixture(true, true);
        const writing = writer.write(fixtures.createPublish("first", -1));
        await flush();
        timers.advance(10_000);
        const result = await writing;
        earl.expect(result.err && result.val.kind).toEqual("unknown");
    });

    test.it("tells the reason when the fold refuses the record", async () => {
        const { log, writer, readBack } = createFixture(false);
        log.append(fixtures.createPublish("other", -1), "operator");
        const writing = writer.write(fixtures.createPublish("first", -1));
        await flush();
        readBack();
        const result = await writing;
        earl.expect(result.err && result.val.kind).toEqual("refused");
    });
});
