import * as oracle from "./oracle.js";
import * as run from "./run.js";
import type * as scenarios from "./scenarios.js";

/** What one weight gives, over all seeds. */
export interface FrontierPoint {
    readonly batchWeight: number;
    /** Online first token p99 against the run without batch. */
    readonly harm: number;
    /** Batch tokens against what the idle places could have given. */
    readonly batchPart: number;
}

export interface FrontierLine {
    readonly scenario: string;
    readonly points: readonly FrontierPoint[];
}

const Weights = [0, 0.25, 0.5, 0.75, 1];

/** Harm and batch throughput over the weight. The p99s of the seeds are averaged, since one run's moves by 5%. */
export function createFrontier(scenario: scenarios.Scenario, seeds: readonly number[]): FrontierLine {
    const baselines = seeds.map(seed =>
        run.runScenario({ scenario, policy: run.PolicyKind.NoBatch, batchWeight: 0, seed }),
    );
    const points = Weights.map(batchWeight => {
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

/** One line a weight. */
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
