import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as engines from "./engine.js";
import * as fleets from "./fleet.js";
import type * as workload from "./workload.js";

/** Items of each caller that wait here for a place, so that there is something to choose from. */
const ItemsAhead = 16;
/** How long a new home takes it that the old one may still act, in milliseconds: what the instance list lags. */
const TwoHomesTime = 10_000;

/** What the home of an upstream tells each instance that told it something. */
export interface HomeReport {
    readonly inFlight: number;
    readonly fastestGap: number | undefined;
}

interface BatchStream {
    readonly id: string;
    readonly item: workload.BatchItem;
    readonly upstream: string;
    /** Tokens over all runs of the item. */
    generated: number;
}

interface KeptItem {
    readonly item: workload.BatchItem;
    readonly generated: number;
}

/** What the batch side shares with the instance that it belongs to. */
export interface HomeInstance {
    readonly id: string;
    readonly placement: decisions.Placement;
    readonly suspects: decisions.SuspectRegistry;
    readonly candidates: readonly decisions.PlacementCandidate[];
    /** An upstream died under one of the batch streams. */
    onUpstreamDied(upstream: string): void;
}

/** The batch side of one instance: the gates of the upstreams that it is home of, and the streams it runs there. */
export class BatchHome {
    private readonly gates = new Map<string, decisions.BatchGate>();
    private readonly movedAt = new Map<string, number>();
    private readonly order = new decisions.BatchOrder({ urgentMilliseconds: 5_000, urgentLead: 5_000 });
    private readonly waiting = new Map<string, KeptItem>();
    private readonly waitingByCaller = new Map<string, number>();
    private readonly streams = new Map<string, BatchStream>();
    private nextStream = 0;

    constructor(
        private readonly instance: HomeInstance,
        private readonly context: fleets.RunContext,
    ) {}

    setView(view: readonly string[], now: number): void {
        for (const engine of this.context.engines) {
            const isHome = decisions.rendezvous(`home/${engine.id}`, view) === this.instance.id;
            if (isHome && !this.gates.has(engine.id)) {
                this.gates.set(
                    engine.id,
                    new decisions.BatchGate({
                        concurrency: 64,
                        batchWeight: this.context.batchWeight,
                        startedAt: now,
                    }),
                );
                this.movedAt.set(engine.id, now);
            }
            this.gates.get(engine.id)?.setInstances(view);
        }
    }

    /** Takes in what an instance told, and answers what all together have there. */
    onPressure(upstream: string, pressure: decisions.OnlinePressure): HomeReport {
        const now = this.context.simulation.now();
        const gate = this.gates.get(upstream);
        gate?.onOnlinePressure(pressure, now);
        this.apply(upstream);
        return { inFlight: gate?.getOnline(now) ?? pressure.inFlight, fastestGap: gate?.getFastestGap(now) };
    }

    /** Asks the engines for their memory, as the home does. */
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

    /** The instance is lost: its connections close, so that the engines cancel its streams. */
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
        const isNew = now > 0 && now - (this.movedAt.get(upstream) ?? 0) < TwoHomesTime;
        gate.setCoordinatorCount(isNew && this.movedAt.get(upstream) !== 0 ? 2 : 1);
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
        this.context.simulation.schedule(fleets.UpstreamDelay, () => {
            this.getEngine(stream.upstream).cancel(id);
            gate.onEnded(id);
        });
        this.instance.placement.onFailed(id, decisions.SendFailure.Abandoned, this.context.simulation.now());
        this.instance.suspects.onAbandoned(id, stream.upstream);
        this.keep({ item: stream.item, generated: stream.generated });
    }

    private startNext(upstream: string, gate: decisions.BatchGate): void {
        const now = this.context.simulation.now();
        const placed = this.instance.placement.choose(
            { model: "model", prefixHash: "", requestClass: core.RequestClass.Batch },
            this.instance.candidates.filter(candidate => candidate.id === upstream),
            now,
        );
        this.refill();
        const next = placed.kind === decisions.PlacementKind.Placed ? this.order.take(now) : undefined;
        const kept = next === undefined ? undefined : this.waiting.get(next.id);
        if (kept === undefined) {
            return;
        }
        this.waiting.delete(kept.item.id);
        this.countWaiting(kept.item.caller, -1);
        if (!this.instance.suspects.maySend(kept.item.id, upstream, now)) {
            this.keep(kept);
            return;
        }
        this.run(kept, upstream, gate, now);
    }

    private run(kept: KeptItem, upstream: string, gate: decisions.BatchGate, now: number): void {
        const { item } = kept;
        const stream: BatchStream = {
            id: `${this.instance.id}/${this.nextStream++}`,
            item,
            upstream,
            generated: kept.generated,
        };
        this.streams.set(stream.id, stream);
        gate.onStarted(stream.id, item.ownTokens + kept.generated);
        this.instance.placement.onSent(stream.id, upstream, core.RequestClass.Batch, now);
        this.instance.suspects.onSent(stream.id, item.id, upstream, now);
        this.context.simulation.schedule(fleets.UpstreamDelay, () =>
            this.getEngine(upstream).submit(
                {
                    ...item,
                    id: stream.id,
                    requestClass: core.RequestClass.Batch,
                    resumedTokens: kept.generated,
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
                this.keep({ item, generated: stream.generated });
            },
        };
    }

    private refill(): void {
        for (const [index, source] of this.context.batchSources.entries()) {
            const caller = `job-caller-${index}`;
            while ((this.waitingByCaller.get(caller) ?? 0) < ItemsAhead) {
                const item = source.next();
                this.context.measures.onOffered(core.RequestClass.Batch, item.caller, item.outputTokens);
                this.keep({ item, generated: 0 });
            }
        }
    }

    private keep(kept: KeptItem): void {
        const { item } = kept;
        this.waiting.set(item.id, kept);
        this.countWaiting(item.caller, 1);
        this.order.add({
            id: item.id,
            caller: item.caller,
            weight: 1,
            cost: kept.generated > 0 ? 1 : getCost(item),
            deadlineAt: item.deadlineAt,
            isResumed: kept.generated > 0,
        });
    }

    private countWaiting(caller: string, change: number): void {
        this.waitingByCaller.set(caller, (this.waitingByCaller.get(caller) ?? 0) + change);
    }

    private getEngine(upstream: string): engines.Engine {
        return this.context.engines.find(engine => engine.id === upstream)!;
    }
}

/** What an item is expected to cost before it has run: its length isn't known, so all cost the same. */
function getCost(item: workload.BatchItem): number {
    return item.ownTokens / 4 + 150;
}
