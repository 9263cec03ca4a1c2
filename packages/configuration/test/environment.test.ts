/** Validation of environment documents and settings, and errors that give file, line and field. */
import * as configuration from "@mulberryseam/configuration";
import * as earl from "earl";
import * as fs from "node:fs";
import * as path from "node:path";
import * as test from "node:test";

const readExample = (name: string): string =>
    fs.readFileSync(path.resolve(__dirname, "../../../examples", name), "utf8");

const findProblems = (text: string): string[] => {
    const parsed = configuration.parseEnvironment("site.yaml", text);
    return parsed.ok ? [] : parsed.val.map(configuration.describeProblem);
};

const replaceInExample = (searchText: string, replacement: string): string => {
    const text = readExample("dar-el-sikka.yaml");
    earl.expect(text.includes(searchText)).toEqual(true);
    return text.replace(searchText, replacement);
};

test.describe("the example documents", () => {
    test.it("are valid", () => {
        earl.expect(findProblems(readExample("dar-el-sikka.yaml"))).toEqual([]);
        earl.expect(findProblems(readExample("vatuwaqa.yaml"))).toEqual([]);
        earl.expect(configuration.parseSettings("settings.yaml", readExample("settings.yaml")).ok).toEqual(true);
    });
});

test.describe("an environment document", () => {
    test.it("reports the line and name of an unknown field", () => {
        earl.expect(findProblems(replaceInExample("    floorShare: 0.3", "    floorshare: 0.3"))).toEqual([
            "site.yaml:18: ranks.0.floorShare: Invalid input: expected number, received undefined",
            "site.yaml:22: ranks.0: unknown field \"floorshare\"",
        ]);
    });

    test.it("rejects floor shares that add up to more than 1 or exceed the maximum share", () => {
        earl.expect(findProblems(replaceInExample("floorShare: 0.3", "floorShare: 0.9"))).toEqual([
            "site.yaml:18: ranks: the floors add up to 1.20, expected at most 1",
        ]);
        earl.expect(findProblems(replaceInExample("floorShare: 0.1", "floorShare: 0.6"))).toEqual([
            "site.yaml:18: ranks: the floors add up to 1.10, expected at most 1",
            "site.yaml:34: ranks.2.floorShare: expected at most maximumShare, 0.5",
        ]);
    });

    test.it("rejects duplicate names and addresses", () => {
        earl.expect(findProblems(replaceInExample("name: archive-2,", "name: archive-1,"))[0])
            .toEqual("site.yaml:52: services.0.upstreams.1.name: duplicate name \"archive-1\"");
        earl.expect(
            findProblems(replaceInExample("192.0.2.11:8080", "192.0.2.10:8080"))[0].endsWith(
                "duplicate address \"192.0.2.10:8080\"",
            ),
        )
            .toEqual(true);
    });

    test.it("rejects a failure domain that belongs to no region", () => {
        earl.expect(findProblems(replaceInExample("failureDomain: tunis-a }", "failureDomain: gabes-a }"))[0])
            .toEqual("site.yaml:51: services.0.upstreams.0.failureDomain: unknown failure domain \"gabes-a\"");
    });

    test.it("rejects a link to an unknown region", () => {
        earl.expect(findProblems(replaceInExample("between: [tunis, sfax]", "between: [tunis, gabes]")))
            .toEqual(["site.yaml:11: links.0.between: unknown region \"gabes\""]);
    });

    test.it("rejects text that is too long or invalid YAML", () => {
        earl.expect(
            findProblems(`${readExample("dar-el-sikka.yaml")}#${"x".repeat(300_000)}`)[0].startsWith(
                "site.yaml:1: expected at most",
            ),
        )
            .toEqual(true);
        earl.expect(findProblems("regions: [").length).toEqual(1);
    });

    test.it("rejects nested YAML aliases, which could expand without bound", () => {
        const bomb = "a: &a [x]\nb: &b [*a, *a]\nregions: [*b, *b]\n";
        earl.expect(findProblems(bomb).length > 0).toEqual(true);
    });
});

test.describe("settings", () => {
    test.it("report the field of an invalid address", () => {
        const parsed = configuration.parseSettings(
            "entry.yaml",
            readExample("settings.yaml").replace("192.0.2.1:8300", "peers.example"),
        );
        earl.expect(parsed.err && parsed.val.map(configuration.describeProblem)).toEqual([
            "entry.yaml:11: peers.address: expected an IP number and a port, such as 127.0.0.1:8080",
        ]);
    });
});
