/** What is known about the shortest queue that an online request could join. */
export interface QueueEstimate {
    /** Requests that wait there before it; 0 if it starts at once. */
    readonly waiting: number;
    readonly slots: number;
    /** Mean time for which a request of this kind holds a slot, in milliseconds. */
    readonly serviceMilliseconds: number;
    /** Time to the first event on an idle upstream, in milliseconds. */
    readonly firstAnswerMilliseconds: number;
    readonly latencyTargetMilliseconds: number;
    readonly remainingMilliseconds: number;
}

export type OnlineAdmissionDecision =
    | { readonly isAdmitted: true }
    /** Not admitted; `retryAfterMilliseconds` is when a slot is expected. */
    | { readonly isAdmitted: false; readonly retryAfterMilliseconds: number };

/**
 * A request doesn't join a queue in which its first answer would take more than this many latency targets. Up to one
 * and a half targets, a late answer still arrives sooner than one that is requested again after a refusal.
 */
const MaximumLatencyFactor = 1.5;
/** Shortest and longest retry time for a refused caller: a slot is freed every few tens of milliseconds. */
const MinimumRetryMilliseconds = 150;
const MaximumRetryMilliseconds = 1_500;

/**
 * Decides whether an online request joins the shortest queue.
 *
 * Demand may exceed the slots of all upstreams, as when traffic jumps while engines have crashed. Queues would then
 * grow until every answer is late and the callers have left, whereas a request that is refused at once finds a slot
 * later. No request is refused while a slot is free.
 */
export function decideOnlineAdmission(queue: QueueEstimate, random: () => number): OnlineAdmissionDecision {
    if (queue.waiting <= 0) {
        return { isAdmitted: true };
    }
    const wait = (queue.waiting * queue.serviceMilliseconds) / Math.max(1, queue.slots);
    const latest = Math.min(queue.remainingMilliseconds, queue.latencyTargetMilliseconds * MaximumLatencyFactor);
    if (wait + queue.firstAnswerMilliseconds <= latest) {
        return { isAdmitted: true };
    }
    // The jitter ranges from half of the wait to one and a half times the wait, so that callers refused together don't
    // return together.
    const waitWithJitter = wait * (0.5 + random());
    const retryAfterMilliseconds = Math.min(
        MaximumRetryMilliseconds,
        Math.max(MinimumRetryMilliseconds, waitWithJitter),
    );
    return { isAdmitted: false, retryAfterMilliseconds };
}
