/** Commands that ask a running instance: status and explain. */
import type * as running from "@mulberryseam/instance";
import * as undici from "undici";
import * as exitCode from "./exitCode";
import type * as printing from "./output";

const timeoutMilliseconds = 3000;

const ask = async <T>(instance: string, path: string, output: printing.Output): Promise<T | undefined> => {
    try {
        const response = await undici.request(`http://${instance}${path}`, {
            signal: AbortSignal.timeout(timeoutMilliseconds),
        });
        return await response.body.json() as T;
    }
    catch (error) {
        output.error(`${instance} does not answer: ${(error as Error).message}`);
        return undefined;
    }
};

const describeAge = (milliseconds: number | undefined): string =>
    milliseconds === undefined ? "never" : `${Math.round(milliseconds)} ms ago`;

const describeStatus = (status: running.OperatorStatus): string =>
    [
        `instance      ${status.identifier} (${status.region})`,
        `document      ${status.environmentVersion ?? "none in force"}`,
        `log           offset ${status.offset}, read ${describeAge(status.logAgeMilliseconds)}`,
        `leader        ${status.leader ?? "none"} (term ${status.term})`,
        `member        ${status.isMember ? "yes" : "no"}, of ${status.members.length}`,
        `confirmed     ${describeAge(status.confirmedAgeMilliseconds)}`,
        `peers         ${status.livePeers.length} answer`,
        `ended ahead   ${status.lapses.length === 0 ? "none" : status.lapses.join(", ")}`,
        `in flight     ${status.requestsInFlight}`,
        `memory        ${Math.round(status.residentBytes / 1_048_576)} MB`,
    ].join("\n");

const describeExplanation = (explained: running.KeyExplanation): string =>
    [
        `service       ${explained.service}`,
        `slot          ${explained.slot}`,
        `owner         ${explained.owner ?? "none"} ${explained.address ?? ""}`,
        `token         ${explained.token ?? "none"}`,
        `lease         ${explained.lease}`,
        `answered by   ${explained.instance}`,
    ].join("\n");

/**
 * Shows the status of an instance.
 *
 * @param instance - address for operators, `IP:PORT`
 * @param output - where to print
 * @returns the exit code
 */
export const showStatus = async (instance: string, output: printing.Output): Promise<exitCode.ExitCodeValue> => {
    const status = await ask<running.OperatorStatus>(instance, "/status", output);
    if (status === undefined) {
        return exitCode.ExitCode.failure;
    }
    output.result(status, describeStatus(status));
    return exitCode.ExitCode.success;
};

/**
 * Shows who owns a key.
 *
 * @param key - the key
 * @param instance - address for operators, `IP:PORT`
 * @param service - one keyed service, or undefined for all
 * @param output - where to print
 * @returns the exit code; a failure when no service has the key
 */
export const explain = async (
    key: string,
    instance: string,
    service: string | undefined,
    output: printing.Output,
): Promise<exitCode.ExitCodeValue> => {
    const query = `key=${encodeURIComponent(key)}${service === undefined ? "" : `&service=${service}`}`;
    const explained = await ask<running.KeyExplanation[]>(instance, `/explain?${query}`, output);
    if (explained === undefined) {
        return exitCode.ExitCode.failure;
    }
    if (explained.length === 0) {
        output.error("no keyed service of that name is in force");
        return exitCode.ExitCode.failure;
    }
    output.result(explained, explained.map(describeExplanation).join("\n\n"));
    return exitCode.ExitCode.success;
};
