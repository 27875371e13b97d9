import type * as core from "@boragedale/core";
import type * as customers from "@boragedale/customers";

/**
 * The vocabulary of the gateway: what the operators configure, which upstreams live, what a caller asks for and what
 * an upstream answers. A platform adapter decodes its own format into these types; nothing here knows that format.
 */

/** What may be repeated, and how an answer is delivered. */
export enum RouteKind {
    /** Idempotent: may run any number of times. */
    Safe = "Safe",
    /** May run at most once for each attempt of a caller. */
    Unsafe = "Unsafe",
    /** Answered by a series of events; repeatable only where the route says that it can be resumed. */
    Stream = "Stream",
    /** Takes submissions of batch items. */
    Batch = "Batch",
}

/** A service of a route with its share of the route's requests; weights are relative. */
export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash; the longest one that begins the path wins. */
    readonly prefix: string;
    readonly kind: RouteKind;
    readonly services: readonly WeightedService[];
    /** Longest time that a caller is kept waiting for the final answer. */
    readonly timeoutMilliseconds: number;
    /** The time within which an answer (of a stream: its first event) is worth the most. */
    readonly latencyTargetMilliseconds: number;
    /** Most upstreams that one attempt of a caller may reach. */
    readonly attempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Needs no customer's key. */
    readonly isPublic: boolean;
    readonly isResumable: boolean;
    /** Batch only: time from the submission until all results are due. */
    readonly runTargetMilliseconds: number;
    /** Batch only: time from the submission until an item may be given up. */
    readonly keepMilliseconds: number;
}

export interface ServiceDefinition {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that one upstream accepts from all instances together. */
    readonly connectionLimit: number;
    readonly isEngine: boolean;
}

/** Bounds on what a caller may send, as the operators configure them. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMilliseconds: number;
    readonly idleTimeoutMilliseconds: number;
}

/** One version of the operators' configuration, whole. */
export interface Configuration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceDefinition[];
    readonly limits: CallerLimits;
    /** Undefined: no customers are configured, and requests need no key. */
    readonly customers?: readonly customers.Customer[];
}

export enum UpstreamState {
    Ready = "Ready",
    /** Takes no new work; work in progress runs to its end. */
    Draining = "Draining",
}

/** What an upstream registers about itself. */
export interface UpstreamEntry {
    readonly id: core.UpstreamId;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly dataCentre: core.DataCentre;
    readonly state: UpstreamState;
    /** Requests that it runs at the same time. */
    readonly slots: number;
    /** Unix time of its start; tells two lives under one id apart. 0 where it doesn't say. */
    readonly bornMilliseconds: core.WallMilliseconds;
}

/** Counts up with every change in the metadata store; 0 stands for "the key is absent". */
export type Revision = number;

/** A key of the metadata store as it was at a revision; no value: it was removed then. */
export interface StoreEntry {
    readonly key: string;
    readonly revision: Revision;
    readonly value: Uint8Array | undefined;
}

/** Method, target, host, and headers as they arrived: names and values in turn, with case, order and duplicates kept. */
export interface RawRequest {
    readonly method: string;
    readonly target: string;
    readonly host: string;
    readonly rawHeaders: readonly string[];
}

/** What the gateway needs to know of a caller's request besides its route. */
export interface RequestHead {
    /** Unique for each attempt of a caller; empty where the caller sent none. */
    readonly attemptId: string;
    /** How long the caller waits from now on; undefined where it doesn't say. */
    readonly timeoutMilliseconds: number | undefined;
    /** Tokens of the prompt and most tokens of the output; 0 where not said. */
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Ids of the parts of the prompt, first to last; the last one belongs to the request or its session. */
    readonly promptParts: readonly string[];
    /** A caller that resumes a stream has seen all events up to this one. */
    readonly lastEventId: string | undefined;
}

/** What is changed or added on the way to an upstream. */
export interface ForwardOptions {
    readonly upstream: core.UpstreamId;
    readonly remainingMilliseconds: number | undefined;
    /** Set where a stream goes on after an event that the caller has. */
    readonly lastEventId: string | undefined;
    /** Name of the customer whose request it is; undefined where it needed no key. */
    readonly customer: string | undefined;
    /** Whether the caller's credentials are meant for the upstream; where customers are configured they are the gateway's. */
    readonly passesCredentials: boolean;
}

/** What an answer's headers tell. */
export interface AnswerHead {
    /** The attempt that the upstream answers; undefined where it doesn't say. */
    readonly attemptId: string | undefined;
    /** Whether it carries the upstream's proof that the answer is its own. */
    readonly isStamped: boolean;
    /** The upstream proves that it did not run the request. */
    readonly isNotRun: boolean;
    readonly isEncoded: boolean;
    /** The upstream closes its end after this answer, as one does that leaves. */
    readonly closesConnection: boolean;
}

/** Why a request ends without an upstream's answer. */
export enum RefusalReason {
    NoConfiguration = "NoConfiguration",
    NoRoute = "NoRoute",
    /** No customer has the key, or there is none. */
    Unauthorized = "Unauthorized",
    /** The customer is over its limit; proved not to have run. */
    QuotaExceeded = "QuotaExceeded",
    BodyTooLarge = "BodyTooLarge",
    HeaderTooLarge = "HeaderTooLarge",
    BodyInvalid = "BodyInvalid",
    /** No place in time; proved not to have run. */
    Overloaded = "Overloaded",
    NoUpstream = "NoUpstream",
    StoreUnavailable = "StoreUnavailable",
    /** The request kills the upstreams that run it. */
    Quarantined = "Quarantined",
    /** May have run: an upstream broke off. */
    UpstreamFailed = "UpstreamFailed",
    DeadlinePassed = "DeadlinePassed",
    /** The deadline passed before anything was sent. */
    DeadlinePassedNotRun = "DeadlinePassedNotRun",
    UnknownSubmission = "UnknownSubmission",
    UnknownItem = "UnknownItem",
    OutcomeUnknown = "OutcomeUnknown",
}

export interface GatewayRefusal {
    readonly reason: RefusalReason;
    /** When coming back helps. */
    readonly retryAfterMilliseconds?: number;
}

/** One item of a submission as the caller sent it. */
export interface BatchItem {
    readonly id: string;
    /** Path with query, as the upstream gets it. */
    readonly target: string;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: Uint8Array;
    /** Tokens of the prompt and most tokens of the output, summed. */
    readonly tokens: number;
}

export enum ResultState {
    Completed = "Completed",
    /** Given up: it can't be done, or its time or its submission is over. */
    GivenUp = "GivenUp",
}

export interface BatchResult {
    readonly id: string;
    readonly state: ResultState;
    /** Data of all events in order, separated by line feeds. */
    readonly text: string;
}

/** Results from a position on. */
export interface ResultPage {
    readonly total: number;
    readonly next: number;
    readonly results: readonly BatchResult[];
}

export enum CallKind {
    Readiness = "Readiness",
    ReadResults = "ReadResults",
    ReadItemBody = "ReadItemBody",
    EndSubmission = "EndSubmission",
}

/** A call to the gateway itself, as opposed to a request that it forwards. */
export type GatewayCall = { readonly kind: CallKind.Readiness } | SubmissionCall;

/** A call about a submission. */
export type SubmissionCall =
    | {
          readonly kind: CallKind.ReadResults;
          readonly submission: string;
          readonly position: number;
          readonly waitMilliseconds: number;
      }
    | { readonly kind: CallKind.ReadItemBody; readonly submission: string; readonly item: string }
    | { readonly kind: CallKind.EndSubmission; readonly submission: string };
