import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as telemetry from "@boragedale/telemetry";
import type * as protocol from "@boragedale/protocol";
import type * as upstreams from "@boragedale/upstreams";
import type * as engineTable from "./engineTable.js";
import type * as directory from "./upstreamDirectory.js";

export interface BatchCoordinatorOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly directory: directory.UpstreamDirectory;
    readonly membership: protocol.Membership;
    readonly table: engineTable.EngineTable;
}

/** A batch stream that runs on an engine. */
export interface BatchStream extends Disposable {
    /** Aborted when the stream must give way to online work. */
    readonly signal: AbortSignal;
    onFirstToken(): void;
    onProgress(tokens: number, milliseconds: number): void;
}

/** State of an engine that this instance coordinates. */
interface EngineState {
    readonly gate: decisions.BatchGate;
    readonly streams: Map<string, AbortController>;
    /** When this instance became the coordinator. */
    coordinatedSince: core.MonotonicMilliseconds;
    /** When this instance was first seen to be no longer the coordinator. */
    releasedAt: core.MonotonicMilliseconds | undefined;
}

/** How often running batch streams are checked in addition to the checks on pressure messages. */
const SweepIntervalMilliseconds = 100;
/** How long two instances may both coordinate an engine while the instance list lags. */
const HandOverMilliseconds = 5_000;

/**
 * Starts and limits batch streams on the engines that this instance coordinates. Only the coordinator sends batch work
 * to an engine: engines know no priorities, so a single instance must decide how much batch work an engine holds.
 */
export class BatchCoordinator implements Disposable {
    private readonly states = new Map<core.UpstreamId, EngineState>();
    private stopTimer: (() => void) | undefined;

    constructor(private readonly options: BatchCoordinatorOptions) {}

    /** Coordinated engines that may take a batch stream of the model now. */
    listAccepting(base: core.ModelId): readonly core.UpstreamDescription[] {
        return this.options.table
            .listCoordinated()
            .filter(engine => engine.models.includes(base) && acceptsBatch(engine) && this.refresh(engine) > 0);
    }

    /** Number of batch streams that could be started now on all coordinated engines together. */
    getFreeSlots(): number {
        const engines = this.options.table.listCoordinated().filter(acceptsBatch);
        return engines.reduce((total, engine) => total + this.refresh(engine), 0);
    }

    start(engine: core.UpstreamDescription, id: string, promptTokens: number): BatchStream {
        const state = this.getState(engine);
        const controller = new AbortController();
        state.streams.set(id, controller);
        state.gate.onStarted(id, promptTokens);
        this.scheduleSweep();
        return {
            signal: controller.signal,
            onFirstToken: () => state.gate.onFirstToken(id),
            onProgress: (tokens, milliseconds) =>
                state.gate.onProgress(id, tokens, milliseconds, this.options.clock.now()),
            [Symbol.dispose]: () => {
                state.streams.delete(id);
                state.gate.onEnded(id);
            },
        };
    }

    /**
     * Records the online work of one instance on a coordinated engine and cancels the streams that must give way.
     * Returns the online requests of all instances on the engine, or undefined if this instance doesn't coordinate it.
     */
    onPressure(upstream: core.UpstreamId, pressure: decisions.OnlinePressure): number | undefined {
        const engine = this.options.table.listCoordinated().find(candidate => candidate.id === upstream);
        if (engine === undefined) {
            return undefined;
        }
        const { gate } = this.getState(engine);
        gate.onOnlinePressure(pressure, this.options.clock.now());
        this.refresh(engine);
        return gate.getOnline(this.options.clock.now());
    }

    /**
     * Shortest time between two tokens that any instance reported for the engine in the last second, in milliseconds.
     */
    tryGetFastestGap(upstream: core.UpstreamId): number | undefined {
        return this.states.get(upstream)?.gate.getFastestGap(this.options.clock.now());
    }

    /**
     * Applies a load report of a coordinated engine. Batch streams are cancelled before memory runs out for online
     * work.
     */
    onLoadReport(engine: core.UpstreamDescription, load: upstreams.LoadReport): void {
        this.getState(engine).gate.onLoadReport(load, this.options.clock.now());
        this.refresh(engine);
    }

    getStreamCount(upstream: core.UpstreamId): number {
        return this.states.get(upstream)?.streams.size ?? 0;
    }

    [Symbol.dispose](): void {
        this.stopTimer?.();
    }

    /** Applies the gate's decision: cancels the streams that must give way and returns how many may start. */
    private refresh(engine: core.UpstreamDescription): number {
        const state = this.getState(engine);
        const now = this.options.clock.now();
        const policy = this.options.directory.tryGetFleet()?.policy;
        state.gate.configure(engine.concurrency, policy?.batchWeight ?? 0);
        state.gate.setCoordinatorCount(now - state.coordinatedSince < HandOverMilliseconds ? 2 : 1);
        state.gate.setInstances(this.options.membership.getLiveInstances().map(instance => instance.id));
        const decision = state.gate.decide(now);
        this.cancel(engine.id, state, decision.streamsToCancel);
        return decision.mayStart;
    }

    private cancel(upstream: core.UpstreamId, state: EngineState, streams: readonly string[]): void {
        if (streams.length === 0) {
            return;
        }
        this.options.telemetry.record(telemetry.events.BatchShifted, { upstream, text: `${streams.length} streams` });
        streams.forEach(id => state.streams.get(id)?.abort());
    }

    private getState(engine: core.UpstreamDescription): EngineState {
        let state = this.states.get(engine.id);
        const startedAt = this.options.clock.now();
        if (state?.releasedAt !== undefined) {
            state.releasedAt = undefined;
            state.coordinatedSince = startedAt;
        }
        if (state === undefined) {
            const batchWeight = this.options.directory.tryGetFleet()?.policy.batchWeight ?? 0;
            const gate = new decisions.BatchGate({ concurrency: engine.concurrency, batchWeight, startedAt });
            state = { gate, streams: new Map(), coordinatedSince: startedAt, releasedAt: undefined };
            this.states.set(engine.id, state);
        }
        return state;
    }

    private scheduleSweep(): void {
        this.stopTimer ??= this.options.clock.schedule(SweepIntervalMilliseconds, () => {
            this.stopTimer = undefined;
            this.sweep();
        });
    }

    private sweep(): void {
        const coordinated = new Map(this.options.table.listCoordinated().map(engine => [engine.id, engine]));
        let running = 0;
        for (const [upstream, state] of this.states) {
            running += state.streams.size;
            const engine = coordinated.get(upstream);
            if (engine !== undefined) {
                this.refresh(engine);
            }
            else if (!this.isStillCoordinator(upstream)) {
                this.retire(upstream, state);
            }
        }
        if (running > 0) {
            this.scheduleSweep();
        }
    }

    /**
     * Handles an engine that this instance no longer coordinates. Streams continue during the hand-over, while each
     * coordinator uses half of the slots. The remaining ones are then cancelled, because the engine would otherwise
     * hold more batch work than its new coordinator knows of.
     */
    private retire(upstream: core.UpstreamId, state: EngineState): void {
        const now = this.options.clock.now();
        state.releasedAt ??= now;
        if (state.streams.size === 0) {
            this.states.delete(upstream);
        }
        else if (now - state.releasedAt >= HandOverMilliseconds && this.hasOtherCoordinator(upstream)) {
            this.cancel(upstream, state, [...state.streams.keys()]);
        }
    }

    /**
     * Whether this instance still coordinates an engine that may accept no new work, for example during a version
     * change. Dropping its state would lose the learned limits and start a hand-over period with half of the slots.
     */
    private isStillCoordinator(upstream: core.UpstreamId): boolean {
        const fleet = this.options.directory.tryGetFleet();
        const found = fleet?.upstreams.find(candidate => candidate.id === upstream);
        return found !== undefined && this.options.table.tryGetCoordinator(found) === this.options.membership.getSelf();
    }

    /** False for an engine that is leaving or withdrawn, whose streams run to their end. */
    private hasOtherCoordinator(upstream: core.UpstreamId): boolean {
        const fleet = this.options.directory.tryGetFleet();
        const engine = fleet?.upstreams.find(candidate => candidate.id === upstream);
        return engine !== undefined && !engine.isLeaving && !this.options.table.isLeaving(upstream);
    }
}

function acceptsBatch(engine: core.UpstreamDescription): boolean {
    return engine.role !== core.UpstreamRole.Online;
}
