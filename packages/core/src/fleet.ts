import type * as types from "./types.js";

/**
 * The state that a release note, put upon the one before it, asks of the fleet. Everything that routes, limits or
 * orders reads this and nothing else. The note itself lists only what is added, changed and withdrawn.
 */
export interface FleetDescription {
    readonly models: readonly ModelDescription[];
    readonly upstreams: readonly UpstreamDescription[];
    readonly services: readonly ServiceDescription[];
    readonly callers: readonly CallerDescription[];
    readonly weightStore: WeightStoreLimits;
    readonly policy: FleetPolicy;
}

export interface ModelDescription {
    readonly id: types.ModelId;
    readonly version: string;
    readonly adapters: readonly AdapterDescription[];
    /** Fewest upstreams that must serve the model for each class while a rollout goes on. */
    readonly onlineFloor: number;
    readonly batchFloor: number;
}

export interface AdapterDescription {
    readonly id: string;
    readonly version: string;
}

export interface UpstreamDescription extends types.UpstreamAddress {
    readonly role: types.UpstreamRole;
    /** Models that an engine is to hold; empty for a plain service. */
    readonly models: readonly types.ModelId[];
    /** Whether the upstream refuses an order with an old fencing number. */
    readonly checksFencing: boolean;
    /** Requests that the upstream may run at once; our limit, since engines admit whatever comes. */
    readonly concurrency: number;
    /** True once operators want it to take no new work. */
    readonly isLeaving: boolean;
}

export interface ServiceDescription {
    /** First segment of the path below `/services/`. */
    readonly id: string;
    readonly upstreams: readonly types.UpstreamId[];
    readonly routes: readonly RouteDescription[];
}

export interface RouteDescription {
    /** HTTP method in capitals, or `*`. */
    readonly method: string;
    /** Path prefix within the service, such as `/bookings`. */
    readonly path: string;
    readonly safety: types.CallSafety;
    /** Path that tells the outcome of a key (`{key}` is replaced); given for askable routes. */
    readonly askPath?: string;
    /**
     * Longest time after which a call that reached the service can still begin to run there, in milliseconds. Only where
     * it is given is an askable call, that the service has denied for that long, sent again.
     */
    readonly settleMilliseconds?: number;
}

export interface CallerDescription {
    readonly id: types.CallerId;
    /** SHA-256 of the bearer token, in hexadecimal. Tokens themselves are stored nowhere. */
    readonly tokenHash: string;
    /** Relative share when callers compete. */
    readonly weight: number;
}

export interface WeightStoreLimits {
    /** Loads that may run at once over the whole fleet. */
    readonly concurrentLoads: number;
}

export interface FleetPolicy {
    /** 0: batch takes only what online can't notice; 1: batch throughput counts as much as online latency. */
    readonly batchWeight: number;
    /** How long results stay readable, in milliseconds. */
    readonly retentionMilliseconds: number;
    /** Deadline of an online request that names none, in milliseconds. */
    readonly onlineDeadlineMilliseconds: number;
    /** Deadline of a job that names none, in milliseconds. */
    readonly batchDeadlineMilliseconds: number;
    /** Times an item of a job is tried before it ends as failed. */
    readonly itemAttempts: number;
}

/** A release note that was accepted. Its generation only ever rises. */
export interface NoteInForce {
    readonly generation: types.Generation;
    readonly fleet: FleetDescription;
    /** The note's YAML text as published. */
    readonly source: string;
    readonly author: string;
    readonly publishedAt: types.WallMilliseconds;
    /** Random text by which a publisher that lost the reply recognises its own write. */
    readonly nonce: string;
}
