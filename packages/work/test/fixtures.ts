import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as telemetry from "@boragedale/telemetry";
import * as work from "@boragedale/work";

/** The live instances of a test, shared by all memberships of one fleet. */
export class FleetState {
    readonly live = new Set<core.InstanceId>();
    readonly removed = new Set<core.InstanceId>();
    readonly listeners = new Set<() => void>();

    markRemoved(instance: core.InstanceId): void {
        this.live.delete(instance);
        this.removed.add(instance);
        [...this.listeners].forEach(listener => listener());
    }

    markLive(instance: core.InstanceId): void {
        this.live.add(instance);
        this.removed.delete(instance);
        [...this.listeners].forEach(listener => listener());
    }
}

export class FakeMembership extends protocol.Membership {
    /** If set, this membership reports its own instance as the holder of every assignment. */
    holdsAllAssignments = false;

    constructor(
        private readonly fleet: FleetState,
        private readonly self: core.InstanceId,
    ) {
        super();
    }

    override getSelf(): core.InstanceId {
        return this.self;
    }

    override getLiveInstances(): readonly core.InstanceDescription[] {
        return [...this.fleet.live].map(createInstance);
    }

    override tryGetHolder(assignment: string): core.InstanceId | undefined {
        if (this.holdsAllAssignments) {
            return this.self;
        }
        const ranked = [...this.fleet.live].sort((left, right) => hash(assignment + left) - hash(assignment + right));
        return ranked[0];
    }

    override tryGetHolderIn(dataCentre: core.DataCentre, assignment: string): core.InstanceId | undefined {
        return this.tryGetHolder(`${assignment}/${dataCentre}`);
    }

    override isRemoved(instance: core.InstanceId): boolean {
        return this.fleet.removed.has(instance);
    }

    override onChange(listener: () => void): () => void {
        this.fleet.listeners.add(listener);
        return () => this.fleet.listeners.delete(listener);
    }
}

export interface LedgerFleet {
    readonly clock: core.VirtualClock;
    readonly keyValue: standins.MemoryKeyValueService;
    readonly hub: standins.MemoryPeerHub;
    readonly fleet: FleetState;
    readonly ledgers: readonly work.ShardedCallLedger[];
    readonly memberships: readonly FakeMembership[];
}

export interface LedgerFleetOptions {
    readonly instances?: number;
    readonly shards?: number;
    readonly commitsPerSecond?: number;
    readonly retentionMilliseconds?: number;
    /** The disk of every instance of the fleet. */
    readonly spool?: work.SpoolFiles;
    /** Makes the ids of an instance's processes distinct when it is restarted several times. */
    readonly idSuffix?: string;
    /** Wraps the key-value service of one instance, to delay its calls or lose their replies. */
    readonly wrap?: (keyValue: backing.KeyValueService, instance: core.InstanceId) => backing.KeyValueService;
}

export function createLedgerFleet(options: LedgerFleetOptions = {}): LedgerFleet {
    const clock = new core.VirtualClock();
    const keyValue = new standins.MemoryKeyValueService(clock);
    const hub = new standins.MemoryPeerHub();
    const fleet = new FleetState();
    const names = [...Array(options.instances ?? 1).keys()].map(index => `instance-${index}`);
    names.forEach(name => fleet.live.add(name));
    const memberships = names.map(name => new FakeMembership(fleet, name));
    const shared = { clock, hub, options };
    const ledgers = names.map((name, index) =>
        createLedger(name, {
            ...shared,
            keyValue: options.wrap?.(keyValue, name) ?? keyValue,
            membership: core.Debug.checkDefined(memberships[index], name),
            idPrefix: name,
        }),
    );
    return { clock, keyValue, hub, fleet, ledgers, memberships };
}

/** Restarts an instance under its name, as a new process without the state of the previous one. */
export function restartLedger(
    target: Omit<LedgerFleet, "ledgers">,
    index: number,
    options: LedgerFleetOptions = {},
): work.ShardedCallLedger {
    const name = `instance-${index}`;
    target.hub.remove(name);
    const membership = core.Debug.checkDefined(target.memberships[index], name);
    const { clock, hub, keyValue } = target;
    return createLedger(name, {
        clock,
        hub,
        keyValue,
        membership,
        options,
        idPrefix: `${name}-again${options.idSuffix ?? ""}`,
    });
}

interface LedgerInstanceOptions {
    readonly clock: core.VirtualClock;
    readonly hub: standins.MemoryPeerHub;
    readonly keyValue: backing.KeyValueService;
    readonly membership: protocol.Membership;
    readonly options: LedgerFleetOptions;
    readonly idPrefix: string;
}

function createLedger(instance: core.InstanceId, instanceOptions: LedgerInstanceOptions): work.ShardedCallLedger {
    const { clock, hub, keyValue, membership, options, idPrefix } = instanceOptions;
    return work.createShardedCallLedger({
        keyValue,
        peers: hub.createNetwork(instance),
        membership,
        clock,
        telemetry: createTelemetry(instance, clock),
        instance,
        shards: options.shards,
        commitsPerSecond: options.commitsPerSecond,
        spool: options.spool,
        getRetentionMilliseconds: () => options.retentionMilliseconds ?? 86_400_000,
        createId: createCounter(idPrefix),
    });
}

export function createTelemetry(instance: core.InstanceId, clock: core.Clock): telemetry.Telemetry {
    return new telemetry.Telemetry({ instance, logLevel: "silent" }, clock);
}

export function createCounter(prefix: string): () => string {
    let next = 0;
    return () => `${prefix}-${next++}`;
}

/** Creates a spool in memory that outlives the processes which use it. */
export function createSpool(): work.SpoolFiles & { readonly records: backing.SpoolRecord[] } {
    const records: backing.SpoolRecord[] = [];
    let next = 1;
    return {
        records,
        async append(payload) {
            const sequence = next++;
            records.push({ sequence, payload: Buffer.from(payload) });
            return { kind: backing.AppendOutcomeKind.Appended, sequence };
        },
        async *read() {
            yield* [...records];
        },
        async acknowledge(sequence) {
            records.splice(0, records.filter(record => record.sequence <= sequence).length);
        },
    };
}

export function createCall(key: string, fingerprint = "body-1", caller = "kandula"): work.CallRequest {
    return { caller, key, fingerprint, service: "bookings" };
}

export function createResult(text: string): work.CallResult {
    return { status: 200, headers: { "content-type": "text/plain" }, body: new TextEncoder().encode(text) };
}

export function readBody(result: work.CallResult | undefined): string {
    return new TextDecoder().decode(result?.body);
}

const RealTimeAfterMilliseconds = 1_000;

/** Waits for `operation` while virtual time advances, by at most `milliseconds`. */
export async function runWithin<T>(clock: core.VirtualClock, operation: Promise<T>, milliseconds = 60_000): Promise<T> {
    let settled: { readonly value: T } | undefined;
    void operation.then(value => {
        settled = { value };
    });
    await clock.advance(0);
    for (let passed = 0; settled === undefined && passed < milliseconds; passed += 10) {
        await clock.advance(10);
        if (passed >= RealTimeAfterMilliseconds) {
            // Large values are compressed on threads; virtual time must not run out before a busy machine has finished.
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    }
    return core.Debug.checkDefined(settled, "the operation settled in time").value;
}

function createInstance(id: core.InstanceId): core.InstanceDescription {
    const url = "http://127.0.0.1:0";
    return { id, dataCentre: "a", state: core.LifecycleState.Live, callerUrl: url, peerUrl: url, operatorUrl: url };
}

function hash(text: string): number {
    let value = 2_166_136_261;
    for (const character of text) {
        value = Math.imul(value ^ character.charCodeAt(0), 16_777_619) >>> 0;
    }
    return Math.imul(value ^ (value >>> 15), 2_246_822_519) >>> 0;
}
