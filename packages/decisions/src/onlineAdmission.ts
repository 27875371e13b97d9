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
    return { isAdmitted: false, retryAfterMilliseconds: limitRetry(wait * (0.5 + random())) };
}

/** What limits the time for which an online request may wait for a slot. */
export interface OnlineWaitLimits {
    /** Time since the request arrived. */
    readonly elapsedMilliseconds: number;
    readonly firstAnswerMilliseconds: number;
    readonly latencyTargetMilliseconds: number;
    /** Time that the caller gave the request when it sent it, and what is left of it. */
    readonly givenMilliseconds: number;
    readonly remainingMilliseconds: number;
    /** Time that the route gives a request. */
    readonly timeoutMilliseconds: number;
    /** Whether an attempt was made, so that the caller has lost time already. */
    readonly hasAttempts: boolean;
}

/**
 * Share of the latency target that counts for the first answer at most. After an outage, first answers take seconds for
 * a while, and by their mean every newcomer would be refused although slots free up again.
 */
const MaximumFirstAnswerShare = 0.5;
/** Share of the remaining time for which a request that lost time may wait; the rest is for being served. */
const ReturnedWaitShare = 0.5;
/** A request with this much less time than its route gives has come back after a refusal, which takes longer than this. */
const ReturnedMilliseconds = 100;

/**
 * Returns how long an online request may wait for a slot.
 *
 * At a peak, a newcomer whose first event would come after the latency target is better refused at once: it returns
 * with the spread of Retry-After when slots are free. One that has come back, or whose upstream failed, has no such
 * second chance, and may wait for up to half of the time that it has left.
 */
export function getMaximumOnlineWait(limits: OnlineWaitLimits): number {
    const hasReturned = limits.givenMilliseconds < limits.timeoutMilliseconds - ReturnedMilliseconds;
    const share = Math.max(0, limits.remainingMilliseconds * ReturnedWaitShare);
    if (hasReturned || limits.hasAttempts) {
        return share;
    }
    const target = limits.latencyTargetMilliseconds;
    const firstAnswer = Math.min(limits.firstAnswerMilliseconds, target * MaximumFirstAnswerShare);
    const inTarget = target - limits.elapsedMilliseconds - firstAnswer;
    return Math.max(0, Math.min(inTarget, share));
}

/**
 * Returns when a caller may retry after its request was refused: after the expected wait and up to twice as long, so
 * that callers refused together return one after the other.
 */
export function getOnlineRetryAfter(expectedWaitMilliseconds: number, random: () => number): number {
    return limitRetry(expectedWaitMilliseconds * (1 + random()));
}

function limitRetry(milliseconds: number): number {
    return Math.min(MaximumRetryMilliseconds, Math.max(MinimumRetryMilliseconds, milliseconds));
}
