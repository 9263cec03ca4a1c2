/** Which settings change while an instance runs. */
import * as earl from "earl";
import * as test from "node:test";
import * as settingsInForce from "../src/settingsInForce";
import * as instanceSettings from "./fixtures/instanceSettings";

const address = { host: "127.0.0.1", port: 1 };

const settings = instanceSettings.createSettings({
    peerPort: 1,
    delegatePort: 2,
    callerAddress: address,
    readinessAddress: address,
    storeAddress: address,
});

test.describe("the settings in force", () => {
    test.it("take over limits at once, and tell what needs a restart", () => {
        const inForce = settingsInForce.createSettingsInForce(settings);
        const change = inForce.apply({
            ...settings,
            drainMilliseconds: 3000,
            retryBudgetSlack: 60,
            storeAddress: { ...address, port: 9 },
        });
        earl.expect(change).toEqual({
            applied: ["drainMilliseconds", "retryBudgetSlack"],
            needsRestart: ["storeAddress"],
        });
        earl.expect(inForce.current()).toEqual({ ...settings, drainMilliseconds: 3000, retryBudgetSlack: 60 });
    });

    test.it("stay as they are if nothing changes", () => {
        const inForce = settingsInForce.createSettingsInForce(settings);
        earl.expect(inForce.apply({ ...settings, regions: { ...settings.regions } }))
            .toEqual({ applied: [], needsRestart: [] });
    });
});
