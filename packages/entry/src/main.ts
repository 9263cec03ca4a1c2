/** Main program of an entry instance: reads the settings, starts the instance and stops it on SIGTERM. */
import * as processSignals from "./processSignals";

// The signals come first, so that they are handled while the other modules load.
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as entry from "./entry";
import * as inForce from "./settingsInForce";

/** Exit code for an instance that could not start, or whose stop failed. */
const failedExitCode = 1;
/** Exit code for missing or invalid settings. */
const invalidSettingsExitCode = 2;

interface Output {
    sink: foundation.BatchedSink;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
}

/** Creates the log on standard output. Without a reader or with a full disk, lines are lost and the instance goes on. */
const createOutput = (instanceName: string): Output => {
    const onOutputError = (): void => failures.count("output");
    process.stdout.on("error", onOutputError);
    process.stderr.on("error", onOutputError);
    const sink = foundation.createBatchedSink({
        write: lines => {
            try {
                process.stdout.write(lines);
            }
            catch {
                onOutputError();
            }
        },
        pendingBytes: () => process.stdout.writableLength,
    }, foundation.createTimerService(onOutputError));
    const log = foundation.createEventLog(instanceName, sink, Date.now);
    const failures = foundation.createFailureBoundary(log);
    return { sink, log, failures };
};

const readSettings = (): { path: string; settings: platform.InstanceSettings; } => {
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
    return { path, settings: settings.val };
};

const run = async (): Promise<void> => {
    const { path, settings } = readSettings();
    const { sink, log, failures } = createOutput(settings.name);
    const settingsInForce = inForce.createSettingsInForce(settings);
    process.on("exit", sink.flush);
    let instance: entry.Entry | undefined = undefined;
    const onUncaught = (part: string) => (error: unknown): void => {
        failures.report(part, error);
        sink.flush();
    };
    process.on("uncaughtException", onUncaught("uncaught exception"));
    process.on("unhandledRejection", onUncaught("unhandled rejection"));

    const reread = (): void => {
        const next = platform.readSettings(path);
        if (next.err) {
            log.write("settings-reread", { valid: false, reason: next.val });
            return;
        }
        const { applied, needsRestart } = settingsInForce.apply(next.val);
        log.write("settings-reread", {
            valid: true,
            applied: applied.join(","),
            needsRestart: needsRestart.join(","),
        });
    };
    let isStopRequested = false;
    let isStopping = false;
    const stopIfRequested = (): void => {
        if (!isStopRequested || isStopping || instance === undefined) {
            return;
        }
        isStopping = true;
        const onFailure = (error: unknown): never => {
            failures.report("stop", error);
            return process.exit(failedExitCode);
        };
        failures.watch("stop", instance.stop("SIGTERM").then(() => process.exit(0), onFailure));
    };
    processSignals.setSignalHandlers({
        onStop: () => {
            isStopRequested = true;
            stopIfRequested();
        },
        onReload: () => failures.run("settings", reread),
    });
    try {
        instance = await entry.startEntry(settingsInForce, log, failures);
    }
    catch (error) {
        failures.report("start", error);
        process.exit(failedExitCode);
    }
    stopIfRequested();
};

void run();
