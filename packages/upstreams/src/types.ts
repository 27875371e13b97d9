import type * as core from "@boragedale/core";

/** One chat completion to run on an engine. */
export interface EngineRequest {
    /** Correlates every line of the answer; a line with another id belongs to another request and is dropped. */
    readonly id: string;
    readonly model: core.ModelId;
    /** The caller's body as JSON, already checked. */
    readonly body: Readonly<Record<string, unknown>>;
    /** Text that an interrupted run has already delivered; the engine continues after it. */
    readonly resumeAfter?: ResumePoint;
}

export interface ResumePoint {
    readonly text: string;
    readonly tokens: number;
}

export enum EngineEventKind {
    /** The engine accepted the request. */
    Accepted = "Accepted",
    Token = "Token",
    Finished = "Finished",
    Failed = "Failed",
}

export enum EngineFailureKind {
    /** The connection was refused or no byte of the request was sent; the request did not run. */
    NotSent = "NotSent",
    /** The engine rejected the request with a status 4xx. */
    Rejected = "Rejected",
    /** The engine is overloaded or not ready, status 429 or 503; the request did not run. */
    Busy = "Busy",
    /** The connection broke or the engine failed while the request ran. */
    Broken = "Broken",
    /** Nothing arrived on the stream or connection for longer than the limit. */
    Silent = "Silent",
    /** Cancelled by this client. */
    Cancelled = "Cancelled",
}

export interface EngineFailure {
    readonly kind: EngineFailureKind;
    readonly text: string;
    readonly status?: number;
}

export interface Usage {
    readonly promptTokens: number;
    readonly completionTokens: number;
    /** Prompt tokens that the engine found in its prefix cache. */
    readonly cachedTokens: number;
}

export type EngineEvent =
    | { readonly kind: EngineEventKind.Accepted }
    /** Text of one token, or of several tokens that arrived together. */
    | { readonly kind: EngineEventKind.Token; readonly text: string; readonly tokens: number }
    | { readonly kind: EngineEventKind.Finished; readonly reason: string; readonly usage: Usage }
    | { readonly kind: EngineEventKind.Failed; readonly failure: EngineFailure };

/** The load that an engine reports. The report lags, so it only supplements the instance's own observations. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    /** Used fraction of the engine's cache, from 0 to 1. */
    readonly cacheUsage: number;
    readonly ageMilliseconds: number;
}

/** The state that an upstream reports. A rollout relies on this report alone. */
export interface UpstreamState {
    readonly models: readonly HeldModel[];
    readonly role: core.UpstreamRole;
    /** Highest fencing number that the upstream has seen; undefined if it ignores fencing numbers. */
    readonly fencing: number | undefined;
    readonly isLoading: boolean;
    readonly isLeaving: boolean;
    /** Reason of the last order's failure, if it failed. */
    readonly failure?: string;
}

export interface HeldModel {
    readonly model: core.ModelId;
    readonly version: string;
    readonly adapters: readonly core.AdapterDescription[];
}

/**
 * An order that brings an upstream to a state. It contains the complete state and no difference, so that repeating it
 * is harmless.
 */
export interface UpstreamOrder {
    readonly fencing: number;
    readonly models: readonly HeldModel[];
    readonly role: core.UpstreamRole;
}

export enum OrderOutcomeKind {
    Accepted = "Accepted",
    /** The order's fencing number is outdated. */
    Fenced = "Fenced",
    Failed = "Failed",
}

export interface OrderOutcome {
    readonly kind: OrderOutcomeKind;
    readonly text: string;
}

/** A call to a plain service. */
export interface ServiceRequest {
    readonly method: string;
    /** Path and query within the service. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
    /** Sent as `Idempotency-Key` if the call has a key. */
    readonly key?: string;
    /**
     * Whether the call may only use a connection that is new or has answered within the last seconds, since it can't be
     * sent twice.
     */
    readonly needsProvedConnection: boolean;
    readonly timeoutMilliseconds: number;
}

export interface ServiceResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

export enum ServiceFailureKind {
    /** No byte was sent; the call did not run. */
    NotSent = "NotSent",
    /** The call may have run. */
    MayHaveRun = "MayHaveRun",
}

export type ServiceOutcome =
    | { readonly ok: true; readonly response: ServiceResponse }
    | { readonly ok: false; readonly kind: ServiceFailureKind; readonly text: string };

export enum AskOutcomeKind {
    Ran = "Ran",
    DidNotRun = "DidNotRun",
    /** The service gave no usable answer. */
    NoAnswer = "NoAnswer",
}

export type AskOutcome =
    | { readonly kind: AskOutcomeKind.Ran; readonly response: ServiceResponse }
    | { readonly kind: AskOutcomeKind.DidNotRun }
    | { readonly kind: AskOutcomeKind.NoAnswer; readonly text: string };
