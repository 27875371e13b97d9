import type * as core from "@boragedale/core";

/** What a non-idempotent call is known by: the caller's key, within that caller. */
export interface CallIdentity {
    readonly caller: core.CallerId;
    readonly key: string;
}

export interface CallRequest extends CallIdentity {
    /** Hash of method, path and body: the same key with another body is refused. */
    readonly fingerprint: string;
    readonly service: string;
}

/** The whole answer of a call, kept until retention ends. */
export interface CallResult {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Where a large body lies; only within the ledger, which puts the body back before it gives a result out. */
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

/** What anybody may read of a call; the result goes to its own caller only. */
export interface CallRecord extends CallIdentity {
    readonly state: CallState;
    readonly fingerprint: string;
    readonly service: string;
    /** Rises each time the call is started again (only where the release note makes that safe). */
    readonly attempt: number;
    /** The instance that sends it. */
    readonly instance: core.InstanceId;
    readonly startedAt: core.WallMilliseconds;
    /** Names this start: the ledger takes back or hands over a call only by the name of its latest start. */
    readonly startId?: string;
    /** An attempt after the first was given up before sending; what became of the first is not known. */
    readonly isOrphaned?: boolean;
    readonly endedAt?: core.WallMilliseconds;
    readonly result?: CallResult;
}

export enum BeginKind {
    /** Recorded as started by this instance: send it now. */
    Started = "Started",
    Finished = "Finished",
    /** Another request with the same key is running: wait for its result. */
    InFlight = "InFlight",
    /** Started by an instance that is gone: ask the service, or resend if it drops duplicates, else give it up. */
    Orphaned = "Orphaned",
    KeyReused = "KeyReused",
    OutcomeUnknown = "OutcomeUnknown",
    /** The ledger can't be written: nothing was started. */
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

/** One line of a job's input, in the shape of OpenAI's batch files. */
export interface JobItem {
    /** Position in the input, from 0. */
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
    /** The release note whose model versions finished items carry. */
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
    /** The same key gives the same job, however often it is submitted. */
    readonly key: string;
    readonly inputFile: string;
    readonly endpoint: string;
    readonly generation: core.Generation;
    readonly deadlineMilliseconds: number;
    readonly metadata?: Readonly<Record<string, string>>;
}

export enum ItemOutcomeKind {
    Succeeded = "Succeeded",
    /** Can never be done: don't try again. */
    Failed = "Failed",
    /** Did not work this time; counts as an attempt. */
    TryAgain = "TryAgain",
    /** Gave way to online work or a stopping instance; costs no attempt. */
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
