import * as core from "@boragedale/core";
import type * as backing from "@boragedale/backing";
import * as standins from "@boragedale/standins";
import * as work from "@boragedale/work";
import type * as faultyKeyValue from "./faultyKeyValue.js";
import * as fixtures from "./fixtures.js";

export type Execute = (item: work.JobItem, signal: AbortSignal, clock: core.Clock) => Promise<work.ItemOutcome>;

/** Runs items with the given function, a bounded number at a time, and records which items were started. */
export class FakeExecutor extends work.ItemExecutor {
    readonly started: string[] = [];
    readonly contexts: work.ItemContext[] = [];
    running = 0;

    constructor(
        private readonly run: Execute,
        private readonly clock: core.Clock,
        public slots = 4,
    ) {
        super();
    }

    override async execute(
        item: work.JobItem,
        context: work.ItemContext,
        signal: AbortSignal,
    ): Promise<work.ItemOutcome> {
        this.running++;
        this.started.push(item.customId);
        this.contexts.push(context);
        try {
            return await this.run(item, signal, this.clock);
        }
        finally {
            this.running--;
        }
    }

    override getFreeSlots(): number {
        return Math.max(0, this.slots - this.running);
    }
}

export interface JobInstance {
    readonly name: core.InstanceId;
    readonly store: work.KeyValueJobStore;
    readonly executor: FakeExecutor;
    readonly membership: fixtures.FakeMembership;
    /** Starts the instance's runner. The store works without it. */
    start(): work.JobRunner;
}

/** Removes an instance permanently: its links to peers, its calls to the key-value service, and its membership. */
export function killInstance(
    target: JobFleet,
    name: core.InstanceId,
    wraps: ReadonlyMap<string, faultyKeyValue.FaultyKeyValue>,
): void {
    wraps.get(name)?.pause();
    target.hub.remove(name);
    target.fleet.markRemoved(name);
}

export interface JobFleet {
    readonly clock: core.VirtualClock;
    readonly keyValue: standins.MemoryKeyValueService;
    readonly hub: standins.MemoryPeerHub;
    readonly fleet: fixtures.FleetState;
    readonly instances: readonly JobInstance[];
}

export interface JobFleetOptions {
    readonly instances?: number;
    readonly execute?: Execute;
    readonly slots?: number;
    readonly itemAttempts?: number;
    readonly retentionMilliseconds?: number;
    readonly wrap?: (keyValue: backing.KeyValueService, instance: core.InstanceId) => backing.KeyValueService;
}

export function createJobFleet(options: JobFleetOptions = {}): JobFleet {
    const clock = new core.VirtualClock();
    const keyValue = new standins.MemoryKeyValueService(clock);
    const hub = new standins.MemoryPeerHub();
    const fleet = new fixtures.FleetState();
    const names = [...Array(options.instances ?? 1).keys()].map(index => `instance-${index}`);
    names.forEach(name => fleet.live.add(name));
    const instances = names.map(name => createJobInstance(name, { clock, keyValue, hub, fleet }, options));
    return { clock, keyValue, hub, fleet, instances };
}

/** Creates a store that isn't affected by the faults of any instance. */
export function createReader(target: JobFleet): work.KeyValueJobStore {
    const { clock, keyValue, hub } = target;
    const name = "reader";
    const telemetry = fixtures.createTelemetry(name, clock);
    return work.createJobStore({ clock, keyValue, peers: hub.createNetwork(name), telemetry, instance: name });
}

export const Endpoint = "/v1/chat/completions";

export function createLine(customId: string, body: unknown = { model: "m", max_tokens: 8 }): string {
    return JSON.stringify({ custom_id: customId, method: "POST", url: Endpoint, body }) + "\n";
}

export function createLines(count: number): string {
    return [...Array(count).keys()].map(index => createLine(`item-${index}`)).join("");
}

export async function* toStream(text: string): AsyncIterable<Uint8Array> {
    yield new TextEncoder().encode(text);
}

export async function readAll(
    content: core.Outcome<AsyncIterable<Uint8Array>>,
): Promise<readonly Record<string, unknown>[]> {
    if (!content.ok) {
        throw new Error(content.refusal.text);
    }
    const parts: Uint8Array[] = [];
    for await (const part of content.value) {
        parts.push(part);
    }
    const lines = Buffer.concat(parts).toString("utf8").split("\n");
    return lines.filter(line => line !== "").map(line => JSON.parse(line) as Record<string, unknown>);
}

export interface SubmitOptions {
    readonly caller?: string;
    readonly key?: string;
    readonly deadlineMilliseconds?: number;
}

/** Uploads `lines` and submits them as a job on the first instance. */
export async function submitLines(
    target: JobFleet,
    lines: string,
    options: SubmitOptions = {},
): Promise<work.JobDescription> {
    const caller = options.caller ?? "kandula";
    const store = core.Debug.checkDefined(target.instances[0], "an instance").store;
    const file = await fixtures.runWithin(target.clock, store.createFile(caller, "in.jsonl", "batch", toStream(lines)));
    const job = await fixtures.runWithin(target.clock, store.submit(createSubmit(caller, getValue(file).id, options)));
    return getValue(job);
}

export function createSubmit(caller: string, inputFile: string, options: SubmitOptions = {}): work.SubmitRequest {
    return {
        caller,
        key: options.key ?? "job-1",
        inputFile,
        endpoint: Endpoint,
        generation: 1,
        deadlineMilliseconds: options.deadlineMilliseconds ?? 86_400_000,
    };
}

export function getValue<T>(outcome: core.Outcome<T>): T {
    if (!outcome.ok) {
        throw new Error(outcome.refusal.text);
    }
    return outcome.value;
}

export function succeed(item: work.JobItem): work.ItemOutcome {
    return { kind: work.ItemOutcomeKind.Succeeded, status: 200, body: { answer: item.customId } };
}

/** Advances time until the job has ended, by at most `milliseconds`. */
export async function waitForEnd(
    target: JobFleet,
    job: work.JobDescription,
    milliseconds = 120_000,
): Promise<work.JobDescription> {
    const store = core.Debug.checkDefined(target.instances.at(-1), "an instance").store;
    for (let passed = 0; passed < milliseconds; passed += 500) {
        const read = getValue(await fixtures.runWithin(target.clock, store.read(job.caller, job.id)));
        if (read.state !== work.JobState.Running) {
            return read;
        }
        await target.clock.advance(500);
    }
    throw new Error("the job has not ended");
}

function createJobInstance(
    name: core.InstanceId,
    shared: Omit<JobFleet, "instances">,
    options: JobFleetOptions,
): JobInstance {
    const { clock, hub, fleet } = shared;
    const keyValue = options.wrap?.(shared.keyValue, name) ?? shared.keyValue;
    const membership = new fixtures.FakeMembership(fleet, name);
    const executor = new FakeExecutor(options.execute ?? (async item => succeed(item)), clock, options.slots);
    const base = {
        keyValue,
        peers: hub.createNetwork(name),
        membership,
        clock,
        telemetry: fixtures.createTelemetry(name, clock),
        instance: name,
    };
    const createId = fixtures.createCounter(`${name}-runner`);
    return {
        name,
        store: work.createJobStore({ ...base, createId: fixtures.createCounter(`${name}-store`) }),
        executor,
        membership,
        start: () =>
            work.createJobRunner({
                ...base,
                executor,
                createId,
                checkpointMilliseconds: 5_000,
                getRetentionMilliseconds: () => options.retentionMilliseconds ?? 86_400_000,
                getItemAttempts: () => options.itemAttempts ?? 3,
            }),
    };
}
