import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as telemetry from "@boragedale/telemetry";
import type * as protocol from "@boragedale/protocol";
import type * as upstreams from "@boragedale/upstreams";
import type * as engineTable from "./engineTable.js";
import type * as directory from "./upstreamDirectory.js";

export interface BatchLanesOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly directory: directory.UpstreamDirectory;
    readonly membership: protocol.Membership;
    readonly table: engineTable.EngineTable;
}

/** One batch stream that an engine runs. */
export interface BatchStream extends Disposable {
    /** Aborted when the stream must give way. */
    readonly signal: AbortSignal;
    onFirstToken(): void;
    onProgress(tokens: number, milliseconds: number): void;
}

/** What this home knows of one engine. */
interface Lane {
    readonly gate: decisions.BatchGate;
    readonly streams: Map<string, AbortController>;
    startedAt: core.MonotonicMilliseconds;
    lostAt: core.MonotonicMilliseconds | undefined;
}

/** How often running batch streams are looked at beside the notices of online work, in milliseconds. */
const LookInterval = 100;
/** How long two instances may both take an engine for theirs while the instance list lags, in milliseconds. */
const HandOverTime = 5_000;

/**
 * The batch work of the engines whose home this instance is. Nobody else sends them any, so that one place decides how
 * much an engine holds, although engines know no priorities.
 */
export class BatchLanes implements Disposable {
    private readonly lanes = new Map<core.UpstreamId, Lane>();
    private stopTimer: (() => void) | undefined;

    constructor(private readonly options: BatchLanesOptions) {}

    /** Engines of ours that may take a batch stream of the model now. */
    listOpen(base: core.ModelId): readonly core.UpstreamDescription[] {
        return this.options.table
            .listHomes()
            .filter(engine => engine.models.includes(base) && takesBatch(engine) && this.refresh(engine) > 0);
    }

    /** Batch streams that could be started now, over all engines of ours. */
    getFreeSlots(): number {
        const engines = this.options.table.listHomes().filter(takesBatch);
        return engines.reduce((total, engine) => total + this.refresh(engine), 0);
    }

    start(engine: core.UpstreamDescription, id: string, promptTokens: number): BatchStream {
        const lane = this.getLane(engine);
        const controller = new AbortController();
        lane.streams.set(id, controller);
        lane.gate.onStarted(id, promptTokens);
        this.watch();
        return {
            signal: controller.signal,
            onFirstToken: () => lane.gate.onFirstToken(id),
            onProgress: (tokens, milliseconds) =>
                lane.gate.onProgress(id, tokens, milliseconds, this.options.clock.now()),
            [Symbol.dispose]: () => {
                lane.streams.delete(id);
                lane.gate.onEnded(id);
            },
        };
    }

    /** Online work of one instance on one of our engines; streams that must give way are cancelled at once. */
    onPressure(upstream: core.UpstreamId, pressure: decisions.OnlinePressure): number | undefined {
        const engine = this.options.table.listHomes().find(candidate => candidate.id === upstream);
        if (engine === undefined) {
            return undefined;
        }
        const { gate } = this.getLane(engine);
        gate.onOnlinePressure(pressure, this.options.clock.now());
        this.refresh(engine);
        return gate.getOnline(this.options.clock.now());
    }

    /** Shortest time between two tokens that anybody saw on an engine of ours in the last second, in milliseconds. */
    tryGetFastestGap(upstream: core.UpstreamId): number | undefined {
        return this.lanes.get(upstream)?.gate.getFastestGap(this.options.clock.now());
    }

    /** What an engine of ours says of its memory: batch must give it back before online requests find none. */
    onLoadReport(engine: core.UpstreamDescription, load: upstreams.LoadReport): void {
        this.getLane(engine).gate.onLoadReport(load, this.options.clock.now());
        this.refresh(engine);
    }

    getStreamCount(upstream: core.UpstreamId): number {
        return this.lanes.get(upstream)?.streams.size ?? 0;
    }

    [Symbol.dispose](): void {
        this.stopTimer?.();
    }

    /** Applies the gate's decision: cancels what must give way and returns how many may start. */
    private refresh(engine: core.UpstreamDescription): number {
        const lane = this.getLane(engine);
        const now = this.options.clock.now();
        const policy = this.options.directory.tryGetFleet()?.policy;
        lane.gate.configure(engine.concurrency, policy?.batchWeight ?? 0);
        lane.gate.setCoordinatorCount(now - lane.startedAt < HandOverTime ? 2 : 1);
        lane.gate.setInstances(this.options.membership.getLiveInstances().map(instance => instance.id));
        const decision = lane.gate.decide(now);
        this.cancel(engine.id, lane, decision.streamsToCancel);
        return decision.mayStart;
    }

    private cancel(upstream: core.UpstreamId, lane: Lane, streams: readonly string[]): void {
        if (streams.length === 0) {
            return;
        }
        this.options.telemetry.record(telemetry.events.BatchShifted, { upstream, text: `${streams.length} streams` });
        streams.forEach(id => lane.streams.get(id)?.abort());
    }

    private getLane(engine: core.UpstreamDescription): Lane {
        let lane = this.lanes.get(engine.id);
        const startedAt = this.options.clock.now();
        if (lane?.lostAt !== undefined) {
            lane.lostAt = undefined;
            lane.startedAt = startedAt;
        }
        if (lane === undefined) {
            const batchWeight = this.options.directory.tryGetFleet()?.policy.batchWeight ?? 0;
            const gate = new decisions.BatchGate({ concurrency: engine.concurrency, batchWeight, startedAt });
            lane = { gate, streams: new Map(), startedAt, lostAt: undefined };
            this.lanes.set(engine.id, lane);
        }
        return lane;
    }

    private watch(): void {
        this.stopTimer ??= this.options.clock.schedule(LookInterval, () => {
            this.stopTimer = undefined;
            this.look();
        });
    }

    private look(): void {
        const homes = new Map(this.options.table.listHomes().map(engine => [engine.id, engine]));
        let running = 0;
        for (const [upstream, lane] of this.lanes) {
            running += lane.streams.size;
            const engine = homes.get(upstream);
            if (engine !== undefined) {
                this.refresh(engine);
            }
            else if (!this.isHomeStill(upstream)) {
                this.retire(upstream, lane);
            }
        }
        if (running > 0) {
            this.watch();
        }
    }

    /**
     * The engine has another home now, or takes no new work. Streams go on for the time in which both homes count on
     * half of the places; then those left give way, or the engine would hold more batch than its home knows of.
     */
    private retire(upstream: core.UpstreamId, lane: Lane): void {
        const now = this.options.clock.now();
        lane.lostAt ??= now;
        if (lane.streams.size === 0) {
            this.lanes.delete(upstream);
        }
        else if (now - lane.lostAt >= HandOverTime && this.hasOtherHome(upstream)) {
            this.cancel(upstream, lane, [...lane.streams.keys()]);
        }
    }

    /**
     * An engine that takes no new work while it changes its version keeps its home. Taken as lost, its lane would begin
     * anew after each change: half of the places for the hand-over that never was, and nothing learned.
     */
    private isHomeStill(upstream: core.UpstreamId): boolean {
        const fleet = this.options.directory.tryGetFleet();
        const engine = fleet?.upstreams.find(candidate => candidate.id === upstream);
        return engine !== undefined && this.options.table.tryGetHome(engine) === this.options.membership.getSelf();
    }

    /** False for an engine that is leaving or withdrawn: its streams run to their end. */
    private hasOtherHome(upstream: core.UpstreamId): boolean {
        const fleet = this.options.directory.tryGetFleet();
        const engine = fleet?.upstreams.find(candidate => candidate.id === upstream);
        return engine !== undefined && !engine.isLeaving && !this.options.table.isLeaving(upstream);
    }
}

function takesBatch(engine: core.UpstreamDescription): boolean {
    return engine.role !== core.UpstreamRole.Online;
}
