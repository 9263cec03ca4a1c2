/** The fault matrix, each cell a test, and the page that shows it. */
import { expect } from "earl";
import * as fs from "node:fs";
import * as path from "node:path";
import { describe, it } from "node:test";
import { type MatrixCell, matrixFaults, matrixSteps, runCell } from "./fixtures/faultMatrix";
import { faultsOf, writeMatrix } from "./fixtures/matrixTable";

const page = path.resolve(__dirname, "../../../docs/FAULT-MATRIX.md");
const cells: MatrixCell[] = [];

for (const step of matrixSteps) {
    describe(`at the step: ${step.name}`, () => {
        for (const fault of matrixFaults) {
            it(fault.name, async () => {
                const cell = await runCell(step, fault);
                cells.push(cell);
                expect(faultsOf(cell)).toEqual([]);
            });
        }
    });
}

describe("the page of the fault matrix", () => {
    it("shows what was run", () => {
        expect(fs.readFileSync(page, "utf8")).toEqual(writeMatrix(cells));
    });
});
