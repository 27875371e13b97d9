import * as os from "node:os";
import * as linkedFleet from "./linkedFleet.js";

/**
 * Measures two things on loopback, with all instances in one process. The first is the time from publishing a release
 * note until it is in force on every instance: with the watch, without it, and with the key-value service down right
 * after the publication. The second is the cost of the peer links for each instance in bytes, CPU and memory as the fleet
 * grows. The argument `force` or `links` selects one of the two.
 */

const FleetSizes = [2, 4, 8, 16, 32];
const PublishCount = 12;
const IdleMilliseconds = 6_000;

async function main(): Promise<void> {
    const processor = os.cpus()[0]?.model ?? "unknown processor";
    console.log(`${processor}, ${os.cpus().length} cores, Node.js ${process.version}`);
    const part = process.argv[2];
    if (part !== "links") {
        await measureActivations();
    }
    if (part !== "force") {
        await measureLinks();
    }
}

async function measureActivations(): Promise<void> {
    console.log("| instances | way | publishes | in force p50 ms | p99 ms | most ms |");
    console.log("| --- | --- | --- | --- | --- | --- |");
    for (const size of FleetSizes) {
        for (const condition of Object.values(linkedFleet.PublishCondition)) {
            await measureActivation(size, condition);
        }
    }
}

async function measureLinks(): Promise<void> {
    console.log(
        "| instances | links an instance | bytes/s sent an instance | CPU % of a core an instance | heap MB an instance |",
    );
    console.log("| --- | --- | --- | --- | --- |");
    for (const size of FleetSizes) {
        await measureIdle(size);
    }
}

async function measureActivation(size: number, condition: linkedFleet.PublishCondition): Promise<void> {
    await using fleet = await linkedFleet.LinkedFleet.start(size);
    const times: number[] = [];
    for (let generation = 1; generation <= PublishCount; generation++) {
        times.push(await fleet.publish(generation, condition));
    }
    times.sort((left, right) => left - right);
    const cells = [size, condition, times.length, ...[0.5, 0.99, 1].map(part => getPercentile(times, part).toFixed(1))];
    console.log(`| ${cells.join(" | ")} |`);
}

async function measureIdle(size: number): Promise<void> {
    const idle = await linkedFleet.measureIdle(size, IdleMilliseconds);
    const cells = [
        size,
        idle.links.toFixed(1),
        idle.bytesPerSecond.toFixed(0),
        idle.corePercent.toFixed(3),
        idle.heapMegabytes.toFixed(2),
    ];
    console.log(`| ${cells.join(" | ")} |`);
}

function getPercentile(sorted: readonly number[], fraction: number): number {
    return sorted[Math.min(sorted.length - 1, Math.ceil(fraction * sorted.length) - 1)] ?? Number.NaN;
}

await main();
