import * as random from "./random.js";

/**
 * Compares two ways for all instances to learn a fleet-wide quantile (such as the p99 of the online time to first
 * token): gossip by tournaments, and reports to one coordinator that replies with the quantile. The gossip follows
 * Haeupler, Kaufmann, Ravi and Schaller, "Adversarially-Robust Gossip Algorithms for Approximate Quantile and Mean
 * Computations".
 */

export interface QuantileResult {
    readonly way: string;
    /** Rounds of messages until each instance has an answer. */
    readonly rounds: number;
    /** Average number of messages that one instance sends and answers. */
    readonly messagesEach: number;
    /** Largest difference between the rank of any instance's answer and the requested rank, 0 to 1. */
    readonly worstRankError: number;
}

/** Rounds of median-of-three tournaments; enough for the sizes of a fleet. */
const MedianRounds = 8;
/** Number of values that each instance draws in the last phase. */
const FinalSamples = 15;

/**
 * In each round, an instance draws the values of two others and keeps the higher one, until the requested quantile has
 * become the median. Then it takes the median of three values, and at last the median of `FinalSamples`.
 */
export function measureGossip(instances: number, quantile: number, seed: number): QuantileResult {
    const source = new random.Random(seed);
    const values = createValues(instances, source);
    // Each round doubles the number of draws of which an instance holds the maximum.
    const shiftRounds = Math.max(0, Math.round(Math.log2(getDrawsPerMaximum(quantile))));
    let estimates = values;
    for (let round = 0; round < shiftRounds; round++) {
        const before = estimates;
        estimates = before.map(() => Math.max(draw(before, source), draw(before, source)));
    }
    for (let round = 0; round < MedianRounds; round++) {
        const before = estimates;
        estimates = before.map(() => getMedian([draw(before, source), draw(before, source), draw(before, source)]));
    }
    const last = estimates;
    estimates = last.map(() => getMedian(Array.from(Array(FinalSamples).keys(), () => draw(last, source))));
    return {
        way: "gossip",
        rounds: shiftRounds + MedianRounds + 1,
        messagesEach: 2 * (2 * shiftRounds + 3 * MedianRounds + FinalSamples),
        worstRankError: getWorstError(values, estimates, quantile),
    };
}

/** Each instance reports its value to one coordinator, which replies with the quantile. */
export function measureReports(instances: number, quantile: number, seed: number): QuantileResult {
    const values = createValues(instances, new random.Random(seed));
    const sorted = [...values].sort((left, right) => left - right);
    const answer = sorted[Math.min(instances - 1, Math.floor(quantile * instances))]!;
    return { way: "reports", rounds: 1, messagesEach: 2, worstRankError: getWorstError(values, [answer], quantile) };
}

/** Number of draws whose maximum has the quantile as its median: `quantile ** draws` is 0.5. */
function getDrawsPerMaximum(quantile: number): number {
    return Math.log(0.5) / Math.log(quantile);
}

function createValues(instances: number, source: random.Random): readonly number[] {
    return Array.from(Array(instances).keys(), () => source.nextExponential(100));
}

function draw(values: readonly number[], source: random.Random): number {
    return values[source.nextInteger(values.length)]!;
}

function getMedian(values: readonly number[]): number {
    return [...values].sort((left, right) => left - right)[values.length >> 1]!;
}

function getWorstError(values: readonly number[], answers: readonly number[], quantile: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    const rankOf = (answer: number): number => sorted.filter(value => value <= answer).length / sorted.length;
    return Math.max(...answers.map(answer => Math.abs(rankOf(answer) - quantile)));
}
