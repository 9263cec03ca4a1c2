/** Documents and settings: what is accepted, and errors that name file, line and field. */
import { describeProblem, parseEnvironment, parseSettings } from "@mulberryseam/configuration";
import { expect } from "earl";
import * as fs from "node:fs";
import * as path from "node:path";
import { describe, it } from "node:test";

const example = (name: string): string => fs.readFileSync(path.resolve(__dirname, "../../../examples", name), "utf8");

const problemsOf = (text: string): string[] => {
    const parsed = parseEnvironment("site.yaml", text);
    return parsed.ok ? [] : parsed.val.map(describeProblem);
};

const changed = (from: string, to: string): string => {
    const text = example("dar-el-sikka.yaml");
    expect(text.includes(from)).toEqual(true);
    return text.replace(from, to);
};

describe("the example documents", () => {
    it("are valid", () => {
        expect(problemsOf(example("dar-el-sikka.yaml"))).toEqual([]);
        expect(problemsOf(example("vatuwaqa.yaml"))).toEqual([]);
        expect(parseSettings("settings.yaml", example("settings.yaml")).ok).toEqual(true);
    });
});

describe("an environment document", () => {
    it("names the line and field of an unknown field", () => {
        expect(problemsOf(changed("    floorShare: 0.3", "    floorshare: 0.3"))).toEqual([
            "site.yaml:18: ranks.0.floorShare: Invalid input: expected number, received undefined",
            "site.yaml:22: ranks.0: unknown field \"floorshare\"",
        ]);
    });

    it("refuses floors that cannot be kept", () => {
        expect(problemsOf(changed("floorShare: 0.3", "floorShare: 0.9"))).toEqual([
            "site.yaml:18: ranks: the floors add up to 1.20, expected at most 1",
        ]);
        expect(problemsOf(changed("floorShare: 0.1", "floorShare: 0.6"))).toEqual([
            "site.yaml:18: ranks: the floors add up to 1.10, expected at most 1",
            "site.yaml:34: ranks.2.floorShare: expected at most maximumShare, 0.5",
        ]);
    });

    it("refuses duplicate names and addresses", () => {
        expect(problemsOf(changed("name: archive-2,", "name: archive-1,"))[0])
            .toEqual("site.yaml:52: services.0.upstreams.1.name: duplicate name \"archive-1\"");
        expect(
            problemsOf(changed("192.0.2.11:8080", "192.0.2.10:8080"))[0].endsWith(
                "duplicate address \"192.0.2.10:8080\"",
            ),
        )
            .toEqual(true);
    });

    it("refuses a failure domain that no region has", () => {
        expect(problemsOf(changed("failureDomain: tunis-a }", "failureDomain: gabes-a }"))[0])
            .toEqual("site.yaml:51: services.0.upstreams.0.failureDomain: unknown failure domain \"gabes-a\"");
    });

    it("refuses a link to a region that is missing", () => {
        expect(problemsOf(changed("between: [tunis, sfax]", "between: [tunis, gabes]")))
            .toEqual(["site.yaml:11: links.0.between: unknown region \"gabes\""]);
    });

    it("refuses a document that is too long, or no YAML", () => {
        expect(
            problemsOf(`${example("dar-el-sikka.yaml")}#${"x".repeat(300_000)}`)[0].startsWith(
                "site.yaml:1: expected at most",
            ),
        )
            .toEqual(true);
        expect(problemsOf("regions: [").length).toEqual(1);
    });

    it("refuses an alias bomb", () => {
        const bomb = "a: &a [x]\nb: &b [*a, *a]\nregions: [*b, *b]\n";
        expect(problemsOf(bomb).length > 0).toEqual(true);
    });
});

describe("settings", () => {
    it("name the field of a bad address", () => {
        const parsed = parseSettings("entry.yaml", example("settings.yaml").replace("192.0.2.1:8300", "peers.example"));
        expect(parsed.err && parsed.val.map(describeProblem)).toEqual([
            "entry.yaml:11: peers.address: expected an IP number and a port, such as 127.0.0.1:8080",
        ]);
    });
});
