/** Cost by size: varies one size at a time and fits a line. The estimates in docs/CAPACITY.md use these lines. */
import * as configuration from "@mulberryseam/configuration";
import * as gateway from "@mulberryseam/gateway";
import * as ledgers from "@mulberryseam/ledger";
import * as ownership from "@mulberryseam/ownership";
import * as protocol from "@mulberryseam/protocol";
import * as traffic from "@mulberryseam/traffic";
import * as yaml from "yaml";
import * as fit from "./fit";
import type * as scenario from "./scenario";

const slotSizes = [256, 1024, 4096, 16_384];
const serverSizes = [15, 60, 240, 960];
const memberSizes = [4, 8, 16, 32, 64];
const moveSizes = [1, 4, 16, 64];
const queuedBytes = 1;

const createRange = (count: number): number[] => [...Array(count).keys()];

const createMembers = (count: number): ledgers.Member[] =>
    createRange(count).map(number => ({
        name: `entry-${number}`,
        incarnation: "0123456789abcdef",
        address: `127.0.0.1:${9000 + number}`,
        region: "tunis",
        failureDomain: "tunis-a",
    }));

const createServers = (count: number): ledgers.ServerRegistration[] =>
    createRange(count).map(number => ({
        name: `archive-${number}`,
        session: 2,
        incarnation: "01234567-89ab-cdef-0123-456789abcdef",
        status: "serving",
        statusAt: 2,
    }));

const createSlots = (slots: number, servers: number): ledgers.SlotEntry[] =>
    createRange(slots).map(slot => ({
        owner: `archive-${slot % servers}@2`,
        token: 8,
        heir: `archive-${(slot + 1) % servers}@2`,
        heirToken: 9,
        previous: undefined,
    }));

const createState = (slots: number, servers: number, members: number): ledgers.LogState => ({
    ...ledgers.createEmptyState(),
    offset: 10,
    changedAt: 10,
    term: 1,
    members: createMembers(members),
    servers: createServers(servers),
    tables: [{ service: "archive", version: 4, slots: createSlots(slots, servers) }],
});

const createConfirm = (servers: number): protocol.Message => ({
    kind: "confirm",
    round: 1234,
    knowledge: { offset: 10, lapses: [] },
    report: {
        ...createMembers(1)[0],
        isLeaving: false,
        answers: createServers(servers).map(server => ({
            server: server.name,
            session: server.session,
            ageMilliseconds: 123,
        })),
        loads: [],
    },
});

const measurePoints = (sizes: readonly number[], measureValue: (size: number) => number): fit.Point[] =>
    sizes.map(size => ({ size, value: measureValue(size) }));

const measureConfirmMicroseconds = (servers: number): number => {
    const message = createConfirm(servers);
    return fit.measureMicroseconds(() => {
        const frames = protocol.createFrameDecoder().push(protocol.encodeFrame(message)).unwrap();
        protocol.parseMessage(frames[0]);
    });
};

const measureApplyMicroseconds = (slots: number, moves: number): number => {
    const state = createState(slots, 15, 8);
    const record: ledgers.LogRecord = {
        identifier: { writer: "entry-1#run", sequence: 1 },
        body: {
            kind: "assign",
            term: 1,
            service: "archive",
            basedOn: 4,
            slotCount: slots,
            assignments: createRange(moves).map(slot => ({ slot, owner: "archive-3@2", heir: "archive-4@2" })),
        },
    };
    return fit.measureMicroseconds(() => {
        ledgers.applyRecord(state, record, 11);
    });
};

const measureRoundMicroseconds = (slots: number): number => {
    const tracker = ownership.createGrantTracker();
    let tableVersion = 0;
    return fit.measureMicroseconds(() => {
        tableVersion += 1;
        const state = createState(0, 15, 8);
        const changedState = {
            ...state,
            tables: [{ service: "archive", version: tableVersion, slots: getCachedSlots(slots) }],
        };
        tracker.applyRound(
            { beganAt: tableVersion, completedAt: tableVersion, knowledge: { offset: 10, lapses: [] } },
            changedState,
            700,
        );
    });
};

const slotsBySize = new Map<number, ledgers.SlotEntry[]>();
const getCachedSlots = (slots: number): ledgers.SlotEntry[] => {
    const cachedSlots = slotsBySize.get(slots) ?? createSlots(slots, 15);
    slotsBySize.set(slots, cachedSlots);
    return cachedSlots;
};

const measureGrantableSlotsMicroseconds = (slots: number): number => {
    const tracker = ownership.createGrantTracker();
    const state = createState(slots, 15, 8);
    tracker.applyRound({ beganAt: 1, completedAt: 1, knowledge: { offset: 10, lapses: [] } }, state, 700);
    return fit.measureMicroseconds(() => {
        tracker.grantableSlots("archive-3@2", 10_000);
    });
};

const measurePlanMicroseconds = (slots: number, servers: number): number => {
    const { tables } = createState(slots, servers, 8);
    const placementServers = createRange(servers).map(number => ({
        identifier: `archive-${number}@2`,
        failureDomain: `domain-${number % 6}`,
        isLeaving: false,
    }));
    return fit.measureMicroseconds(() => {
        ownership.planBalance(tables[0], placementServers, [{ slot: 3, requestsPerSecond: 900 }], 1.3, 1);
    });
};

const measureParseMicroseconds = (upstreams: number): number => {
    const text = yaml.stringify({
        regions: [{ name: "tunis", failureDomains: ["tunis-a"] }],
        ranks: [{ name: "lookup", targetMilliseconds: 100, deadlineMilliseconds: 900, worth: 1, floorShare: 1 }],
        services: [{
            name: "archive",
            kind: "keyed",
            concurrency: 6,
            connections: 110,
            upstreams: createRange(upstreams).map(number => ({
                name: `archive-${number}`,
                address: `127.0.${Math.floor(number / 250)}.${number % 250}:8080`,
                failureDomain: "tunis-a",
            })),
        }],
    });
    return fit.measureMicroseconds(() => {
        configuration.parseEnvironment("slopes", text).unwrap();
    });
};

const measureLoadSampleMicroseconds = (slots: number): number => {
    const counter = traffic.createLoadCounter(0);
    let now = 0;
    return fit.measureMicroseconds(() => {
        createRange(slots).forEach(slot => counter.onRequest("archive", slot));
        counter.sample(now += 1);
    });
};

const measureQueueMicroseconds = (waiting: number): number => {
    const ranks = ["lookup", "order", "scan"].map(name => ({
        name,
        floorShare: 0.2,
        maximumShare: 1,
        targetMilliseconds: 1e9,
    }));
    const queue = traffic.createRankQueue<number>(ranks);
    createRange(waiting).forEach(item =>
        queue.enqueue({ item, rank: "order", deadlineAt: 1e12, bytes: queuedBytes }, 0)
    );
    return fit.measureMicroseconds(() => {
        queue.enqueue({ item: 1, rank: "order", deadlineAt: 1e12, bytes: queuedBytes }, 0);
        queue.dequeue(1e6, 0, () => true);
        queue.releaseSlot("order", 5);
    });
};

const run = async (): Promise<scenario.Measurements> => ({
    confirmByServers: {
        bytes: fit.fitLine(
            measurePoints(serverSizes, servers => protocol.encodeFrame(createConfirm(servers)).length),
            "bytes a message",
        ),
        time: fit.fitLine(
            measurePoints(serverSizes, measureConfirmMicroseconds),
            "us to encode, decode and check a message",
        ),
    },
    stateBytes: {
        bySlots: fit.fitLine(
            measurePoints(slotSizes, slots => JSON.stringify(createState(slots, 15, 8)).length),
            "bytes",
        ),
        byServers: fit.fitLine(
            measurePoints(serverSizes, servers => JSON.stringify(createState(256, servers, 8)).length),
            "bytes",
        ),
        byMembers: fit.fitLine(
            measurePoints(memberSizes, members => JSON.stringify(createState(256, 15, members)).length),
            "bytes",
        ),
    },
    foldAssign: {
        bySlots: fit.fitLine(measurePoints(slotSizes, slots => measureApplyMicroseconds(slots, 4)), "us a record"),
        byMoves: fit.fitLine(measurePoints(moveSizes, moves => measureApplyMicroseconds(256, moves)), "us a record"),
    },
    takeRoundBySlots: fit.fitLine(measurePoints(slotSizes, measureRoundMicroseconds), "us a change"),
    dueBySlots: fit.fitLine(measurePoints(slotSizes, measureGrantableSlotsMicroseconds), "us a renewal"),
    planBySlots: fit.fitLine(measurePoints(slotSizes, slots => measurePlanMicroseconds(slots, 15)), "us a plan"),
    planByServers: fit.fitLine(
        measurePoints(serverSizes, servers => measurePlanMicroseconds(4096, servers)),
        "us a plan",
    ),
    checkpointBySlots: fit.fitLine(
        measurePoints(slotSizes, slots => {
            const state = createState(slots, 15, 8);
            return fit.measureMicroseconds(() => {
                ledgers.createCheckpoint(state, "slopes");
            });
        }),
        "us a checkpoint",
    ),
    parseByUpstreams: fit.fitLine(measurePoints([15, 60, 240], measureParseMicroseconds), "us a document"),
    loadSampleBySlots: fit.fitLine(measurePoints([16, 64, 256], measureLoadSampleMicroseconds), "us a second"),
    queueByWaiting: fit.fitLine(measurePoints([10, 100, 1000], measureQueueMicroseconds), "us a request"),
    slotOfKeyMicroseconds: Number(
        fit.measureMicroseconds(() => {
            gateway.slotOf("a-key-of-twenty-char", 256);
        }).toPrecision(3),
    ),
});

/** Measures the bytes and microseconds of single operations. */
export const slopesScenario: scenario.Scenario = {
    name: "slopes",
    description: "cost of each component by one size at a time, with fitted lines; the source of docs/CAPACITY.md",
    run,
};
