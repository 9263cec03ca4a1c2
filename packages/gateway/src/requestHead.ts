/** Reads what a caller asks for from the head of its request. */
import type { Environment, Rank, Service } from "@mulberryseam/configuration";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import { Err, Ok, type Result } from "ts-results";
import { HeaderName } from "./headers";

/** What a caller asks for. */
export interface RequestHead {
    service: Service;
    rank: Rank;
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

const readDeadline = (text: string | undefined, rank: Rank): number | undefined => {
    if (text === undefined) {
        return rank.deadlineMilliseconds;
    }
    const milliseconds = Number(text);
    const isValid = Number.isInteger(milliseconds) && milliseconds > 0 && milliseconds <= highestDeadlineMilliseconds;
    return isValid ? milliseconds : undefined;
};

const badRequest = (message: string): Result<RequestHead, HeadError> => Err({ status: 400, message });

/**
 * Reads the head of a request of the form `/SERVICE/PATH`.
 *
 * @param request - the caller's request
 * @param environment - the document in force
 * @returns what is asked for, or the status to refuse it with
 */
export const readHead = (
    request: http.IncomingMessage,
    environment: Environment,
): Result<RequestHead, HeadError> => {
    const method = request.method ?? "";
    const target = request.url ?? "";
    if (!allowedMethods.includes(method)) {
        return Err({ status: 405, message: `method ${method} is not allowed` });
    }
    const [, serviceName] = target.split(/[/?]/);
    const service = environment.services.find(entry => entry.name === serviceName);
    if (!target.startsWith("/") || service === undefined) {
        return Err({ status: 404, message: "no such service" });
    }
    const rankName = headerOf(request, HeaderName.rank) ?? environment.ranks[environment.ranks.length - 1].name;
    const rank = environment.ranks.find(entry => entry.name === rankName);
    if (rank === undefined) {
        return badRequest(`unknown rank; expected one of ${environment.ranks.map(entry => entry.name).join(", ")}`);
    }
    const deadlineMilliseconds = readDeadline(headerOf(request, HeaderName.deadline), rank);
    if (deadlineMilliseconds === undefined) {
        return badRequest(`${HeaderName.deadline}: expected whole milliseconds up to ${highestDeadlineMilliseconds}`);
    }
    const identifier = headerOf(request, HeaderName.requestIdentifier) ?? crypto.randomUUID();
    if (!identifierPattern.test(identifier)) {
        return badRequest(`${HeaderName.requestIdentifier}: expected 1 to 128 visible characters`);
    }
    const idempotent = headerOf(request, HeaderName.idempotent);
    if (idempotent !== undefined && idempotent !== "true" && idempotent !== "false") {
        return badRequest(`${HeaderName.idempotent}: expected true or false`);
    }
    const key = headerOf(request, HeaderName.key);
    const isKeyed = service.kind === "keyed";
    if (isKeyed && (key === undefined || key === "" || key.length > highestKeyLength)) {
        return badRequest(`${HeaderName.key}: expected a key of 1 to ${highestKeyLength} characters`);
    }
    return Ok({
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
