import * as timers from "node:timers/promises";
import * as cac from "cac";
import * as demoFleet from "./demo/fleet.js";
import * as reports from "./demo/report.js";
import * as scenario from "./demo/scenario.js";

/**
 * Starts a small fleet as separate processes on loopback and checks the guarantees of the system on it. Exits with 0
 * only if every guarantee held. With `--stay` the fleet keeps serving until it is interrupted.
 */

const DefaultPort = 18_000;

process.exitCode = await main();

async function main(): Promise<number> {
    const program = cac.cac("demo");
    program.option("--stay", "leave the fleet serving until interrupted");
    program.option(
        "--port <port>",
        `with --stay: caller faces from here on, operator faces 100 above (${DefaultPort})`,
    );
    program.help();
    const { options } = program.parse();
    if (options["help"] === true) {
        return 0;
    }
    const isStaying = options["stay"] === true;
    const firstPort = isStaying ? Number(options["port"] ?? DefaultPort) : undefined;
    await using fleet = await demoFleet.startFleet(firstPort);
    const report = new reports.Report();
    await scenario.runScenario(fleet, report);
    const isHeld = report.isEveryGuaranteeHeld();
    console.log(isHeld ? "every promise shown held" : "a promise was BROKEN");
    if (isStaying) {
        await stay(fleet, firstPort);
    }
    return isHeld ? 0 : 1;
}

/** Replaces the two instances that the scenario stopped, as the platform does, and waits until it is interrupted. */
async function stay(fleet: demoFleet.Fleet, firstPort: number | undefined): Promise<void> {
    for (const index of [0, 2]) {
        await demoFleet.startInstance(fleet, index, firstPort, `entry-${index + 1}-replaced`);
    }
    const url = fleet.instances[0]?.description.callerUrl ?? "";
    console.log(`
The fleet is serving. Callers use the token ${demoFleet.CallerToken}, operators ${demoFleet.OperatorToken}.

curl -N ${url}/v1/chat/completions -H 'authorization: Bearer ${demoFleet.CallerToken}' \\
    -H 'content-type: application/json' \\
    -d '{"model":"kestrel","stream":true,"messages":[{"role":"user","content":"Hello"}]}'
`);
    const controller = new AbortController();
    process.once("SIGINT", () => controller.abort());
    process.once("SIGTERM", () => controller.abort());
    while (!controller.signal.aborted) {
        await timers.setTimeout(500);
    }
}
