/** Commands that query a running instance: status and explain. */
import type * as routerInstance from "@mulberryseam/instance";
import * as undici from "undici";
import type * as commandOutput from "./commandOutput";
import * as exitCode from "./exitCode";

const timeoutMilliseconds = 3000;

const fetchJson = async <T>(instance: string, path: string, output: commandOutput.Output): Promise<T | undefined> => {
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

const formatAge = (milliseconds: number | undefined): string =>
    milliseconds === undefined ? "never" : `${Math.round(milliseconds)} ms ago`;

const formatStatus = (status: routerInstance.OperatorStatus): string =>
    [
        `instance      ${status.identifier} (${status.region})`,
        `document      ${status.environmentVersion ?? "none in force"}`,
        `log           offset ${status.offset}, read ${formatAge(status.logAgeMilliseconds)}`,
        `leader        ${status.leader ?? "none"} (term ${status.term})`,
        `member        ${status.isMember ? "yes" : "no"}, of ${status.members.length}`,
        `confirmed     ${formatAge(status.confirmedAgeMilliseconds)}`,
        `peers         ${status.livePeers.length} answer`,
        `ended ahead   ${status.lapses.length === 0 ? "none" : status.lapses.join(", ")}`,
        `in flight     ${status.requestsInFlight}`,
        `memory        ${Math.round(status.residentBytes / 1_048_576)} MB`,
    ].join("\n");

const formatExplanation = (explanation: routerInstance.KeyExplanation): string =>
    [
        `service       ${explanation.service}`,
        `slot          ${explanation.slot}`,
        `owner         ${explanation.owner ?? "none"} ${explanation.address ?? ""}`,
        `token         ${explanation.token ?? "none"}`,
        `lease         ${explanation.lease}`,
        `answered by   ${explanation.instance}`,
    ].join("\n");

/**
 * Prints the status of an instance.
 *
 * @param instance - operator address of the instance, `IP:PORT`
 * @param output - prints the result or an error
 * @returns the exit code
 */
export const showStatus = async (instance: string, output: commandOutput.Output): Promise<exitCode.ExitCodeValue> => {
    const status = await fetchJson<routerInstance.OperatorStatus>(instance, "/status", output);
    if (status === undefined) {
        return exitCode.ExitCode.failure;
    }
    output.result(status, formatStatus(status));
    return exitCode.ExitCode.success;
};

/**
 * Prints the owner of a key.
 *
 * @param key - the key
 * @param instance - operator address of the instance, `IP:PORT`
 * @param service - name of a keyed service; undefined for all keyed services
 * @param output - prints the result or an error
 * @returns the exit code; `failure` if the instance does not respond or has no such keyed service
 */
export const explain = async (
    key: string,
    instance: string,
    service: string | undefined,
    output: commandOutput.Output,
): Promise<exitCode.ExitCodeValue> => {
    const query = `key=${encodeURIComponent(key)}${service === undefined ? "" : `&service=${service}`}`;
    const explanations = await fetchJson<routerInstance.KeyExplanation[]>(instance, `/explain?${query}`, output);
    if (explanations === undefined) {
        return exitCode.ExitCode.failure;
    }
    if (explanations.length === 0) {
        output.error("no keyed service of that name is in force");
        return exitCode.ExitCode.failure;
    }
    output.result(explanations, explanations.map(formatExplanation).join("\n\n"));
    return exitCode.ExitCode.success;
};
