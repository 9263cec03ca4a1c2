/**
 * Quorum rounds must count only members with exactly the knowledge of the round: the log position and the expired
 * sessions that an instance knows. Otherwise an instance could confirm leases based on outdated knowledge.
 */
import * as ownership from "@mulberryseam/ownership";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";

const members = ["a", "b", "c", "d", "e"];
const createKnowledge = (offset: number, lapses: string[] = []): ownership.Knowledge => ({ offset, lapses });
const createRoundOptions = (knowledge: ownership.Knowledge, endedSessions: string[] = []) => ({
    knowledge,
    members,
    isEnded: (session: string) => endedSessions.includes(session),
});

test.describe("a confirmation round", () => {
    test.it("is confirmed by a majority and reports when it began", () => {
        const rounds = ownership.createConfirmationRounds();
        const roundNumber = rounds.begin(100, createRoundOptions(createKnowledge(5)));
        earl.expect(rounds.recordResponse(roundNumber, "a", createKnowledge(5), 100)).toEqual(undefined);
        earl.expect(rounds.recordResponse(roundNumber, "b", createKnowledge(5), 130)).toEqual(undefined);
        const confirmed = rounds.recordResponse(roundNumber, "c", createKnowledge(5), 150);
        earl.expect(confirmed).toEqual({ beganAt: 100, completedAt: 150, knowledge: createKnowledge(5) });
    });

    test.it("counts each member once and ignores non-members", () => {
        const rounds = ownership.createConfirmationRounds();
        const roundNumber = rounds.begin(100, createRoundOptions(createKnowledge(5)));
        for (const name of ["a", "a", "a", "x", "y", "z"]) {
            earl.expect(rounds.recordResponse(roundNumber, name, createKnowledge(5), 120)).toEqual(undefined);
        }
    });

    test.it("does not count a member with newer knowledge than the round", () => {
        const rounds = ownership.createConfirmationRounds();
        const roundNumber = rounds.begin(100, createRoundOptions(createKnowledge(5)));
        rounds.recordResponse(roundNumber, "a", createKnowledge(5), 100);
        rounds.recordResponse(roundNumber, "b", createKnowledge(5), 110);
        earl.expect(rounds.recordResponse(roundNumber, "c", createKnowledge(6), 120)).toEqual(undefined);
        earl.expect(rounds.recordResponse(roundNumber, "d", createKnowledge(5, ["server@3"]), 120)).toEqual(
            undefined,
        );
        earl.expect(rounds.recordResponse(roundNumber, "e", createKnowledge(5), 130)?.completedAt).toEqual(130);
    });

    test.it("does not count a member that lacks a log record or an expired session of the round", () => {
        const rounds = ownership.createConfirmationRounds();
        const roundNumber = rounds.begin(100, createRoundOptions(createKnowledge(5, ["server@3"])));
        rounds.recordResponse(roundNumber, "a", createKnowledge(5, ["server@3"]), 100);
        rounds.recordResponse(roundNumber, "b", createKnowledge(5, ["server@3"]), 110);
        earl.expect(rounds.recordResponse(roundNumber, "c", createKnowledge(4, ["server@3"]), 120)).toEqual(
            undefined,
        );
        earl.expect(rounds.recordResponse(roundNumber, "d", createKnowledge(5), 120)).toEqual(undefined);
    });

    test.it("counts a member that reports an expired session that the log had ended when the round began", () => {
        const rounds = ownership.createConfirmationRounds();
        const roundNumber = rounds.begin(100, createRoundOptions(createKnowledge(5), ["server@3"]));
        rounds.recordResponse(roundNumber, "a", createKnowledge(5), 100);
        rounds.recordResponse(roundNumber, "b", createKnowledge(5), 110);
        earl.expect(rounds.recordResponse(roundNumber, "c", createKnowledge(5, ["server@3"]), 120)?.completedAt)
            .toEqual(120);
    });

    test.it("is never confirmed without members", () => {
        const rounds = ownership.createConfirmationRounds();
        const roundNumber = rounds.begin(100, { ...createRoundOptions(createKnowledge(5)), members: [] });
        earl.expect(rounds.recordResponse(roundNumber, "a", createKnowledge(5), 100)).toEqual(undefined);
    });

    test.it("shares a member with every other confirmed round", () => {
        const property = fastCheck.property(
            fastCheck.integer({ min: 1, max: 9 }),
            fastCheck.infiniteStream(fastCheck.nat()),
            (count, choices) => {
                const names = [...Array(count).keys()].map(String);
                const confirmRandomRound = (): string[] => {
                    const rounds = ownership.createConfirmationRounds();
                    const roundNumber = rounds.begin(0, {
                        ...createRoundOptions(createKnowledge(1)),
                        members: names,
                    });
                    const remaining = [...names];
                    for (;;) {
                        const choice = choices.next().value as number;
                        const [name] = remaining.splice(choice % remaining.length, 1);
                        if (rounds.recordResponse(roundNumber, name, createKnowledge(1), 1) !== undefined) {
                            return [...rounds.agreedMembers(roundNumber)];
                        }
                    }
                };
                const [first, second] = [confirmRandomRound(), confirmRandomRound()];
                earl.expect(first.some(name => second.includes(name))).toEqual(true);
            },
        );
        fastCheck.assert(property, { seed: 13, numRuns: 200 });
    });
});
