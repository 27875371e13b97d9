import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as work from "@boragedale/work";
import * as measuredFleet from "./measuredFleet.js";
import * as measureMemory from "./measureMemory.js";
import * as workRuns from "./workRuns.js";

/**
 * Measures the work package: `npm run measure:work -- ledger|jobs|takeover|memory`. All but `memory` run in virtual
 * time, where a call to the key-value service takes 3 ms and messages between instances arrive without delay.
 */

const BookingsPerRun = 2_000;
const CallMilliseconds = 50;

await main();

async function main(): Promise<void> {
    const [measurement, ...values] = process.argv.slice(2);
    switch (measurement) {
        case "ledger":
            await measureLedger();
            break;
        case "jobs":
            await measureJobs(values.map(Number));
            break;
        case "takeover":
            await measureTakeover();
            break;
        case "memory":
            measureMemory.measureMemory(Number(values[0] ?? 600));
            break;
        case "memory-phase":
            await measureMemory.measurePhase(values[0] ?? "", values[1] ?? "", Number(values[2]));
            break;
        default:
            console.log("measure:work -- ledger | jobs [items …] | takeover | memory [bytes a line]");
    }
}

async function measureLedger(): Promise<void> {
    for (const inFlight of [1, 10, 100, 1_000]) {
        await measureBookings(8, inFlight, CallMilliseconds);
    }
    await measureBookings(8, 100, 4 * CallMilliseconds);
    for (const instances of [2, 4, 8, 16]) {
        await measureBookings(instances, 100, CallMilliseconds);
    }
}

async function measureBookings(instances: number, inFlight: number, callMilliseconds: number): Promise<void> {
    const run = await workRuns.runBookings(instances, inFlight, callMilliseconds, BookingsPerRun);
    console.log(
        [
            `instances ${instances}`,
            `in flight ${inFlight}`,
            `call ${callMilliseconds} ms`,
            `writes per booking ${(run.writes / BookingsPerRun).toFixed(3)}`,
            `writes per second ${((run.writes * 1_000) / run.virtualMilliseconds).toFixed(0)}`,
            `requests per commit ${run.requestsPerCommit.toFixed(1)}`,
            `bookings per second ${((BookingsPerRun * 1_000) / run.virtualMilliseconds).toFixed(0)}`,
            `added p50 ${getQuantile(run.addedMilliseconds, 0.5)} ms, p99 ${getQuantile(run.addedMilliseconds, 0.99)} ms`,
        ].join(" | "),
    );
}

async function measureJobs(sizes: readonly number[]): Promise<void> {
    for (const items of sizes.length > 0 ? sizes : [10, 100, 200, 1_000, 10_000, 100_000]) {
        for (const instances of [1, 8]) {
            await measureJob(instances, items);
        }
    }
}

async function measureJob(instances: number, items: number): Promise<void> {
    const run = await workRuns.runJob(instances, items);
    const byPurpose = [...run.writesByPurpose].map(([purpose, writes]) => `${purpose} ${writes}`).join(", ");
    console.log(
        [
            `instances ${instances}`,
            `items ${items}`,
            `succeeded ${run.succeeded}`,
            `started ${run.startedItems}`,
            `writes per item ${(run.writes / items).toFixed(4)}`,
            `writes ${byPurpose}`,
            `seconds ${(run.virtualMilliseconds / 1_000).toFixed(0)}`,
        ].join(" | "),
    );
}

async function measureTakeover(): Promise<void> {
    await measureChunkTakeover();
    await measureBookingTakeover();
}

/**
 * Measures the time from the removal of a chunk's holder from the instance list until another instance claims the chunk,
 * and from there until its first item runs on that instance.
 */
async function measureChunkTakeover(): Promise<void> {
    const fleet = new measuredFleet.MeasuredFleet(3);
    const parts = fleet.names.map(name => fleet.createParts(name));
    const executors = parts.map(() => new measuredFleet.TimedExecutor(fleet.clock, 32, 60_000, 400));
    parts.forEach((part, index) => {
        work.createJobRunner({ ...part, executor: core.Debug.checkDefined(executors[index], "an executor") });
    });
    void workRuns.submitAndWait(fleet, work.createJobStore(core.Debug.checkDefined(parts[0], "parts")), 150);
    await fleet.runUntil(() => executors.some(executor => executor.running > 0), 10);
    const holder = executors.findIndex(executor => executor.running > 0);
    const claims = fleet.keyValue.writes.get(backing.CallPurpose.Claim) ?? 0;
    fleet.markRemoved(core.Debug.checkDefined(fleet.names[holder], "the holder"));
    const others = executors.filter(executor => executor !== executors[holder]);
    const claimed = await fleet.runUntil(() => (fleet.keyValue.writes.get(backing.CallPurpose.Claim) ?? 0) > claims, 1);
    const started = await fleet.runUntil(() => others.some(executor => executor.running > 0), 1);
    console.log(`chunk: list to claim ${claimed} ms | claim to first item (input read) ${started} ms`);
}

/**
 * Resends a booking to another instance after the instance that ran it was removed from the instance list. Measures the
 * time until the booking is reported as orphaned, and from there until it is taken over.
 */
async function measureBookingTakeover(): Promise<void> {
    const fleet = new measuredFleet.MeasuredFleet(3);
    const ledgers = fleet.names.map(name => work.createShardedCallLedger(fleet.createParts(name)));
    const [first, second] = ledgers;
    const call = { caller: "kandula", key: "booking", fingerprint: "body", service: "bookings" };
    const begun = await runFor(fleet, core.Debug.checkDefined(first, "a ledger").begin(call));
    core.Debug.assert(begun.value.kind === work.BeginKind.Started, "the booking starts");
    fleet.markRemoved(core.Debug.checkDefined(fleet.names[0], "an instance"));
    const target = core.Debug.checkDefined(second, "a ledger");
    const resent = await runFor(fleet, target.begin(call));
    core.Debug.assert(resent.value.kind === work.BeginKind.Orphaned, "the booking is orphaned");
    const taken = await runFor(fleet, target.takeOver(resent.value.record));
    core.Debug.assert(taken.value !== undefined, "the booking is taken over");
    console.log(
        `booking: resend to orphaned ${resent.elapsedMilliseconds} ms | orphaned to taken over ${taken.elapsedMilliseconds} ms`,
    );
}

async function runFor<T>(
    fleet: measuredFleet.MeasuredFleet,
    operation: Promise<T>,
): Promise<{ readonly value: T; readonly elapsedMilliseconds: number }> {
    let settled: { readonly value: T } | undefined;
    void operation.then(value => (settled = { value }));
    const elapsedMilliseconds = await fleet.runUntil(() => settled !== undefined, 1);
    return { value: core.Debug.checkDefined(settled, "the operation").value, elapsedMilliseconds };
}

function getQuantile(sorted: readonly number[], quantile: number): string {
    return (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0).toFixed(0);
}
