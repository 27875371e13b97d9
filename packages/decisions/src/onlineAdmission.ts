/** What is known of the shortest queue that an online request could join. */
export interface QueueOutlook {
    /** Requests that wait there before it; 0: it starts at once. */
    readonly waiting: number;
    readonly slots: number;
    /** Mean time that a request of this kind holds a place, in milliseconds. */
    readonly serviceMilliseconds: number;
    /** Time to the first event on an idle upstream, in milliseconds. */
    readonly firstAnswerMilliseconds: number;
    readonly latencyTargetMilliseconds: number;
    readonly remainingMilliseconds: number;
}

export type AdmissionVerdict =
    | { readonly isAdmitted: true }
    /** Not run, and when a place should come. */
    | { readonly isAdmitted: false; readonly retryAfterMilliseconds: number };

/**
 * A queue that costs more than its share of the latency target is not joined. One and a half targets: up to there a late
 * answer comes sooner than one that is asked for again after a refusal.
 */
const LatestStartFactor = 1.5;
/** Shortest and longest time that a refused caller is told to wait, in milliseconds: a place comes in tens of them. */
const ShortestRetryMilliseconds = 150;
const LongestRetryMilliseconds = 1_500;

/**
 * Whether an online request joins the shortest queue.
 *
 * Load: demand over the places of all upstreams, as when a jump in traffic meets crashed engines. Harm prevented: queues
 * that grow until every answer is late and callers have left; a request refused at once finds a place later. Never
 * refused while a place is free.
 */
export function judgeOnline(outlook: QueueOutlook, random: () => number): AdmissionVerdict {
    if (outlook.waiting <= 0) {
        return { isAdmitted: true };
    }
    const wait = (outlook.waiting * outlook.serviceMilliseconds) / Math.max(1, outlook.slots);
    const latest = Math.min(outlook.remainingMilliseconds, outlook.latencyTargetMilliseconds * LatestStartFactor);
    if (wait + outlook.firstAnswerMilliseconds <= latest) {
        return { isAdmitted: true };
    }
    // Spread over the second half of the wait and as much again, so that those refused together don't return together.
    const spread = wait * (0.5 + random());
    const retryAfterMilliseconds = Math.min(LongestRetryMilliseconds, Math.max(ShortestRetryMilliseconds, spread));
    return { isAdmitted: false, retryAfterMilliseconds };
}
