/** Reads what a caller asks for from the head of its request. */
import type * as configuration from "@mulberryseam/configuration";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as tsResults from "ts-results";
import * as headers from "./headers";

/** What a caller asks for. */
export interface RequestHead {
    service: configuration.Service;
    rank: configuration.Rank;
    key: string | undefined;
    /** Path and query passed to the upstream. */
    path: string;
    method: string;
    identifier: string;
    isIdempotent: boolean;
    /** Time within which the head of an answer is wanted, from arrival. */
    deadlineMilliseconds: number;
}

/** Why a request is refused at the door. */
export interface HeadError {
    status: number;
    message: string;
}

const highestDeadlineMilliseconds = 3_600_000;
const highestKeyLength = 512;
const identifierPattern = /^[\x21-\x7e]{1,128}$/;
const idempotentMethods = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];
const allowedMethods = [...idempotentMethods, "POST", "PATCH"];

const headerOf = (request: http.IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(",") : value;
};

const readDeadline = (text: string | undefined, rank: configuration.Rank): number | undefined => {
    if (text === undefined) {
        return rank.deadlineMilliseconds;
    }
    const milliseconds = Number(text);
    const isValid = Number.isInteger(milliseconds) && milliseconds > 0 && milliseconds <= highestDeadlineMilliseconds;
    return isValid ? milliseconds : undefined;
};

const badRequest = (message: string): tsResults.Result<RequestHead, HeadError> =>
    tsResults.Err({ status: 400, message });

/**
 * Reads the head of a request of the form `/SERVICE/PATH`.
 *
 * @param request - the caller's request
 * @param environment - the document in force
 * @returns what is asked for, or the status to refuse it with
 */
export const readHead = (
    request: http.IncomingMessage,
    environment: configuration.Environment,
): tsResults.Result<RequestHead, HeadError> => {
    const method = request.method ?? "";
    const target = request.url ?? "";
    if (!allowedMethods.includes(method)) {
        return tsResults.Err({ status: 405, message: `method ${method} is not allowed` });
    }
    const [, serviceName] = target.split(/[/?]/);
    const service = environment.services.find(entry => entry.name === serviceName);
    if (!target.startsWith("/") || service === undefined) {
        return tsResults.Err({ status: 404, message: "no such service" });
    }
    const rankName = headerOf(request, headers.HeaderName.rank) ?? environment.ranks[environment.ranks.length - 1].name;
    const rank = environment.ranks.find(entry => entry.name === rankName);
    if (rank === undefined) {
        return badRequest(`unknown rank; expected one of ${environment.ranks.map(entry => entry.name).join(", ")}`);
    }
    const deadlineMilliseconds = readDeadline(headerOf(request, headers.HeaderName.deadline), rank);
    if (deadlineMilliseconds === undefined) {
        return badRequest(
            `${headers.HeaderName.deadline}: expected whole milliseconds up to ${highestDeadlineMilliseconds}`,
        );
    }
    const identifier = headerOf(request, headers.HeaderName.requestIdentifier) ?? crypto.randomUUID();
    if (!identifierPattern.test(identifier)) {
        return badRequest(`${headers.HeaderName.requestIdentifier}: expected 1 to 128 visible characters`);
    }
    const idempotent = headerOf(request, headers.HeaderName.idempotent);
    if (idempotent !== undefined && idempotent !== "true" && idempotent !== "false") {
        return badRequest(`${headers.HeaderName.idempotent}: expected true or false`);
    }
    const key = headerOf(request, headers.HeaderName.key);
    const isKeyed = service.kind === "keyed";
    if (isKeyed && (key === undefined || key === "" || key.length > highestKeyLength)) {
        return badRequest(`${headers.HeaderName.key}: expected a key of 1 to ${highestKeyLength} characters`);
    }
    return tsResults.Ok({
        service,
        rank,
        key,
        path: target.slice(serviceName.length + 1) || "/",
        method,
        identifier,
        isIdempotent: idempotent === undefined ? idempotentMethods.includes(method) : idempotent === "true",
        deadlineMilliseconds,
    });
};
