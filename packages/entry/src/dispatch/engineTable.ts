import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as protocol from "@boragedale/protocol";
import * as directory from "./upstreamDirectory.js";

export interface EngineTableOptions {
    readonly directory: directory.UpstreamDirectory;
    readonly membership: protocol.Membership;
}

/** The engines that this instance may use. Recomputed when the release note or the fleet changes. */
export class EngineTable implements Disposable {
    private fleet: core.FleetDescription | undefined;
    private readonly online = new Map<core.ModelId, readonly core.UpstreamDescription[]>();
    private coordinated: readonly core.UpstreamDescription[] = [];
    /**
     * Engines that report themselves as leaving, whatever the release note says, with the time when the report expires.
     */
    private readonly leaving = new Map<core.UpstreamId, core.MonotonicMilliseconds>();
    private readonly stopListening: () => void;

    constructor(private readonly options: EngineTableOptions) {
        this.stopListening = options.membership.onChange(() => this.invalidate());
    }

    /** Engines for online work on a model: the subset of the fleet that this instance keeps connections to. */
    listOnline(base: core.ModelId): readonly core.UpstreamDescription[] {
        this.refresh();
        let engines = this.online.get(base);
        if (engines === undefined) {
            engines = this.chooseSubset(base);
            this.online.set(base, engines);
        }
        return engines;
    }

    /** Engines that this instance coordinates. No other instance sends them batch work. */
    listCoordinated(): readonly core.UpstreamDescription[] {
        this.refresh();
        return this.coordinated;
    }

    isCoordinatorOf(upstream: core.UpstreamId): boolean {
        return this.listCoordinated().some(engine => engine.id === upstream);
    }

    tryGetCoordinator(upstream: core.UpstreamDescription): core.InstanceId | undefined {
        return this.options.membership.tryGetHolderIn(upstream.dataCentre, `upstream/${upstream.id}`);
    }

    /**
     * The approximate number of instances that send online work to each engine. It determines how many of an engine's
     * slots this instance may use.
     */
    getInstancesPerEngine(base: core.ModelId): number {
        const all = this.listAll(base).length;
        const used = this.listOnline(base).length;
        const instances = Math.max(1, this.options.membership.getLiveInstances().length);
        return all === 0 ? 1 : Math.max(1, (instances * used) / all);
    }

    /** Records whether an engine reports that it is leaving. Expires at `until`, because a later report may be lost. */
    setLeaving(upstream: core.UpstreamId, isLeaving: boolean, until: core.MonotonicMilliseconds): void {
        const wasLeaving = this.leaving.has(upstream);
        if (isLeaving) {
            this.leaving.set(upstream, until);
        }
        else {
            this.leaving.delete(upstream);
        }
        if (isLeaving !== wasLeaving) {
            this.invalidate();
        }
    }

    /** Drops expired leaving reports. */
    expire(now: core.MonotonicMilliseconds): void {
        for (const [upstream, until] of this.leaving) {
            if (now >= until) {
                this.setLeaving(upstream, false, now);
            }
        }
    }

    isLeaving(upstream: core.UpstreamId): boolean {
        return this.leaving.has(upstream);
    }

    [Symbol.dispose](): void {
        this.stopListening();
    }

    private invalidate(): void {
        this.fleet = undefined;
    }

    private refresh(): void {
        const fleet = this.options.directory.tryGetFleet();
        if (fleet === this.fleet) {
            return;
        }
        this.fleet = fleet;
        this.online.clear();
        const self = this.options.membership.getSelf();
        this.coordinated = (fleet?.upstreams ?? []).filter(
            upstream =>
                upstream.kind === core.UpstreamKind.Engine &&
                !upstream.isLeaving &&
                !this.leaving.has(upstream.id) &&
                this.tryGetCoordinator(upstream) === self,
        );
    }

    private chooseSubset(base: core.ModelId): readonly core.UpstreamDescription[] {
        const engines = this.listAll(base);
        const instances = this.options.membership.getLiveInstances().length;
        const size = decisions.getSubsetSize(engines.length, instances);
        if (size >= engines.length) {
            return engines;
        }
        const ids = engines.map(engine => engine.id);
        const chosen = new Set(decisions.chooseSubset(this.options.membership.getSelf(), ids, size));
        return engines.filter(engine => chosen.has(engine.id));
    }

    private listAll(base: core.ModelId): readonly core.UpstreamDescription[] {
        const engines =
            this.fleet === undefined ? [] : directory.listEngines(this.fleet, base, core.RequestClass.Online);
        return engines.filter(engine => !this.leaving.has(engine.id));
    }
}
