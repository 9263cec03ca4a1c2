/** Main program of an entry instance: reads the settings, starts the instance and stops it on SIGTERM. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as entry from "./entry";
import * as inForce from "./settingsInForce";

/** Exit code for missing or invalid settings. */
const invalidSettingsExitCode = 2;

const run = async (): Promise<void> => {
    const path = process.env[platform.settingsVariable];
    if (path === undefined) {
        process.stderr.write(`mulberryseam: ${platform.settingsVariable} is not set\n`);
        process.exit(invalidSettingsExitCode);
    }
    const settings = platform.readSettings(path);
    if (settings.err) {
        process.stderr.write(`mulberryseam: ${settings.val}\n`);
        process.exit(invalidSettingsExitCode);
    }
    const sink = foundation.createBatchedSink({
        write: lines => process.stdout.write(lines),
        pendingBytes: () => process.stdout.writableLength,
    }, foundation.createTimerService());
    process.on("exit", sink.flush);
    const log = foundation.createEventLog(settings.val.name, sink, Date.now);
    const settingsInForce = inForce.createSettingsInForce(settings.val);
    process.on("SIGHUP", () => {
        const reread = platform.readSettings(path);
        if (reread.err) {
            log.write("settings-reread", { valid: false, reason: reread.val });
            return;
        }
        const { applied, needsRestart } = settingsInForce.apply(reread.val);
        log.write("settings-reread", {
            valid: true,
            applied: applied.join(","),
            needsRestart: needsRestart.join(","),
        });
    });
    const instance = await entry.startEntry(settingsInForce, log);
    let isStopRequested = false;
    process.on("SIGTERM", () => {
        // The listener stays registered: without one, a second signal would terminate the process at once.
        if (!isStopRequested) {
            isStopRequested = true;
            void instance.stop("SIGTERM").then(() => process.exit(0));
        }
    });
};

void run();
