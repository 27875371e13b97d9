import type * as core from "@boragedale/core";

/** Small estimators shared by the decisions. The current time is passed in. */

/** A value estimated from samples. */
export interface Estimate {
    get(): number;
    /** Number of samples that the estimate is based on. */
    getCount(): number;
}

/** Exponentially weighted mean and mean deviation of a series of samples. */
export class MovingAverage implements Estimate {
    private mean: number;
    private deviation = 0;
    private count = 0;

    /**
     * `smoothing` is the weight of a new sample, greater than 0 and up to 1; `initial` is the mean until the first
     * sample.
     */
    constructor(
        private readonly smoothing: number,
        initial: number,
    ) {
        this.mean = initial;
    }

    add(sample: number): void {
        this.count++;
        // The first samples have a higher weight: an initial value that is wrong by a factor of ten must not persist
        // for minutes.
        const weight = Math.max(this.smoothing, 1 / this.count);
        this.deviation += weight * (Math.abs(sample - this.mean) - this.deviation);
        this.mean += weight * (sample - this.mean);
        if (this.count === 1) {
            this.deviation = 0;
        }
    }

    get(): number {
        return this.mean;
    }

    /** The mean plus twice the mean deviation: about nineteen in twenty samples are lower. */
    getHigh(): number {
        return this.mean + 2 * this.deviation;
    }

    getCount(): number {
        return this.count;
    }
}

/** A maximum that halves every `halfLifeMilliseconds`, so that a peak is remembered for a limited time. */
export class DecayingMaximum {
    private value = 0;
    private updatedAt: core.MonotonicMilliseconds = 0;

    constructor(private readonly halfLifeMilliseconds: number) {}

    add(sample: number, now: core.MonotonicMilliseconds): void {
        this.value = Math.max(sample, this.get(now));
        this.updatedAt = now;
    }

    get(now: core.MonotonicMilliseconds): number {
        return this.value * 2 ** -(Math.max(0, now - this.updatedAt) / this.halfLifeMilliseconds);
    }
}

/**
 * The lowest sample of each of the last seconds in which there were any. Samples are grouped by seconds because an
 * engine's streams advance together: eight samples from eight streams describe the same few steps.
 */
export class RecentMinimum implements Estimate {
    private readonly seconds: { readonly second: number; lowest: number }[] = [];

    constructor(private readonly keptSeconds: number) {}

    add(sample: number, now: core.MonotonicMilliseconds): void {
        const second = Math.floor(now / 1_000);
        const last = this.seconds.at(-1);
        if (last?.second === second) {
            last.lowest = Math.min(last.lowest, sample);
            return;
        }
        this.seconds.push({ second, lowest: sample });
        if (this.seconds.length > this.keptSeconds) {
            this.seconds.shift();
        }
    }

    /** Infinity without samples. */
    get(): number {
        return Math.min(...this.seconds.map(entry => entry.lowest));
    }

    /** The lowest sample of the current and the previous second; undefined without one. */
    getRecent(now: core.MonotonicMilliseconds): number | undefined {
        const second = Math.floor(now / 1_000);
        const recent = this.seconds.filter(entry => entry.second >= second - 1).map(entry => entry.lowest);
        return recent.length === 0 ? undefined : Math.min(...recent);
    }

    /** Number of kept seconds with samples. */
    getCount(): number {
        return this.seconds.length;
    }
}

/** The median (the lower one of two middle values), or undefined without values. */
export function getMedian(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor((sorted.length - 1) / 2)];
}

/** The mean, or 0 without values. */
export function getMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** The item with the lowest value, the first of equal ones; undefined without items. */
export function getMinimumBy<T>(items: readonly T[], getValue: (item: T) => number): T | undefined {
    let least: T | undefined;
    let leastValue = Infinity;
    for (const item of items) {
        const value = getValue(item);
        if (value < leastValue) {
            least = item;
            leastValue = value;
        }
    }
    return least;
}
