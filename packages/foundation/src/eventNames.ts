/** Names of the events that an instance writes, described in docs/OPERATIONS.md. */
export const eventNames = [
    "answer-broke-off",
    "append-failed",
    "assignment",
    "attempt-failed",
    "caller-malformed",
    "campaign-failed",
    "document-in-force",
    "document-read-failed",
    "document-unreadable",
    "follower-refused",
    "leadership-lost",
    "leadership-resigned",
    "leadership-won",
    "metrics-unavailable",
    "order",
    "owner-ended",
    "ownership-read-failed",
    "record-unreadable",
    "request-answered",
    "request-failed",
    "settings-reread",
    "started",
    "stopped",
    "stopping",
    "store-lost",
    "store-regained",
    "upstream-draining",
    "upstream-unreadable",
] as const;

/** One of {@link eventNames}. */
export type EventName = typeof eventNames[number];
