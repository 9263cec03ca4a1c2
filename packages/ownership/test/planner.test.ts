/**
 * The planner must propose one record at a time and change members only after the last change of members is confirmed.
 * Two unconfirmed member changes could produce majorities without a common member.
 */
import * as configuration from "@mulberryseam/configuration";
import * as ledger from "@mulberryseam/ledger";
import * as ownership from "@mulberryseam/ownership";
import * as earl from "earl";
import * as test from "node:test";
import * as simulationDocument from "./fixtures/simulationDocument";
import * as simulationServer from "./fixtures/simulationServer";

const createMember = (name: string): ledger.Member => ({
    name,
    incarnation: "run-1",
    address: "127.0.0.1:8000",
    region: "north",
    failureDomain: "north-a",
});

const servers = [1, 2, 3].map(number =>
    simulationServer.createSimulationServer(`server-${number}`, `run-${number}`, 0)
);
const environment = configuration.parseEnvironment("world", simulationDocument.createSimulationDocument("", servers, 6))
    .unwrap();

const createInput = (
    overrides: Partial<ownership.PlannerInput>,
    state: Partial<ledger.LogState> = {},
): ownership.PlannerInput => ({
    state: { ...ledger.createEmptyState(), term: 3, members: [createMember("entry-1")], membersVersion: 0, ...state },
    environment,
    liveInstances: [createMember("entry-1"), createMember("entry-2")],
    unavailableMembers: [],
    observedServers: [],
    expiredSessions: [],
    loadsOf: () => [],
    isBalancingAllowed: false,
    areMembersConfirmed: true,
    ...overrides,
});

test.describe("the planner", () => {
    test.it("adds a live instance only after the last change of members is confirmed", () => {
        earl.expect(ownership.planNext(createInput({}))).toEqual({
            kind: "members",
            term: 3,
            basedOn: 0,
            add: createMember("entry-2"),
        });
        earl.expect(ownership.planNext(createInput({ areMembersConfirmed: false }))).toEqual(undefined);
    });

    test.it("removes one unavailable member before it adds a new one", () => {
        const members = [createMember("entry-1"), createMember("entry-3"), createMember("entry-4")];
        const input = createInput({ unavailableMembers: ["entry-3#run-1", "entry-4#run-1"] }, { members });
        earl.expect(ownership.planNext(input)).toEqual({
            kind: "members",
            term: 3,
            basedOn: 0,
            remove: "entry-3#run-1",
        });
    });

    test.it("registers a responding server, but not a draining one", () => {
        const input = createInput({
            observedServers: [
                { name: "server-1", incarnation: "run-1", isDraining: false },
                { name: "server-2", incarnation: "run-2", isDraining: true },
            ],
        });
        earl.expect(ownership.planNext(input)).toEqual({
            kind: "servers",
            term: 3,
            basedOn: -1,
            changes: [{ name: "server-1", incarnation: "run-1", status: "serving" }],
        });
    });

    test.it("records the previous incarnation of a restarted server as lost", () => {
        const registration = {
            name: "server-1",
            session: 5,
            incarnation: "run-0",
            status: "serving",
            statusAt: 5,
        } as const;
        const input = createInput(
            { observedServers: [{ name: "server-1", incarnation: "run-1", isDraining: false }] },
            { servers: [registration], serversVersion: 5 },
        );
        earl.expect(ownership.planNext(input)).toEqual({
            kind: "servers",
            term: 3,
            basedOn: 5,
            changes: [{ name: "server-1", incarnation: "run-0", status: "lost" }],
        });
    });

    test.it("assigns every slot as soon as one server is registered", () => {
        const registration = {
            name: "server-1",
            session: 5,
            incarnation: "run-1",
            status: "serving",
            statusAt: 5,
        } as const;
        const observedServers = [{ name: "server-1", incarnation: "run-1", isDraining: false }];
        const body = ownership.planNext(
            createInput({ observedServers: observedServers }, { servers: [registration], serversVersion: 5 }),
        );
        earl.expect(body?.kind === "assign" && body.assignments.length).toEqual(6);
    });
});
