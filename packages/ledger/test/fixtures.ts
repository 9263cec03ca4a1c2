/** Records and logs for tests. */
import * as ledger from "@mulberryseam/ledger";

/** A log in memory, whose first records may have expired. */
export interface TestLog {
    append: (body: ledger.RecordBody, writer?: string, sequence?: number) => number;
    page: (from: number, limit?: number) => ledger.LogPage;
    /** Drops records below an offset. */
    expireBelow: (offset: number) => void;
}

/**
 * Creates a log.
 *
 * @returns an empty log
 */
export const createTestLog = (): TestLog => {
    const records: { offset: number; value: unknown; }[] = [];
    let oldestOffset = 0;
    let sequence = 0;
    return {
        append: (body, writer = "writer", own) => {
            const record: ledger.LogRecord = { identifier: { writer, sequence: own ?? sequence++ }, body };
            records.push({ offset: records.length, value: JSON.parse(JSON.stringify(record)) });
            return records.length - 1;
        },
        page: (from, limit = 1000) => {
            const kept = records.filter(record => record.offset >= Math.max(from, oldestOffset));
            return { oldestOffset, nextOffset: records.length, records: kept.slice(0, limit) };
        },
        expireBelow: offset => {
            oldestOffset = offset;
        },
    };
};

/**
 * Creates a member.
 *
 * @param name - its name
 * @returns the member in its first run
 */
export const createMember = (name: string): ledger.Member => ({
    name,
    incarnation: "run-1",
    address: "127.0.0.1:9000",
    region: "north",
    failureDomain: "north-a",
});

/**
 * Creates the body of a publish.
 *
 * @param document - the text
 * @param basedOn - version it is based on
 * @returns the body
 */
export const createPublish = (document: string, basedOn: number): ledger.RecordBody => ({
    kind: "publish",
    environment: "production",
    basedOn,
    document,
});

/**
 * Folds a whole log.
 *
 * @param log - the log
 * @returns a follower at its end
 */
export const followToEnd = (log: TestLog) => {
    const follower = ledger.createLogFollower();
    for (let page = log.page(0); follower.nextOffset() < page.nextOffset; page = log.page(follower.nextOffset())) {
        follower.takePage(page);
    }
    return follower;
};
