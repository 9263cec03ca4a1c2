/** Rounds of confirmation: who counts, and for what. */
import { createConfirmation, type Knowledge } from "@mulberryseam/ownership";
import { expect } from "earl";
import * as fastCheck from "fast-check";
import { describe, it } from "node:test";

const members = ["a", "b", "c", "d", "e"];
const knowledge = (offset: number, lapses: string[] = []): Knowledge => ({ offset, lapses });
const question = (asked: Knowledge, ended: string[] = []) => ({
    knowledge: asked,
    members,
    isEnded: (session: string) => ended.includes(session),
});

describe("a round of confirmation", () => {
    it("is confirmed by a majority and counts from its beginning", () => {
        const rounds = createConfirmation();
        const round = rounds.begin(100, question(knowledge(5)));
        expect(rounds.takeAnswer(round, "a", knowledge(5), 100)).toEqual(undefined);
        expect(rounds.takeAnswer(round, "b", knowledge(5), 130)).toEqual(undefined);
        const confirmed = rounds.takeAnswer(round, "c", knowledge(5), 150);
        expect(confirmed).toEqual({ beganAt: 100, completedAt: 150, knowledge: knowledge(5) });
    });

    it("counts no member twice and no stranger", () => {
        const rounds = createConfirmation();
        const round = rounds.begin(100, question(knowledge(5)));
        for (const name of ["a", "a", "a", "x", "y", "z"]) {
            expect(rounds.takeAnswer(round, name, knowledge(5), 120)).toEqual(undefined);
        }
    });

    it("does not count a member that knew more than the round asked", () => {
        const rounds = createConfirmation();
        const round = rounds.begin(100, question(knowledge(5)));
        rounds.takeAnswer(round, "a", knowledge(5), 100);
        rounds.takeAnswer(round, "b", knowledge(5), 110);
        expect(rounds.takeAnswer(round, "c", knowledge(6), 120)).toEqual(undefined);
        expect(rounds.takeAnswer(round, "d", knowledge(5, ["server@3"]), 120)).toEqual(undefined);
        expect(rounds.takeAnswer(round, "e", knowledge(5), 130)?.completedAt).toEqual(130);
    });

    it("does not count a member that has not folded or learned as much as the round asked", () => {
        const rounds = createConfirmation();
        const round = rounds.begin(100, question(knowledge(5, ["server@3"])));
        rounds.takeAnswer(round, "a", knowledge(5, ["server@3"]), 100);
        rounds.takeAnswer(round, "b", knowledge(5, ["server@3"]), 110);
        expect(rounds.takeAnswer(round, "c", knowledge(4, ["server@3"]), 120)).toEqual(undefined);
        expect(rounds.takeAnswer(round, "d", knowledge(5), 120)).toEqual(undefined);
    });

    it("counts a member that names a session which the log had ended when the round began", () => {
        const rounds = createConfirmation();
        const round = rounds.begin(100, question(knowledge(5), ["server@3"]));
        rounds.takeAnswer(round, "a", knowledge(5), 100);
        rounds.takeAnswer(round, "b", knowledge(5), 110);
        expect(rounds.takeAnswer(round, "c", knowledge(5, ["server@3"]), 120)?.completedAt).toEqual(120);
    });

    it("without members is never confirmed", () => {
        const rounds = createConfirmation();
        const round = rounds.begin(100, { ...question(knowledge(5)), members: [] });
        expect(rounds.takeAnswer(round, "a", knowledge(5), 100)).toEqual(undefined);
    });

    it("shares a member with every other confirmed round", () => {
        const property = fastCheck.property(
            fastCheck.integer({ min: 1, max: 9 }),
            fastCheck.infiniteStream(fastCheck.nat()),
            (count, choices) => {
                const names = [...Array(count).keys()].map(String);
                const draw = (): string[] => {
                    const rounds = createConfirmation();
                    const round = rounds.begin(0, { ...question(knowledge(1)), members: names });
                    const left = [...names];
                    for (;;) {
                        const next = choices.next().value as number;
                        const [name] = left.splice(next % left.length, 1);
                        if (rounds.takeAnswer(round, name, knowledge(1), 1) !== undefined) {
                            return [...rounds.agreedTo(round)];
                        }
                    }
                };
                const [first, second] = [draw(), draw()];
                expect(first.some(name => second.includes(name))).toEqual(true);
            },
        );
        fastCheck.assert(property, { seed: 13, numRuns: 200 });
    });
});
