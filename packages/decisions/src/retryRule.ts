/** How one attempt at an upstream ended without an answer that can be passed on. */
export enum AttemptEnd {
    /** The upstream proved that it did not run the request, or nothing of the request was sent. */
    NotRun = "NotRun",
    /** It may have run. */
    MayHaveRun = "MayHaveRun",
}

export interface RetryState {
    readonly end: AttemptEnd;
    /** Whether the request may run any number of times or can resume where it stopped. */
    readonly isRepeatable: boolean;
    /** Attempts so far that may have run, including this one. */
    readonly runs: number;
    /** All attempts so far, including this one. */
    readonly sends: number;
    /** Maximum number of upstreams on which one attempt of a caller may run. */
    readonly allowedRuns: number;
    readonly remainingMilliseconds: number;
    /** Whether the caller has received part of the answer. */
    readonly hasBegun: boolean;
}

/**
 * Maximum number of attempts. An upstream that proves not to have run a request costs little, but if the whole fleet is
 * full, a request must not try one upstream after the other.
 */
const MaximumSends = 4;
/**
 * The same for an answer that has begun. It can't be refused any more, only broken off, and the upstreams that refuse it
 * at a peak have free slots again within tens of milliseconds.
 */
const MaximumSendsOfBegunAnswer = 8;
/** With less time than this a retry is useless: a new attempt needs a connection and a first answer. */
const MinimumRemainingMilliseconds = 30;

/**
 * Whether a request may be sent to another upstream.
 *
 * Upstreams may crash, leave, be full, or lose answers. Retrying freely would run a request twice that may run only
 * once, and would spread a request that crashes upstreams to all of them.
 */
export function mayRetry(state: RetryState): boolean {
    const maximumSends = state.hasBegun ? MaximumSendsOfBegunAnswer : MaximumSends;
    if (state.sends >= maximumSends || state.remainingMilliseconds < MinimumRemainingMilliseconds) {
        return false;
    }
    return state.end === AttemptEnd.NotRun || (state.isRepeatable && state.runs < state.allowedRuns);
}
