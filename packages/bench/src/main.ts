import * as fileSystem from "node:fs";
import * as path from "node:path";
import * as cacModule from "cac";
import * as frontier from "./frontier.js";
import * as membershipRun from "./membership/membershipRun.js";
import * as quotaScenes from "./quotas/quotaScenes.js";
import * as quotasFleet from "./quotas/quotasFleet.js";
import * as quotasRun from "./quotas/quotasRun.js";
import * as hardLoad from "./slots/hardLoad.js";
import * as hardLoadResult from "./slots/hardLoadResult.js";
import * as slotsFleet from "./slots/slotsFleet.js";
import * as slotsRun from "./slots/slotsRun.js";
import * as plots from "./plots.js";
import * as quantiles from "./quantiles.js";
import * as report from "./report.js";
import * as scenarios from "./scenarios.js";

/**
 * Command line: `npm run bench -- [--scenario name] [--weight 0.5] [--seed 1]
 * [--frontier | --quantiles | --slots | --hard-load | --membership | --quotas] [--json] [--out folder]`.
 */

interface BenchFlags {
    readonly scenario?: string;
    readonly weight: number;
    readonly seed: number;
    readonly frontier?: boolean;
    readonly quantiles?: boolean;
    readonly slots?: boolean;
    readonly hardLoad?: boolean;
    readonly membership?: boolean;
    readonly quotas?: boolean;
    readonly json?: boolean;
    readonly out?: string;
}

const QuantileFleets = [8, 64, 400];
const Quantiles = [0.5, 0.95, 0.99];
const FrontierSeeds = [1, 2, 3];

/** Sizes of simulated fleets, from small ones to the largest that the design aims at. */
const SlotsFleets = [
    { instances: 8, engines: 13 },
    { instances: 68, engines: 63 },
    { instances: 165, engines: 190 },
    { instances: 400, engines: 1_100 },
];
const SlotsSeconds = 23.2;
const SlotsPerEngine = 8;
const HardLoadScenes = {
    "square wave": {},
    "hot customer": { hasHotCustomer: true },
    "uneven engines": { hasUnevenEngines: true },
};
const QuotaCustomers = [84, 1_000, 100_000];
const QuotaSeconds = 20;
/** Beyond this size, simulating notifications to all instances takes minutes, and they aren't practical there. */
const MaximumEveryoneInstances = 165;

main();

function main(): void {
    const program = cacModule.cac("bench");
    program
        .command("", "Runs the scenarios in virtual time and compares them with the baselines")
        .option("--scenario <name>", "Only scenarios whose name contains this")
        .option("--weight <number>", "Batch weight, the release note's batchWeight, 0 to 1", { default: 0.5 })
        .option("--seed <number>", "Seed of all random draws", { default: 1 })
        .option("--frontier", "Shows harm and batch throughput by weight, averaged over three seeds")
        .option("--quantiles", "Compares gossip for fleet-wide quantiles with reports to one coordinator")
        .option("--slots", "Compares ways of sharing engines' slots among 8 to 400 instances")
        .option("--hard-load", "Plays online peaks, a customer that sends too much and uneven engines, with batch work")
        .option(
            "--membership",
            "Measures store calls and the time until all instances know a change, at 8 to 400 instances",
        )
        .option("--quotas", "Compares ways of enforcing customers' limits among 8 to 400 instances")
        .option("--json", "Writes JSON instead of a table")
        .option("--out <folder>", "Folder for SVG plots")
        .action((flags: BenchFlags) => run(flags));
    program.help();
    program.parse();
}

function run(flags: BenchFlags): void {
    if (flags.slots === true) {
        void runSlots(flags);
    }
    else if (flags.hardLoad === true) {
        void runHardLoad(flags);
    }
    else if (flags.membership === true) {
        void runMembership(flags);
    }
    else if (flags.quotas === true) {
        void runQuotas(flags);
    }
    else if (flags.quantiles === true) {
        runQuantiles(flags);
    }
    else if (flags.frontier === true) {
        runFrontier(flags);
    }
    else {
        runBench(flags);
    }
}

async function runSlots(flags: BenchFlags): Promise<void> {
    for (const fleet of SlotsFleets) {
        for (const sharing of Object.values(slotsFleet.Sharing)) {
            if (sharing === slotsFleet.Sharing.Everyone && fleet.instances > MaximumEveryoneInstances) {
                continue;
            }
            const options = { ...fleet, sharing, slotsPerEngine: SlotsPerEngine, seed: Number(flags.seed) };
            const result = await slotsRun.runSlots({ ...options, seconds: SlotsSeconds });
            console.log(flags.json === true ? JSON.stringify(result) : formatSlots(result));
        }
    }
}

function formatSlots(result: slotsRun.SlotsResult): string {
    const cells = [
        `${result.instances} instances`,
        `${result.engines} engines`,
        result.sharing,
        `first event p50 ${result.p50.toFixed(0)} ms`,
        `p99 ${result.p99.toFixed(0)} ms`,
        `late ${(result.late * 100).toFixed(1)}%`,
        `${result.messages.toFixed(0)} messages/s`,
        `${result.bytes.toFixed(0)} B/s`,
        `${result.mostBytes.toFixed(0)} B/s at most`,
        `${(result.processorShare * 100).toFixed(2)}% of a core`,
    ];
    return cells.join(", ");
}

async function runHardLoad(flags: BenchFlags): Promise<void> {
    for (const [name, scene] of Object.entries(HardLoadScenes)) {
        const result = await hardLoad.runHardLoad({ ...scene, seed: Number(flags.seed) });
        const { relativeWork, ...figures } = result;
        const json = { name, ...figures, relativeWork: Object.fromEntries(relativeWork) };
        console.log(flags.json === true ? JSON.stringify(json) : `${name}:\n${hardLoadResult.formatResult(result)}`);
    }
}

async function runMembership(flags: BenchFlags): Promise<void> {
    for (const { instances } of SlotsFleets) {
        for (const scene of Object.values(membershipRun.MembershipScene)) {
            const result = await membershipRun.runMembership({ scene, instances, seed: Number(flags.seed) });
            console.log(flags.json === true ? JSON.stringify(result) : formatMembership(result));
        }
    }
}

function formatMembership(result: membershipRun.MembershipResult): string {
    const { knownAfter } = result;
    const purposes = Object.entries(result.callsByPurpose).sort(([, left], [, right]) => right - left);
    const cells = [
        `${result.instances} instances`,
        result.scene,
        `${result.calls.toFixed(0)} calls`,
        `${result.mostCalls} in a second at most`,
        ...(knownAfter === undefined ? [] : [`known after ${knownAfter.middle} ms, by all ${knownAfter.last} ms`]),
        purposes.map(([purpose, calls]) => `${purpose}: ${calls.toFixed(0)}`).join("; "),
    ];
    return cells.join(", ");
}

async function runQuotas(flags: BenchFlags): Promise<void> {
    for (const { instances } of SlotsFleets) {
        for (const customers of QuotaCustomers) {
            // The other ways are compared only in the first two scenes, which already rule them out.
            const scenes =
                customers === QuotaCustomers[0] ? Object.values(quotaScenes.QuotaScene) : [quotaScenes.QuotaScene.Calm];
            for (const scene of scenes) {
                const isFirst = [quotaScenes.QuotaScene.Calm, quotaScenes.QuotaScene.Hot].includes(scene);
                for (const way of isFirst ? Object.values(quotasFleet.QuotaWay) : [quotasFleet.QuotaWay.Owner]) {
                    const options = {
                        way,
                        scene,
                        instances,
                        customers,
                        seconds: QuotaSeconds,
                        seed: Number(flags.seed),
                    };
                    const result = await quotasRun.runQuotas(options);
                    console.log(flags.json === true ? JSON.stringify(result) : formatQuotas(result));
                }
            }
        }
    }
}

function formatQuotas(result: quotasRun.QuotasResult): string {
    const cells = [
        `${result.instances} instances`,
        `${result.customers} customers`,
        result.way,
        result.scene,
        `refused below the limit ${(result.refusedBelow * 100).toFixed(1)}%`,
        `most over the limit ${result.worstOverLimit.toFixed(0)}, over the terms ${result.worstOver.toFixed(0)}`,
        `p50 ${result.p50.toFixed(0)} ms, p99 ${result.p99.toFixed(0)} ms`,
        `${result.messages.toFixed(0)} messages/s, ${result.mostMessages.toFixed(0)} at most`,
        `${result.bytes.toFixed(0)} B/s`,
    ];
    return cells.join(", ");
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

/** Leaves out the samples, which are many and only used internally. */
function omitSamples(key: string, value: unknown): unknown {
    return key === "onlineSamples" ? undefined : value;
}
