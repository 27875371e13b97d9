import type * as types from "./types.js";

/**
 * The desired state of the fleet, which results from applying a release note to the state before it. Routing, limits and
 * rollout depend on this state only. The note itself lists only what is added, changed and withdrawn.
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
    /** Minimum number of upstreams that must serve the model during a rollout, for each request class. */
    readonly onlineFloor: number;
    readonly batchFloor: number;
}

export interface AdapterDescription {
    readonly id: string;
    readonly version: string;
}

export interface UpstreamDescription extends types.UpstreamAddress {
    readonly role: types.UpstreamRole;
    /** Models that an engine is to load; empty for a plain service. */
    readonly models: readonly types.ModelId[];
    /** Whether the upstream rejects an order with an outdated fencing number. */
    readonly checksFencing: boolean;
    /** Maximum number of concurrent requests. The fleet enforces it, since engines admit any number. */
    readonly concurrency: number;
    /** Whether the operators want the upstream to accept no new work. */
    readonly isLeaving: boolean;
}

export interface ServiceDescription {
    /** First path segment below `/services/`. */
    readonly id: string;
    readonly upstreams: readonly types.UpstreamId[];
    readonly routes: readonly RouteDescription[];
}

export interface RouteDescription {
    /** HTTP method in upper case, or `*` for any. */
    readonly method: string;
    /** Path prefix within the service, such as `/bookings`. */
    readonly path: string;
    readonly safety: types.CallSafety;
    /** Path that returns the outcome of the call with a key, which replaces `{key}`; set for askable routes. */
    readonly askPath?: string;
    /**
     * Maximum time between a call's arrival at the service and its start there, in milliseconds. An askable call is sent again
     * only if this is set and the service has denied knowing the call for that long.
     */
    readonly settleMilliseconds?: number;
}

export interface CallerDescription {
    readonly id: types.CallerId;
    /** SHA-256 of the bearer token, in hexadecimal. The token itself is never stored. */
    readonly tokenHash: string;
    /** Relative share of capacity when callers compete. */
    readonly weight: number;
}

export interface WeightStoreLimits {
    /** Maximum number of concurrent loads over the whole fleet. */
    readonly concurrentLoads: number;
}

export interface FleetPolicy {
    /** 0: batch work must not noticeably affect online work; 1: batch throughput counts as much as online latency. */
    readonly batchWeight: number;
    /** How long results stay readable, in milliseconds. */
    readonly retentionMilliseconds: number;
    /** Default deadline of an online request, in milliseconds. */
    readonly onlineDeadlineMilliseconds: number;
    /** Default deadline of a job, in milliseconds. */
    readonly batchDeadlineMilliseconds: number;
    /** Number of attempts at an item of a job before it fails. */
    readonly itemAttempts: number;
}

/** The accepted release note that applies to the fleet. Each new note has a higher generation. */
export interface NoteInForce {
    readonly generation: types.Generation;
    readonly fleet: FleetDescription;
    /** YAML text of the note as published. */
    readonly source: string;
    readonly author: string;
    readonly publishedAt: types.WallMilliseconds;
    /** Random string by which a publisher recognises its own write if the reply to it was lost. */
    readonly nonce: string;
}
