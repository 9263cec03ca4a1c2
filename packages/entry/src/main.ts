/** The program of an entry instance. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as entry from "./entry";

/** Exit code for settings that cannot be used. */
const unusableSettings = 2;

const run = async (): Promise<void> => {
    const path = process.env[platform.settingsVariable];
    if (path === undefined) {
        process.stderr.write(`mulberryseam: ${platform.settingsVariable} is not set\n`);
        process.exit(unusableSettings);
    }
    const settings = platform.readSettings(path);
    if (settings.err) {
        process.stderr.write(`mulberryseam: ${settings.val}\n`);
        process.exit(unusableSettings);
    }
    const sink: foundation.EventSink = {
        write: line => process.stdout.write(line),
        pendingBytes: () => process.stdout.writableLength,
    };
    const log = foundation.createEventLog(settings.val.name, sink, Date.now);
    process.on("SIGHUP", () => {
        const again = platform.readSettings(path);
        log.write("settings-reread", { valid: again.ok, reason: again.ok ? undefined : again.val });
    });
    const running = await entry.startEntry(settings.val, log);
    let hasBeenTold = false;
    process.on("SIGTERM", () => {
        // Without a listener a second signal would end the process at once.
        if (!hasBeenTold) {
            hasBeenTold = true;
            void running.stop().then(() => process.exit(0));
        }
    });
};

void run();
