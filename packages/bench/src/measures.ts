import * as core from "@boragedale/core";
import * as hdr from "hdr-histogram-js";
import type * as engine from "./engine.js";

/** 50th, 95th and 99th percentiles, in milliseconds. */
export interface Quantiles {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
}

export interface ClassResult {
    readonly firstToken: Quantiles;
    readonly betweenTokens: Quantiles;
    readonly offered: number;
    readonly finished: number;
    readonly refused: number;
    /** Requests given up while they were queued. */
    readonly expired: number;
    readonly failed: number;
    readonly deadlineMissed: number;
}

export interface RunResult {
    readonly online: ClassResult;
    readonly batch: ClassResult;
    /** Batch tokens generated per second, each counted once. */
    readonly batchTokensPerSecond: number;
    /** Tokens that were processed again after a cancellation or a crash. */
    readonly wastedTokens: number;
    readonly cancelledStreams: number;
    readonly upstreamDeaths: number;
    /** Online tokens per second of requests that finished before their deadline. */
    readonly goodput: number;
    /** Lowest ratio of a caller's finished tokens to its max-min fair share. */
    readonly onlineFairness: number;
    /** Lowest ratio of a batch caller's tokens to an even share. */
    readonly batchFairness: number;
    /** Samples of the number of running online streams on each engine. */
    readonly onlineSamples: readonly (readonly number[])[];
}

/** Gaps between tokens are recorded in hundredths of a millisecond. */
const GapUnitsPerMillisecond = 100;
const MaximumGapUnits = 10_000_000;

class ClassMeasures {
    readonly firstTokens: number[] = [];
    readonly gaps = hdr.build({ highestTrackableValue: MaximumGapUnits, numberOfSignificantValueDigits: 3 });
    readonly offeredByCaller = new Map<string, number>();
    readonly finishedByCaller = new Map<string, number>();
    readonly tokensByCaller = new Map<string, number>();
    refused = 0;
    expired = 0;
    failed = 0;
    deadlineMissed = 0;
    offered = 0;
    finished = 0;
    tokensInTime = 0;

    createResult(): ClassResult {
        const firstTokens = [...this.firstTokens].sort((left, right) => left - right);
        const gapAt = (percentile: number): number =>
            this.gaps.getValueAtPercentile(percentile) / GapUnitsPerMillisecond;
        return {
            firstToken: {
                p50: getQuantile(firstTokens, 0.5),
                p95: getQuantile(firstTokens, 0.95),
                p99: getQuantile(firstTokens, 0.99),
            },
            betweenTokens: { p50: gapAt(50), p95: gapAt(95), p99: gapAt(99) },
            offered: this.offered,
            finished: this.finished,
            refused: this.refused,
            expired: this.expired,
            failed: this.failed,
            deadlineMissed: this.deadlineMissed,
        };
    }
}

/** Collects the measurements of one run. */
export class Measures implements engine.EngineObserver {
    private readonly online = new ClassMeasures();
    private readonly batch = new ClassMeasures();
    private wastedTokens = 0;
    private cancelledStreams = 0;
    private deaths = 0;
    private batchTokens = 0;
    private readonly onlineSamples: (readonly number[])[] = [];
    private isWarm = false;

    /** Starts measuring. What happens before is the warm-up of the caches, which is the same for each policy. */
    start(): void {
        this.isWarm = true;
    }

    onStep(requestClass: core.RequestClass, tokens: number, milliseconds: number): void {
        if (!this.isWarm) {
            return;
        }
        if (tokens > 0) {
            const value = Math.min(MaximumGapUnits, Math.round(milliseconds * GapUnitsPerMillisecond));
            this.getClass(requestClass).gaps.recordValueWithCount(value, tokens);
        }
    }

    onTokensReprocessed(tokens: number): void {
        if (!this.isWarm) {
            return;
        }
        this.wastedTokens += tokens;
    }

    onCrash(): void {
        this.deaths++;
    }

    /** Called when a request for `tokens` output tokens arrives. */
    onOffered(requestClass: core.RequestClass, caller: string, tokens: number): void {
        if (!this.isWarm) {
            return;
        }
        const measures = this.getClass(requestClass);
        measures.offered++;
        increase(measures.offeredByCaller, caller, tokens);
    }

    onFirstToken(requestClass: core.RequestClass, milliseconds: number): void {
        if (!this.isWarm) {
            return;
        }
        this.getClass(requestClass).firstTokens.push(milliseconds);
    }

    onBatchTokens(caller: string, tokens: number): void {
        if (!this.isWarm) {
            return;
        }
        this.batchTokens += tokens;
        increase(this.batch.tokensByCaller, caller, tokens);
    }

    onFinished(requestClass: core.RequestClass, caller: string, tokens: number, isInTime: boolean): void {
        if (!this.isWarm) {
            return;
        }
        const measures = this.getClass(requestClass);
        measures.deadlineMissed += isInTime ? 0 : 1;
        measures.tokensInTime += isInTime ? tokens : 0;
        measures.finished++;
        increase(measures.finishedByCaller, caller, tokens);
    }

    onRefused(): void {
        if (!this.isWarm) {
            return;
        }
        this.online.refused++;
    }

    onExpired(): void {
        if (!this.isWarm) {
            return;
        }
        this.online.expired++;
    }

    onFailed(requestClass: core.RequestClass): void {
        if (!this.isWarm) {
            return;
        }
        this.getClass(requestClass).failed++;
    }

    onCancelledStream(): void {
        if (!this.isWarm) {
            return;
        }
        this.cancelledStreams++;
    }

    onSample(onlineByEngine: readonly number[]): void {
        if (!this.isWarm) {
            return;
        }
        this.onlineSamples.push(onlineByEngine);
    }

    createResult(milliseconds: number): RunResult {
        return {
            online: this.online.createResult(),
            batch: this.batch.createResult(),
            batchTokensPerSecond: (1_000 * this.batchTokens) / milliseconds,
            wastedTokens: this.wastedTokens,
            cancelledStreams: this.cancelledStreams,
            upstreamDeaths: this.deaths,
            goodput: (1_000 * this.online.tokensInTime) / milliseconds,
            onlineFairness: getFairness(this.online.offeredByCaller, this.online.finishedByCaller),
            batchFairness: getEvenness(this.batch.tokensByCaller),
            onlineSamples: this.onlineSamples,
        };
    }

    private getClass(requestClass: core.RequestClass): ClassMeasures {
        return requestClass === core.RequestClass.Online ? this.online : this.batch;
    }
}

/** Each caller's share if the served total were divided max-min fairly; a caller that gets less is treated unfairly. */
export function getFairShares(demands: readonly number[], total: number): readonly number[] {
    const order = [...demands.keys()].sort((left, right) => demands[left]! - demands[right]!);
    const shares = new Array<number>(demands.length).fill(0);
    let left = total;
    order.forEach((index, position) => {
        const share = Math.min(demands[index]!, left / (order.length - position));
        shares[index] = share;
        left -= share;
    });
    return shares;
}

function getFairness(offered: ReadonlyMap<string, number>, finished: ReadonlyMap<string, number>): number {
    const callers = [...offered.keys()];
    const demands = callers.map(caller => offered.get(caller) ?? 0);
    const shares = getFairShares(demands, sum(finished.values()));
    const ratios = callers.map((caller, index) => (finished.get(caller) ?? 0) / Math.max(1, shares[index]!));
    return Math.min(1, ...ratios);
}

function getEvenness(tokens: ReadonlyMap<string, number>): number {
    const values = [...tokens.values()];
    const evenShare = sum(values) / Math.max(1, values.length);
    return values.length === 0 ? 1 : Math.min(...values) / evenShare;
}

function getQuantile(sorted: readonly number[], quantile: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
}

function increase(map: Map<string, number>, key: string, amount: number): void {
    map.set(key, (map.get(key) ?? 0) + amount);
}

function sum(values: Iterable<number>): number {
    let total = 0;
    for (const value of values) {
        total += value;
    }
    return total;
}
