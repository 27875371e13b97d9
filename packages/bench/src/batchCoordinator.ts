import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as engines from "./engine.js";
import * as fleets from "./fleet.js";
import type * as workload from "./workload.js";

/** Number of each caller's items kept waiting for a slot, so that the batch order has items to choose from. */
const WaitingItemsPerCaller = 16;
/** How long a new coordinator assumes that the previous one may still act: the lag of the instance list. */
const CoordinatorOverlapMilliseconds = 10_000;

/** The coordinator's reply to an instance that reported its online work on an upstream. */
export interface CoordinatorReport {
    readonly inFlight: number;
    readonly fastestGap: number | undefined;
}

interface BatchStream {
    readonly id: string;
    readonly item: workload.BatchItem;
    readonly upstream: string;
    /** Tokens generated in all runs of the item. */
    generated: number;
}

interface WaitingItem {
    readonly item: workload.BatchItem;
    readonly generated: number;
}

/** The parts of an instance that its batch coordinator uses. */
export interface CoordinatorInstance {
    readonly id: string;
    readonly placement: decisions.Placement;
    readonly suspects: decisions.SuspectRegistry;
    readonly candidates: readonly decisions.PlacementCandidate[];
    /** Called when an upstream crashed while it ran a batch stream. */
    onUpstreamDied(upstream: string): void;
}

/** Runs the batch work of one instance: the gates of the upstreams that it coordinates, and its streams there. */
export class BatchCoordinator {
    private readonly gates = new Map<string, decisions.BatchGate>();
    private readonly coordinatorSince = new Map<string, number>();
    private readonly order = new decisions.BatchOrder({ urgentMilliseconds: 5_000, urgentLead: 5_000 });
    private readonly waiting = new Map<string, WaitingItem>();
    private readonly waitingByCaller = new Map<string, number>();
    private readonly streams = new Map<string, BatchStream>();
    private nextStream = 0;

    constructor(
        private readonly instance: CoordinatorInstance,
        private readonly context: fleets.RunContext,
    ) {}

    setView(view: readonly string[], now: number): void {
        for (const engine of this.context.engines) {
            const isCoordinator = decisions.rendezvous(`home/${engine.id}`, view) === this.instance.id;
            if (isCoordinator && !this.gates.has(engine.id)) {
                this.gates.set(
                    engine.id,
                    new decisions.BatchGate({
                        concurrency: 64,
                        batchWeight: this.context.batchWeight,
                        startedAt: now,
                    }),
                );
                this.coordinatorSince.set(engine.id, now);
            }
            this.gates.get(engine.id)?.setInstances(view);
        }
    }

    /** Records an instance's online work on an upstream; returns the total of all instances there. */
    onPressure(upstream: string, pressure: decisions.OnlinePressure): CoordinatorReport {
        const now = this.context.simulation.now();
        const gate = this.gates.get(upstream);
        gate?.onOnlinePressure(pressure, now);
        this.apply(upstream);
        return { inFlight: gate?.getOnline(now) ?? pressure.inFlight, fastestGap: gate?.getFastestGap(now) };
    }

    /** Reads the memory usage of the coordinated engines. */
    readReports(ageMilliseconds: number): void {
        for (const [upstream, gate] of this.gates) {
            const { cacheUsage } = this.getEngine(upstream).getLoad();
            gate.onLoadReport({ cacheUsage, ageMilliseconds }, this.context.simulation.now());
        }
    }

    tick(): void {
        for (const upstream of this.gates.keys()) {
            this.apply(upstream);
        }
    }

    /** Simulates the loss of the instance: its connections close, so the engines cancel its streams. */
    stop(): void {
        for (const stream of this.streams.values()) {
            this.getEngine(stream.upstream).cancel(stream.id);
        }
        this.streams.clear();
        this.gates.clear();
    }

    private apply(upstream: string): void {
        const gate = this.gates.get(upstream);
        if (gate === undefined || this.context.batchSources.length === 0) {
            return;
        }
        const now = this.context.simulation.now();
        const isRecentCoordinator =
            now > 0 && now - (this.coordinatorSince.get(upstream) ?? 0) < CoordinatorOverlapMilliseconds;
        gate.setCoordinatorCount(isRecentCoordinator && this.coordinatorSince.get(upstream) !== 0 ? 2 : 1);
        const decision = gate.decide(now);
        for (const id of decision.streamsToCancel) {
            this.cancel(id, gate);
        }
        for (let count = 0; count < decision.mayStart; count++) {
            this.startNext(upstream, gate);
        }
    }

    private cancel(id: string, gate: decisions.BatchGate): void {
        const stream = this.streams.get(id);
        if (stream === undefined) {
            gate.onEnded(id);
            return;
        }
        this.streams.delete(id);
        this.context.measures.onCancelledStream();
        this.context.simulation.schedule(fleets.UpstreamDelayMilliseconds, () => {
            this.getEngine(stream.upstream).cancel(id);
            gate.onEnded(id);
        });
        this.instance.placement.onFailed(id, decisions.SendFailure.Abandoned, this.context.simulation.now());
        this.instance.suspects.onAbandoned(id, stream.upstream);
        this.enqueue({ item: stream.item, generated: stream.generated });
    }

    private startNext(upstream: string, gate: decisions.BatchGate): void {
        const now = this.context.simulation.now();
        const placement = this.instance.placement.choose(
            { model: "model", prefixHash: "", requestClass: core.RequestClass.Batch },
            this.instance.candidates.filter(candidate => candidate.id === upstream),
            now,
        );
        this.refill();
        const next = placement.kind === decisions.PlacementKind.Placed ? this.order.take(now) : undefined;
        const waitingItem = next === undefined ? undefined : this.waiting.get(next.id);
        if (waitingItem === undefined) {
            return;
        }
        this.waiting.delete(waitingItem.item.id);
        this.countWaiting(waitingItem.item.caller, -1);
        if (!this.instance.suspects.maySend(waitingItem.item.id, upstream, now)) {
            this.enqueue(waitingItem);
            return;
        }
        this.run(waitingItem, upstream, gate, now);
    }

    private run(waitingItem: WaitingItem, upstream: string, gate: decisions.BatchGate, now: number): void {
        const { item } = waitingItem;
        const stream: BatchStream = {
            id: `${this.instance.id}/${this.nextStream++}`,
            item,
            upstream,
            generated: waitingItem.generated,
        };
        this.streams.set(stream.id, stream);
        gate.onStarted(stream.id, item.ownTokens + waitingItem.generated);
        this.instance.placement.onSent(stream.id, upstream, core.RequestClass.Batch, now);
        this.instance.suspects.onSent(stream.id, item.id, upstream, now);
        this.context.simulation.schedule(fleets.UpstreamDelayMilliseconds, () =>
            this.getEngine(upstream).submit(
                {
                    ...item,
                    id: stream.id,
                    requestClass: core.RequestClass.Batch,
                    resumedTokens: waitingItem.generated,
                    crashesEngine: false,
                },
                this.createListener(stream, gate),
            ),
        );
    }

    private createListener(stream: BatchStream, gate: decisions.BatchGate): engines.EngineListener {
        const { measures, simulation } = this.context;
        const { item, upstream } = stream;
        return {
            onFirstToken: () => {
                gate.onFirstToken(stream.id);
                this.apply(upstream);
            },
            onProgress: (tokens, milliseconds) => {
                if (this.streams.has(stream.id)) {
                    stream.generated += tokens;
                    measures.onBatchTokens(item.caller, tokens);
                    gate.onProgress(stream.id, tokens, milliseconds, simulation.now());
                }
            },
            onFinished: () => {
                this.streams.delete(stream.id);
                gate.onEnded(stream.id);
                this.instance.placement.onFinished(stream.id);
                this.instance.suspects.onFinished(stream.id, upstream);
                this.order.correctCost(item.caller, 1, getCost(item), item.ownTokens / 4 + item.outputTokens);
                measures.onFinished(core.RequestClass.Batch, item.caller, item.outputTokens, true);
                this.apply(upstream);
            },
            onFailed: hasRun => {
                this.streams.delete(stream.id);
                gate.onEnded(stream.id);
                if (hasRun) {
                    this.instance.onUpstreamDied(upstream);
                }
                else {
                    this.instance.suspects.onAbandoned(stream.id, upstream);
                }
                this.instance.placement.onFailed(stream.id, decisions.SendFailure.Died, simulation.now());
                this.enqueue({ item, generated: stream.generated });
            },
        };
    }

    private refill(): void {
        for (const [index, source] of this.context.batchSources.entries()) {
            const caller = `job-caller-${index}`;
            while ((this.waitingByCaller.get(caller) ?? 0) < WaitingItemsPerCaller) {
                const item = source.next();
                this.context.measures.onOffered(core.RequestClass.Batch, item.caller, item.outputTokens);
                this.enqueue({ item, generated: 0 });
            }
        }
    }

    private enqueue(waitingItem: WaitingItem): void {
        const { item } = waitingItem;
        this.waiting.set(item.id, waitingItem);
        this.countWaiting(item.caller, 1);
        this.order.add({
            id: item.id,
            caller: item.caller,
            weight: 1,
            cost: waitingItem.generated > 0 ? 1 : getCost(item),
            deadlineAt: item.deadlineAt,
            isResumed: waitingItem.generated > 0,
        });
    }

    private countWaiting(caller: string, change: number): void {
        this.waitingByCaller.set(caller, (this.waitingByCaller.get(caller) ?? 0) + change);
    }

    private getEngine(upstream: string): engines.Engine {
        return this.context.engines.find(engine => engine.id === upstream)!;
    }
}

/** Estimated cost of an item before it runs. Its output length isn't known, so all items count with the same length. */
function getCost(item: workload.BatchItem): number {
    return item.ownTokens / 4 + 150;
}
