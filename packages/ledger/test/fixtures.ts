/** Test fixtures: an in-memory log and record bodies. */
import * as ledger from "@mulberryseam/ledger";

/** An in-memory log whose first records can expire. */
export interface TestLog {
    append: (body: ledger.RecordBody, writer?: string, sequence?: number) => number;
    page: (from: number, limit?: number) => ledger.LogPage;
    /** Expires the records below an offset. */
    expireBelow: (offset: number) => void;
}

/**
 * Creates an in-memory log.
 *
 * @returns an empty log
 */
export const createTestLog = (): TestLog => {
    const records: { offset: number; value: unknown; }[] = [];
    let oldestOffset = 0;
    let sequence = 0;
    return {
        append: (body, writer = "writer", givenSequence) => {
            const record: ledger.LogRecord = { identifier: { writer, sequence: givenSequence ?? sequence++ }, body };
            records.push({ offset: records.length, value: JSON.parse(JSON.stringify(record)) });
            return records.length - 1;
        },
        page: (from, limit = 1000) => {
            const retained = records.filter(record => record.offset >= Math.max(from, oldestOffset));
            return { oldestOffset, nextOffset: records.length, records: retained.slice(0, limit) };
        },
        expireBelow: offset => {
            oldestOffset = offset;
        },
    };
};

/**
 * Creates a member.
 *
 * @param name - name of the member
 * @returns the member in its first incarnation
 */
export const createMember = (name: string): ledger.Member => ({
    name,
    incarnation: "run-1",
    address: "127.0.0.1:9000",
    region: "north",
    failureDomain: "north-a",
});

/**
 * Creates the body of a publish record.
 *
 * @param document - text of the document
 * @param basedOn - version that the document is based on
 * @returns the record body
 */
export const createPublish = (document: string, basedOn: number): ledger.RecordBody => ({
    kind: "publish",
    environment: "production",
    basedOn,
    document,
});

/**
 * Creates a follower and applies the whole log, page by page.
 *
 * @param log - the log
 * @returns a follower at the end of the log
 */
export const createFollowerAtEnd = (log: TestLog) => {
    const follower = ledger.createLogFollower();
    for (let page = log.page(0); follower.nextOffset() < page.nextOffset; page = log.page(follower.nextOffset())) {
        follower.applyPage(page);
    }
    return follower;
};
