import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** A smaller bucket could never hold the whole token that a request needs. */
const MinimumCapacity = 1;

/** A token bucket with any initial level; if `updatedAt` is in the future, it is filled from that time on. */
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

    /** Removes up to `count` tokens, as many as there are. */
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

    /** Time until a whole token is available. */
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
        return Math.max(MinimumCapacity, this.limit.burst);
    }
}
