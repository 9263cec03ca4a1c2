/** Parses the JSON text of a state, which instances send to peers that cannot read the log. */
import * as tsResults from "ts-results";
import * as zod from "zod";
import type * as states from "./state";

const stateSchema = zod.looseObject({
    offset: zod.int(),
    changedAt: zod.int(),
    writers: zod.array(zod.looseObject({ writer: zod.string(), sequence: zod.int() })),
    environments: zod.array(zod.looseObject({ environment: zod.string(), version: zod.int(), document: zod.string() })),
    term: zod.int(),
    membersVersion: zod.int(),
    members: zod.array(zod.looseObject({ name: zod.string(), incarnation: zod.string(), address: zod.string() })),
    servers: zod.array(zod.looseObject({ name: zod.string(), session: zod.int(), incarnation: zod.string() })),
    serversVersion: zod.int(),
    tables: zod.array(zod.looseObject({
        service: zod.string(),
        version: zod.int(),
        slots: zod.array(zod.looseObject({ owner: zod.string(), token: zod.int(), heirToken: zod.int() })),
    })),
});

/**
 * Parses a state received from a peer.
 *
 * @param text - the state as JSON
 * @returns the state, or the first parse or validation error
 */
export const parseState = (text: string): tsResults.Result<states.LogState, string> => {
    try {
        const parsed = stateSchema.safeParse(JSON.parse(text));
        return parsed.success
            ? tsResults.Ok(parsed.data as unknown as states.LogState)
            : tsResults.Err(parsed.error.issues[0]?.message ?? "malformed state");
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};
