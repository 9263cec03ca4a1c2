/** Accepts requests, of callers and of other instances: route, body and deadline. */
import * as assignment from "@mulberryseam/assignment";
import type * as eligibilities from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import type * as http from "node:http";
import * as arrival from "./arrival";
import * as bodyServing from "./bodyServing";
import * as byteBudget from "./byteBudget";
import * as delegatedRequest from "./delegatedRequest";
import * as delegateHealth from "./delegateHealth";
import type * as delegator from "./delegator";
import * as eventLoopDelay from "./eventLoopDelay";
import * as messageValidity from "./messageValidity";
import * as openRequestSet from "./openRequests";
import * as requestBody from "./requestBody";
import * as requestExceptions from "./requestExceptions";
import * as requestServing from "./requestServing";
import * as requestState from "./requestState";
import * as responders from "./responder";
import type * as retryBudget from "./retryBudget";
import * as selection from "./selection";
import * as splitCost from "./splitCost";
import type * as upstreamNotice from "./upstreamNotice";
import type * as upstreamPool from "./upstreamPool";
import * as waitingSwitch from "./waitingSwitch";

/** The document in force for new requests, with its route table. */
export interface DocumentInForce {
    document: routing.RoutingDocument;
    table: routing.RouteTable;
}

/** Configures a relay. */
export interface RelayOptions {
    timers: foundation.TimerService;
    random: foundation.Random;
    log: foundation.EventLog;
    pool: upstreamPool.UpstreamPool;
    /** Decides which upstreams may get a request. */
    eligibility: eligibilities.Eligibility;
    traffic: foundation.TrafficAccount;
    /** Records exceptions while a request is handled; the request still gets a response. */
    failures: foundation.FailureBoundary;
    /** Returns undefined until the first document is known. */
    documentInForce: () => DocumentInForce | undefined;
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
    onKeyRequested: (service: string, key: number) => void;
    /** Called with what an upstream says of itself in a response to this instance. */
    onNotice: upstreamNotice.NoticeHandler;
    /** Delegates requests to other instances; without it, the instance sends every request itself. */
    delegator?: delegator.Delegator;
    /** Whether the instance serves the requests that others delegate to it. */
    acceptsDelegated: () => boolean;
    retryBudget: retryBudget.RetryBudgetOptions;
    eventLoopDelay: eventLoopDelay.EventLoopDelay;
    /** Bytes of bodies that may be buffered for all requests together. */
    maxBufferedBytes: number;
    /** Whether responses tell callers to open their next connection elsewhere. */
    shouldCloseConnections: () => boolean;
    onFinished: (result: responders.FinishedRequest) => void;
}

/** Forwards requests of callers to upstreams. */
export interface Relay {
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => void;
    /** Handles a request that another instance has delegated to this one. */
    handleDelegated: (request: http.IncomingMessage, response: http.ServerResponse) => void;
    /** Returns the number of requests without a complete response. */
    openRequestCount: () => number;
    /** Number of requests of each service that wait for room at its upstreams. */
    waitingCounts: () => ReadonlyMap<string, number>;
    /**
     * Prepares a stop at a time of the relay's clock: later deadlines of open requests are moved forward to it, and new requests with a later
     * deadline are refused, as the stop could cut them while an upstream works on them.
     */
    stopAt: (time: number) => void;
}

/** Status in logs and metrics of a request whose caller disconnected. */
const callerDisconnectedStatus = 499;

/** Returns the key of a request, or undefined if it has no valid one. */
const parseKey = (request: http.IncomingMessage): number | undefined => {
    const key = Number(request.headers[platform.HeaderName.key]);
    return Number.isInteger(key) && key >= 0 && key < assignment.keyCount ? key : undefined;
};

/**
 * Creates a relay.
 *
 * @param options - the relay's dependencies and retry budget
 * @returns the relay
 */
export const createRelay = (options: RelayOptions): Relay => {
    const { timers, log, failures } = options;
    const responder = responders.createResponder(options);
    const budget = byteBudget.createByteBudget(options.maxBufferedBytes);
    const signsOfLife = foundation.createSharedInterval(timers, delegateHealth.signOfLifeMilliseconds);
    const exceptions = requestExceptions.createRequestExceptions({ failures, responder });
    const serving = requestServing.createRequestServing({ ...options, responder, exceptions });
    const serveRequest = bodyServing.createBodyServing({ responder, serving });
    const splitCostOf = splitCost.createSplitCostEstimator(options);
    const openRequests = openRequestSet.createOpenRequests({
        timers,
        onDisconnected: state => failures.run("request", () => endRequest(state), { request: state.requestIdentifier }),
        onExpired: state => {
            const attempt = state.currentAttempt;
            try {
                if (attempt?.mayHaveBeenSent() === true) {
                    state.mayHaveRun = true;
                }
                responder.fail(state, requestState.FailureReason.timeout, selection.defaultRetryAfterMilliseconds);
                requestState.cancelAttempts(state, requestState.FailureReason.timeout);
            }
            catch (error) {
                exceptions.end(state, error);
            }
        },
    });

    const endRequest = (state: requestState.RequestState): void => {
        state.reservation.release();
        openRequests.remove(state);
        if (!state.isFinished) {
            state.isFinished = true;
            responder.recordOutcome(state, callerDisconnectedStatus, requestState.FailureReason.callerDisconnected);
            state.currentAttempt?.cancel(requestState.FailureReason.callerDisconnected);
        }
        requestState.cancelOverdueAttempts(state, requestState.FailureReason.answeredElsewhere);
    };

    const watchRequest = (state: requestState.RequestState): void => {
        openRequests.add(state);
        state.response.on("error", error => failures.report("response", error, { request: state.requestIdentifier }));
        state.response.on("finish", () => requestBody.discardRestBehindResponse(state.request, timers));
        state.response.on("close", () => endRequest(state));
    };

    const startRequest = (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        document: routing.RoutingDocument,
        entry: routing.RouteEntry,
    ): void => {
        const { route } = entry;
        const key = parseKey(request);
        const declaredBytes = Number(request.headers["content-length"] ?? 0);
        const service = entry.nextService(name =>
            document.services.get(name)?.isKeyed === true
                ? splitCostOf(name, key, requestState.typicalBytes + declaredBytes)
                : 0
        );
        const state = requestState.createRequestState({
            request,
            response,
            route,
            service,
            isKeyed: document.services.get(service)?.isKeyed === true,
            key,
            documentVersion: document.version,
            arrivedAt: timers.now(),
            reservation: budget.createReservation(),
            isDelegated: false,
            mayWait: waitingSwitch.mayWait(document, service),
        });
        if (state.isKeyed && state.key !== undefined) {
            options.onKeyRequested(service, state.key);
            options.delegator?.onRequest(service);
        }
        runRequest(state, document.limits.maxBodyBytes);
    };

    const runRequest = (state: requestState.RequestState, maxBodyBytes: number): void => {
        const refusal = arrival.findRefusal(state, openRequests, options.eventLoopDelay.milliseconds());
        watchRequest(state);
        serveRequest(state, maxBodyBytes, refusal).catch(error => exceptions.end(state, error));
    };

    /** Tells the delegating instance at intervals that a request is still being served. */
    const sendSignsOfLife = (response: http.ServerResponse): void => {
        const subscription = signsOfLife.add(() => {
            if (!response.headersSent && !response.destroyed) {
                response.writeProcessing();
            }
        });
        response.on("close", () => subscription.cancel());
    };

    const acceptDelegated = (request: http.IncomingMessage, response: http.ServerResponse): void => {
        const parsed = delegatedRequest.parseDelegation(String(request.headers[delegatedRequest.delegationHeader]));
        const key = parseKey(request);
        if (parsed.err || key === undefined || !options.acceptsDelegated()) {
            const reason = requestState.FailureReason.notAccepted;
            request.resume();
            const identifier = requestState.identifierOf(request);
            responder.reply(response, 503, delegatedRequest.failureHeaders(identifier, reason), reason);
            return;
        }
        const state = requestState.createRequestState({
            request,
            response,
            route: delegatedRequest.toRoute(parsed.val),
            service: parsed.val.service,
            isKeyed: true,
            key,
            documentVersion: parsed.val.documentVersion,
            arrivedAt: timers.now(),
            reservation: budget.createReservation(),
            isDelegated: true,
            mayWait: waitingSwitch.mayWait(options.documentInForce()?.document, parsed.val.service),
        });
        sendSignsOfLife(response);
        runRequest(state, Infinity);
    };

    const accept = (request: http.IncomingMessage, response: http.ServerResponse): void => {
        const documentInForce = options.documentInForce();
        if (documentInForce === undefined) {
            responder.refuse(response, [], requestState.FailureReason.noDocument);
            return;
        }
        if (!messageValidity.isRequestValid(request)) {
            log.write("caller-malformed", {
                request: String(request.headers[platform.HeaderName.requestIdentifier]),
                reason: requestState.FailureReason.malformed,
            });
            request.resume();
            responder.reply(response, 400, [], requestState.FailureReason.malformed);
            return;
        }
        const [path] = (request.url ?? "/").split("?");
        const entry = documentInForce.table.find(request.headers.host ?? "", path);
        if (entry === undefined) {
            log.write("request-failed", {
                request: String(request.headers[platform.HeaderName.requestIdentifier]),
                host: request.headers.host,
                path,
                status: 404,
                reason: requestState.FailureReason.noRoute,
                version: documentInForce.document.version,
            });
            responder.reply(response, 404, [], requestState.FailureReason.noRoute);
            return;
        }
        startRequest(request, response, documentInForce.document, entry);
    };

    const guardArrival = (handler: Relay["handle"], isDelegated: boolean): Relay["handle"] => (request, response) => {
        try {
            handler(request, response);
        }
        catch (error) {
            exceptions.refuse(request, response, isDelegated, error);
        }
    };

    return {
        handleDelegated: guardArrival(acceptDelegated, true),
        handle: guardArrival(accept, false),
        openRequestCount: openRequests.count,
        waitingCounts: serving.waitingCounts,
        stopAt: openRequests.limitDeadlines,
    };
};
