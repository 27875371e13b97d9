import type * as core from "@boragedale/core";

/**
 * Number of parts of a window, each counted as a whole: the count is inaccurate by up to one part and is never too low.
 */
const PartsInWindow = 50;

interface Part {
    readonly index: number;
    count: number;
}

/**
 * Counts the events of the last window. Memory grows with the number of parts that have events, not with the number of
 * events.
 */
export class SlidingWindow {
    private readonly partMilliseconds: number;
    /** Oldest first. */
    private readonly parts: Part[] = [];
    private total = 0;

    constructor(private readonly windowMilliseconds: number) {
        this.partMilliseconds = windowMilliseconds / PartsInWindow;
    }

    getCount(now: core.MonotonicMilliseconds): number {
        const first = Math.floor((now - this.windowMilliseconds) / this.partMilliseconds);
        while (this.parts[0] !== undefined && this.parts[0].index < first) {
            this.total -= this.parts.shift()?.count ?? 0;
        }
        return this.total;
    }

    /** Counts events as of `at`, which should not be long after the last of them. */
    add(count: number, at: core.MonotonicMilliseconds): void {
        const index = Math.floor(at / this.partMilliseconds);
        const position = this.parts.findLastIndex(part => part.index <= index);
        const found = this.parts[position];
        this.total += count;
        if (found?.index === index) {
            found.count += count;
        }
        else {
            this.parts.splice(position + 1, 0, { index, count });
        }
    }

    /** Removes events, the latest first. */
    remove(count: number): void {
        let remaining = Math.min(count, this.total);
        this.total -= remaining;
        while (remaining > 0) {
            const last = this.parts.at(-1);
            const taken = Math.min(remaining, last?.count ?? remaining);
            remaining -= taken;
            if (last === undefined || last.count === taken) {
                this.parts.pop();
            }
            else {
                last.count -= taken;
            }
        }
    }

    /** Time until `count` of the events counted now have left the window; Infinity if there are fewer. */
    getMillisecondsUntilExpired(count: number, now: core.MonotonicMilliseconds): number {
        let expired = 0;
        for (const part of this.parts) {
            expired += part.count;
            if (expired >= count) {
                return Math.max(0, (part.index + 1) * this.partMilliseconds + this.windowMilliseconds - now);
            }
        }
        return Infinity;
    }
}
