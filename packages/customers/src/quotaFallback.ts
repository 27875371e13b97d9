import type * as core from "@boragedale/core";
import * as quotaLedger from "./quotaLedger.js";
import * as tokenBucket from "./tokenBucket.js";
import type * as types from "./types.js";

/**
 * Fraction of the tolerance used by members that can't reach a quota owner; a new quota owner uses another fraction.
 */
const ToleranceFraction = 0.5;
/**
 * When the quota owners have ended, as after a kill of all processes, their counts are lost and new owners are known
 * within seconds. The members then share the requests of this many seconds of the rate, and this many times the slack.
 */
const OwnersEndedRateSeconds = 2;
const OwnersEndedSlackFactor = 2;
/**
 * How long the quota owner may not know that it can't reach this member, and still gives out the member's share of the
 * rate. The member's bucket is filled only after that time.
 */
const OwnerDetectionMilliseconds = 1_800;
const RetryMilliseconds = 250;

/** A request of a customer whose quota owner can't be asked. */
export interface FallbackClaim {
    readonly customer: string;
    readonly limit: types.RateLimit;
    readonly memberCount: number;
    /**
     * Whether the processes of the quota owners have ended; otherwise they are slow, or cut off together with members
     * that they serve.
     */
    readonly hasEnded: boolean;
}

interface Account {
    readonly bucket: tokenBucket.TokenBucket;
    usedAt: core.MonotonicMilliseconds;
}

/**
 * Decides for a member of the fleet (an instance) that can't reach the quota owner of a customer.
 *
 * Some members may be cut off from the others while callers and upstreams still reach all of them. Without a bound,
 * both sides together would run more requests than the limit allows. Each member is entitled to an even share of the
 * rate, which the quota owner doesn't give out while it can't reach the member, and to a part of the tolerance for the
 * time until the quota owner notices.
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
        // The map is kept in order of use, so that idle accounts come first.
        this.accounts.delete(customer);
        this.accounts.set(customer, account);
        const isGranted = account.bucket.tryTake(now);
        return { isGranted, retryAfterMilliseconds: isGranted ? 0 : RetryMilliseconds * (1 + this.random()) };
    }

    private open({ limit, memberCount, hasEnded }: FallbackClaim, now: core.MonotonicMilliseconds): Account {
        const { overShare, slack } = this.terms;
        const tolerance = ToleranceFraction * (quotaLedger.getWindowLimit(limit, this.terms) * overShare + slack);
        const ownersEndedTokens = OwnersEndedRateSeconds * limit.requestsPerSecond + OwnersEndedSlackFactor * slack;
        const initialTokens = (hasEnded ? ownersEndedTokens : tolerance) / memberCount;
        const share = {
            requestsPerSecond: limit.requestsPerSecond / memberCount,
            burst: Math.max(initialTokens, limit.burst / memberCount),
        };
        // A fraction of a token allows no request, so some members get a whole one instead.
        const level = Math.floor(initialTokens) + (this.random() < initialTokens % 1 ? 1 : 0);
        return { bucket: new tokenBucket.TokenBucket(share, now + OwnerDetectionMilliseconds, level), usedAt: now };
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
