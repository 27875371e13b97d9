/**
 * Exponential pauses between calls to a failing store. Every rejected call costs the store work, and a fleet that
 * retries several times a second throughout an outage overloads the store when it recovers. A pause of a second is too
 * short for a request to miss its deadline.
 */
export class Backoff {
    private pauseMilliseconds: number;

    /** Pauses double from the first to the longest. */
    constructor(
        private readonly firstMilliseconds: number,
        private readonly longestMilliseconds: number,
    ) {
        this.pauseMilliseconds = firstMilliseconds;
    }

    /** The pause before the next call, in milliseconds. */
    next(): number {
        const current = this.pauseMilliseconds;
        this.pauseMilliseconds = Math.min(this.longestMilliseconds, current * 2);
        return current;
    }

    /** Resets the pause after a successful call. */
    reset(): void {
        this.pauseMilliseconds = this.firstMilliseconds;
    }
}
