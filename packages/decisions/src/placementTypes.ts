import * as core from "@boragedale/core";

/** What placement needs to know about an upstream; `core.UpstreamDescription` is compatible. */
export interface PlacementCandidate {
    readonly id: core.UpstreamId;
    readonly dataCentre: core.DataCentre;
    readonly role: core.UpstreamRole;
    readonly models: readonly core.ModelId[];
    /** Requests that it may run at once. */
    readonly concurrency: number;
    readonly isLeaving: boolean;
}

export interface PlacementRequest {
    readonly model: core.ModelId;
    /** Hash of the beginning of the prompt; equal for prompts that share a cached prefix. */
    readonly prefixHash: string;
    readonly requestClass: core.RequestClass;
    /** Upstreams that were already tried for this request. */
    readonly exclude?: ReadonlySet<core.UpstreamId>;
}

export enum PlacementKind {
    Placed = "Placed",
    None = "None",
}

export type PlacementDecision =
    | { readonly kind: PlacementKind.Placed; readonly upstream: core.UpstreamId }
    | { readonly kind: PlacementKind.None; readonly retryAfterMilliseconds: number };

/** How a request that was sent ended without an answer. */
export enum SendFailure {
    /** The upstream died or its connection broke. */
    Died = "Died",
    /** It answered with an error of its own or didn't respond. */
    Failed = "Failed",
    /** It reported that it is full or not ready. */
    Busy = "Busy",
    /** Ended by us or by the caller; says nothing about the upstream. */
    Abandoned = "Abandoned",
}

export interface PlacementSettings {
    /** Returns a number from 0 up to 1. */
    readonly random: () => number;
}

/** Whether the release note lets the upstream serve the request, and the request hasn't tried the upstream yet. */
export function isEligible(candidate: PlacementCandidate, request: PlacementRequest): boolean {
    return (
        !candidate.isLeaving &&
        candidate.models.includes(request.model) &&
        servesClass(candidate.role, request.requestClass) &&
        request.exclude?.has(candidate.id) !== true
    );
}

function servesClass(role: core.UpstreamRole, requestClass: core.RequestClass): boolean {
    switch (role) {
        case core.UpstreamRole.Mixed:
            return true;
        case core.UpstreamRole.Online:
            return requestClass === core.RequestClass.Online;
        case core.UpstreamRole.Batch:
            return requestClass === core.RequestClass.Batch;
    }
}
