import type * as core from "@boragedale/core";

export interface CommitPacerSettings {
    /** Rate of commits that the shard may always make. */
    readonly commitsPerSecond: number;
}

/** Commits that may follow each other immediately after an idle time, so that requests at a low rate don't wait. */
const BurstCommits = 4;
/** Requests per commit from which the interval between commits is not extended. */
const TargetGroupSize = 10;
const MaximumIntervalFactor = 2;
/** Weight of the latest commit in the moving average of the request rate. */
const RateWeight = 0.2;

/**
 * Determines when a shard may commit next, whether requests arrive one at a time or by the hundred. Each write counts
 * against the limit of the key-value service, and each wait adds to the latency of an answer. At low load a request is
 * committed immediately. At high load the commit rate stays constant and each commit contains more requests. In between
 * the interval is extended, but only if that fills the group; with fewer requests it would add latency and save little.
 */
export class CommitPacer {
    private tokens = BurstCommits;
    private refilledAt: core.MonotonicMilliseconds;
    /** Moving average of the request rate. */
    private requestsPerMillisecond = 0;
    private committedAt: core.MonotonicMilliseconds;

    constructor(
        private readonly settings: CommitPacerSettings,
        now: core.MonotonicMilliseconds,
    ) {
        this.refilledAt = now;
        this.committedAt = now;
    }

    /** Returns the time until the next commit may be made, or 0 if it may be made now. */
    getWaitMilliseconds(now: core.MonotonicMilliseconds): number {
        this.refillTokens(now);
        return this.tokens >= 1 ? 0 : (1 - this.tokens) * this.getIntervalMilliseconds();
    }

    /** Records that a commit with the given number of requests is made now. */
    recordCommit(now: core.MonotonicMilliseconds, requests: number): void {
        this.refillTokens(now);
        this.tokens = Math.max(0, this.tokens - 1);
        const rate = requests / Math.max(1, now - this.committedAt);
        this.requestsPerMillisecond += RateWeight * (rate - this.requestsPerMillisecond);
        this.committedAt = now;
    }

    private refillTokens(now: core.MonotonicMilliseconds): void {
        this.tokens = Math.min(BurstCommits, this.tokens + (now - this.refilledAt) / this.getIntervalMilliseconds());
        this.refilledAt = now;
    }

    /** Returns the time between commits while requests are waiting. */
    private getIntervalMilliseconds(): number {
        const shortestMilliseconds = 1_000 / this.settings.commitsPerSecond;
        const isFullAtShortest = this.requestsPerMillisecond * shortestMilliseconds >= TargetGroupSize;
        const isFullAtLongest =
            this.requestsPerMillisecond * shortestMilliseconds * MaximumIntervalFactor >= TargetGroupSize;
        return isFullAtLongest && !isFullAtShortest
            ? shortestMilliseconds * MaximumIntervalFactor
            : shortestMilliseconds;
    }
}
