import type * as core from "@boragedale/core";
import type * as customers from "@boragedale/customers";

/**
 * Types shared by the gateway's modules: the operators' configuration, registered upstreams, callers' requests and upstreams'
 * answers. A platform adapter decodes its own format into these types; nothing here depends on that format.
 */

/** Determines whether a request may be repeated, and how its answer is delivered. */
export enum RouteKind {
    /** Idempotent: may run any number of times. */
    Safe = "Safe",
    /** May run at most once for each attempt of a caller. */
    Unsafe = "Unsafe",
    /** Answered by a stream of events; repeatable only if the route is resumable (`Route.isResumable`). */
    Stream = "Stream",
    /** Accepts submissions of batch items. */
    Batch = "Batch",
}

/** A service of a route and its relative share of the route's requests. */
export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

/** A route: the requests that it matches, the services that answer them, and its limits. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Path prefix that begins and ends with a slash. The longest matching prefix wins. */
    readonly prefix: string;
    readonly kind: RouteKind;
    readonly services: readonly WeightedService[];
    /** Maximum time that a caller waits for the final answer. */
    readonly timeoutMilliseconds: number;
    /** Time within which the answer, or the first event of a stream, should arrive. */
    readonly latencyTargetMilliseconds: number;
    /** Maximum number of upstreams that may run the request for one attempt of the caller. */
    readonly attempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Requests need no customer key. */
    readonly isPublic: boolean;
    /** A broken stream can be continued at another upstream after the last event received. */
    readonly isResumable: boolean;
    /** Batch only: time after acceptance by which all results are due. */
    readonly completionTargetMilliseconds: number;
    /** Batch only: time after acceptance from which unfinished items may be given up. */
    readonly giveUpAfterMilliseconds: number;
}

export interface ServiceDefinition {
    readonly name: string;
    readonly healthPath: string;
    /** Number of connections that one upstream accepts, summed over all gateway instances. */
    readonly connectionLimit: number;
    /** Whether the upstreams are inference engines, whose slots the instances share. */
    readonly isEngine: boolean;
}

/** Limits on callers' requests, set by the operators. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMilliseconds: number;
    readonly idleTimeoutMilliseconds: number;
}

/** A complete version of the operators' configuration. */
export interface Configuration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceDefinition[];
    readonly limits: CallerLimits;
    /** Undefined if no customers are configured; requests then need no key. */
    readonly customers?: readonly customers.Customer[];
}

export enum UpstreamState {
    Ready = "Ready",
    /** Accepts no new requests; requests in progress run to completion. */
    Draining = "Draining",
}

/** The record under which an upstream registers itself. */
export interface UpstreamEntry {
    readonly id: core.UpstreamId;
    readonly service: string;
    /** `host:port`, with an IP address as the host. */
    readonly address: string;
    readonly dataCentre: core.DataCentre;
    /** Version of the upstream's software. Versions are not ordered. */
    readonly softwareVersion: string;
    readonly state: UpstreamState;
    /** Number of requests that the upstream runs concurrently. */
    readonly slots: number;
    /** Unix time of the upstream's start; distinguishes incarnations that share an id. 0 if not given. */
    readonly bornMilliseconds: core.WallMilliseconds;
}

/** Revision of the metadata store, which increases with every change. 0 means that the key is absent. */
export type Revision = number;

/** A key of the metadata store and its value at a revision. The value is undefined if that revision removed the key. */
export interface StoreEntry {
    readonly key: string;
    readonly revision: Revision;
    readonly value: Uint8Array | undefined;
}

/** A request as received. `rawHeaders` alternates names and values and preserves case, order and duplicates. */
export interface RawRequest {
    readonly method: string;
    readonly target: string;
    readonly host: string;
    readonly rawHeaders: readonly string[];
}

/** Request headers that the gateway evaluates, in decoded form. */
export interface RequestHead {
    /** Unique for each attempt of the caller; empty if the caller sent none. */
    readonly attemptId: string;
    /** Time that the caller waits, counted from the arrival of the request; undefined if not given. */
    readonly timeoutMilliseconds: number | undefined;
    /** Number of tokens in the prompt, and maximum number in the output; 0 if not given. */
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Ids of the parts of the prompt in order. The last one identifies the request or its session. */
    readonly promptParts: readonly string[];
    /** Set if the caller resumes a stream: the id of the last event that it received. */
    readonly lastEventId: string | undefined;
    /** Set if the caller resumes a stream: the id of the attempt that brought the stream's first event. */
    readonly firstAttemptId: string | undefined;
}

/** Values that go into the headers of a request to an upstream. */
export interface ForwardOptions {
    readonly upstream: core.UpstreamId;
    readonly remainingMilliseconds: number | undefined;
    /** Set if the stream is resumed: the id of the last event that was received. */
    readonly lastEventId: string | undefined;
    /** Name of the customer; undefined if the request needed no key. */
    readonly customer: string | undefined;
    /** Whether to forward the caller's credentials. If customers are configured, the credentials are for the gateway only. */
    readonly passesCredentials: boolean;
}

/** Headers of an upstream's answer, in decoded form. */
export interface AnswerHead {
    /** Id of the attempt that the answer belongs to; undefined if not given. */
    readonly attemptId: string | undefined;
    /** Whether the answer carries the header that proves that the upstream itself sent it. */
    readonly isStamped: boolean;
    /** The answer proves that the upstream did not run the request. */
    readonly isNotRun: boolean;
    /** Another upstream than the one that was addressed answers at the address. It did not run the request. */
    readonly isMisdirected: boolean;
    /** The body has a content encoding. */
    readonly isEncoded: boolean;
    /** The upstream closes the connection after this answer, for example because it shuts down. */
    readonly closesConnection: boolean;
}

/** Why the gateway answers a request itself instead of passing on an upstream's answer. */
export enum RefusalReason {
    NoConfiguration = "NoConfiguration",
    NoRoute = "NoRoute",
    /** The key is missing or belongs to no customer. */
    Unauthorized = "Unauthorized",
    /** The customer has exceeded its limit. The request did not run. */
    QuotaExceeded = "QuotaExceeded",
    BodyTooLarge = "BodyTooLarge",
    HeaderTooLarge = "HeaderTooLarge",
    BodyInvalid = "BodyInvalid",
    /** The head of the request is ambiguous. */
    RequestInvalid = "RequestInvalid",
    /** No slot would be free in time. The request did not run. */
    Overloaded = "Overloaded",
    NoUpstream = "NoUpstream",
    StoreUnavailable = "StoreUnavailable",
    /** The request has crashed several upstreams and is not sent to others. */
    Quarantined = "Quarantined",
    /** An upstream failed or its connection broke. The request may have run. */
    UpstreamFailed = "UpstreamFailed",
    DeadlinePassed = "DeadlinePassed",
    /** The deadline passed before the request was sent to an upstream. */
    DeadlinePassedNotRun = "DeadlinePassedNotRun",
    /** The process stops before the request could end. The request did not run. */
    Stopping = "Stopping",
    /** The caller continues a stream, and it isn't known which of several software versions began the stream. */
    StreamVersionUnknown = "StreamVersionUnknown",
    UnknownSubmission = "UnknownSubmission",
    UnknownItem = "UnknownItem",
    OutcomeUnknown = "OutcomeUnknown",
}

/** A refusal that the gateway sends instead of an upstream's answer. */
export interface GatewayRefusal {
    readonly reason: RefusalReason;
    /** Time after which the caller may usefully retry. */
    readonly retryAfterMilliseconds?: number;
}

/** An item of a submission as the caller sent it. */
export interface BatchItem {
    readonly id: string;
    /** Path and query of the request to the upstream. */
    readonly target: string;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: Uint8Array;
    /** Sum of the tokens in the prompt and the maximum number in the output. */
    readonly tokens: number;
}

/** Final state of a batch item. */
export enum ResultState {
    Completed = "Completed",
    /** The item can't be completed, has expired, or its submission's route no longer exists. */
    GivenUp = "GivenUp",
}

/** Result of a batch item. */
export interface BatchResult {
    readonly id: string;
    readonly state: ResultState;
    /** Data of all events in order, joined with line feeds. */
    readonly text: string;
}

/** A page of results; `next` is the position after its last result. */
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

/** A request that the gateway serves itself instead of forwarding it. */
export type GatewayCall = { readonly kind: CallKind.Readiness } | SubmissionCall;

/** A gateway call that concerns a submission. */
export type SubmissionCall =
    | {
          readonly kind: CallKind.ReadResults;
          readonly submission: string;
          readonly position: number;
          readonly waitMilliseconds: number;
      }
    | { readonly kind: CallKind.ReadItemBody; readonly submission: string; readonly item: string }
    | { readonly kind: CallKind.EndSubmission; readonly submission: string };
