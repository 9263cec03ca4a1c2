/** Registry entries that another writer has put and that name no upstream to use. */

/** A registry entry as a writer stores it. */
export interface OddEntry {
    key: string;
    value: string;
}

const nestingLevels = 100_000;
const nestedText = "[".repeat(nestingLevels) + "]".repeat(nestingLevels);
/** Stands for a part of the JSON text that cannot be written as a value. */
const placeholder = "\"placeholder\"";

/** Creates the values, most of which describe an upstream at the given address wrongly. */
const createValues = (address: string, service: string): string[] => {
    const entry = {
        service,
        address,
        zone: "north-a",
        version: "1",
        slots: 4,
        state: "ready",
        warmupLeft: "0ms",
        sequence: 1,
        born: Date.now(),
    };
    const createValue = (changes: object): string => JSON.stringify({ ...entry, ...changes });
    const createNumber = (field: string, number: string): string =>
        createValue({ [field]: "placeholder" }).replace(placeholder, number);
    return [
        createValue({ born: undefined }),
        ...[
            "127.0.0.1:80800",
            "127.0.0.1:0",
            "127.0.0.1:-1",
            "127.0.0.1:1e3",
            "127.0.0.1",
            "999.1.1.1:80",
            "[::1]:80",
            "",
        ]
            .map(oddAddress => createValue({ address: oddAddress })),
        nestedText,
        createNumber("extra", nestedText),
        createNumber("zone", nestedText),
        ...["slots", "sequence", "born"].flatMap(field =>
            ["1e999", "1e300", "-1", "0.5", "true"].map(number => createNumber(field, number))
        ),
        createValue({ warmupLeft: "1e300ms" }),
        createValue({ warmupLeft: `${"9".repeat(400)}s` }),
        createValue({ service: 5, address: {}, slots: "4", state: [], born: "x" }),
        createValue({ service: "unnamed" }),
        createValue({ state: "sleeping" }),
        createValue({ zone: "nowhere" }),
        createValue({ zone: undefined }),
        "not JSON \u0000",
        "null",
        "[]",
        "1e999",
    ];
};

/**
 * Creates an odd entry.
 *
 * @param index - selects the entry
 * @param address - address of a running upstream
 * @param service - service of that upstream
 * @returns the entry, whose key names no upstream
 */
export const createOddEntry = (index: number, address: string, service: string): OddEntry => {
    const values = createValues(address, service);
    return { key: index % 10 === 0 ? "__proto__" : `odd-${index}`, value: values[index % values.length] };
};
