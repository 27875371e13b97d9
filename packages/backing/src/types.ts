/** What the platform's services give and take. The adapters speak HTTP; tests use in-memory ones. */

/** Counts up with every write to the service; 0 stands for "the key is absent". */
export type Revision = number;
export type LeaseId = string;

export interface Entry {
    readonly key: string;
    readonly value: Uint8Array;
    /** Revision of the last write to this key. */
    readonly revision: Revision;
}

/** What a call is for. Each purpose has its own share of the call budget, in this order of urgency. */
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
    /** Nothing was written: the service refused or could not be reached before the call left. */
    Unavailable = "Unavailable",
    /** The reply was lost: the write may have taken effect. Read back to know. */
    ReplyLost = "ReplyLost",
    /** The service, or our own pacing, asks to come back later. Nothing was written. */
    Throttled = "Throttled",
}

export interface KeyValueFailure {
    readonly kind: KeyValueFailureKind;
    readonly text: string;
    readonly retryAfterMilliseconds?: number;
    /** True where the service itself refused the call as it stands: it is up, and the same call would fail again. */
    readonly isAnswer?: boolean;
}

export type KeyValueResult<T> =
    { readonly ok: true; readonly value: T } | { readonly ok: false; readonly failure: KeyValueFailure };

/** What a compare-and-swap did. On a conflict the entry that won comes along, so that no second read is needed. */
export type SwapOutcome =
    | { readonly swapped: true; readonly revision: Revision }
    | { readonly swapped: false; readonly current: Entry | undefined };

export interface SwapRequest {
    readonly key: string;
    /** The revision that must still be there; 0 where the key must be absent. */
    readonly expectedRevision: Revision;
    /** The new value; undefined deletes the key. */
    readonly value: Uint8Array | undefined;
    /** The entry vanishes when this lease ends. */
    readonly lease?: LeaseId;
    readonly purpose: CallPurpose;
}

export interface ListRequest {
    readonly prefix: string;
    /** Only keys after this one, in byte order. */
    readonly after?: string;
    readonly limit: number;
    readonly purpose: CallPurpose;
}

export interface WatchRequest {
    readonly prefix: string;
    /** Changes after this revision are wanted. */
    readonly afterRevision: Revision;
    readonly signal: AbortSignal;
    /** Awaited before each connection; the paced client counts them by it. */
    readonly admit?: () => Promise<void>;
}

export enum WatchEventKind {
    Changed = "Changed",
    Removed = "Removed",
    /** Changes were missed (compaction, reconnection): read the prefix again, then go on. */
    Gap = "Gap",
}

export type WatchEvent =
    | { readonly kind: WatchEventKind.Changed; readonly entry: Entry }
    | { readonly kind: WatchEventKind.Removed; readonly key: string; readonly revision: Revision }
    | { readonly kind: WatchEventKind.Gap; readonly revision: Revision };
