import * as oracle from "./oracle.js";
import * as run from "./run.js";
import type * as scenarios from "./scenarios.js";

/** Results of one batch weight, averaged over all seeds. */
export interface FrontierPoint {
    readonly batchWeight: number;
    /** Online p99 time to first token, relative to the run without batch work. */
    readonly harm: number;
    /** Batch throughput, relative to the upper bound for the idle slots. */
    readonly batchPart: number;
}

export interface FrontierLine {
    readonly scenario: string;
    readonly points: readonly FrontierPoint[];
}

const BatchWeights = [0, 0.25, 0.5, 0.75, 1];

/** Harm and batch throughput by weight. The p99s of the seeds are averaged, since that of a single run varies by 5%. */
export function createFrontier(scenario: scenarios.Scenario, seeds: readonly number[]): FrontierLine {
    const baselines = seeds.map(seed =>
        run.runScenario({ scenario, policy: run.PolicyKind.NoBatch, batchWeight: 0, seed }),
    );
    const points = BatchWeights.map(batchWeight => {
        const results = seeds.map(seed =>
            run.runScenario({ scenario, policy: run.PolicyKind.Policy, batchWeight, seed }),
        );
        const harm =
            getMean(results.map(result => result.online.firstToken.p99)) /
            getMean(baselines.map(result => result.online.firstToken.p99));
        const parts = results.map(
            (result, index) => result.batchTokensPerSecond / oracle.getBatchBound(scenario, baselines[index]!),
        );
        return { batchWeight, harm, batchPart: getMean(parts) };
    });
    return { scenario: scenario.name, points };
}

/** Formats one line per weight. */
export function formatFrontier(lines: readonly FrontierLine[]): string {
    return lines
        .flatMap(line =>
            line.points.map(
                point =>
                    `${line.scenario.padEnd(20)} weight ${point.batchWeight.toFixed(2)}  ` +
                    `harm ${point.harm.toFixed(2)}  batch ${point.batchPart.toFixed(2)} of the bound`,
            ),
        )
        .join("\n");
}

function getMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
