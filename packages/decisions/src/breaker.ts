import type * as core from "@boragedale/core";

/** Failures in a row that open the breaker: one or two happen to a healthy upstream, three in a row hardly. */
const FailuresToOpen = 3;
/** First rest, in milliseconds; about what a connection reset or a short pause lasts. */
const FirstRest = 500;
/** Longest rest: an upstream that is back is used again within this time. */
const LongestRest = 15_000;

/**
 * Keeps requests off an upstream that fails them.
 *
 * Load: an upstream that is dead, restarting or unreachable from here. Harm prevented: a dead upstream answers fastest
 * of all, so by load it looks idle and draws the traffic; each request then costs a retry. After the rest one request
 * at a time finds out; the rest doubles from failure to failure, and is spread, so that instances don't return together.
 */
export class Breaker {
    private failures = 0;
    private restMilliseconds = FirstRest;
    private openUntil: core.MonotonicMilliseconds | undefined;
    private isProbing = false;

    constructor(private readonly random: () => number) {}

    /** Whether a request may be sent now; while half open only one at a time. Doesn't take the place: see `onSent`. */
    isAvailable(now: core.MonotonicMilliseconds): boolean {
        return this.openUntil === undefined || (now >= this.openUntil && !this.isProbing);
    }

    /** Milliseconds until a request may be tried; 0 while closed. */
    getRemainingRest(now: core.MonotonicMilliseconds): number {
        return this.openUntil === undefined ? 0 : Math.max(0, this.openUntil - now);
    }

    onSent(): void {
        this.isProbing = this.openUntil !== undefined;
    }

    onSuccess(): void {
        this.failures = 0;
        this.restMilliseconds = FirstRest;
        this.openUntil = undefined;
        this.isProbing = false;
    }

    /** The request ended without telling anything, such as by its caller's cancel. */
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
            this.restMilliseconds = Math.min(LongestRest, this.restMilliseconds * 2);
        }
        this.openUntil = now + this.restMilliseconds * (1 + 0.25 * this.random());
    }

    /** The upstream died for certain: no need for three failures. */
    onDeath(now: core.MonotonicMilliseconds): void {
        this.failures = Math.max(this.failures, FailuresToOpen);
        this.onFailure(now);
    }
}
