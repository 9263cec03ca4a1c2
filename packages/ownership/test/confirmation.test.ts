/** Rounds of confirmation: who counts, and for what. */
import * as ownership from "@mulberryseam/ownership";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";

const members = ["a", "b", "c", "d", "e"];
const knowledge = (offset: number, lapses: string[] = []): ownership.Knowledge => ({ offset, lapses });
const question = (asked: ownership.Knowledge, ended: string[] = []) => ({
    knowledge: asked,
    members,
    isEnded: (session: string) => ended.includes(session),
});

test.describe("a round of confirmation", () => {
    test.it("is confirmed by a majority and counts from its beginning", () => {
        const rounds = ownership.createConfirmationRounds();
        const round = rounds.begin(100, question(knowledge(5)));
        earl.expect(rounds.recordResponse(round, "a", knowledge(5), 100)).toEqual(undefined);
        earl.expect(rounds.recordResponse(round, "b", knowledge(5), 130)).toEqual(undefined);
        const confirmed = rounds.recordResponse(round, "c", knowledge(5), 150);
        earl.expect(confirmed).toEqual({ beganAt: 100, completedAt: 150, knowledge: knowledge(5) });
    });

    test.it("counts no member twice and no stranger", () => {
        const rounds = ownership.createConfirmationRounds();
        const round = rounds.begin(100, question(knowledge(5)));
        for (const name of ["a", "a", "a", "x", "y", "z"]) {
            earl.expect(rounds.recordResponse(round, name, knowledge(5), 120)).toEqual(undefined);
        }
    });

    test.it("does not count a member that knew more than the round asked", () => {
        const rounds = ownership.createConfirmationRounds();
        const round = rounds.begin(100, question(knowledge(5)));
        rounds.recordResponse(round, "a", knowledge(5), 100);
        rounds.recordResponse(round, "b", knowledge(5), 110);
        earl.expect(rounds.recordResponse(round, "c", knowledge(6), 120)).toEqual(undefined);
        earl.expect(rounds.recordResponse(round, "d", knowledge(5, ["server@3"]), 120)).toEqual(undefined);
        earl.expect(rounds.recordResponse(round, "e", knowledge(5), 130)?.completedAt).toEqual(130);
    });

    test.it("does not count a member that has not folded or learned as much as the round asked", () => {
        const rounds = ownership.createConfirmationRounds();
        const round = rounds.begin(100, question(knowledge(5, ["server@3"])));
        rounds.recordResponse(round, "a", knowledge(5, ["server@3"]), 100);
        rounds.recordResponse(round, "b", knowledge(5, ["server@3"]), 110);
        earl.expect(rounds.recordResponse(round, "c", knowledge(4, ["server@3"]), 120)).toEqual(undefined);
        earl.expect(rounds.recordResponse(round, "d", knowledge(5), 120)).toEqual(undefined);
    });

    test.it("counts a member that names a session which the log had ended when the round began", () => {
        const rounds = ownership.createConfirmationRounds();
        const round = rounds.begin(100, question(knowledge(5), ["server@3"]));
        rounds.recordResponse(round, "a", knowledge(5), 100);
        rounds.recordResponse(round, "b", knowledge(5), 110);
        earl.expect(rounds.recordResponse(round, "c", knowledge(5, ["server@3"]), 120)?.completedAt).toEqual(120);
    });

    test.it("without members is never confirmed", () => {
        const rounds = ownership.createConfirmationRounds();
        const round = rounds.begin(100, { ...question(knowledge(5)), members: [] });
        earl.expect(rounds.recordResponse(round, "a", knowledge(5), 100)).toEqual(undefined);
    });

    test.it("shares a member with every other confirmed round", () => {
        const property = fastCheck.property(
            fastCheck.integer({ min: 1, max: 9 }),
            fastCheck.infiniteStream(fastCheck.nat()),
            (count, choices) => {
                const names = [...Array(count).keys()].map(String);
                const draw = (): string[] => {
                    const rounds = ownership.createConfirmationRounds();
                    const round = rounds.begin(0, { ...question(knowledge(1)), members: names });
                    const left = [...names];
                    for (;;) {
                        const next = choices.next().value as number;
                        const [name] = left.splice(next % left.length, 1);
                        if (rounds.recordResponse(round, name, knowledge(1), 1) !== undefined) {
                            return [...rounds.agreedMembers(round)];
                        }
                    }
                };
                const [first, second] = [draw(), draw()];
                earl.expect(first.some(name => second.includes(name))).toEqual(true);
            },
        );
        fastCheck.assert(property, { seed: 13, numRuns: 200 });
    });
});
