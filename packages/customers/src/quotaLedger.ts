import type * as core from "@boragedale/core";
import * as slidingWindow from "./slidingWindow.js";
import * as tokenBucket from "./tokenBucket.js";
import type * as types from "./types.js";

/** Asks whether a request may run. */
export interface QuotaClaim {
    readonly customer: string;
    readonly limit: types.RateLimit;
    /** Requests of the customer that the asker ran in the last window and that this ledger has not counted. */
    readonly uncounted: number;
    /** Share of the limit that this ledger may give out; the rest belongs to members that it can't hear. */
    readonly share: number;
    /** Share of the members whose requests of the last window this ledger can learn of; the others' count was lost. */
    readonly known: number;
}

export interface QuotaVerdict {
    readonly isGranted: boolean;
    /** When to come back, where it was not granted. */
    readonly retryAfterMilliseconds: number;
}

interface Account {
    readonly openedAt: core.MonotonicMilliseconds;
    /** Requests that may have run in the window before, and that nobody can report. */
    readonly lost: number;
    readonly window: slidingWindow.SlidingWindow;
    readonly bucket: tokenBucket.TokenBucket;
    /** The limit that the bucket has. */
    limit: types.RateLimit;
    /** The last refused caller was told to come back then; the next one comes after it. */
    returnsAt: core.MonotonicMilliseconds;
}

/** A caller that comes back later would rather hear at once that it is refused for good. */
export const LongestRetryMilliseconds = 4_000;
/** Part of the tolerance that a new keeper relies on; members without a keeper use another. */
const ToleranceShare = 0.4;
/** Requests that may come together whatever a customer's burst is: those of a small one do by chance. */
const SmallestBurst = 20;
const Granted: QuotaVerdict = { isGranted: true, retryAfterMilliseconds: 0 };

/**
 * Counts the requests of the customers that one member keeps the limits of.
 *
 * Load: a customer sends a few requests a second over hundreds of members, or many times its limit at once. Harm prevented: with the
 * limit split over the members most of them have less than one request to give, and refuse a customer that is far below it. The limit
 * is counted over a window, as it is agreed on; a bucket besides spreads what a customer over its limit may run, which would else run
 * all at once and then nothing for seconds.
 */
export class QuotaLedger {
    private readonly accounts = new Map<string, Account>();
    private evictedAt: core.MonotonicMilliseconds = -Infinity;

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
        return { isGranted: false, retryAfterMilliseconds: chooseReturn(account, excess, now) };
    }

    /** Requests that were granted and that no upstream ran. */
    giveBack(customer: string, count: number): void {
        const account = this.accounts.get(customer);
        account?.window.remove(count);
        account?.bucket.giveBack(count);
    }

    /** Whether the customer had requests in the last window. */
    hasAccount(customer: string): boolean {
        return this.accounts.has(customer);
    }

    /** Customers that had requests in the last window. */
    getAccountCount(): number {
        return this.accounts.size;
    }

    /** They ran at some moments of the last window; the more they are, the less of the burst was left. */
    private countReported(account: Account, { uncounted, limit }: QuotaClaim, now: core.MonotonicMilliseconds): void {
        if (uncounted <= 0) {
            return;
        }
        const { windowMilliseconds } = this.terms;
        account.window.add(uncounted, now - windowMilliseconds / 2);
        const ofRate = (limit.requestsPerSecond * windowMilliseconds) / 1_000;
        account.bucket.charge(Math.min(1, uncounted / ofRate) * limit.burst);
    }

    /** Requests of a window. A limit below one in a window would be none at all. */
    private getAllowed(account: Account, { limit, share }: QuotaClaim, now: core.MonotonicMilliseconds): number {
        const lost = now - account.openedAt < this.terms.windowMilliseconds ? account.lost : 0;
        return Math.max(1, getWindowLimit(limit, this.terms) * share - lost);
    }

    /** What was lost with the keeper before is made up for by the terms' tolerance as far as that goes. */
    private open(claim: QuotaClaim, now: core.MonotonicMilliseconds): Account {
        const whole = getWindowLimit(claim.limit, this.terms);
        const tolerance = ToleranceShare * (whole * this.terms.overShare + this.terms.slack);
        const limit = getBucketLimit(claim);
        const account = {
            openedAt: now,
            lost: Math.max(0, (1 - claim.known) * whole - tolerance),
            window: new slidingWindow.SlidingWindow(this.terms.windowMilliseconds),
            bucket: new tokenBucket.TokenBucket(limit, now),
            limit,
            returnsAt: -Infinity,
        };
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
        if (now - this.evictedAt < this.terms.windowMilliseconds) {
            return;
        }
        this.evictedAt = now;
        for (const [customer, account] of this.accounts) {
            if (account.window.getCount(now) === 0) {
                this.accounts.delete(customer);
            }
        }
    }
}

/** Requests of a window that a limit allows. */
export function getWindowLimit(limit: types.RateLimit, terms: types.QuotaTerms): number {
    return (limit.requestsPerSecond * terms.windowMilliseconds) / 1_000 + limit.burst;
}

function getBucketLimit({ limit, share }: QuotaClaim): types.RateLimit {
    return {
        requestsPerSecond: limit.requestsPerSecond * share,
        burst: Math.max(SmallestBurst, limit.burst * share),
    };
}

/** Refused callers come back one after the other at the limit's rate, in the order in which they were refused. */
function chooseReturn(account: Account, excess: number, now: core.MonotonicMilliseconds): number {
    const { window, bucket, limit } = account;
    const windowAt = excess > 0 ? window.getMillisecondsUntilGone(Math.ceil(excess), now) : 0;
    const earliest = now + Math.max(windowAt, bucket.getMillisecondsUntilToken(now));
    const next = Math.max(earliest, account.returnsAt + 1_000 / limit.requestsPerSecond);
    account.returnsAt = Math.min(now + LongestRetryMilliseconds, next);
    return account.returnsAt - now;
}
