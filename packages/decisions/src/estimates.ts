import type * as core from "@boragedale/core";

/** Small estimators that the decisions share. All take the time from outside. */

/** Something learned from samples. */
export interface Estimate {
    get(): number;
    /** Samples that it rests on. */
    getCount(): number;
}

/** Exponentially weighted mean and mean deviation of a series of samples. */
export class MovingAverage implements Estimate {
    private mean: number;
    private deviation = 0;
    private count = 0;

    /** `smoothing` is the part that a new sample has, over 0 up to 1; `initial` counts until the first sample. */
    constructor(
        private readonly smoothing: number,
        initial: number,
    ) {
        this.mean = initial;
    }

    add(sample: number): void {
        this.count++;
        // The first samples count fully: an initial guess that is ten times off must not linger for minutes.
        const part = Math.max(this.smoothing, 1 / this.count);
        this.deviation += part * (Math.abs(sample - this.mean) - this.deviation);
        this.mean += part * (sample - this.mean);
        if (this.count === 1) {
            this.deviation = 0;
        }
    }

    get(): number {
        return this.mean;
    }

    /** The mean and twice the mean deviation above it: about nineteen in twenty samples are lower. */
    getHigh(): number {
        return this.mean + 2 * this.deviation;
    }

    getCount(): number {
        return this.count;
    }
}

/** A maximum that halves every `halfLifeMilliseconds`, so that a peak is remembered but not for ever. */
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

/** The lowest of the last samples. */
export class RecentMinimum implements Estimate {
    private readonly samples: number[] = [];

    constructor(private readonly kept: number) {}

    add(sample: number): void {
        this.samples.push(sample);
        if (this.samples.length > this.kept) {
            this.samples.shift();
        }
    }

    /** Infinity without samples. */
    get(): number {
        return Math.min(...this.samples);
    }

    getCount(): number {
        return this.samples.length;
    }
}

/** The middle value, or undefined without values. */
export function getMedian(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor((sorted.length - 1) / 2)];
}
