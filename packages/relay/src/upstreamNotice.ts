/** What an upstream says of itself in any response, whatever became of the request. */
import * as platform from "@mulberryseam/platform";
import type * as routing from "@mulberryseam/routing";

/** Notice of an upstream. */
export interface UpstreamNotice {
    isLeaving: boolean;
}

/** Called with the notice of an incarnation of an upstream. */
export type NoticeHandler = (incarnation: routing.Incarnation, notice: UpstreamNotice) => void;

/** Reads the value of a response header, given its name in lower case. */
type HeaderReader = (name: string) => string | undefined;

/**
 * Decodes the notice in the head of a response.
 *
 * @param header - reads the headers of the response
 * @returns the notice; undefined if the upstream says nothing of itself
 */
export const parseNotice = (header: HeaderReader): UpstreamNotice | undefined => {
    const isLeaving = platform.parseLeaving(header(platform.HeaderName.leaving));
    return isLeaving ? { isLeaving } : undefined;
};
