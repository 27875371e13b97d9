import * as core from "@boragedale/core";
import * as platform from "@boragedale/platform";
import * as work from "@boragedale/work";
import * as measuredFleet from "./measuredFleet.js";
import * as measureMemory from "./measureMemory.js";

/**
 * Measures the work package: `npm run measure:work -- ledger|jobs|takeover|memory`. All but `memory` run in virtual
 * time, where a call to the key-value service takes 3 ms and instances reach each other at once.
 */

const BookingsPerRun = 2_000;
const CallMilliseconds = 50;
const GoldenRatio = 0.618_033_988;

await main();

async function main(): Promise<void> {
    const [what, ...values] = process.argv.slice(2);
    switch (what) {
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
    const fleet = new measuredFleet.MeasuredFleet(instances);
    const parts = fleet.names.map(name => fleet.createParts(name));
    const ledgers = parts.map(part => work.createShardedCallLedger(part));
    const added: number[] = [];
    let next = 0;
    const workers = [...Array(inFlight).keys()].map(async worker => {
        for (let booking = next++; booking < BookingsPerRun; booking = next++) {
            const start = fleet.clock.now();
            // Calls of one length would run in step with each other, and all arrive for the same commit.
            const length = callMilliseconds * (0.5 + ((booking * GoldenRatio) % 1));
            await book(fleet, ledgers[(worker + booking) % instances], `booking-${booking}`, length);
            added.push(fleet.clock.now() - start - length);
        }
    });
    let isDone = false;
    void Promise.all(workers).then(() => (isDone = true));
    const passed = await fleet.runUntil(() => isDone, 1);
    const commits = sumCounts(parts, "boragedale_ledger_commits_total");
    const requests = sumCounts(parts, "boragedale_ledger_commit_requests_total");
    added.sort((left, right) => left - right);
    console.log(
        [
            `instances ${instances}`,
            `in flight ${inFlight}`,
            `call ${callMilliseconds} ms`,
            `writes per booking ${(fleet.countWrites() / BookingsPerRun).toFixed(3)}`,
            `writes per second ${((fleet.countWrites() * 1_000) / passed).toFixed(0)}`,
            `requests per commit ${(requests / commits).toFixed(1)}`,
            `bookings per second ${((BookingsPerRun * 1_000) / passed).toFixed(0)}`,
            `added p50 ${getQuantile(added, 0.5)} ms, p99 ${getQuantile(added, 0.99)} ms`,
        ].join(" | "),
    );
}

async function book(
    fleet: measuredFleet.MeasuredFleet,
    ledger: work.CallLedger | undefined,
    key: string,
    callMilliseconds: number,
): Promise<void> {
    const target = core.Debug.checkDefined(ledger, "a ledger");
    const begun = await target.begin({ caller: "kandula", key, fingerprint: key, service: "bookings" });
    core.Debug.assert(begun.kind === work.BeginKind.Started, `${key} starts`);
    await fleet.clock.sleep(callMilliseconds);
    const body = Buffer.from(measuredFleet.createText(key.length, 400));
    await target.finish(begun.record, { status: 200, headers: {}, body }, 10_000);
}

async function measureJobs(sizes: readonly number[]): Promise<void> {
    for (const items of sizes.length > 0 ? sizes : [10, 100, 200, 1_000, 10_000, 100_000]) {
        for (const instances of [1, 8]) {
            await measureJob(instances, items);
        }
    }
}

async function measureJob(instances: number, items: number): Promise<void> {
    const fleet = new measuredFleet.MeasuredFleet(instances);
    const parts = fleet.names.map(name => fleet.createParts(name));
    const stores = parts.map(part => work.createJobStore(part));
    const executors = parts.map(() => new measuredFleet.TimedExecutor(fleet.clock, 32, 1_000, 400));
    parts.forEach((part, index) => {
        const executor = core.Debug.checkDefined(executors[index], "an executor");
        work.createJobRunner({ ...part, executor });
    });
    const store = core.Debug.checkDefined(stores[0], "a store");
    let end: work.JobDescription | undefined;
    void submitAndWait(fleet, store, items).then(job => (end = job));
    const passed = await fleet.runUntil(() => end !== undefined, 250, 10);
    const byPurpose = [...fleet.keyValue.writes].map(([purpose, writes]) => `${purpose} ${writes}`).join(", ");
    console.log(
        [
            `instances ${instances}`,
            `items ${items}`,
            `succeeded ${end?.counts.succeeded}`,
            `started ${executors.reduce((sum, executor) => sum + executor.started, 0)}`,
            `writes per item ${(fleet.countWrites() / items).toFixed(4)}`,
            `writes ${byPurpose}`,
            `seconds ${(passed / 1_000).toFixed(0)}`,
        ].join(" | "),
    );
}

async function submitAndWait(
    fleet: measuredFleet.MeasuredFleet,
    store: work.JobStore,
    items: number,
): Promise<work.JobDescription> {
    const file = getValue(await store.createFile("bureau", "in.jsonl", "batch", createInput(items)));
    let job = getValue(
        await store.submit({
            caller: "bureau",
            key: "job",
            inputFile: file.id,
            endpoint: "/v1/chat/completions",
            generation: 1,
            deadlineMilliseconds: 86_400_000,
        }),
    );
    while (job.state === work.JobState.Running) {
        await fleet.clock.sleep(500);
        job = getValue(await store.read("bureau", job.id));
    }
    return job;
}

async function* createInput(items: number): AsyncIterable<Uint8Array> {
    for (let index = 0; index < items; index++) {
        const body = {
            model: "m",
            max_tokens: 256,
            messages: [{ role: "user", content: measuredFleet.createText(index, 300) }],
        };
        const line = { custom_id: `item-${index}`, method: "POST", url: "/v1/chat/completions", body };
        yield Buffer.from(JSON.stringify(line) + "\n");
    }
}

async function measureTakeover(): Promise<void> {
    await measureChunkTakeover();
    await measureBookingTakeover();
}

/** From the list saying that the holder is gone to the first of its items running elsewhere. */
async function measureChunkTakeover(): Promise<void> {
    const fleet = new measuredFleet.MeasuredFleet(3);
    const parts = fleet.names.map(name => fleet.createParts(name));
    const executors = parts.map(() => new measuredFleet.TimedExecutor(fleet.clock, 32, 60_000, 400));
    parts.forEach((part, index) => {
        work.createJobRunner({ ...part, executor: core.Debug.checkDefined(executors[index], "an executor") });
    });
    void submitAndWait(fleet, work.createJobStore(core.Debug.checkDefined(parts[0], "parts")), 150);
    await fleet.runUntil(() => executors.some(executor => executor.running > 0), 10);
    const holder = executors.findIndex(executor => executor.running > 0);
    const claims = fleet.keyValue.writes.get(platform.CallPurpose.Claim) ?? 0;
    fleet.markGone(core.Debug.checkDefined(fleet.names[holder], "the holder"));
    const others = executors.filter(executor => executor !== executors[holder]);
    const claimed = await fleet.runUntil(
        () => (fleet.keyValue.writes.get(platform.CallPurpose.Claim) ?? 0) > claims,
        1,
    );
    const started = await fleet.runUntil(() => others.some(executor => executor.running > 0), 1);
    console.log(`chunk: list to claim ${claimed} ms | claim to first item (input read) ${started} ms`);
}

/** From the list saying that the instance is gone to its booking being taken over by a resend elsewhere. */
async function measureBookingTakeover(): Promise<void> {
    const fleet = new measuredFleet.MeasuredFleet(3);
    const ledgers = fleet.names.map(name => work.createShardedCallLedger(fleet.createParts(name)));
    const [first, second] = ledgers;
    const call = { caller: "kandula", key: "booking", fingerprint: "body", service: "bookings" };
    const begun = await runFor(fleet, core.Debug.checkDefined(first, "a ledger").begin(call));
    core.Debug.assert(begun.value.kind === work.BeginKind.Started, "the booking starts");
    fleet.markGone(core.Debug.checkDefined(fleet.names[0], "an instance"));
    const target = core.Debug.checkDefined(second, "a ledger");
    const again = await runFor(fleet, target.begin(call));
    core.Debug.assert(again.value.kind === work.BeginKind.Orphaned, "the booking is orphaned");
    const taken = await runFor(fleet, target.takeOver(again.value.record));
    core.Debug.assert(taken.value !== undefined, "the booking is taken over");
    console.log(`booking: resend to orphaned ${again.passed} ms | orphaned to taken over ${taken.passed} ms`);
}

async function runFor<T>(
    fleet: measuredFleet.MeasuredFleet,
    operation: Promise<T>,
): Promise<{ readonly value: T; readonly passed: number }> {
    let settled: { readonly value: T } | undefined;
    void operation.then(value => (settled = { value }));
    const passed = await fleet.runUntil(() => settled !== undefined, 1);
    return { value: core.Debug.checkDefined(settled, "the operation").value, passed };
}

function sumCounts(parts: readonly measuredFleet.InstanceParts[], name: string): number {
    return parts.reduce((sum, part) => sum + part.telemetry.metrics.getCount(name), 0);
}

function getQuantile(sorted: readonly number[], quantile: number): string {
    return (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0).toFixed(0);
}

function getValue<T>(outcome: core.Outcome<T>): T {
    if (!outcome.ok) {
        throw new Error(outcome.refusal.text);
    }
    return outcome.value;
}
