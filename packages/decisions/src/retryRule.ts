/** How one attempt at an upstream ended without an answer that can be passed on. */
export enum AttemptEnd {
    /** The upstream proved that it did not run the request, or nothing of it left. */
    NotRun = "NotRun",
    /** It may have run. */
    MayHaveRun = "MayHaveRun",
}

export interface RepeatState {
    readonly end: AttemptEnd;
    /** May run any number of times, or goes on where it stopped. */
    readonly isRepeatable: boolean;
    /** Attempts that may have run so far, this one included. */
    readonly runs: number;
    /** Attempts of any end, this one included. */
    readonly sends: number;
    /** Most upstreams that may run one attempt of a caller. */
    readonly allowedRuns: number;
    readonly remainingMilliseconds: number;
}

/** Upstreams that prove not to have run a request cost little, but a fleet that is full must not be asked upstream by upstream. */
const MostSends = 4;
/** Less time than this serves nobody, in milliseconds: a new attempt needs a connection and a first answer. */
const LeastRemainingMilliseconds = 30;

/**
 * Whether a request may go to another upstream.
 *
 * Load: upstreams that crash, leave, are full, or lose answers. Harm prevented: a request that may run once runs twice; a
 * request that kills upstreams reaches all of them.
 */
export function mayRepeat(state: RepeatState): boolean {
    if (state.sends >= MostSends || state.remainingMilliseconds < LeastRemainingMilliseconds) {
        return false;
    }
    return state.end === AttemptEnd.NotRun || (state.isRepeatable && state.runs < state.allowedRuns);
}
