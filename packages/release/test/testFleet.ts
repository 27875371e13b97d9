import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as release from "@boragedale/release";
import * as standins from "@boragedale/standins";
import type * as telemetry from "@boragedale/telemetry";
import * as fakeEngine from "./fakeEngine.js";
import * as fixtures from "./fixtures.js";

/** Time after which the others drop an instance that is gone or paused, as the lagging list and heartbeats would. */
const SuspectMilliseconds = 10_000;

/** Stops one instance: while it is closed its timers and replies wait. A killed instance's gate never opens again. */
class Gate {
    private opening: Promise<void> | undefined;
    private release: () => void = () => undefined;

    close(): void {
        if (this.opening === undefined) {
            this.opening = new Promise<void>(resolve => {
                this.release = resolve;
            });
        }
    }

    open(): void {
        this.opening = undefined;
        this.release();
    }

    isClosed(): boolean {
        return this.opening !== undefined;
    }

    async pass(): Promise<void> {
        while (this.opening !== undefined) {
            await this.opening;
        }
    }
}

/** Virtual time whose timers fire late for an instance that is paused. */
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
            void this.gate.pass().then(() => {
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

/** The shared service as one instance reaches it: calls leave at once, replies wait while it is paused. */
class GatedKeyValueService extends backing.KeyValueService {
    constructor(
        private readonly inner: backing.KeyValueService,
        private readonly gate: Gate,
    ) {
        super();
    }

    override async get(key: string, purpose: backing.CallPurpose): ReturnType<backing.KeyValueService["get"]> {
        return this.pass(this.inner.get(key, purpose));
    }

    override async list(request: backing.ListRequest): ReturnType<backing.KeyValueService["list"]> {
        return this.pass(this.inner.list(request));
    }

    override async compareAndSwap(request: backing.SwapRequest): ReturnType<backing.KeyValueService["compareAndSwap"]> {
        return this.pass(this.inner.compareAndSwap(request));
    }

    override async grantLease(milliseconds: number): ReturnType<backing.KeyValueService["grantLease"]> {
        return this.pass(this.inner.grantLease(milliseconds));
    }

    override async keepLeaseAlive(lease: backing.LeaseId): ReturnType<backing.KeyValueService["keepLeaseAlive"]> {
        return this.pass(this.inner.keepLeaseAlive(lease));
    }

    override async revokeLease(lease: backing.LeaseId): ReturnType<backing.KeyValueService["revokeLease"]> {
        return this.pass(this.inner.revokeLease(lease));
    }

    override async *watch(request: backing.WatchRequest): AsyncIterable<backing.WatchEvent> {
        for await (const event of this.inner.watch(request)) {
            await this.gate.pass();
            yield event;
        }
    }

    private async pass<T>(reply: Promise<T>): Promise<T> {
        await this.gate.pass();
        const value = await reply;
        await this.gate.pass();
        return value;
    }
}

/** Membership that a test sets by hand. */
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

    hear(from: core.InstanceId, heartbeat: protocol.Heartbeat): void {
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

    override tryGetHolder(duty: string): core.InstanceId | undefined {
        const weigh = (id: core.InstanceId): number => hash(`${duty}/${id}`);
        return [...this.live].sort((left, right) => weigh(right) - weigh(left))[0];
    }

    override tryGetHolderIn(dataCentre: core.DataCentre, duty: string): core.InstanceId | undefined {
        return dataCentre === "" ? undefined : this.tryGetHolder(duty);
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
    readonly keeper: release.NoteKeeper;
    readonly rollout: release.UpstreamRollout;
    readonly publisher: release.NotePublisher;
    /** Generations that came into force here, in order. */
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

/** Instances and engines in virtual time around one key-value service, with what a test needs to break them. */
export class TestFleet implements AsyncDisposable {
    readonly clock = new core.VirtualClock();
    readonly keyValue = new standins.MemoryKeyValueService(this.clock);
    readonly hub = new standins.MemoryPeerHub();
    readonly instances = new Map<core.InstanceId, TestInstance>();
    readonly engines: readonly fakeEngine.FakeEngine[];
    /** Times at which an order took an engine down while too few others served. */
    readonly floorBreaks: string[] = [];
    mostLoads = 0;
    /** Network delay of the next orders. */
    orderDelayMilliseconds = 0;
    /** The most that must be served by the others when an engine is taken down. */
    floor = 1;
    private nextInstance = 0;
    private stopHeartbeats = (): void => undefined;

    constructor(private readonly options: TestFleetOptions) {
        this.engines = [...Array(options.engines).keys()].map(index => this.createEngine(index));
    }

    static async start(options: TestFleetOptions): Promise<TestFleet> {
        const fleet = new TestFleet(options);
        for (let index = 0; index < options.instances; index++) {
            await fleet.addInstance();
        }
        fleet.beat();
        return fleet;
    }

    /** Starts another instance, known to everyone. */
    async addInstance(): Promise<TestInstance> {
        const id = `entry-${this.nextInstance++}`;
        const gate = new Gate();
        const clock = new GatedClock(this.clock, gate);
        const keyValue = new GatedKeyValueService(this.keyValue, gate);
        const membership = new TestMembership(id);
        const network = this.hub.createNetwork(id);
        const instanceTelemetry = fixtures.createTelemetry(clock, id);
        const keeper = await release.KeyValueNoteKeeper.start({
            keyValue,
            network,
            heartbeats: membership,
            clock,
            telemetry: instanceTelemetry,
            countInstances: () => this.instances.size,
        });
        network.handle(protocol.MessageKind.Heartbeat, async (heartbeat, from) => {
            await gate.pass();
            membership.hear(from, heartbeat);
            return undefined;
        });
        const generations: core.Generation[] = [keeper.tryGetNote()?.generation ?? 0];
        keeper.onNote(note => generations.push(note.generation));
        const instance: TestInstance = {
            id,
            gate,
            membership,
            telemetry: instanceTelemetry,
            keeper,
            rollout: this.createRollout(gate, clock, keyValue, membership, keeper, instanceTelemetry),
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

    /** The instance that is the home of an engine, by the views of all. */
    getHome(engine: number): TestInstance {
        const holder = this.getRunning()[0]?.membership.tryGetHolder(`upstream/engine-${engine}`);
        return core.Debug.checkDefined(this.instances.get(holder ?? ""), "a home");
    }

    /** Ends an instance without a word: its claims stay until their lease ends. */
    kill(instance: TestInstance): void {
        instance.isKilled = true;
        instance.gate.close();
        this.hub.remove(instance.id);
        this.clock.schedule(SuspectMilliseconds, () => this.refreshViews());
    }

    /** Stops an instance for a while; it does not know that it was stopped. */
    pause(instance: TestInstance, milliseconds: number): void {
        instance.gate.close();
        this.hub.cutOff.add(instance.id);
        this.clock.schedule(SuspectMilliseconds, () => this.refreshViews());
        this.clock.schedule(milliseconds, () => {
            if (!instance.isKilled) {
                instance.gate.open();
                this.hub.cutOff.delete(instance.id);
                this.refreshViews();
            }
        });
    }

    /** Publishes through an instance that runs, in virtual time. */
    async publish(
        source: string,
        replaces: core.Generation,
        author = "amara",
        instance = core.Debug.checkDefined(this.getRunning()[0], "an instance runs"),
    ): Promise<release.PublishOutcome> {
        return this.wait(instance.publisher.publish({ source, file: "note.yaml", replaces, author }));
    }

    /** Lets time pass until the value is there. */
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

    /** Where each engine stands, by the last word of its home. */
    getPhases(): readonly string[] {
        return this.engines.map((engine, index) => {
            const progress = this.getHome(index).rollout.getProgress();
            return progress.find(line => line.upstream === engine.id)?.phase ?? "none";
        });
    }

    getVersions(): readonly string[] {
        return this.engines.map(engine => engine.models.map(held => held.version).join("+"));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopHeartbeats();
        const running = this.getRunning();
        running.forEach(instance => instance.gate.open());
        const ends = running.map(async instance => {
            await instance.rollout[Symbol.asyncDispose]();
            await instance.keeper[Symbol.asyncDispose]();
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
            this.mostLoads = Math.max(this.mostLoads, this.engines.filter(other => other.isLoading).length);
        };
        engine.onTakenDown = () => this.checkFloor(engine);
        return engine;
    }

    private checkFloor(taken: fakeEngine.FakeEngine): void {
        const remaining = this.engines.filter(engine => engine.serves("heron")).length;
        if (remaining < this.floor) {
            this.floorBreaks.push(`${taken.id} at ${this.clock.now()}: ${remaining} remain`);
        }
    }

    private createRollout(
        gate: Gate,
        clock: core.Clock,
        keyValue: backing.KeyValueService,
        membership: TestMembership,
        keeper: release.NoteKeeper,
        instanceTelemetry: telemetry.Telemetry,
    ): release.UpstreamRollout {
        return new release.UpstreamRollout({
            membership,
            keeper,
            keyValue,
            clock,
            telemetry: instanceTelemetry,
            limits: this.options.limits,
            getEngine: upstream => {
                const engine = this.engines.find(candidate => candidate.id === upstream.id);
                return new fakeEngine.FakeEngineClient(
                    core.Debug.checkDefined(engine, upstream.id),
                    this.clock,
                    () => gate.pass(),
                    () => this.orderDelayMilliseconds,
                );
            },
        });
    }

    /** One round a second: every instance tells the others its generation. */
    private beat(): void {
        for (const instance of this.getRunning().filter(candidate => !candidate.gate.isClosed())) {
            const network = core.Debug.checkDefined(this.hub.networks.get(instance.id), instance.id);
            for (const peer of network.getConnectedPeers()) {
                const generation = instance.keeper.tryGetNote()?.generation ?? 0;
                network.notify(peer, {
                    kind: protocol.MessageKind.Heartbeat,
                    generation,
                    logicalTime: 0,
                    state: core.LifecycleState.Live,
                });
            }
        }
        this.stopHeartbeats = this.clock.schedule(1_000, () => this.beat());
    }

    private refreshViews(): void {
        // A paused instance hears of nothing, not even that the others took it for gone.
        const awake = this.getRunning().filter(instance => !instance.gate.isClosed());
        for (const instance of awake) {
            instance.membership.setLive(awake.map(other => other.id));
        }
    }
}

/** Mixes well enough that a few names spread over a few instances. */
function hash(text: string): number {
    let value = 7;
    for (const character of text) {
        value = Math.imul(value ^ (character.codePointAt(0) ?? 0), 0x9e3779b1) >>> 0;
        value ^= value >>> 15;
    }
    return value >>> 0;
}
