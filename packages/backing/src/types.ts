/** Data types of the platform's services, shared by the HTTP adapters and the in-memory stand-ins of tests. */

/** Increases with every write to the service; 0 means that the key is absent. */
export type Revision = number;
export type LeaseId = string;

export interface Entry {
    readonly key: string;
    readonly value: Uint8Array;
    /** Revision of the last write to this key. */
    readonly revision: Revision;
}

/** Purpose of a call, in order of urgency. Each purpose has its own share of the call budget. */
export enum CallPurpose {
    Ledger = "Ledger",
    Note = "Note",
    Claim = "Claim",
    Checkpoint = "Checkpoint",
    Lease = "Lease",
    JobInput = "JobInput",
    Read = "Read",
    Watch = "Watch",
}

export enum KeyValueFailureKind {
    /** Nothing was written: the service refused the call, or could not be reached before the call was sent. */
    Unavailable = "Unavailable",
    /** The reply was lost; the write may have taken effect. Reading the entry shows whether it did. */
    ReplyLost = "ReplyLost",
    /** Nothing was written: the service or our own pacing requires that the call is retried later. */
    Throttled = "Throttled",
}

export interface KeyValueFailure {
    readonly kind: KeyValueFailureKind;
    readonly text: string;
    readonly retryAfterMilliseconds?: number;
    /** Whether the service itself refused the call. It is up then, and the same call would fail again. */
    readonly isAnswer?: boolean;
}

export type KeyValueResult<T> =
    { readonly ok: true; readonly value: T } | { readonly ok: false; readonly failure: KeyValueFailure };

/** Result of a compare-and-swap. On a conflict it contains the current entry, so that no second read is needed. */
export type SwapOutcome =
    | { readonly swapped: true; readonly revision: Revision }
    | { readonly swapped: false; readonly current: Entry | undefined };

export interface SwapRequest {
    readonly key: string;
    /** The revision that the entry must still have; 0 if the key must be absent. */
    readonly expectedRevision: Revision;
    /** The new value; undefined deletes the key. */
    readonly value: Uint8Array | undefined;
    /** The entry is deleted when this lease ends. */
    readonly lease?: LeaseId;
    readonly purpose: CallPurpose;
}

export interface ListRequest {
    readonly prefix: string;
    /** Lists only keys after this one, in byte order. */
    readonly after?: string;
    readonly limit: number;
    readonly purpose: CallPurpose;
}

export interface WatchRequest {
    readonly prefix: string;
    /** Only changes after this revision are yielded. */
    readonly afterRevision: Revision;
    readonly signal: AbortSignal;
    /** Awaited before each connection, so that the paced client can count and delay connections. */
    readonly beforeConnect?: () => Promise<void>;
}

export enum WatchEventKind {
    Changed = "Changed",
    Removed = "Removed",
    /** Changes were missed (compaction, reconnection); the reader must list the prefix again. */
    Gap = "Gap",
}

export type WatchEvent =
    | { readonly kind: WatchEventKind.Changed; readonly entry: Entry }
    | { readonly kind: WatchEventKind.Removed; readonly key: string; readonly revision: Revision }
    | { readonly kind: WatchEventKind.Gap; readonly revision: Revision };
