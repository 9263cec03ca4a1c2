/** The planner: one record at a time, members only after the last change is confirmed. */
import { parseEnvironment } from "@mulberryseam/configuration";
import { emptyState, type LogState, type Member } from "@mulberryseam/ledger";
import { type PlannerView, planNext } from "@mulberryseam/ownership";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createWorldDocument } from "./fixtures/worldDocument";
import { createWorldServer } from "./fixtures/worldServer";

const createMember = (name: string): Member => ({
    name,
    incarnation: "run-1",
    address: "127.0.0.1:8000",
    region: "north",
    failureDomain: "north-a",
});

const servers = [1, 2, 3].map(number => createWorldServer(`server-${number}`, `run-${number}`, 0));
const environment = parseEnvironment("world", createWorldDocument("", servers, 6)).unwrap();

const createView = (change: Partial<PlannerView>, state: Partial<LogState> = {}): PlannerView => ({
    state: { ...emptyState(), term: 3, members: [createMember("entry-1")], membersVersion: 0, ...state },
    environment,
    liveInstances: [createMember("entry-1"), createMember("entry-2")],
    goneMembers: [],
    sightings: [],
    lapses: [],
    loadsOf: () => [],
    mayBalance: false,
    areMembersConfirmed: true,
    ...change,
});

describe("the planner", () => {
    it("adds a live instance once the last change of members is confirmed", () => {
        expect(planNext(createView({}))).toEqual({
            kind: "members",
            term: 3,
            basedOn: 0,
            add: createMember("entry-2"),
        });
        expect(planNext(createView({ areMembersConfirmed: false }))).toEqual(undefined);
    });

    it("removes one gone member before it adds another", () => {
        const members = [createMember("entry-1"), createMember("entry-3"), createMember("entry-4")];
        const view = createView({ goneMembers: ["entry-3#run-1", "entry-4#run-1"] }, { members });
        expect(planNext(view)).toEqual({ kind: "members", term: 3, basedOn: 0, remove: "entry-3#run-1" });
    });

    it("lets servers in that answer, and none that drain", () => {
        const view = createView({
            sightings: [
                { name: "server-1", incarnation: "run-1", isDraining: false },
                { name: "server-2", incarnation: "run-2", isDraining: true },
            ],
        });
        expect(planNext(view)).toEqual({
            kind: "servers",
            term: 3,
            basedOn: -1,
            changes: [{ name: "server-1", incarnation: "run-1", status: "serving" }],
        });
    });

    it("records a server as lost that runs under a new incarnation", () => {
        const registration = {
            name: "server-1",
            session: 5,
            incarnation: "run-0",
            status: "serving",
            statusAt: 5,
        } as const;
        const view = createView(
            { sightings: [{ name: "server-1", incarnation: "run-1", isDraining: false }] },
            { servers: [registration], serversVersion: 5 },
        );
        expect(planNext(view)).toEqual({
            kind: "servers",
            term: 3,
            basedOn: 5,
            changes: [{ name: "server-1", incarnation: "run-0", status: "lost" }],
        });
    });

    it("assigns every slot as soon as there is a server", () => {
        const registration = {
            name: "server-1",
            session: 5,
            incarnation: "run-1",
            status: "serving",
            statusAt: 5,
        } as const;
        const sightings = [{ name: "server-1", incarnation: "run-1", isDraining: false }];
        const body = planNext(createView({ sightings }, { servers: [registration], serversVersion: 5 }));
        expect(body?.kind === "assign" && body.assignments.length).toEqual(6);
    });
});
