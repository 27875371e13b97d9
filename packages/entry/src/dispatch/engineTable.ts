import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as protocol from "@boragedale/protocol";
import * as directory from "./upstreamDirectory.js";

export interface EngineTableOptions {
    readonly directory: directory.UpstreamDirectory;
    readonly membership: protocol.Membership;
}

/** The engines that this instance may use, worked out again when the note or the fleet changes. */
export class EngineTable implements Disposable {
    private fleet: core.FleetDescription | undefined;
    private readonly online = new Map<core.ModelId, readonly core.UpstreamDescription[]>();
    private homes: readonly core.UpstreamDescription[] = [];
    /** Engines that say themselves that they are leaving, whatever the note says, and until when that is believed. */
    private readonly leaving = new Map<core.UpstreamId, core.MonotonicMilliseconds>();
    private readonly stopListening: () => void;

    constructor(private readonly options: EngineTableOptions) {
        this.stopListening = options.membership.onChange(() => this.forget());
    }

    /** Engines for online work on a model: the part of the fleet's that this instance keeps connections to. */
    listOnline(base: core.ModelId): readonly core.UpstreamDescription[] {
        this.refresh();
        let engines = this.online.get(base);
        if (engines === undefined) {
            engines = this.chooseSubset(base);
            this.online.set(base, engines);
        }
        return engines;
    }

    /** Engines whose batch work only this instance sends. */
    listHomes(): readonly core.UpstreamDescription[] {
        this.refresh();
        return this.homes;
    }

    isHomeOf(upstream: core.UpstreamId): boolean {
        return this.listHomes().some(engine => engine.id === upstream);
    }

    tryGetHome(upstream: core.UpstreamDescription): core.InstanceId | undefined {
        return this.options.membership.tryGetHolderIn(upstream.dataCentre, `upstream/${upstream.id}`);
    }

    /** How many instances send online work to each engine, about: sets the part of its places that is ours. */
    getSharing(base: core.ModelId): number {
        const all = this.listAll(base).length;
        const used = this.listOnline(base).length;
        const instances = Math.max(1, this.options.membership.getLiveInstances().length);
        return all === 0 ? 1 : Math.max(1, (instances * used) / all);
    }

    /** Notes what an engine says of itself; believed until `until`, since a later word may be lost. */
    setLeaving(upstream: core.UpstreamId, isLeaving: boolean, until: core.MonotonicMilliseconds): void {
        const wasLeaving = this.leaving.has(upstream);
        if (isLeaving) {
            this.leaving.set(upstream, until);
        }
        else {
            this.leaving.delete(upstream);
        }
        if (isLeaving !== wasLeaving) {
            this.forget();
        }
    }

    /** Drops what is no longer believed. */
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

    private forget(): void {
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
        this.homes = (fleet?.upstreams ?? []).filter(
            upstream =>
                upstream.kind === core.UpstreamKind.Engine &&
                !upstream.isLeaving &&
                !this.leaving.has(upstream.id) &&
                this.tryGetHome(upstream) === self,
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
