import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** A smaller bucket would never hold the whole token that a request needs. */
const SmallestCapacity = 1;

/** A token bucket that starts at any level; where `updatedAt` lies ahead, it is filled from then on. */
export class TokenBucket {
    constructor(
        private limit: types.RateLimit,
        private updatedAt: core.MonotonicMilliseconds,
        private level = limit.burst,
    ) {}

    tryTake(now: core.MonotonicMilliseconds): boolean {
        this.update(now);
        if (this.level < 1) {
            return false;
        }
        this.level--;
        return true;
    }

    /** Takes what is there of so many tokens. */
    charge(count: number): void {
        this.level = Math.max(0, this.level - count);
    }

    giveBack(count: number): void {
        this.level = Math.min(this.getCapacity(), this.level + count);
    }

    setLimit(limit: types.RateLimit, now: core.MonotonicMilliseconds): void {
        this.update(now);
        this.limit = limit;
        this.level = Math.min(this.getCapacity(), this.level);
    }

    /** Time until there is a whole token. */
    getMillisecondsUntilToken(now: core.MonotonicMilliseconds): number {
        this.update(now);
        return Math.max(0, ((1 - this.level) / this.limit.requestsPerSecond) * 1_000);
    }

    private update(now: core.MonotonicMilliseconds): void {
        const elapsed = Math.max(0, now - this.updatedAt);
        this.updatedAt = Math.max(now, this.updatedAt);
        this.level = Math.min(this.getCapacity(), this.level + (elapsed / 1_000) * this.limit.requestsPerSecond);
    }

    private getCapacity(): number {
        return Math.max(SmallestCapacity, this.limit.burst);
    }
}
