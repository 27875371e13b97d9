import type * as core from "@boragedale/core";

/** Parts of a window that are counted together; the count errs by one part, to the safe side. */
const PartsInWindow = 50;

interface Part {
    readonly index: number;
    count: number;
}

/** Counts events of the last window. Memory grows with the parts of the window that have any, not with the events. */
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

    /** `at`: not long after the last event. */
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

    /** Takes back events, the latest first. */
    remove(count: number): void {
        let left = Math.min(count, this.total);
        this.total -= left;
        while (left > 0) {
            const last = this.parts.at(-1);
            const taken = Math.min(left, last?.count ?? left);
            left -= taken;
            if (last === undefined || last.count === taken) {
                this.parts.pop();
            }
            else {
                last.count -= taken;
            }
        }
    }

    /** Time until so many of the events counted now are out of the window; Infinity where there are fewer. */
    getMillisecondsUntilGone(count: number, now: core.MonotonicMilliseconds): number {
        let gone = 0;
        for (const part of this.parts) {
            gone += part.count;
            if (gone >= count) {
                return Math.max(0, (part.index + 1) * this.partMilliseconds + this.windowMilliseconds - now);
            }
        }
        return Infinity;
    }
}
