/** The fault matrix, each cell a test, and the page that shows it. */
import * as earl from "earl";
import * as fs from "node:fs";
import * as path from "node:path";
import * as test from "node:test";
import * as faultMatrix from "./fixtures/faultMatrix";
import * as matrixTable from "./fixtures/matrixTable";

const page = path.resolve(__dirname, "../../../docs/FAULT-MATRIX.md");
const cells: faultMatrix.MatrixCell[] = [];

for (const step of faultMatrix.matrixSteps) {
    test.describe(`at the step: ${step.name}`, () => {
        for (const fault of faultMatrix.matrixFaults) {
            test.it(fault.name, async () => {
                const cell = await faultMatrix.runCell(step, fault);
                cells.push(cell);
                earl.expect(matrixTable.faultsOf(cell)).toEqual([]);
            });
        }
    });
}

test.describe("the page of the fault matrix", () => {
    test.it("shows what was run", () => {
        earl.expect(fs.readFileSync(page, "utf8")).toEqual(matrixTable.writeMatrix(cells));
    });
});
