import * as random from "./random.js";

/**
 * Weighs two ways for all instances to know a fleet-wide quantile (such as the p99 of online's first token): gossip by
 * tournaments, after Haeupler, Kaufmann, Ravi and Schaller, "Adversarially-Robust Gossip Algorithms for Approximate
 * Quantile and Mean Computations", against reports to one home that answers with the quantile.
 */

export interface QuantileResult {
    readonly way: string;
    /** Rounds of messages until each instance has its answer. */
    readonly rounds: number;
    /** Messages sent and answered by one instance on average. */
    readonly messagesEach: number;
    /** Largest difference of any instance's answer from the rank asked for, 0 to 1. */
    readonly worstRankError: number;
}

/** Values that a median of three tournaments ends with: enough rounds for the sizes of a fleet. */
const MedianRounds = 8;
/** Values drawn in the last phase. */
const LastDraws = 15;

/** Each round an instance draws two others and keeps the higher value, until the quantile is the median; then the median of three, then of several. */
export function measureGossip(instances: number, quantile: number, seed: number): QuantileResult {
    const source = new random.Random(seed);
    const values = createValues(instances, source);
    const shifts = Math.max(0, Math.round(Math.log2(getDoublings(quantile))));
    let held = values;
    for (let round = 0; round < shifts; round++) {
        const before = held;
        held = before.map(() => Math.max(draw(before, source), draw(before, source)));
    }
    for (let round = 0; round < MedianRounds; round++) {
        const before = held;
        held = before.map(() => getMiddle([draw(before, source), draw(before, source), draw(before, source)]));
    }
    const last = held;
    held = last.map(() => getMiddle(Array.from(Array(LastDraws).keys(), () => draw(last, source))));
    return {
        way: "gossip",
        rounds: shifts + MedianRounds + 1,
        messagesEach: 2 * (2 * shifts + 3 * MedianRounds + LastDraws),
        worstRankError: getWorstError(values, held, quantile),
    };
}

/** Each instance tells one home and is told the quantile. */
export function measureReports(instances: number, quantile: number, seed: number): QuantileResult {
    const values = createValues(instances, new random.Random(seed));
    const sorted = [...values].sort((left, right) => left - right);
    const answer = sorted[Math.min(instances - 1, Math.floor(quantile * instances))]!;
    return { way: "reports", rounds: 1, messagesEach: 2, worstRankError: getWorstError(values, [answer], quantile) };
}

/** How often the maximum of two must be taken for the quantile to become the median: quantile to the 2^t is a half. */
function getDoublings(quantile: number): number {
    return Math.log(0.5) / Math.log(quantile);
}

function createValues(instances: number, source: random.Random): readonly number[] {
    return Array.from(Array(instances).keys(), () => source.exponential(100));
}

function draw(values: readonly number[], source: random.Random): number {
    return values[source.below(values.length)]!;
}

function getMiddle(values: readonly number[]): number {
    return [...values].sort((left, right) => left - right)[values.length >> 1]!;
}

function getWorstError(values: readonly number[], answers: readonly number[], quantile: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    const rankOf = (answer: number): number => sorted.filter(value => value <= answer).length / sorted.length;
    return Math.max(...answers.map(answer => Math.abs(rankOf(answer) - quantile)));
}
