import * as cacModule from "cac";
import * as report from "./report.js";
import * as scenarios from "./scenarios.js";

/** `npm run bench -- [--scenario name] [--weight 0.5] [--seed 1] [--json] [--out folder]`. */

interface BenchFlags {
    readonly scenario?: string;
    readonly weight: number;
    readonly seed: number;
    readonly json?: boolean;
    readonly out?: string;
}

main();

function main(): void {
    const program = cacModule.cac("bench");
    program
        .command("", "Runs the scenarios in virtual time beside the baselines")
        .option("--scenario <name>", "Only scenarios whose name has this")
        .option("--weight <number>", "The release note's batchWeight, 0 to 1", { default: 0.5 })
        .option("--seed <number>", "Seed of all random draws", { default: 1 })
        .option("--json", "Writes JSON in place of a table")
        .option("--out <folder>", "Folder for SVG plots")
        .action((flags: BenchFlags) => runBench(flags));
    program.help();
    program.parse();
}

function runBench(flags: BenchFlags): void {
    const wanted = scenarios.getScenarios().filter(scenario => scenario.name.includes(flags.scenario ?? ""));
    const options = { batchWeight: Number(flags.weight), seed: Number(flags.seed) };
    const reports = wanted.map(scenario => report.createScenarioReport(scenario, options));
    console.log(flags.json === true ? JSON.stringify(reports, omitSamples, 2) : report.formatTable(reports));
}

/** The samples are many and only of use inside. */
function omitSamples(key: string, value: unknown): unknown {
    return key === "onlineSamples" ? undefined : value;
}
