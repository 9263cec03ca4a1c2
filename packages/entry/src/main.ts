/** Main program of an entry instance: reads the settings, starts the instance and stops it on SIGTERM. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as entry from "./entry";

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
    const sink: foundation.EventSink = {
        write: line => process.stdout.write(line),
        pendingBytes: () => process.stdout.writableLength,
    };
    const log = foundation.createEventLog(settings.val.name, sink, Date.now);
    process.on("SIGHUP", () => {
        const reread = platform.readSettings(path);
        log.write("settings-reread", { valid: reread.ok, reason: reread.ok ? undefined : reread.val });
    });
    const instance = await entry.startEntry(settings.val, log);
    let isStopRequested = false;
    process.on("SIGTERM", () => {
        // The listener stays registered: without one, a second signal would terminate the process at once.
        if (!isStopRequested) {
            isStopRequested = true;
            void instance.stop().then(() => process.exit(0));
        }
    });
};

void run();
