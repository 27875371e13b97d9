import type * as core from "@boragedale/core";
import * as slidingWindow from "./slidingWindow.js";
import * as tokenBucket from "./tokenBucket.js";
import type * as types from "./types.js";

/** A request for permission to run one request of a customer. */
export interface QuotaClaim {
    readonly customer: string;
    readonly limit: types.RateLimit;
    /** Requests of the customer that the requester ran in the last window and that this ledger hasn't counted. */
    readonly uncounted: number;
    /** Share of the limit that this ledger may give out; the rest belongs to members that it can't reach. */
    readonly share: number;
    /**
     * Share of the members whose requests of the last window this ledger can learn of; the counts of the others are
     * lost.
     */
    readonly known: number;
    /** Time since the counts of the others were lost. */
    readonly lostMilliseconds: number;
}

export interface QuotaVerdict {
    readonly isGranted: boolean;
    /** When to retry, if it was not granted. */
    readonly retryAfterMilliseconds: number;
}

interface Account {
    /** When the counts of members that can't report were lost. */
    readonly lostAt: core.MonotonicMilliseconds;
    /** Share of the members that can't report. */
    readonly lostShare: number;
    readonly window: slidingWindow.SlidingWindow;
    /** The requests in `window` that members have reported. */
    readonly reported: slidingWindow.SlidingWindow;
    readonly bucket: tokenBucket.TokenBucket;
    /** The limit applied to the bucket. */
    limit: types.RateLimit;
    /** When the most recently refused caller was told to retry; the next one is told a later time. */
    lastRetryAt: core.MonotonicMilliseconds;
}

/** Longest retry time; for a caller that would retry later, an immediate final refusal is better. */
export const LongestRetryMilliseconds = 4_000;
/**
 * Fraction of the tolerance that a new quota owner relies on; members without a quota owner use another fraction. Three owners may follow
 * each other within a window, when the fleet is restarted in parts.
 */
const ToleranceFraction = 0.25;
/**
 * Requests that may arrive together, however small the customer's burst is: those of a small customer do so by chance.
 */
const MinimumBurst = 20;
const Granted: QuotaVerdict = { isGranted: true, retryAfterMilliseconds: 0 };

/**
 * Counts the requests of the customers whose quotas one member owns.
 *
 * A customer may send a few requests per second over hundreds of members, or many times its limit at once. If the limit
 * were split over the members, most of them would have less than one request to give and would refuse a customer that
 * is far below its limit. The limit is counted over a window, as agreed with the customer. In addition, a bucket
 * spreads the requests of a customer that exceeds its limit; otherwise they would all run at once, and then none for
 * seconds.
 */
export class QuotaLedger {
    private readonly accounts = new Map<string, Account>();
    private lastEvictionAt: core.MonotonicMilliseconds = -Infinity;

    constructor(private readonly terms: types.QuotaTerms) {}

    claim(claim: QuotaClaim, now: core.MonotonicMilliseconds): QuotaVerdict {
        this.evictIdle(now);
        const account = this.accounts.get(claim.customer) ?? this.open(claim, now);
        this.applyLimit(account, claim, now);
        this.countReported(account, claim, now);
        const excess = account.window.getCount(now) + 1 - this.getAllowed(account, claim, now);
        if (excess <= 0 && account.bucket.tryTake(now)) {
            account.window.add(1, now);
            return Granted;
        }
        return { isGranted: false, retryAfterMilliseconds: scheduleRetry(account, excess, now) };
    }

    /** Returns granted requests that no upstream ran. */
    giveBack(customer: string, count: number): void {
        const account = this.accounts.get(customer);
        account?.window.remove(count);
        account?.bucket.giveBack(count);
    }

    /** Whether the customer had requests in the last window. */
    hasAccount(customer: string): boolean {
        return this.accounts.has(customer);
    }

    /** Number of customers that had requests in the last window. */
    getAccountCount(): number {
        return this.accounts.size;
    }

    /**
     * Counts requests that ran at unknown times in the last window, as of its middle. The more there are, the less of
     * the burst is assumed to be left.
     */
    private countReported(account: Account, { uncounted, limit }: QuotaClaim, now: core.MonotonicMilliseconds): void {
        if (uncounted <= 0) {
            return;
        }
        const { windowMilliseconds } = this.terms;
        account.window.add(uncounted, now - windowMilliseconds / 2);
        account.reported.add(uncounted, now - windowMilliseconds / 2);
        const allowedByRate = (limit.requestsPerSecond * windowMilliseconds) / 1_000;
        account.bucket.charge(Math.min(1, uncounted / allowedByRate) * limit.burst);
    }

    /** Requests allowed in a window. At least one, because a limit below one would allow none at all. */
    private getAllowed(account: Account, { limit, share }: QuotaClaim, now: core.MonotonicMilliseconds): number {
        return Math.max(1, getWindowLimit(limit, this.terms) * share - this.getLostCount(account, limit, now));
    }

    /**
     * Requests in the window that may have run and that no member can report. Whatever the members are, at most what the limit allowed
     * up to the loss has run before it, so this falls at the limit's rate. The terms' tolerance covers a part.
     */
    private getLostCount(account: Account, limit: types.RateLimit, now: core.MonotonicMilliseconds): number {
        const sinceLoss = now - account.lostAt;
        if (account.lostShare <= 0 || sinceLoss >= this.terms.windowMilliseconds) {
            return 0;
        }
        const mostBefore = getWindowLimit(limit, this.terms) - (limit.requestsPerSecond * sinceLoss) / 1_000;
        const unreported = mostBefore - account.reported.getCount(now);
        return Math.max(0, Math.min(account.lostShare * mostBefore, unreported) - this.getTolerance(limit));
    }

    private getTolerance(limit: types.RateLimit): number {
        return ToleranceFraction * (getWindowLimit(limit, this.terms) * this.terms.overShare + this.terms.slack);
    }

    private open(claim: QuotaClaim, now: core.MonotonicMilliseconds): Account {
        const limit = getBucketLimit(claim);
        const account = {
            lostAt: now - claim.lostMilliseconds,
            lostShare: 1 - claim.known,
            window: new slidingWindow.SlidingWindow(this.terms.windowMilliseconds),
            reported: new slidingWindow.SlidingWindow(this.terms.windowMilliseconds),
            bucket: new tokenBucket.TokenBucket(limit, now),
            limit,
            lastRetryAt: -Infinity,
        };
        // The burst may have been used by requests that no member can report.
        const elapsedShare = Math.min(1, claim.lostMilliseconds / this.terms.windowMilliseconds);
        const lostBurst = account.lostShare * (1 - elapsedShare) * claim.limit.burst;
        account.bucket.charge(Math.max(0, lostBurst - this.getTolerance(claim.limit)));
        this.accounts.set(claim.customer, account);
        return account;
    }

    private applyLimit(account: Account, claim: QuotaClaim, now: core.MonotonicMilliseconds): void {
        const limit = getBucketLimit(claim);
        if (limit.requestsPerSecond !== account.limit.requestsPerSecond || limit.burst !== account.limit.burst) {
            account.limit = limit;
            account.bucket.setLimit(limit, now);
        }
    }

    private evictIdle(now: core.MonotonicMilliseconds): void {
        if (now - this.lastEvictionAt < this.terms.windowMilliseconds) {
            return;
        }
        this.lastEvictionAt = now;
        for (const [customer, account] of this.accounts) {
            if (account.window.getCount(now) === 0) {
                this.accounts.delete(customer);
            }
        }
    }
}

/** Requests that a limit allows in a window. */
export function getWindowLimit(limit: types.RateLimit, terms: types.QuotaTerms): number {
    return (limit.requestsPerSecond * terms.windowMilliseconds) / 1_000 + limit.burst;
}

function getBucketLimit({ limit, share }: QuotaClaim): types.RateLimit {
    return {
        requestsPerSecond: limit.requestsPerSecond * share,
        burst: Math.max(MinimumBurst, limit.burst * share),
    };
}

/** Refused callers retry one after the other at the limit's rate, in the order in which they were refused. */
function scheduleRetry(account: Account, excess: number, now: core.MonotonicMilliseconds): number {
    const { window, bucket, limit } = account;
    const windowAt = excess > 0 ? window.getMillisecondsUntilExpired(Math.ceil(excess), now) : 0;
    const earliest = now + Math.max(windowAt, bucket.getMillisecondsUntilToken(now));
    const next = Math.max(earliest, account.lastRetryAt + 1_000 / limit.requestsPerSecond);
    account.lastRetryAt = Math.min(now + LongestRetryMilliseconds, next);
    return account.lastRetryAt - now;
}
