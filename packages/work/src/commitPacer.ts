import type * as core from "@boragedale/core";

export interface CommitPacerSettings {
    /** Commits in a second that the shard may always make. */
    readonly commitsPerSecond: number;
}

/** Commits that may follow each other at once after a quiet time, so that few bookings don't wait at all. */
const Burst = 4;
/** Requests that a commit should carry before its wait is not made longer any more. */
const WantedGroup = 10;
const LongestStretch = 2;
/** Weight of the newest commit in the estimate of the arrival rate. */
const RateWeight = 0.2;

/**
 * Says when a shard may commit next. Made for bookings that come one by one as well as by the hundred: the service
 * counts each write, while each wait is added to an answer. At low load a request is committed at once. At high load
 * commits keep their rate and each carries more. Between the two the wait is stretched, but only where the stretch
 * fills the group: with fewer requests it would cost latency and save little.
 */
export class CommitPacer {
    private tokens = Burst;
    private countedAt: core.MonotonicMilliseconds;
    /** Requests in a millisecond, as lately seen. */
    private arrivalRate = 0;
    private committedAt: core.MonotonicMilliseconds;

    constructor(
        private readonly settings: CommitPacerSettings,
        now: core.MonotonicMilliseconds,
    ) {
        this.countedAt = now;
        this.committedAt = now;
    }

    /** Milliseconds until the next commit may be made; 0 for now. */
    getWait(now: core.MonotonicMilliseconds): number {
        this.earn(now);
        return this.tokens >= 1 ? 0 : (1 - this.tokens) * this.getInterval();
    }

    /** A commit with so many requests is made now. */
    noteCommit(now: core.MonotonicMilliseconds, requests: number): void {
        this.earn(now);
        this.tokens = Math.max(0, this.tokens - 1);
        const rate = requests / Math.max(1, now - this.committedAt);
        this.arrivalRate += RateWeight * (rate - this.arrivalRate);
        this.committedAt = now;
    }

    private earn(now: core.MonotonicMilliseconds): void {
        this.tokens = Math.min(Burst, this.tokens + (now - this.countedAt) / this.getInterval());
        this.countedAt = now;
    }

    /** Milliseconds from one commit to the next while requests wait. */
    private getInterval(): number {
        const shortest = 1_000 / this.settings.commitsPerSecond;
        const isFullAnyway = this.arrivalRate * shortest >= WantedGroup;
        const isFullStretched = this.arrivalRate * shortest * LongestStretch >= WantedGroup;
        return isFullStretched && !isFullAnyway ? shortest * LongestStretch : shortest;
    }
}
