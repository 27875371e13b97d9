import type * as core from "@boragedale/core";

/** Time in which a prefix's count halves, in milliseconds: long enough to tell 50% from chance, short for a shift. */
const HalfLife = 10_000;
/** Prefixes kept; the rest of the traffic is cold by definition. */
const Capacity = 2_048;

interface Count {
    value: number;
    updatedAt: core.MonotonicMilliseconds;
}

/** Which part of the traffic each prompt prefix has, by counts that decay. Memory is bounded. */
export class PrefixShares {
    private readonly counts = new Map<string, Count>();
    private readonly total: Count = { value: 0, updatedAt: 0 };

    /** Counts one request and returns the prefix's share of the traffic, 0 to 1. */
    add(prefix: string, now: core.MonotonicMilliseconds): number {
        increase(this.total, now);
        let count = this.counts.get(prefix);
        if (count === undefined) {
            this.makeRoom();
            count = { value: 0, updatedAt: now };
        }
        else {
            this.counts.delete(prefix);
        }
        increase(count, now);
        this.counts.set(prefix, count);
        return count.value / this.total.value;
    }

    /** The prefix's share of the traffic, 0 to 1, without counting. */
    get(prefix: string, now: core.MonotonicMilliseconds): number {
        const count = this.counts.get(prefix);
        return count === undefined ? 0 : decay(count, now) / Math.max(1, decay(this.total, now));
    }

    /** Drops the prefix not seen for longest. */
    private makeRoom(): void {
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
    return count.value * 2 ** -(Math.max(0, now - count.updatedAt) / HalfLife);
}
