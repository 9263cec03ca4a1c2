/** Log writer: responses lost after the append took effect, and outcomes reported only once the record is read back. */
import * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";
import * as earl from "earl";
import * as test from "node:test";
import * as tsResults from "ts-results";
import * as fixtures from "./fixtures";

const flush = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const createFixture = (losesResponses: boolean, losesWrites = false) => {
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
            return losesResponses
                ? tsResults.Err({ kind: ledger.LogErrorKind.unavailable, message: "lost" })
                : tsResults.Ok(offset);
        },
        read: async from => tsResults.Ok(log.page(from)),
    };
    const writer = ledger.createLogWriter({ client, timers, writer: "leader#run-1" });
    const readBack = (): void => follower.applyPage(log.page(follower.nextOffset())).forEach(writer.notifyApplied);
    return { log, timers, writer, readBack };
};

test.describe("a log writer", () => {
    test.it("reports a record as accepted only after it was read back", async () => {
        const { writer, readBack } = createFixture(false);
        let isSettled = false;
        const pendingWrite = writer.write(fixtures.createPublish("first", -1)).finally(() => {
            isSettled = true;
        });
        await flush();
        earl.expect(isSettled).toEqual(false);
        readBack();
        earl.expect((await pendingWrite).ok).toEqual(true);
    });

    test.it("reports the offset of its record when the response was lost after the append took effect", async () => {
        const { log, timers, writer, readBack } = createFixture(true);
        const pendingWrite = writer.write(fixtures.createPublish("first", -1));
        await flush();
        timers.advance(2500);
        await flush();
        earl.expect(log.page(0).records.length).toEqual(3);
        readBack();
        earl.expect((await pendingWrite).val).toEqual(0);
    });

    test.it("reports an unknown outcome when the record is not read back before the timeout", async () => {
        const { timers, writer } = createFixture(true, true);
        const pendingWrite = writer.write(fixtures.createPublish("first", -1));
        await flush();
        timers.advance(10_000);
        const result = await pendingWrite;
        earl.expect(result.err && result.val.kind).toEqual("unknown");
    });

    test.it("reports a refusal when the record conflicts with an earlier one", async () => {
        const { log, writer, readBack } = createFixture(false);
        log.append(fixtures.createPublish("other", -1), "operator");
        const pendingWrite = writer.write(fixtures.createPublish("first", -1));
        await flush();
        readBack();
        const result = await pendingWrite;
        earl.expect(result.err && result.val.kind).toEqual("refused");
    });
});
