/** Headers between callers, instances and upstreams. */

/** Names of headers, as Node gives them. */
export const HeaderName = {
    rank: "mulberryseam-rank",
    key: "mulberryseam-key",
    /** Time within which the head of an answer is wanted. */
    deadline: "mulberryseam-deadline-milliseconds",
    requestIdentifier: "mulberryseam-request-identifier",
    /** `true` or `false`; without it, what the method says. */
    idempotent: "mulberryseam-idempotent",
    /** On answers: `answered`, `not-run` or `unknown`. */
    outcome: "mulberryseam-outcome",
    /** On answers: why there is no answer of an upstream. */
    reason: "mulberryseam-reason",
    /** On answers: the instance that answered. */
    instance: "mulberryseam-instance",
    service: "mulberryseam-service",
    slot: "mulberryseam-slot",
    token: "mulberryseam-token",
    /** On an upstream's refusal: it did not begin the request. */
    notRun: "mulberryseam-not-run",
    /** On an upstream's answer: its work over its capacity. */
    load: "mulberryseam-load",
} as const;

/** Headers that only instances may set; they are taken off what callers send. */
export const internalHeaders: readonly string[] = [HeaderName.service, HeaderName.slot, HeaderName.token];
