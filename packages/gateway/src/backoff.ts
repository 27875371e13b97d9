/**
 * Growing pauses between calls to a store that fails. Each refused call has its price, and a fleet that asks several times a
 * second all through an outage overruns the store when it comes back; a second of pause costs nobody a deadline.
 */
export class Backoff {
    private pause: number;

    /** Pauses double from the first to the longest, in milliseconds. */
    constructor(
        private readonly first: number,
        private readonly longest: number,
    ) {
        this.pause = first;
    }

    /** The pause before the next call, in milliseconds. */
    next(): number {
        const pause = this.pause;
        this.pause = Math.min(this.longest, pause * 2);
        return pause;
    }

    /** A call succeeded. */
    reset(): void {
        this.pause = this.first;
    }
}
