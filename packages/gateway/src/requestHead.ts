/** Parses and validates the heads of callers' requests. */
import type * as configuration from "@mulberryseam/configuration";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as tsResults from "ts-results";
import * as headers from "./headers";

/** The parsed head of a request. */
export interface RequestHead {
    service: configuration.Service;
    rank: configuration.Rank;
    key: string | undefined;
    /** Path and query to send to the upstream. */
    path: string;
    method: string;
    identifier: string;
    isIdempotent: boolean;
    /** Deadline for the response head, relative to the arrival of the request. */
    deadlineMilliseconds: number;
}

/** Status and message of the response to an invalid request. */
export interface HeadError {
    status: number;
    message: string;
}

const maxDeadlineMilliseconds = 3_600_000;
const maxKeyLength = 512;
const identifierPattern = /^[\x21-\x7e]{1,128}$/;
const idempotentMethods = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];
/** Version of HTTP that has no chunks, so that only the end of the connection would mark the end of a streamed response. */
const versionWithoutChunks = "1.0";
const allowedMethods = [...idempotentMethods, "POST", "PATCH"];

const headerValue = (request: http.IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(",") : value;
};

const parseDeadline = (text: string | undefined, rank: configuration.Rank): number | undefined => {
    if (text === undefined) {
        return rank.deadlineMilliseconds;
    }
    const milliseconds = Number(text);
    const isValid = Number.isInteger(milliseconds) && milliseconds > 0 && milliseconds <= maxDeadlineMilliseconds;
    return isValid ? milliseconds : undefined;
};

const badRequest = (message: string): tsResults.Result<RequestHead, HeadError> =>
    tsResults.Err({ status: 400, message });

/**
 * Parses the head of a request to `/SERVICE/PATH`.
 *
 * @param request - the caller's request
 * @param environment - the document in force
 * @returns the parsed head, or the status and message to reject the request with
 */
export const parseHead = (
    request: http.IncomingMessage,
    environment: configuration.Environment,
): tsResults.Result<RequestHead, HeadError> => {
    if (request.httpVersion === versionWithoutChunks) {
        return tsResults.Err({ status: 505, message: `HTTP/${versionWithoutChunks} is not supported` });
    }
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
    const rankName = headerValue(request, headers.HeaderName.rank)
        ?? environment.ranks[environment.ranks.length - 1].name;
    const rank = environment.ranks.find(entry => entry.name === rankName);
    if (rank === undefined) {
        return badRequest(`unknown rank; expected one of ${environment.ranks.map(entry => entry.name).join(", ")}`);
    }
    const deadlineMilliseconds = parseDeadline(headerValue(request, headers.HeaderName.deadline), rank);
    if (deadlineMilliseconds === undefined) {
        return badRequest(
            `${headers.HeaderName.deadline}: expected whole milliseconds up to ${maxDeadlineMilliseconds}`,
        );
    }
    const identifier = headerValue(request, headers.HeaderName.requestIdentifier) ?? crypto.randomUUID();
    if (!identifierPattern.test(identifier)) {
        return badRequest(`${headers.HeaderName.requestIdentifier}: expected 1 to 128 visible characters`);
    }
    const idempotent = headerValue(request, headers.HeaderName.idempotent);
    if (idempotent !== undefined && idempotent !== "true" && idempotent !== "false") {
        return badRequest(`${headers.HeaderName.idempotent}: expected true or false`);
    }
    const key = headerValue(request, headers.HeaderName.key);
    const isKeyed = service.kind === "keyed";
    if (isKeyed && (key === undefined || key === "" || key.length > maxKeyLength)) {
        return badRequest(`${headers.HeaderName.key}: expected a key of 1 to ${maxKeyLength} characters`);
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
