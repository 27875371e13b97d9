import type * as core from "@boragedale/core";

/** One chat completion to run on an engine. */
export interface EngineRequest {
    /** Correlates every line of the answer; a line with another id is dropped as somebody else's. */
    readonly id: string;
    readonly model: core.ModelId;
    /** The caller's body as JSON, already checked. */
    readonly body: Readonly<Record<string, unknown>>;
    /** Text that an interrupted run has already delivered; the engine goes on behind it. */
    readonly resumeAfter?: ResumePoint;
}

export interface ResumePoint {
    readonly text: string;
    readonly tokens: number;
}

export enum EngineEventKind {
    /** The engine took the request. */
    Accepted = "Accepted",
    Token = "Token",
    Finished = "Finished",
    Failed = "Failed",
}

export enum EngineFailureKind {
    /** The connection was refused or no byte of the request left: not run. */
    NotSent = "NotSent",
    /** The engine answered with an error of its own, status 4xx. */
    Rejected = "Rejected",
    /** The engine is overloaded or not ready, status 429 or 503: not run. */
    Busy = "Busy",
    /** The connection broke, or the engine died, while the request ran. */
    Broken = "Broken",
    /** The stream or connection went silent for longer than the limit. */
    Silent = "Silent",
    /** Cancelled by us. */
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
    /** Text of one or, where they came together, several tokens. */
    | { readonly kind: EngineEventKind.Token; readonly text: string; readonly tokens: number }
    | { readonly kind: EngineEventKind.Finished; readonly reason: string; readonly usage: Usage }
    | { readonly kind: EngineEventKind.Failed; readonly failure: EngineFailure };

/** What an engine says of its load; it lags, so it is a hint beside own observations. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    /** 0 to 1. */
    readonly cacheUsage: number;
    readonly ageMilliseconds: number;
}

/** What an upstream says it is. The only truth that a rollout goes by. */
export interface UpstreamState {
    readonly models: readonly HeldModel[];
    readonly role: core.UpstreamRole;
    /** Highest fencing number that it has seen; undefined where it ignores them. */
    readonly fencing: number | undefined;
    readonly isLoading: boolean;
    readonly isLeaving: boolean;
    /** Why the last order failed, where it did. */
    readonly failure?: string;
}

export interface HeldModel {
    readonly model: core.ModelId;
    readonly version: string;
    readonly adapters: readonly core.AdapterDescription[];
}

/** Brings an upstream to a state. Whole, not a difference, so that repeating it is harmless. */
export interface UpstreamOrder {
    readonly fencing: number;
    readonly models: readonly HeldModel[];
    readonly role: core.UpstreamRole;
}

export enum OrderOutcomeKind {
    Accepted = "Accepted",
    /** The order's fencing number is old. */
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
    /** Sent as `Idempotency-Key` where the call has one. */
    readonly key?: string;
    /** Use only a connection that is new or answered within the last seconds: this call can't be sent twice. */
    readonly needsProvedConnection: boolean;
    readonly timeoutMilliseconds: number;
}

export interface ServiceResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

export enum ServiceFailureKind {
    /** No byte left: not run. */
    NotSent = "NotSent",
    /** It may have run. */
    MayHaveRun = "MayHaveRun",
}

export type ServiceOutcome =
    | { readonly ok: true; readonly response: ServiceResponse }
    | { readonly ok: false; readonly kind: ServiceFailureKind; readonly text: string };

export enum AskOutcomeKind {
    Ran = "Ran",
    DidNotRun = "DidNotRun",
    /** The service could not be asked. */
    NoAnswer = "NoAnswer",
}

export type AskOutcome =
    | { readonly kind: AskOutcomeKind.Ran; readonly response: ServiceResponse }
    | { readonly kind: AskOutcomeKind.DidNotRun }
    | { readonly kind: AskOutcomeKind.NoAnswer; readonly text: string };
