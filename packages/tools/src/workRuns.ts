import * as core from "@boragedale/core";
import type * as backing from "@boragedale/backing";
import * as work from "@boragedale/work";
import * as measuredFleet from "./measuredFleet.js";

/** Runs bookings and jobs on a number of instances in virtual time, for measurements. */

/** The cost of the bookings of one run. Times are in milliseconds of virtual time. */
export interface BookingRun {
    readonly writes: number;
    readonly reads: number;
    readonly writtenBytes: number;
    readonly virtualMilliseconds: number;
    readonly commits: number;
    readonly requestsPerCommit: number;
    /** The time that the ledger added to each call, in ascending order. */
    readonly addedMilliseconds: readonly number[];
}

/** The cost of one job. */
export interface JobRun {
    readonly succeeded: number | undefined;
    /** The number of item starts, including repeated starts of the same item. */
    readonly startedItems: number;
    readonly writes: number;
    readonly reads: number;
    readonly writtenBytes: number;
    readonly writesByPurpose: ReadonlyMap<backing.CallPurpose, number>;
    readonly virtualMilliseconds: number;
}

const GoldenRatio = 0.618_033_988;

/** Makes bookings on all instances, `inFlight` at a time. Each booking takes about `callMilliseconds` to run. */
export async function runBookings(
    instances: number,
    inFlight: number,
    callMilliseconds: number,
    bookings: number,
): Promise<BookingRun> {
    const fleet = new measuredFleet.MeasuredFleet(instances);
    const parts = fleet.names.map(name => fleet.createParts(name));
    const ledgers = parts.map(part => work.createShardedCallLedger(part));
    const added: number[] = [];
    let next = 0;
    const workers = [...Array(inFlight).keys()].map(async worker => {
        for (let booking = next++; booking < bookings; booking = next++) {
            const start = fleet.clock.now();
            // Calls of equal duration would stay synchronized and all end up in the same commit.
            const durationMilliseconds = callMilliseconds * (0.5 + ((booking * GoldenRatio) % 1));
            await book(fleet, ledgers[(worker + booking) % instances], `booking-${booking}`, durationMilliseconds);
            added.push(fleet.clock.now() - start - durationMilliseconds);
        }
    });
    let isDone = false;
    void Promise.all(workers).then(() => (isDone = true));
    const elapsedMilliseconds = await fleet.runUntil(() => isDone, 1);
    const commits = sumCounts(parts, "boragedale_ledger_commits_total");
    const requests = sumCounts(parts, "boragedale_ledger_commit_requests_total");
    added.sort((left, right) => left - right);
    return {
        writes: fleet.countWrites(),
        reads: fleet.keyValue.reads,
        writtenBytes: fleet.keyValue.writtenBytes,
        virtualMilliseconds: elapsedMilliseconds,
        commits,
        requestsPerCommit: requests / commits,
        addedMilliseconds: added,
    };
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

/** Runs one job on the instances until it ends. */
export async function runJob(instances: number, items: number): Promise<JobRun> {
    const fleet = new measuredFleet.MeasuredFleet(instances);
    const parts = fleet.names.map(name => fleet.createParts(name));
    const stores = parts.map(part => work.createJobStore(part));
    const executors = parts.map(() => new measuredFleet.TimedExecutor(fleet.clock, 32, 1_000, 400));
    parts.forEach((part, index) => {
        const executor = core.Debug.checkDefined(executors[index], "an executor");
        work.createJobRunner({ ...part, executor });
    });
    const store = core.Debug.checkDefined(stores[0], "a store");
    let finishedJob: work.JobDescription | undefined;
    void submitAndWait(fleet, store, items).then(job => (finishedJob = job));
    const elapsedMilliseconds = await fleet.runUntil(() => finishedJob !== undefined, 250, 10);
    return {
        succeeded: finishedJob?.counts.succeeded,
        startedItems: executors.reduce((sum, executor) => sum + executor.started, 0),
        writes: fleet.countWrites(),
        reads: fleet.keyValue.reads,
        writtenBytes: fleet.keyValue.writtenBytes,
        writesByPurpose: fleet.keyValue.writes,
        virtualMilliseconds: elapsedMilliseconds,
    };
}

export async function submitAndWait(
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

function sumCounts(parts: readonly measuredFleet.InstanceParts[], name: string): number {
    return parts.reduce((sum, part) => sum + part.telemetry.metrics.getCount(name), 0);
}

export function getValue<T>(outcome: core.Outcome<T>): T {
    if (!outcome.ok) {
        throw new Error(outcome.refusal.text);
    }
    return outcome.value;
}
