import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as batchLanes from "./batchLanes.js";
import type * as engineTable from "./engineTable.js";
import type * as requestProfile from "./requestProfile.js";
import type * as suspectWatch from "./suspectWatch.js";

export interface EngineChooserOptions {
    readonly clock: core.Clock;
    readonly placement: decisions.Placement;
    readonly suspects: suspectWatch.SuspectWatch;
    readonly table: engineTable.EngineTable;
    readonly lanes: batchLanes.BatchLanes;
}

/** What a request needs of its upstream. */
export interface EngineWish {
    /** The model itself, where an adapter of it was asked for. */
    readonly base: core.ModelId;
    readonly requestClass: core.RequestClass;
    readonly profile: requestProfile.RequestProfile;
    /** Upstreams that failed it already. */
    readonly excluded: ReadonlySet<core.UpstreamId>;
}

export type EngineChoice =
    | { readonly upstream: core.UpstreamDescription }
    | { readonly upstream: undefined; readonly retryAfterMilliseconds: number };

/** Puts placement, the batch gates and the suspects' lane together into one choice. */
export class EngineChooser {
    constructor(private readonly options: EngineChooserOptions) {}

    choose(wish: EngineWish): EngineChoice {
        const candidates = this.listCandidates(wish);
        this.options.placement.setSharingInstanceCount(this.options.table.getSharing(wish.base));
        const choice = this.isSuspect(wish)
            ? this.chooseAlone(wish, candidates)
            : this.chooseAmong(wish, candidates, wish.excluded);
        // A lone upstream is tried again, on a new connection, rather than not at all.
        const isExhausted = choice.upstream === undefined && wish.excluded.size > 0;
        return isExhausted && !this.isSuspect(wish) ? this.chooseAmong(wish, candidates, new Set()) : choice;
    }

    /** Online requests for a model that this instance may have in flight now. */
    getOnlineLimit(base: core.ModelId): number {
        const engines = this.options.table.listOnline(base);
        this.options.placement.setSharingInstanceCount(this.options.table.getSharing(base));
        return this.options.placement.getCapacity(base, core.RequestClass.Online, engines, this.options.clock.now());
    }

    /** Whether a place is free where the request's prefix belongs. */
    isLocal(wish: EngineWish): boolean {
        const engines = this.options.table.listOnline(wish.base);
        return this.options.placement.hasPrefixReplicaAvailable(createPlacementRequest(wish), engines, this.options.clock.now());
    }

    private listCandidates(wish: EngineWish): readonly core.UpstreamDescription[] {
        return wish.requestClass === core.RequestClass.Batch
            ? this.options.lanes.listOpen(wish.base)
            : this.options.table.listOnline(wish.base);
    }

    private isSuspect(wish: EngineWish): boolean {
        const { registry } = this.options.suspects;
        const { verdict } = registry.getDecision(wish.profile.fingerprint, this.options.clock.now());
        return verdict !== decisions.SuspectVerdict.Usual;
    }

    /**
     * A suspect's upstream depends on nothing but the suspect and the fleet, so that all instances that its caller sends
     * it to choose the same one: two of them, each running it alone on another upstream, would risk two.
     */
    private chooseAlone(wish: EngineWish, candidates: readonly core.UpstreamDescription[]): EngineChoice {
        const { registry } = this.options.suspects;
        const ids = candidates.map(candidate => candidate.id).filter(id => !wish.excluded.has(id));
        for (const id of decisions.rankByRendezvous(wish.profile.fingerprint, ids)) {
            const alone = candidates.filter(candidate => candidate.id === id);
            const choice = this.chooseAmong(wish, alone, new Set());
            if (choice.upstream !== undefined) {
                return registry.maySend(wish.profile.fingerprint, id, this.options.clock.now())
                    ? choice
                    : { upstream: undefined, retryAfterMilliseconds: SuspectRetryAfter };
            }
        }
        return { upstream: undefined, retryAfterMilliseconds: SuspectRetryAfter };
    }

    private chooseAmong(
        wish: EngineWish,
        candidates: readonly core.UpstreamDescription[],
        exclude: ReadonlySet<core.UpstreamId>,
    ): EngineChoice {
        const decision = this.options.placement.choose(
            { ...createPlacementRequest(wish), exclude },
            candidates,
            this.options.clock.now(),
        );
        return decision.kind === decisions.PlacementKind.Placed
            ? { upstream: candidates.find(candidate => candidate.id === decision.upstream) as core.UpstreamDescription }
            : { upstream: undefined, retryAfterMilliseconds: decision.retryAfterMilliseconds };
    }
}

function createPlacementRequest(wish: EngineWish): decisions.PlacementRequest {
    return {
        model: wish.base,
        prefixHash: wish.profile.prefixHash,
        requestClass: wish.requestClass,
        exclude: wish.excluded,
    };
}

/** A suspect that has to wait for another one's end, in milliseconds. */
const SuspectRetryAfter = 500;
