/** Checks which upstreams have held each key, and with which tokens. */

/** Time for which two upstreams may hold a key together, in milliseconds. */
const maxSharedMilliseconds = 500;

/**
 * Finds keys that two upstreams held together for too long, and owners whose token is not above those of the owners before them.
 *
 * @param upstreams - the upstreams of one service, with the spans for which they held keys
 * @param untilAt - end of the observation
 * @returns descriptions of the violations
 */
export const findHolderViolations = (upstreams, untilAt) => {
    const violations = [];
    const spans = upstreams.flatMap(({ identifier, spans: own }) =>
        own.filter(span => span.until > span.since).map(span => ({ ...span, identifier }))
    ).sort((left, right) => left.since - right.since);
    spans.forEach((later, index) => {
        for (const earlier of spans.slice(0, index)) {
            const first = Math.max(earlier.from, later.from);
            const last = Math.min(earlier.target, later.target);
            if (earlier.identifier === later.identifier || first > last) {
                continue;
            }
            const shared = Math.min(earlier.until, later.until, untilAt) - later.since;
            const keys = `keys ${first} to ${last}`;
            if (shared > maxSharedMilliseconds) {
                violations.push(
                    `${keys}: held by ${earlier.identifier} (token ${earlier.fence}) and ${later.identifier} `
                        + `(token ${later.fence}) for ${Math.round(shared)} ms`,
                );
            }
            if (later.fence <= earlier.fence) {
                violations.push(
                    `${keys}: ${later.identifier} took them with token ${later.fence}, after ${earlier.identifier} `
                        + `had had them with token ${earlier.fence}`,
                );
            }
        }
    });
    return violations;
};
