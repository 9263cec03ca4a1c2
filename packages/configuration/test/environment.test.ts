/** Documents and settings: what is accepted, and errors that name file, line and field. */
import * as configuration from "@mulberryseam/configuration";
import * as earl from "earl";
import * as fs from "node:fs";
import * as path from "node:path";
import * as test from "node:test";

const example = (name: string): string => fs.readFileSync(path.resolve(__dirname, "../../../examples", name), "utf8");

const problemsOf = (text: string): string[] => {
    const parsed = configuration.parseEnvironment("site.yaml", text);
    return parsed.ok ? [] : parsed.val.map(configuration.describeProblem);
};

const changed = (from: string, to: string): string => {
    const text = example("dar-el-sikka.yaml");
    earl.expect(text.includes(from)).toEqual(true);
    return text.replace(from, to);
};

test.describe("the example documents", () => {
    test.it("are valid", () => {
        earl.expect(problemsOf(example("dar-el-sikka.yaml"))).toEqual([]);
        earl.expect(problemsOf(example("vatuwaqa.yaml"))).toEqual([]);
        earl.expect(configuration.parseSettings("settings.yaml", example("settings.yaml")).ok).toEqual(true);
    });
});

test.describe("an environment document", () => {
    test.it("names the line and field of an unknown field", () => {
        earl.expect(problemsOf(changed("    floorShare: 0.3", "    floorshare: 0.3"))).toEqual([
            "site.yaml:18: ranks.0.floorShare: Invalid input: expected number, received undefined",
            "site.yaml:22: ranks.0: unknown field \"floorshare\"",
        ]);
    });

    test.it("refuses floors that cannot be kept", () => {
        earl.expect(problemsOf(changed("floorShare: 0.3", "floorShare: 0.9"))).toEqual([
            "site.yaml:18: ranks: the floors add up to 1.20, expected at most 1",
        ]);
        earl.expect(problemsOf(changed("floorShare: 0.1", "floorShare: 0.6"))).toEqual([
            "site.yaml:18: ranks: the floors add up to 1.10, expected at most 1",
            "site.yaml:34: ranks.2.floorShare: expected at most maximumShare, 0.5",
        ]);
    });

    test.it("refuses duplicate names and addresses", () => {
        earl.expect(problemsOf(changed("name: archive-2,", "name: archive-1,"))[0])
            .toEqual("site.yaml:52: services.0.upstreams.1.name: duplicate name \"archive-1\"");
        earl.expect(
            problemsOf(changed("192.0.2.11:8080", "192.0.2.10:8080"))[0].endsWith(
                "duplicate address \"192.0.2.10:8080\"",
            ),
        )
            .toEqual(true);
    });

    test.it("refuses a failure domain that no region has", () => {
        earl.expect(problemsOf(changed("failureDomain: tunis-a }", "failureDomain: gabes-a }"))[0])
            .toEqual("site.yaml:51: services.0.upstreams.0.failureDomain: unknown failure domain \"gabes-a\"");
    });

    test.it("refuses a link to a region that is missing", () => {
        earl.expect(problemsOf(changed("between: [tunis, sfax]", "between: [tunis, gabes]")))
            .toEqual(["site.yaml:11: links.0.between: unknown region \"gabes\""]);
    });

    test.it("refuses a document that is too long, or no YAML", () => {
        earl.expect(
            problemsOf(`${example("dar-el-sikka.yaml")}#${"x".repeat(300_000)}`)[0].startsWith(
                "site.yaml:1: expected at most",
            ),
        )
            .toEqual(true);
        earl.expect(problemsOf("regions: [").length).toEqual(1);
    });

    test.it("refuses an alias bomb", () => {
        const bomb = "a: &a [x]\nb: &b [*a, *a]\nregions: [*b, *b]\n";
        earl.expect(problemsOf(bomb).length > 0).toEqual(true);
    });
});

test.describe("settings", () => {
    test.it("name the field of a bad address", () => {
        const parsed = configuration.parseSettings(
            "entry.yaml",
            example("settings.yaml").replace("192.0.2.1:8300", "peers.example"),
        );
        earl.expect(parsed.err && parsed.val.map(configuration.describeProblem)).toEqual([
            "entry.yaml:11: peers.address: expected an IP number and a port, such as 127.0.0.1:8080",
        ]);
    });
});
