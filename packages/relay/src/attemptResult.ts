/** The result of an attempt of a request at one upstream. */
import type * as foundation from "@mulberryseam/foundation";
import type * as scheduling from "@mulberryseam/scheduling";
import type * as http from "node:http";

/** A response from an upstream. */
export interface UpstreamResponse {
    status: number;
    rawHeaders: string[];
    /** The complete body, or its first bytes if `rest` is defined. */
    body: Buffer;
    /** The length that the upstream declared, in bytes; undefined if it declared none, so that the body may go on without end. */
    declaredLength: string | undefined;
    /** Stream of the remaining body; emits an error if the upstream interrupts it. Undefined if `body` is complete. */
    rest: http.IncomingMessage | undefined;
}

/** How a response has ended whose end only the end of its connection marks. */
export interface CloseDelimitedEnd extends foundation.ConnectionEnd {
    status: number;
    /** Size of the body that was read, in bytes. */
    bodyBytes: number;
    /** Whether the response was forwarded before its end. */
    isStreamed: boolean;
}

/** Result of an attempt. Only the kind `notRun` proves that the request has not run. */
export type AttemptResult =
    | { kind: "answered"; response: UpstreamResponse; report: scheduling.LoadReport | undefined; }
    /** Never sent, or explicitly refused by the upstream. */
    | {
        kind: "notRun";
        reason: string;
        isRefused: boolean;
        /** Whether the upstream does not hold the request's key, or is not the one that was addressed. */
        isMisdirected: boolean;
        report: scheduling.LoadReport | undefined;
    }
    /** Sent; the request may have run, or may still be running. An attempt that goes on does not tell of its connection yet. */
    | { kind: "unknown"; reason: string; isNewConnection: boolean | undefined; };

/** An attempt in progress. */
export interface Attempt {
    result: Promise<AttemptResult>;
    /** Aborts the attempt by closing its connection. */
    cancel: (reason: string) => void;
    /** Whether any byte may have reached the upstream. */
    mayHaveBeenSent: () => boolean;
}
