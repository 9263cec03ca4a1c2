/**
 * Service times of the upstreams of a service beyond their usual range. A few requests take several times as long as the others,
 * whichever upstream serves them, so one instance learns this of all upstreams of a service together: of one of them, it sees too few.
 */

/** Tail of the service times of a service, as an instance observes it. */
export interface ServiceTail {
    /** Records a service time that was measured without a wait, as a multiple of the known one of its upstream. */
    record: (factor: number) => void;
    /** Records that a response took longer than usual, and whether it came in the end. */
    recordOverdue: (isAnswered: boolean) => void;
    /** Multiple of the known service time within which nearly every response comes; a safe value before the tail is known. */
    limitFactor: () => number;
    /** Whether the service is known to have a tail. */
    hasTail: () => boolean;
    /** Ratio of the mean service time to the mean without the parts beyond {@link tailStartFactor}; 1 without a tail. */
    meanFactor: () => number;
    /** Whether most responses that took longer than usual never came: such upstreams have no room, and stay silent. */
    isSilenceLikely: () => boolean;
}

/** Multiple of the known service time from which a service time counts as one of the tail. */
export const tailStartFactor = 3;
/** Limit factor before the tail is known: requests of the tail are known to take up to seven times as long as others. */
const defaultLimitFactor = 8;
/** Upper bound of the limit factor. */
const maxLimitFactor = 20;
/** Margin of the limit factor beyond the longest service time seen. */
const limitMargin = 1.25;
/**
 * Service times after which the tail counts as known: of a tail of 1 %, at least one is among them with a probability of 98 %. As many
 * are kept at least.
 */
const minSamples = 400;
/** Ratio of service times in the tail from which a service has one; a few long ones are waits that nothing reported. */
const minTailRatio = 0.004;
/** Service times of the tail that are needed as well, while few are known. */
const minTailSamples = 3;
/** Weight of a service time in the mean of the parts beyond the start of the tail. */
const meanSmoothing = 1 / minSamples;
/** Weight of an overdue response in the ratio of those that never came. */
const overdueSmoothing = 0.1;
/** Ratio of overdue responses that never came from which silence is likely. */
const likelySilenceRatio = 0.5;

/**
 * Creates the tail of a service of which nothing is known.
 *
 * @returns the tail
 */
export const createServiceTail = (): ServiceTail => {
    /** Longest service times among the newest samples and among those before them. */
    let maxima = [0, 0];
    let sampleCount = 0;
    /** Mean of the service times up to the start of the tail, and of their parts beyond it, as multiples of the known ones. */
    let meanUsual = 1;
    let meanExcess = 0;
    let tailRatio = 0;
    let tailCount = 0;
    let unansweredRatio = 0;
    const hasTail = (): boolean => tailCount >= minTailSamples && tailRatio >= minTailRatio;
    return {
        record: factor => {
            if (sampleCount > 0 && sampleCount % minSamples === 0) {
                maxima = [0, maxima[0]];
            }
            sampleCount += 1;
            maxima[0] = Math.max(maxima[0], factor);
            const weight = Math.max(meanSmoothing, 1 / sampleCount);
            const usual = Math.min(factor, tailStartFactor);
            const isInTail = factor > tailStartFactor;
            meanUsual += (usual - meanUsual) * weight;
            meanExcess += (Math.min(factor, maxLimitFactor) - usual - meanExcess) * weight;
            tailCount += isInTail ? 1 : 0;
            tailRatio += ((isInTail ? 1 : 0) - tailRatio) * weight;
        },
        recordOverdue: isAnswered => {
            unansweredRatio += ((isAnswered ? 0 : 1) - unansweredRatio) * overdueSmoothing;
        },
        limitFactor: () => {
            const seen = Math.max(...maxima) * limitMargin;
            return Math.min(maxLimitFactor, sampleCount < minSamples ? Math.max(defaultLimitFactor, seen) : seen);
        },
        hasTail,
        meanFactor: () => sampleCount >= minSamples && hasTail() ? 1 + meanExcess / meanUsual : 1,
        isSilenceLikely: () => unansweredRatio > likelySilenceRatio,
    };
};
