/** What each size costs: one size is varied at a time, a line is fitted, and the page on capacity is worked from it. */
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
const heldBytesPerUnit = 1;

const numbers = (count: number): number[] => [...Array(count).keys()];

const createMembers = (count: number): ledgers.Member[] =>
    numbers(count).map(number => ({
        name: `entry-${number}`,
        incarnation: "0123456789abcdef",
        address: `127.0.0.1:${9000 + number}`,
        region: "tunis",
        failureDomain: "tunis-a",
    }));

const createServers = (count: number): ledgers.ServerRegistration[] =>
    numbers(count).map(number => ({
        name: `archive-${number}`,
        session: 2,
        incarnation: "01234567-89ab-cdef-0123-456789abcdef",
        status: "serving",
        statusAt: 2,
    }));

const createSlots = (slots: number, servers: number): ledgers.SlotEntry[] =>
    numbers(slots).map(slot => ({
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

const measure = (sizes: readonly number[], valueOf: (size: number) => number): fit.Point[] =>
    sizes.map(size => ({ size, value: valueOf(size) }));

const confirmMicroseconds = (servers: number): number => {
    const message = createConfirm(servers);
    return fit.timeMicroseconds(() => {
        const frames = protocol.createFrameDecoder().push(protocol.encodeFrame(message)).unwrap();
        protocol.parseMessage(frames[0]);
    });
};

const foldMicroseconds = (slots: number, moves: number): number => {
    const state = createState(slots, 15, 8);
    const record: ledgers.LogRecord = {
        identifier: { writer: "entry-1#run", sequence: 1 },
        body: {
            kind: "assign",
            term: 1,
            service: "archive",
            basedOn: 4,
            slotCount: slots,
            assignments: numbers(moves).map(slot => ({ slot, owner: "archive-3@2", heir: "archive-4@2" })),
        },
    };
    return fit.timeMicroseconds(() => {
        ledgers.applyRecord(state, record, 11);
    });
};

const takeRoundMicroseconds = (slots: number): number => {
    const ledger = ownership.createGrantTracker();
    let time = 0;
    return fit.timeMicroseconds(() => {
        time += 1;
        const state = createState(0, 15, 8);
        const changed = { ...state, tables: [{ service: "archive", version: time, slots: cachedSlots(slots) }] };
        ledger.applyRound(
            { beganAt: time, completedAt: time, knowledge: { offset: 10, lapses: [] } },
            changed,
            700,
        );
    });
};

const slotCache = new Map<number, ledgers.SlotEntry[]>();
const cachedSlots = (slots: number): ledgers.SlotEntry[] => {
    const cached = slotCache.get(slots) ?? createSlots(slots, 15);
    slotCache.set(slots, cached);
    return cached;
};

const dueMicroseconds = (slots: number): number => {
    const ledger = ownership.createGrantTracker();
    const state = createState(slots, 15, 8);
    ledger.applyRound({ beganAt: 1, completedAt: 1, knowledge: { offset: 10, lapses: [] } }, state, 700);
    return fit.timeMicroseconds(() => {
        ledger.grantableSlots("archive-3@2", 10_000);
    });
};

const planMicroseconds = (slots: number, servers: number): number => {
    const { tables } = createState(slots, servers, 8);
    const placementServers = numbers(servers).map(number => ({
        identifier: `archive-${number}@2`,
        failureDomain: `domain-${number % 6}`,
        isLeaving: false,
    }));
    return fit.timeMicroseconds(() => {
        ownership.planBalance(tables[0], placementServers, [{ slot: 3, requestsPerSecond: 900 }], 1.3, 1);
    });
};

const parseMicroseconds = (upstreams: number): number => {
    const text = yaml.stringify({
        regions: [{ name: "tunis", failureDomains: ["tunis-a"] }],
        ranks: [{ name: "lookup", targetMilliseconds: 100, deadlineMilliseconds: 900, worth: 1, floorShare: 1 }],
        services: [{
            name: "archive",
            kind: "keyed",
            concurrency: 6,
            connections: 110,
            upstreams: numbers(upstreams).map(number => ({
                name: `archive-${number}`,
                address: `127.0.${Math.floor(number / 250)}.${number % 250}:8080`,
                failureDomain: "tunis-a",
            })),
        }],
    });
    return fit.timeMicroseconds(() => {
        configuration.parseEnvironment("slopes", text).unwrap();
    });
};

const loadSampleMicroseconds = (slots: number): number => {
    const counter = traffic.createLoadCounter(0);
    let time = 0;
    return fit.timeMicroseconds(() => {
        numbers(slots).forEach(slot => counter.onRequest("archive", slot));
        counter.sample(time += 1);
    });
};

const queueMicroseconds = (waiting: number): number => {
    const ranks = ["lookup", "order", "scan"].map(name => ({
        name,
        floorShare: 0.2,
        maximumShare: 1,
        targetMilliseconds: 1e9,
    }));
    const queue = traffic.createRankQueue<number>(ranks);
    numbers(waiting).forEach(item =>
        queue.enqueue({ item, rank: "order", deadlineAt: 1e12, bytes: heldBytesPerUnit }, 0)
    );
    return fit.timeMicroseconds(() => {
        queue.enqueue({ item: 1, rank: "order", deadlineAt: 1e12, bytes: heldBytesPerUnit }, 0);
        queue.dequeue(1e6, 0, () => true);
        queue.releaseSlot("order", 5);
    });
};

const run = async (): Promise<scenario.Figures> => ({
    confirmByServers: {
        bytes: fit.fitLine(
            measure(serverSizes, servers => protocol.encodeFrame(createConfirm(servers)).length),
            "bytes a message",
        ),
        time: fit.fitLine(measure(serverSizes, confirmMicroseconds), "us to encode, decode and check a message"),
    },
    stateBytes: {
        bySlots: fit.fitLine(measure(slotSizes, slots => JSON.stringify(createState(slots, 15, 8)).length), "bytes"),
        byServers: fit.fitLine(
            measure(serverSizes, servers => JSON.stringify(createState(256, servers, 8)).length),
            "bytes",
        ),
        byMembers: fit.fitLine(
            measure(memberSizes, members => JSON.stringify(createState(256, 15, members)).length),
            "bytes",
        ),
    },
    foldAssign: {
        bySlots: fit.fitLine(measure(slotSizes, slots => foldMicroseconds(slots, 4)), "us a record"),
        byMoves: fit.fitLine(measure(moveSizes, moves => foldMicroseconds(256, moves)), "us a record"),
    },
    takeRoundBySlots: fit.fitLine(measure(slotSizes, takeRoundMicroseconds), "us a change"),
    dueBySlots: fit.fitLine(measure(slotSizes, dueMicroseconds), "us a renewal"),
    planBySlots: fit.fitLine(measure(slotSizes, slots => planMicroseconds(slots, 15)), "us a plan"),
    planByServers: fit.fitLine(measure(serverSizes, servers => planMicroseconds(4096, servers)), "us a plan"),
    checkpointBySlots: fit.fitLine(
        measure(slotSizes, slots => {
            const state = createState(slots, 15, 8);
            return fit.timeMicroseconds(() => {
                ledgers.createCheckpoint(state, "slopes");
            });
        }),
        "us a checkpoint",
    ),
    parseByUpstreams: fit.fitLine(measure([15, 60, 240], parseMicroseconds), "us a document"),
    loadSampleBySlots: fit.fitLine(measure([16, 64, 256], loadSampleMicroseconds), "us a second"),
    queueByWaiting: fit.fitLine(measure([10, 100, 1000], queueMicroseconds), "us a request"),
    slotOfKeyMicroseconds: Number(
        fit.timeMicroseconds(() => {
            gateway.slotOf("a-key-of-twenty-char", 256);
        }).toPrecision(3),
    ),
});

/** The scenario. */
export const slopesScenario: scenario.Scenario = {
    name: "slopes",
    description: "cost of each part by one size at a time, with fitted lines; what docs/CAPACITY.md is worked from",
    run,
};
