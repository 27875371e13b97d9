import type * as core from "@boragedale/core";

/** Identifies a non-idempotent call. Keys are chosen by callers and are unique within one caller. */
export interface CallIdentity {
    readonly caller: core.CallerId;
    readonly key: string;
}

export interface CallRequest extends CallIdentity {
    /** Hash of method, path and body. A request with a known key and another fingerprint is rejected. */
    readonly fingerprint: string;
    readonly service: string;
}

/** The complete response to a call, kept until its retention ends. */
export interface CallResult {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Where a large body is stored. Used only inside the ledger, which loads the body before it returns a result. */
    readonly storedBody?: StoredBody;
}

export interface StoredBody {
    readonly name: string;
    readonly pieces: number;
}

export enum CallState {
    Started = "Started",
    Finished = "Finished",
    OutcomeUnknown = "OutcomeUnknown",
}

/** The ledger's record of a call. The result is returned only to the caller that made the call. */
export interface CallRecord extends CallIdentity {
    readonly state: CallState;
    readonly fingerprint: string;
    readonly service: string;
    /** Incremented each time the call is started again, which happens only where the release note makes that safe. */
    readonly attempt: number;
    /** The instance that sends the call. */
    readonly instance: core.InstanceId;
    readonly startedAt: core.WallMilliseconds;
    /** Identifies the latest start. A request to release or take over the call must carry this id. */
    readonly startId?: string;
    /** A later attempt was abandoned before it was sent, and the outcome of the first attempt is unknown. */
    readonly isOrphaned?: boolean;
    readonly endedAt?: core.WallMilliseconds;
    readonly result?: CallResult;
}

export enum BeginKind {
    /** Recorded as started by this instance, which may send the call now. */
    Started = "Started",
    Finished = "Finished",
    /** Another request with the same key is running; its result can be waited for. */
    InFlight = "InFlight",
    /**
     * Started by an instance that was removed from the fleet. The service is asked for the outcome, or the call is
     * resent if the service drops duplicates; otherwise the outcome is recorded as unknown.
     */
    Orphaned = "Orphaned",
    KeyReused = "KeyReused",
    OutcomeUnknown = "OutcomeUnknown",
    /** The ledger can't be read or written now; this request started nothing. */
    Unavailable = "Unavailable",
}

export type BeginOutcome =
    | { readonly kind: BeginKind.Started; readonly record: CallRecord }
    | { readonly kind: BeginKind.Finished; readonly result: CallResult }
    | { readonly kind: BeginKind.InFlight; readonly record: CallRecord }
    | { readonly kind: BeginKind.Orphaned; readonly record: CallRecord }
    | { readonly kind: BeginKind.KeyReused }
    | { readonly kind: BeginKind.OutcomeUnknown }
    | { readonly kind: BeginKind.Unavailable; readonly text: string };

/** One line of a job's input, in the format of OpenAI's batch files. */
export interface JobItem {
    /** Zero-based position in the input. */
    readonly index: number;
    readonly customId: string;
    readonly method: string;
    /** `/v1/chat/completions` or `/services/…`. */
    readonly url: string;
    readonly body: unknown;
}

export enum JobState {
    Running = "Running",
    Cancelling = "Cancelling",
    Cancelled = "Cancelled",
    Finished = "Finished",
    Expired = "Expired",
}

export interface JobCounts {
    readonly total: number;
    readonly succeeded: number;
    readonly failed: number;
}

export interface JobDescription {
    readonly id: string;
    readonly caller: core.CallerId;
    readonly state: JobState;
    readonly counts: JobCounts;
    readonly inputFile: string;
    readonly endpoint: string;
    /** Generation of the release note that determines the model versions of finished items. */
    readonly generation: core.Generation;
    readonly createdAt: core.WallMilliseconds;
    readonly deadlineAt: core.WallMilliseconds;
    readonly endedAt?: core.WallMilliseconds;
    readonly metadata?: Readonly<Record<string, string>>;
}

export interface FileDescription {
    readonly id: string;
    readonly caller: core.CallerId;
    readonly name: string;
    readonly bytes: number;
    readonly purpose: string;
    readonly createdAt: core.WallMilliseconds;
}

export interface SubmitRequest {
    readonly caller: core.CallerId;
    /** Submitting again with the same key returns the same job. */
    readonly key: string;
    readonly inputFile: string;
    readonly endpoint: string;
    readonly generation: core.Generation;
    readonly deadlineMilliseconds: number;
    readonly metadata?: Readonly<Record<string, string>>;
}

export enum ItemOutcomeKind {
    Succeeded = "Succeeded",
    /** Can't succeed; the item is not retried. */
    Failed = "Failed",
    /** Failed this time; counts as an attempt and is retried up to the attempt limit. */
    TryAgain = "TryAgain",
    /** Was preempted by online work or by the instance's shutdown; doesn't count as an attempt. */
    GaveWay = "GaveWay",
}

export type ItemOutcome =
    | { readonly kind: ItemOutcomeKind.Succeeded; readonly status: number; readonly body: unknown }
    | { readonly kind: ItemOutcomeKind.Failed; readonly code: string; readonly text: string }
    | { readonly kind: ItemOutcomeKind.TryAgain; readonly text: string }
    | { readonly kind: ItemOutcomeKind.GaveWay; readonly retryAfterMilliseconds: number };

export interface ItemContext {
    readonly job: string;
    readonly caller: core.CallerId;
    readonly generation: core.Generation;
    readonly deadlineAt: core.WallMilliseconds;
}
