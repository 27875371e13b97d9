import type * as core from "@boragedale/core";
import * as quotaLedger from "./quotaLedger.js";
import * as tokenBucket from "./tokenBucket.js";
import type * as types from "./types.js";

/** Part of the tolerance that members without a keeper use; a keeper that is new relies on another. */
const ToleranceShare = 0.5;
/**
 * Where the keepers have ended, as after a kill of everything, their counts are gone and new ones are known within seconds: members share
 * the rate of so long, and the slack so many times.
 */
const EndedRateSeconds = 2;
const EndedSlackFactor = 2;
/** Until then the keeper may not know that it can't hear this member, and gives out its share of the rate. */
const UnknownMilliseconds = 1_800;
const RetryMilliseconds = 250;

/** A request of a customer whose keeper can't be asked. */
export interface FallbackClaim {
    readonly customer: string;
    readonly limit: types.RateLimit;
    readonly memberCount: number;
    /** Whether the keepers' processes have ended; else they are slow, or cut off with members that they serve. */
    readonly hasEnded: boolean;
}

interface Account {
    readonly bucket: tokenBucket.TokenBucket;
    usedAt: core.MonotonicMilliseconds;
}

/**
 * Decides for a member that can't reach the keeper of a customer's limit.
 *
 * Load: a part of the members is cut off from the others while callers and upstreams reach all of them. Harm prevented: both sides
 * together run more than the limit. Each member is entitled to an even share of the rate, which the keeper doesn't give out while it
 * can't hear the member, and to a part of the tolerance for the time until the keeper knows.
 */
export class QuotaFallback {
    private readonly accounts = new Map<string, Account>();

    constructor(
        private readonly terms: types.QuotaTerms,
        private readonly random: () => number,
    ) {}

    claim(claim: FallbackClaim, now: core.MonotonicMilliseconds): quotaLedger.QuotaVerdict {
        this.evictIdle(now);
        const { customer } = claim;
        const account = this.accounts.get(customer) ?? this.open(claim, now);
        account.usedAt = now;
        // Kept in the order of use, so that idle ones come first.
        this.accounts.delete(customer);
        this.accounts.set(customer, account);
        const isGranted = account.bucket.tryTake(now);
        return { isGranted, retryAfterMilliseconds: isGranted ? 0 : RetryMilliseconds * (1 + this.random()) };
    }

    private open({ limit, memberCount, hasEnded }: FallbackClaim, now: core.MonotonicMilliseconds): Account {
        const { overShare, slack } = this.terms;
        const tolerance = ToleranceShare * (quotaLedger.getWindowLimit(limit, this.terms) * overShare + slack);
        const ended = EndedRateSeconds * limit.requestsPerSecond + EndedSlackFactor * slack;
        const start = (hasEnded ? ended : tolerance) / memberCount;
        const share = {
            requestsPerSecond: limit.requestsPerSecond / memberCount,
            burst: Math.max(start, limit.burst / memberCount),
        };
        // A fraction of a token serves nobody: some members have a whole one instead.
        const level = Math.floor(start) + (this.random() < start % 1 ? 1 : 0);
        return { bucket: new tokenBucket.TokenBucket(share, now + UnknownMilliseconds, level), usedAt: now };
    }

    private evictIdle(now: core.MonotonicMilliseconds): void {
        for (const [customer, account] of this.accounts) {
            if (now - account.usedAt <= 2 * this.terms.windowMilliseconds) {
                return;
            }
            this.accounts.delete(customer);
        }
    }
}
