import type * as measures from "./measures.js";
import * as oracle from "./oracle.js";
import * as run from "./run.js";
import type * as scenarios from "./scenarios.js";

/** Results of one scenario under the policy and the baselines. */
export interface ScenarioReport {
    readonly scenario: string;
    readonly results: Readonly<Record<run.PolicyKind, measures.RunResult>>;
    /** Online p99 time to first token, relative to the run without batch work; the goal is at most 1.10. */
    readonly harm: number;
    /** Batch throughput, relative to the upper bound for the idle slots; the goal is at least 0.90. */
    readonly batchPart: number;
    readonly batchBound: number;
    /** Online goodput, relative to what the engines could serve. */
    readonly goodputPart: number;
}

export interface ReportOptions {
    readonly batchWeight: number;
    readonly seed: number;
}

export function createScenarioReport(scenario: scenarios.Scenario, options: ReportOptions): ScenarioReport {
    const runWith = (policy: run.PolicyKind): measures.RunResult => run.runScenario({ scenario, policy, ...options });
    const results = {
        [run.PolicyKind.NoBatch]: runWith(run.PolicyKind.NoBatch),
        [run.PolicyKind.NoPolicy]: runWith(run.PolicyKind.NoPolicy),
        [run.PolicyKind.Policy]: runWith(run.PolicyKind.Policy),
    };
    const withoutBatch = results[run.PolicyKind.NoBatch];
    const withPolicy = results[run.PolicyKind.Policy];
    const batchBound = oracle.getBatchBound(scenario, withoutBatch);
    return {
        scenario: scenario.name,
        results,
        harm: withPolicy.online.firstToken.p99 / withoutBatch.online.firstToken.p99,
        batchPart: batchBound === 0 ? 1 : withPolicy.batchTokensPerSecond / batchBound,
        batchBound,
        goodputPart: withPolicy.goodput / oracle.getOnlineCapacity(scenario, withPolicy),
    };
}

/** Tokens per second. Below this the bound isn't meaningful, since hardly any slot was free. */
const MinimumBound = 100;

const Columns = [
    "scenario",
    "policy",
    "first p50",
    "p95",
    "p99",
    "harm",
    "gap p50",
    "p99",
    "finished",
    "refused",
    "expired",
    "failed",
    "late",
    "goodput",
    "of cap.",
    "fair",
    "batch tok/s",
    "of bound",
    "batch fair",
    "wasted",
    "cancelled",
    "deaths",
];

/** Formats a human-readable table with one line per run; times are in milliseconds. */
export function formatTable(reports: readonly ScenarioReport[]): string {
    const rows = reports.flatMap(report =>
        Object.values(run.PolicyKind).map(policy => createRow(report, policy, report.results[policy])),
    );
    return alignColumns([Columns, ...rows]);
}

function createRow(report: ScenarioReport, policy: run.PolicyKind, result: measures.RunResult): readonly string[] {
    const { online } = result;
    const withoutBatch = report.results[run.PolicyKind.NoBatch].online.firstToken.p99;
    return [
        report.scenario,
        policy,
        online.firstToken.p50.toFixed(0),
        online.firstToken.p95.toFixed(0),
        online.firstToken.p99.toFixed(0),
        (online.firstToken.p99 / withoutBatch).toFixed(2),
        online.betweenTokens.p50.toFixed(1),
        online.betweenTokens.p99.toFixed(1),
        String(online.finished),
        String(online.refused),
        String(online.expired),
        String(online.failed),
        String(online.deadlineMissed),
        result.goodput.toFixed(0),
        (policy === run.PolicyKind.Policy ? report.goodputPart : NaN).toFixed(2).replace("NaN", "-"),
        result.onlineFairness.toFixed(2),
        result.batchTokensPerSecond.toFixed(0),
        report.batchBound < MinimumBound ? "-" : (result.batchTokensPerSecond / report.batchBound).toFixed(2),
        result.batchFairness.toFixed(2),
        String(result.wastedTokens),
        String(result.cancelledStreams),
        String(result.upstreamDeaths),
    ];
}

function alignColumns(rows: readonly (readonly string[])[]): string {
    const widths = Array.from(rows[0]!.keys(), index => Math.max(...rows.map(row => row[index]!.length)));
    const isText = (index: number): boolean => index < 2;
    return rows
        .map(row =>
            row
                .map((cell, index) => (isText(index) ? cell.padEnd(widths[index]!) : cell.padStart(widths[index]!)))
                .join("  ")
                .trimEnd(),
        )
        .join("\n");
}
