import * as core from "@boragedale/core";
import type * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as telemetry from "@boragedale/telemetry";
import * as work from "@boragedale/work";

/** Shared by the measurements of the work package: instances that use one key-value service, in virtual time. */

/** The time that a call to the key-value service takes in these measurements. */
export const KeyValueMilliseconds = 3;

export class MeasuredFleet {
    readonly clock = new core.VirtualClock();
    readonly keyValue = new CountingKeyValueService(this.clock);
    readonly hub = new standins.MemoryPeerHub();
    readonly names: core.InstanceId[];
    readonly removedInstances = new Set<core.InstanceId>();
    readonly listeners = new Set<() => void>();

    constructor(instances: number) {
        this.names = [...Array(instances).keys()].map(index => `instance-${index}`);
        this.keyValue.faults.delayMilliseconds = KeyValueMilliseconds;
    }

    createParts(instance: core.InstanceId): InstanceParts {
        return {
            keyValue: this.keyValue,
            peers: this.hub.createNetwork(instance),
            membership: new MeasuredMembership(this, instance),
            clock: this.clock,
            telemetry: new telemetry.Telemetry({ instance, logLevel: "silent" }, this.clock),
            instance,
        };
    }

    markRemoved(instance: core.InstanceId): void {
        this.hub.remove(instance);
        this.removedInstances.add(instance);
        this.listeners.forEach(listener => listener());
    }

    countWrites(): number {
        return [...this.keyValue.writes.values()].reduce((sum, writes) => sum + writes, 0);
    }

    /**
     * Advances virtual time in steps until `isDone` returns true, and returns the elapsed virtual time. Large values are
     * compressed by threads in real time. A real pause of `pauseMilliseconds` after each step prevents virtual time from
     * running ahead of them.
     */
    async runUntil(isDone: () => boolean, stepMilliseconds: number, pauseMilliseconds = 0): Promise<number> {
        const start = this.clock.now();
        while (!isDone()) {
            await this.clock.advance(stepMilliseconds);
            if (pauseMilliseconds > 0) {
                await new Promise(resolve => setTimeout(resolve, pauseMilliseconds));
            }
        }
        return this.clock.now() - start;
    }
}

/** Counts reads and the bytes of written values, in addition to the writes that the stand-in counts. */
export class CountingKeyValueService extends standins.MemoryKeyValueService {
    reads = 0;
    writtenBytes = 0;

    override async get(
        key: string,
        purpose: backing.CallPurpose,
    ): Promise<backing.KeyValueResult<backing.Entry | undefined>> {
        this.reads++;
        return super.get(key, purpose);
    }

    override async list(request: backing.ListRequest): Promise<backing.KeyValueResult<readonly backing.Entry[]>> {
        this.reads++;
        return super.list(request);
    }

    override async compareAndSwap(request: backing.SwapRequest): Promise<backing.KeyValueResult<backing.SwapOutcome>> {
        this.writtenBytes += request.value?.byteLength ?? 0;
        return super.compareAndSwap(request);
    }
}

export interface InstanceParts {
    readonly keyValue: backing.KeyValueService;
    readonly peers: protocol.PeerNetwork;
    readonly membership: protocol.Membership;
    readonly clock: core.VirtualClock;
    readonly telemetry: telemetry.Telemetry;
    readonly instance: core.InstanceId;
}

/** Runs a fixed number of items concurrently. Each takes a fixed time. */
export class TimedExecutor extends work.ItemExecutor {
    running = 0;
    started = 0;

    constructor(
        private readonly clock: core.Clock,
        private readonly slots: number,
        private readonly itemMilliseconds: number,
        private readonly resultBytes: number,
    ) {
        super();
    }

    override async execute(
        item: work.JobItem,
        context: work.ItemContext,
        signal: AbortSignal,
    ): Promise<work.ItemOutcome> {
        this.running++;
        this.started++;
        await this.clock.sleep(this.itemMilliseconds, signal);
        this.running--;
        return {
            kind: work.ItemOutcomeKind.Succeeded,
            status: 200,
            body: createBody(context.job, item, this.resultBytes),
        };
    }

    override getFreeSlots(): number {
        return this.slots - this.running;
    }
}

/** Creates text that compresses about as well as prose and differs for each seed. */
export function createText(seed: number, bytes: number): string {
    const words: string[] = [];
    let state = seed + 1;
    for (let length = 0; length < bytes;) {
        state = (Math.imul(state, 1_103_515_245) + 12_345) >>> 0;
        const word = (state >>> 12).toString(36);
        words.push(word);
        length += word.length + 1;
    }
    return words.join(" ").slice(0, bytes);
}

function createBody(job: string, item: work.JobItem, bytes: number): unknown {
    return { object: "chat.completion", job, content: createText(item.index, bytes) };
}

class MeasuredMembership extends protocol.Membership {
    constructor(
        private readonly fleet: MeasuredFleet,
        private readonly self: core.InstanceId,
    ) {
        super();
    }

    override getSelf(): core.InstanceId {
        return this.self;
    }

    override getLiveInstances(): readonly core.InstanceDescription[] {
        const url = "http://127.0.0.1:0";
        const urls = { callerUrl: url, peerUrl: url, operatorUrl: url };
        return this.getLiveNames().map(id => ({ id, dataCentre: "a", state: core.LifecycleState.Live, ...urls }));
    }

    override tryGetHolder(assignment: string): core.InstanceId | undefined {
        let holder: core.InstanceId | undefined;
        let highest = -1;
        for (const name of this.getLiveNames()) {
            const weight = hash(`${assignment}/${name}`);
            if (weight > highest) {
                highest = weight;
                holder = name;
            }
        }
        return holder;
    }

    override tryGetHolderIn(dataCentre: core.DataCentre, assignment: string): core.InstanceId | undefined {
        return this.tryGetHolder(`${dataCentre}/${assignment}`);
    }

    override isRemoved(instance: core.InstanceId): boolean {
        return this.fleet.removedInstances.has(instance);
    }

    override onChange(listener: () => void): () => void {
        this.fleet.listeners.add(listener);
        return () => this.fleet.listeners.delete(listener);
    }

    private getLiveNames(): readonly core.InstanceId[] {
        return this.fleet.names.filter(name => !this.fleet.removedInstances.has(name));
    }
}

function hash(text: string): number {
    let value = 2_166_136_261;
    for (let index = 0; index < text.length; index++) {
        value = Math.imul(value ^ text.charCodeAt(index), 16_777_619) >>> 0;
    }
    return Math.imul(value ^ (value >>> 15), 2_246_822_519) >>> 0;
}
