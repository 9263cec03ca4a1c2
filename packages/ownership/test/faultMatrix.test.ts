/**
 * Runs each cell of the fault matrix as a test and compares the results with the published page, so that the page
 * cannot go stale.
 */
import * as earl from "earl";
import * as fs from "node:fs";
import * as path from "node:path";
import * as test from "node:test";
import * as faultMatrix from "./fixtures/faultMatrix";
import * as matrixTable from "./fixtures/matrixTable";

const pagePath = path.resolve(__dirname, "../../../docs/FAULT-MATRIX.md");
const cells: faultMatrix.MatrixCell[] = [];

for (const step of faultMatrix.matrixSteps) {
    test.describe(`faults at the step: ${step.name}`, () => {
        for (const fault of faultMatrix.matrixFaults) {
            test.it(fault.name, async () => {
                const cell = await faultMatrix.runCell(step, fault);
                cells.push(cell);
                earl.expect(matrixTable.failuresOf(cell)).toEqual([]);
            });
        }
    });
}

test.describe("docs/FAULT-MATRIX.md", () => {
    test.it("matches the results of this run", () => {
        earl.expect(fs.readFileSync(pagePath, "utf8")).toEqual(matrixTable.renderMatrix(cells));
    });
});
