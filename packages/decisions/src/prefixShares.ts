import type * as core from "@boragedale/core";

/**
 * Time in which a prefix's count halves: long enough to distinguish 50% from chance, short enough to follow a shift.
 */
const HalfLifeMilliseconds = 10_000;
/** Number of prefixes kept; the remaining prefixes are infrequent by definition. */
const Capacity = 2_048;

interface Count {
    value: number;
    updatedAt: core.MonotonicMilliseconds;
}

/** Estimates the share of the traffic of each prompt prefix by decaying counts. Memory is bounded. */
export class PrefixShares {
    private readonly counts = new Map<string, Count>();
    private readonly total: Count = { value: 0, updatedAt: 0 };

    /** Counts one request and returns the prefix's share of the traffic, 0 to 1. */
    add(prefix: string, now: core.MonotonicMilliseconds): number {
        increase(this.total, now);
        let count = this.counts.get(prefix);
        if (count === undefined) {
            this.evictIfFull();
            count = { value: 0, updatedAt: now };
        }
        else {
            this.counts.delete(prefix);
        }
        increase(count, now);
        this.counts.set(prefix, count);
        return count.value / this.total.value;
    }

    /** Returns the prefix's share of the traffic, 0 to 1, without counting a request. */
    get(prefix: string, now: core.MonotonicMilliseconds): number {
        const count = this.counts.get(prefix);
        return count === undefined ? 0 : decay(count, now) / Math.max(1, decay(this.total, now));
    }

    /** Drops the least recently seen prefix if the map is full. */
    private evictIfFull(): void {
        if (this.counts.size >= Capacity) {
            const oldest = this.counts.keys().next();
            if (oldest.done !== true) {
                this.counts.delete(oldest.value);
            }
        }
    }
}

function increase(count: Count, now: core.MonotonicMilliseconds): void {
    count.value = decay(count, now) + 1;
    count.updatedAt = now;
}

function decay(count: Count, now: core.MonotonicMilliseconds): number {
    return count.value * 2 ** -(Math.max(0, now - count.updatedAt) / HalfLifeMilliseconds);
}
