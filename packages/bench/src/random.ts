import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/** A seeded random source: the same seed gives the same sequence. */
export class Random {
    private readonly source;

    constructor(seed: number) {
        this.source = generator.xoroshiro128plus(seed);
    }

    /** Returns a number from 0 up to but excluding 1. */
    next(): number {
        return uniform.uniformFloat64(this.source);
    }

    /** Returns an integer from 0 up to but excluding `bound`. */
    nextInteger(bound: number): number {
        return Math.floor(this.next() * bound);
    }

    nextExponential(mean: number): number {
        return -mean * Math.log(1 - this.next());
    }

    /**
     * Exponentially distributed, at least 1 and at most eight times the mean: longer tails would make results depend
     * too much on the seed.
     */
    nextTokenCount(mean: number): number {
        return Math.max(1, Math.min(8 * mean, Math.round(this.nextExponential(mean))));
    }

    /** Picks an index by weights that needn't add up to 1. */
    pickWeighted(weights: readonly number[]): number {
        let remaining = this.next() * weights.reduce((sum, weight) => sum + weight, 0);
        for (let index = 0; index < weights.length - 1; index++) {
            remaining -= weights[index]!;
            if (remaining < 0) {
                return index;
            }
        }
        return weights.length - 1;
    }
}
