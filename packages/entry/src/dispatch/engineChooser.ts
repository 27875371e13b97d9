import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as batchCoordinator from "./batchLanes.js";
import type * as engineTable from "./engineTable.js";
import type * as requestProfile from "./requestProfile.js";
import type * as suspectWatch from "./suspectWatch.js";

export interface EngineChooserOptions {
    readonly clock: core.Clock;
    readonly placement: decisions.Placement;
    readonly suspects: suspectWatch.SuspectWatch;
    readonly table: engineTable.EngineTable;
    readonly batch: batchCoordinator.BatchCoordinator;
}

/** What a request needs from an engine. */
export interface EngineRequirements {
    /** The base model, also when the request names an adapter of it. */
    readonly base: core.ModelId;
    readonly requestClass: core.RequestClass;
    readonly profile: requestProfile.RequestProfile;
    /** Upstreams on which the request has already failed. */
    readonly excluded: ReadonlySet<core.UpstreamId>;
}

export type EngineChoice =
    | { readonly upstream: core.UpstreamDescription }
    | { readonly upstream: undefined; readonly retryAfterMilliseconds: number };

/** Chooses an engine for a request from placement, the batch limits and the rules for suspect requests. */
export class EngineChooser {
    constructor(private readonly options: EngineChooserOptions) {}

    choose(requirements: EngineRequirements): EngineChoice {
        const candidates = this.listCandidates(requirements);
        this.options.placement.setSharingInstanceCount(this.options.table.getInstancesPerEngine(requirements.base));
        const choice = this.isSuspect(requirements)
            ? this.chooseForSuspect(requirements, candidates)
            : this.chooseAmong(requirements, candidates, requirements.excluded);
        // When every candidate has failed, retry them on a new connection instead of giving up.
        const isExhausted = choice.upstream === undefined && requirements.excluded.size > 0;
        return isExhausted && !this.isSuspect(requirements)
            ? this.chooseAmong(requirements, candidates, new Set())
            : choice;
    }

    /** Number of online requests for a model that this instance may have in flight now. */
    getOnlineLimit(base: core.ModelId): number {
        const engines = this.options.table.listOnline(base);
        this.options.placement.setSharingInstanceCount(this.options.table.getInstancesPerEngine(base));
        return this.options.placement.getCapacity(base, core.RequestClass.Online, engines, this.options.clock.now());
    }

    /** Whether the engine that is preferred for the request's prefix has a free slot. */
    isLocal(requirements: EngineRequirements): boolean {
        const engines = this.options.table.listOnline(requirements.base);
        return this.options.placement.hasPrefixReplicaAvailable(createPlacementRequest(requirements), engines, this.options.clock.now());
    }

    private listCandidates(requirements: EngineRequirements): readonly core.UpstreamDescription[] {
        return requirements.requestClass === core.RequestClass.Batch
            ? this.options.batch.listAccepting(requirements.base)
            : this.options.table.listOnline(requirements.base);
    }

    private isSuspect(requirements: EngineRequirements): boolean {
        const { registry } = this.options.suspects;
        const { verdict } = registry.getDecision(requirements.profile.fingerprint, this.options.clock.now());
        return verdict !== decisions.SuspectVerdict.Usual;
    }

    /**
     * Chooses the engine for a suspect request, one that may have crashed an engine. The choice depends only on the
     * request's fingerprint and the fleet, so that all instances choose the same engine. If two instances ran the
     * request on different engines, it could crash both.
     */
    private chooseForSuspect(
        requirements: EngineRequirements,
        candidates: readonly core.UpstreamDescription[],
    ): EngineChoice {
        const { registry } = this.options.suspects;
        const ids = candidates.map(candidate => candidate.id).filter(id => !requirements.excluded.has(id));
        for (const id of decisions.rankByRendezvous(requirements.profile.fingerprint, ids)) {
            const single = candidates.filter(candidate => candidate.id === id);
            const choice = this.chooseAmong(requirements, single, new Set());
            if (choice.upstream !== undefined) {
                return registry.maySend(requirements.profile.fingerprint, id, this.options.clock.now())
                    ? choice
                    : { upstream: undefined, retryAfterMilliseconds: SuspectRetryAfterMilliseconds };
            }
        }
        return { upstream: undefined, retryAfterMilliseconds: SuspectRetryAfterMilliseconds };
    }

    private chooseAmong(
        requirements: EngineRequirements,
        candidates: readonly core.UpstreamDescription[],
        exclude: ReadonlySet<core.UpstreamId>,
    ): EngineChoice {
        const decision = this.options.placement.choose(
            { ...createPlacementRequest(requirements), exclude },
            candidates,
            this.options.clock.now(),
        );
        return decision.kind === decisions.PlacementKind.Placed
            ? { upstream: candidates.find(candidate => candidate.id === decision.upstream) as core.UpstreamDescription }
            : { upstream: undefined, retryAfterMilliseconds: decision.retryAfterMilliseconds };
    }
}

function createPlacementRequest(requirements: EngineRequirements): decisions.PlacementRequest {
    return {
        model: requirements.base,
        prefixHash: requirements.profile.prefixHash,
        requestClass: requirements.requestClass,
        exclude: requirements.excluded,
    };
}

/** Retry delay for a suspect request that must wait until another request on its engine has ended. */
const SuspectRetryAfterMilliseconds = 500;
