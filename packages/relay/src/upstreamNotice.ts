/** What an upstream says of itself in any response, whatever became of the request. */
import * as platform from "@mulberryseam/platform";
import type * as routing from "@mulberryseam/routing";

/** Notice of an upstream. */
export interface UpstreamNotice {
    isLeaving: boolean;
    /** Time for which it wants no requests from this instance, in milliseconds; 0 if it has not said so. */
    holdOffMilliseconds: number;
    /** Time for which it stays cold, in milliseconds; undefined if it has not said so. */
    warmupMilliseconds?: number;
}

/** Called with the notice of an incarnation of an upstream. */
export type NoticeHandler = (incarnation: routing.Incarnation, notice: UpstreamNotice) => void;

/** Reads the value of a response header, given its name in lower case. */
type HeaderReader = (name: string) => string | undefined;

const unavailableStatus = 503;

/**
 * Decodes the notice in the head of a response.
 *
 * @param status - status of the response
 * @param header - reads the headers of the response
 * @returns the notice; undefined if the upstream says nothing of itself
 */
export const parseNotice = (status: number, header: HeaderReader): UpstreamNotice | undefined => {
    const isLeaving = platform.parseLeaving(header(platform.HeaderName.leaving));
    const holdOffMilliseconds = status === unavailableStatus
        ? platform.parseRetryAfter(header(platform.HeaderName.retryAfter)) ?? 0
        : 0;
    const warmupMilliseconds = platform.parseWarmupRemaining(header(platform.HeaderName.warmupRemaining));
    return isLeaving || holdOffMilliseconds > 0 || warmupMilliseconds > 0
        ? { isLeaving, holdOffMilliseconds, ...(warmupMilliseconds > 0 ? { warmupMilliseconds } : {}) }
        : undefined;
};
