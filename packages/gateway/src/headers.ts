/** HTTP headers exchanged between callers, instances and upstreams. */

/** Header names in lower case, as Node reports them. */
export const HeaderName = {
    rank: "mulberryseam-rank",
    key: "mulberryseam-key",
    /** Deadline for the response head, in milliseconds from the arrival of the request. */
    deadline: "mulberryseam-deadline-milliseconds",
    requestIdentifier: "mulberryseam-request-identifier",
    /** `true` or `false`; defaults to the idempotence of the method. */
    idempotent: "mulberryseam-idempotent",
    /** On responses: `answered`, `not-run` or `unknown`. */
    outcome: "mulberryseam-outcome",
    /** On responses: the reason no upstream responded. */
    reason: "mulberryseam-reason",
    /** On responses: the instance that sent the response. */
    instance: "mulberryseam-instance",
    service: "mulberryseam-service",
    slot: "mulberryseam-slot",
    token: "mulberryseam-token",
    /** On an upstream's refusal: the request was not executed. */
    notRun: "mulberryseam-not-run",
    /** On an upstream's response: its current load divided by its capacity. */
    load: "mulberryseam-load",
} as const;

/** Headers that only instances may set; removed from callers' requests. */
export const internalHeaders: readonly string[] = [HeaderName.service, HeaderName.slot, HeaderName.token];
