import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as release from "@boragedale/release";
import * as standins from "@boragedale/standins";
import type * as telemetry from "@boragedale/telemetry";
import * as fakeEngine from "./fakeEngine.js";
import * as fixtures from "./fixtures.js";

/**
 * Time after which the others remove a failed or paused instance, like the delays of the instance list and of
 * heartbeats.
 */
const SuspicionMilliseconds = 10_000;

/** Pauses one instance: its timers and replies wait while the gate is closed. A killed instance's gate stays closed. */
class Gate {
    private pendingOpen: Promise<void> | undefined;
    private release: () => void = () => undefined;

    close(): void {
        if (this.pendingOpen === undefined) {
            this.pendingOpen = new Promise<void>(resolve => {
                this.release = resolve;
            });
        }
    }

    open(): void {
        this.pendingOpen = undefined;
        this.release();
    }

    isClosed(): boolean {
        return this.pendingOpen !== undefined;
    }

    async waitUntilOpen(): Promise<void> {
        while (this.pendingOpen !== undefined) {
            await this.pendingOpen;
        }
    }
}

/** A virtual clock whose timers fire late while the instance is paused. */
class GatedClock extends core.Clock {
    constructor(
        private readonly inner: core.Clock,
        private readonly gate: Gate,
    ) {
        super();
    }

    override now(): core.MonotonicMilliseconds {
        return this.inner.now();
    }

    override wallNow(): core.WallMilliseconds {
        return this.inner.wallNow();
    }

    override schedule(milliseconds: number, action: () => void): () => void {
        let isStopped = false;
        const stop = this.inner.schedule(milliseconds, () => {
            void this.gate.waitUntilOpen().then(() => {
                if (!isStopped) {
                    action();
                }
            });
        });
        return () => {
            isStopped = true;
            stop();
        };
    }
}

/** The shared service as seen by one instance: calls are sent at once, replies wait while the instance is paused. */
class GatedKeyValueService extends backing.KeyValueService {
    constructor(
        private readonly inner: backing.KeyValueService,
        private readonly gate: Gate,
    ) {
        super();
    }

    override async get(key: string, purpose: backing.CallPurpose): ReturnType<backing.KeyValueService["get"]> {
        return this.gateReply(this.inner.get(key, purpose));
    }

    override async list(request: backing.ListRequest): ReturnType<backing.KeyValueService["list"]> {
        return this.gateReply(this.inner.list(request));
    }

    override async compareAndSwap(request: backing.SwapRequest): ReturnType<backing.KeyValueService["compareAndSwap"]> {
        return this.gateReply(this.inner.compareAndSwap(request));
    }

    override async grantLease(milliseconds: number): ReturnType<backing.KeyValueService["grantLease"]> {
        return this.gateReply(this.inner.grantLease(milliseconds));
    }

    override async keepLeaseAlive(lease: backing.LeaseId): ReturnType<backing.KeyValueService["keepLeaseAlive"]> {
        return this.gateReply(this.inner.keepLeaseAlive(lease));
    }

    override async revokeLease(lease: backing.LeaseId): ReturnType<backing.KeyValueService["revokeLease"]> {
        return this.gateReply(this.inner.revokeLease(lease));
    }

    override async *watch(request: backing.WatchRequest): AsyncIterable<backing.WatchEvent> {
        for await (const event of this.inner.watch(request)) {
            await this.gate.waitUntilOpen();
            yield event;
        }
    }

    private async gateReply<T>(reply: Promise<T>): Promise<T> {
        await this.gate.waitUntilOpen();
        const value = await reply;
        await this.gate.waitUntilOpen();
        return value;
    }
}

/** Membership that the test controls. */
class TestMembership extends protocol.Membership implements release.HeartbeatSource {
    live: readonly core.InstanceId[] = [];
    private readonly listeners = new Set<() => void>();
    private readonly heartbeatListeners = new Set<(from: core.InstanceId, heartbeat: protocol.Heartbeat) => void>();

    constructor(private readonly self: core.InstanceId) {
        super();
    }

    setLive(live: readonly core.InstanceId[]): void {
        this.live = live;
        this.listeners.forEach(listener => listener());
    }

    receiveHeartbeat(from: core.InstanceId, heartbeat: protocol.Heartbeat): void {
        this.heartbeatListeners.forEach(listener => listener(from, heartbeat));
    }

    override getSelf(): core.InstanceId {
        return this.self;
    }

    override getLiveInstances(): readonly core.InstanceDescription[] {
        return this.live.map(id => ({
            id,
            dataCentre: "colombo-1",
            state: core.LifecycleState.Live,
            callerUrl: "",
            peerUrl: "",
            operatorUrl: "",
        }));
    }

    override tryGetHolder(assignment: string): core.InstanceId | undefined {
        const getScore = (id: core.InstanceId): number => hash(`${assignment}/${id}`);
        return [...this.live].sort((left, right) => getScore(right) - getScore(left))[0];
    }

    override tryGetHolderIn(dataCentre: core.DataCentre, assignment: string): core.InstanceId | undefined {
        return dataCentre === "" ? undefined : this.tryGetHolder(assignment);
    }

    override isRemoved(instance: core.InstanceId): boolean {
        return !this.live.includes(instance);
    }

    override onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    onHeartbeat(listener: (from: core.InstanceId, heartbeat: protocol.Heartbeat) => void): () => void {
        this.heartbeatListeners.add(listener);
        return () => this.heartbeatListeners.delete(listener);
    }
}

export interface TestInstance {
    readonly id: core.InstanceId;
    readonly gate: Gate;
    readonly membership: TestMembership;
    readonly telemetry: telemetry.Telemetry;
    readonly noteCache: release.NoteCache;
    readonly rollout: release.UpstreamRollout;
    readonly publisher: release.NotePublisher;
    /** Generations that came into force on this instance, in order. */
    readonly generations: core.Generation[];
    isKilled: boolean;
}

export interface TestFleetOptions {
    readonly instances: number;
    readonly engines: number;
    readonly checksFencing?: (engine: number) => boolean;
    readonly loadMilliseconds?: number;
    readonly limits?: Partial<release.RolloutLimits>;
}

/** Instances and engines in virtual time around one key-value service, with controls to inject failures. */
export class TestFleet implements AsyncDisposable {
    readonly clock = new core.VirtualClock();
    readonly keyValue = new standins.MemoryKeyValueService(this.clock);
    readonly hub = new standins.MemoryPeerHub();
    readonly instances = new Map<core.InstanceId, TestInstance>();
    readonly engines: readonly fakeEngine.FakeEngine[];
    /** Descriptions of orders that took an engine out of service while too few others served. */
    readonly floorViolations: string[] = [];
    /** Maximum number of loads that ran at once. */
    peakLoads = 0;
    /** Network delay of the next orders. */
    orderDelayMilliseconds = 0;
    /** Minimum number of other engines that have to serve when an engine is taken out of service. */
    floor = 1;
    private nextInstance = 0;
    private cancelHeartbeats = (): void => undefined;

    constructor(private readonly options: TestFleetOptions) {
        this.engines = [...Array(options.engines).keys()].map(index => this.createEngine(index));
    }

    static async start(options: TestFleetOptions): Promise<TestFleet> {
        const fleet = new TestFleet(options);
        for (let index = 0; index < options.instances; index++) {
            await fleet.addInstance();
        }
        fleet.sendHeartbeats();
        return fleet;
    }

    /** Starts another instance and adds it to the membership of all. */
    async addInstance(): Promise<TestInstance> {
        const id = `entry-${this.nextInstance++}`;
        const gate = new Gate();
        const clock = new GatedClock(this.clock, gate);
        const keyValue = new GatedKeyValueService(this.keyValue, gate);
        const membership = new TestMembership(id);
        const network = this.hub.createNetwork(id);
        const instanceTelemetry = fixtures.createTelemetry(clock, id);
        const noteCache = await release.KeyValueNoteCache.start({
            keyValue,
            network,
            heartbeats: membership,
            clock,
            telemetry: instanceTelemetry,
            countInstances: () => this.instances.size,
        });
        network.handle(protocol.MessageKind.Heartbeat, async (heartbeat, from) => {
            await gate.waitUntilOpen();
            membership.receiveHeartbeat(from, heartbeat);
            return undefined;
        });
        const generations: core.Generation[] = [noteCache.tryGetNote()?.generation ?? 0];
        noteCache.onNote(note => generations.push(note.generation));
        const instance: TestInstance = {
            id,
            gate,
            membership,
            telemetry: instanceTelemetry,
            noteCache: noteCache,
            rollout: this.createRollout(gate, clock, keyValue, membership, noteCache, instanceTelemetry),
            publisher: new release.KeyValueNotePublisher({ keyValue, clock, telemetry: instanceTelemetry }),
            generations,
            isKilled: false,
        };
        this.instances.set(id, instance);
        this.refreshViews();
        return instance;
    }

    get(index: number): TestInstance {
        return core.Debug.checkDefined([...this.instances.values()][index], `instance ${index}`);
    }

    getEngine(index: number): fakeEngine.FakeEngine {
        return core.Debug.checkDefined(this.engines[index], `engine ${index}`);
    }

    getRunning(): readonly TestInstance[] {
        return [...this.instances.values()].filter(instance => !instance.isKilled);
    }

    /** Returns the instance that coordinates an engine, by the membership of the first running instance. */
    getCoordinator(engine: number): TestInstance {
        const holder = this.getRunning()[0]?.membership.tryGetHolder(`upstream/engine-${engine}`);
        return core.Debug.checkDefined(this.instances.get(holder ?? ""), "a coordinator");
    }

    /** Kills an instance without a clean shutdown: its claims stay until their lease expires. */
    kill(instance: TestInstance): void {
        instance.isKilled = true;
        instance.gate.close();
        this.hub.remove(instance.id);
        this.clock.schedule(SuspicionMilliseconds, () => this.refreshViews());
    }

    /** Pauses an instance for a while; the instance does not notice the pause. */
    pause(instance: TestInstance, milliseconds: number): void {
        instance.gate.close();
        this.hub.offline.add(instance.id);
        this.clock.schedule(SuspicionMilliseconds, () => this.refreshViews());
        this.clock.schedule(milliseconds, () => {
            if (!instance.isKilled) {
                instance.gate.open();
                this.hub.offline.delete(instance.id);
                this.refreshViews();
            }
        });
    }

    /** Publishes through a running instance, in virtual time. */
    async publish(
        source: string,
        replaces: core.Generation,
        author = "amara",
        instance = core.Debug.checkDefined(this.getRunning()[0], "an instance runs"),
    ): Promise<release.PublishOutcome> {
        return this.wait(instance.publisher.publish({ source, file: "note.yaml", replaces, author }));
    }

    /** Advances the clock until the value is available. */
    async wait<T>(value: Promise<T>): Promise<T> {
        let isDone = false;
        const done = value.finally(() => {
            isDone = true;
        });
        for (let turn = 0; turn < 600 && !isDone; turn++) {
            await this.clock.advance(50);
        }
        return done;
    }

    async advance(milliseconds: number): Promise<void> {
        await this.clock.advance(milliseconds);
    }

    /** Returns the phase of each engine, as last recorded by its coordinator. */
    getPhases(): readonly string[] {
        return this.engines.map((engine, index) => {
            const progress = this.getCoordinator(index).rollout.getProgress();
            return progress.find(line => line.upstream === engine.id)?.phase ?? "none";
        });
    }

    getVersions(): readonly string[] {
        return this.engines.map(engine => engine.models.map(held => held.version).join("+"));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.cancelHeartbeats();
        const running = this.getRunning();
        running.forEach(instance => instance.gate.open());
        const ends = running.map(async instance => {
            await instance.rollout[Symbol.asyncDispose]();
            await instance.noteCache[Symbol.asyncDispose]();
        });
        await this.wait(Promise.all(ends));
    }

    private createEngine(index: number): fakeEngine.FakeEngine {
        const engine = new fakeEngine.FakeEngine(`engine-${index}`, {
            clock: this.clock,
            checksFencing: this.options.checksFencing?.(index) ?? true,
            loadMilliseconds: this.options.loadMilliseconds,
        });
        engine.onLoadStarted = () => {
            this.peakLoads = Math.max(this.peakLoads, this.engines.filter(other => other.isLoading).length);
        };
        engine.onTakenDown = () => this.checkFloor(engine);
        return engine;
    }

    private checkFloor(taken: fakeEngine.FakeEngine): void {
        const remaining = this.engines.filter(engine => engine.serves("heron")).length;
        if (remaining < this.floor) {
            this.floorViolations.push(`${taken.id} at ${this.clock.now()}: ${remaining} remain`);
        }
    }

    private createRollout(
        gate: Gate,
        clock: core.Clock,
        keyValue: backing.KeyValueService,
        membership: TestMembership,
        noteCache: release.NoteCache,
        instanceTelemetry: telemetry.Telemetry,
    ): release.UpstreamRollout {
        return new release.UpstreamRollout({
            membership,
            noteCache: noteCache,
            keyValue,
            clock,
            telemetry: instanceTelemetry,
            limits: this.options.limits,
            getEngine: upstream => {
                const engine = this.engines.find(candidate => candidate.id === upstream.id);
                return new fakeEngine.FakeEngineClient(
                    core.Debug.checkDefined(engine, upstream.id),
                    this.clock,
                    () => gate.waitUntilOpen(),
                    () => this.orderDelayMilliseconds,
                );
            },
        });
    }

    /** Sends the generation of every running instance to its peers, once a second. */
    private sendHeartbeats(): void {
        for (const instance of this.getRunning().filter(candidate => !candidate.gate.isClosed())) {
            const network = core.Debug.checkDefined(this.hub.networks.get(instance.id), instance.id);
            for (const peer of network.getConnectedPeers()) {
                const generation = instance.noteCache.tryGetNote()?.generation ?? 0;
                network.notify(peer, {
                    kind: protocol.MessageKind.Heartbeat,
                    generation,
                    logicalTime: 0,
                    state: core.LifecycleState.Live,
                });
            }
        }
        this.cancelHeartbeats = this.clock.schedule(1_000, () => this.sendHeartbeats());
    }

    private refreshViews(): void {
        // A paused instance gets no updates, not even that the others removed it.
        const awake = this.getRunning().filter(instance => !instance.gate.isClosed());
        for (const instance of awake) {
            instance.membership.setLive(awake.map(other => other.id));
        }
    }
}

/** A hash that spreads a few names evenly over a few instances. */
function hash(text: string): number {
    let value = 7;
    for (const character of text) {
        value = Math.imul(value ^ (character.codePointAt(0) ?? 0), 0x9e3779b1) >>> 0;
        value ^= value >>> 15;
    }
    return value >>> 0;
}
