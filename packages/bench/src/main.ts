import * as fileSystem from "node:fs";
import * as path from "node:path";
import * as cacModule from "cac";
import * as frontier from "./frontier.js";
import * as plots from "./plots.js";
import * as quantiles from "./quantiles.js";
import * as report from "./report.js";
import * as scenarios from "./scenarios.js";

/** `npm run bench -- [--scenario name] [--weight 0.5] [--seed 1] [--frontier | --quantiles] [--json] [--out folder]`. */

interface BenchFlags {
    readonly scenario?: string;
    readonly weight: number;
    readonly seed: number;
    readonly frontier?: boolean;
    readonly quantiles?: boolean;
    readonly json?: boolean;
    readonly out?: string;
}

const QuantileFleets = [8, 64, 400];
const Quantiles = [0.5, 0.95, 0.99];
const FrontierSeeds = [1, 2, 3];

main();

function main(): void {
    const program = cacModule.cac("bench");
    program
        .command("", "Runs the scenarios in virtual time beside the baselines")
        .option("--scenario <name>", "Only scenarios whose name has this")
        .option("--weight <number>", "The release note's batchWeight, 0 to 1", { default: 0.5 })
        .option("--seed <number>", "Seed of all random draws", { default: 1 })
        .option("--frontier", "Draws harm against batch throughput over the weight, from three seeds")
        .option("--quantiles", "Weighs gossip for fleet-wide quantiles against reports to one home")
        .option("--json", "Writes JSON in place of a table")
        .option("--out <folder>", "Folder for SVG plots")
        .action((flags: BenchFlags) => run(flags));
    program.help();
    program.parse();
}

function run(flags: BenchFlags): void {
    if (flags.quantiles === true) {
        runQuantiles(flags);
    }
    else if (flags.frontier === true) {
        runFrontier(flags);
    }
    else {
        runBench(flags);
    }
}

function runQuantiles(flags: BenchFlags): void {
    const results = QuantileFleets.flatMap(instances =>
        Quantiles.map(quantile => {
            const gossip = quantiles.measureGossip(instances, quantile, Number(flags.seed));
            const reports = quantiles.measureReports(instances, quantile, Number(flags.seed));
            return { instances, quantile, gossip, reports };
        }),
    );
    print(flags, results, results.map(result => JSON.stringify(result)).join("\n"));
}

function runBench(flags: BenchFlags): void {
    const options = { batchWeight: Number(flags.weight), seed: Number(flags.seed) };
    const reports = listScenarios(flags).map(scenario => report.createScenarioReport(scenario, options));
    print(flags, reports, report.formatTable(reports));
    writePlot(flags, "first-token.svg", () => plots.createLatencyPlot(reports));
}

function runFrontier(flags: BenchFlags): void {
    const lines = listScenarios(flags).map(scenario => frontier.createFrontier(scenario, FrontierSeeds));
    print(flags, lines, frontier.formatFrontier(lines));
    writePlot(flags, "frontier.svg", () => plots.createFrontierPlot(lines));
}

function listScenarios(flags: BenchFlags): readonly scenarios.Scenario[] {
    return scenarios.getScenarios().filter(scenario => scenario.name.includes(flags.scenario ?? ""));
}

function print(flags: BenchFlags, value: unknown, table: string): void {
    console.log(flags.json === true ? JSON.stringify(value, omitSamples, 2) : table);
}

function writePlot(flags: BenchFlags, name: string, create: () => string): void {
    if (flags.out !== undefined) {
        fileSystem.mkdirSync(flags.out, { recursive: true });
        fileSystem.writeFileSync(path.join(flags.out, name), create());
    }
}

/** The samples are many and only of use inside. */
function omitSamples(key: string, value: unknown): unknown {
    return key === "onlineSamples" ? undefined : value;
}
