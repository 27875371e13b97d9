import type * as core from "@boragedale/core";

/** Consecutive failures that open the breaker: one or two happen to a healthy upstream, three in a row hardly ever. */
const FailuresToOpen = 3;
/** How long the breaker stays open at first: about as long as a connection reset or a short pause lasts. */
const InitialOpenMilliseconds = 500;
/** Longest time for which the breaker stays open: an upstream that has recovered is used again within this time. */
const MaximumOpenMilliseconds = 15_000;

/**
 * Keeps requests off an upstream that fails them.
 *
 * An upstream may be dead, restarting or unreachable from this instance. A dead upstream fails fastest of all, so that
 * it looks idle to load-based placement and attracts traffic, and each of these requests costs a retry. After the
 * breaker has been open for some time, one request at a time probes the upstream. The time doubles with each failure
 * and has jitter, so that the instances don't return together.
 */
export class Breaker {
    private failures = 0;
    private openMilliseconds = InitialOpenMilliseconds;
    private openUntil: core.MonotonicMilliseconds | undefined;
    private isProbing = false;

    constructor(private readonly random: () => number) {}

    /**
     * Whether a request may be sent now; while half open, only one at a time. Doesn't reserve the probe: see `onSent`.
     */
    isAvailable(now: core.MonotonicMilliseconds): boolean {
        return this.openUntil === undefined || (now >= this.openUntil && !this.isProbing);
    }

    /** Milliseconds until a request may be tried; 0 while closed. */
    getRemainingOpenMilliseconds(now: core.MonotonicMilliseconds): number {
        return this.openUntil === undefined ? 0 : Math.max(0, this.openUntil - now);
    }

    onSent(): void {
        this.isProbing = this.openUntil !== undefined;
    }

    onSuccess(): void {
        this.failures = 0;
        this.openMilliseconds = InitialOpenMilliseconds;
        this.openUntil = undefined;
        this.isProbing = false;
    }

    /** The request ended without saying anything about the upstream, for example because its caller cancelled it. */
    onAbandoned(): void {
        this.isProbing = false;
    }

    onFailure(now: core.MonotonicMilliseconds): void {
        this.failures++;
        const wasOpen = this.openUntil !== undefined;
        this.isProbing = false;
        if (!wasOpen && this.failures < FailuresToOpen) {
            return;
        }
        if (wasOpen && now >= (this.openUntil ?? 0)) {
            this.openMilliseconds = Math.min(MaximumOpenMilliseconds, this.openMilliseconds * 2);
        }
        this.openUntil = now + this.openMilliseconds * (1 + 0.25 * this.random());
    }

    /** The upstream certainly died, which opens the breaker without waiting for three failures. */
    onDeath(now: core.MonotonicMilliseconds): void {
        this.failures = Math.max(this.failures, FailuresToOpen);
        this.onFailure(now);
    }
}
