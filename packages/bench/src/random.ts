import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/** A random source with a fixed seed: the same seed gives the same run. */
export class Random {
    private readonly source;

    constructor(seed: number) {
        this.source = generator.xoroshiro128plus(seed);
    }

    /** From 0 up to 1. */
    next(): number {
        return uniform.uniformFloat64(this.source);
    }

    /** A whole number from 0 up to `bound`. */
    below(bound: number): number {
        return Math.floor(this.next() * bound);
    }

    exponential(mean: number): number {
        return -mean * Math.log(1 - this.next());
    }

    /** Exponential, at least 1 and at most eight times the mean: tails beyond that would make each seed a new case. */
    tokens(mean: number): number {
        return Math.max(1, Math.min(8 * mean, Math.round(this.exponential(mean))));
    }

    /** An index by weights that need not add up to 1. */
    pick(weights: readonly number[]): number {
        let rest = this.next() * weights.reduce((sum, weight) => sum + weight, 0);
        for (let index = 0; index < weights.length - 1; index++) {
            rest -= weights[index]!;
            if (rest < 0) {
                return index;
            }
        }
        return weights.length - 1;
    }
}
