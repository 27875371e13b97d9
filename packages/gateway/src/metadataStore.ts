import type * as types from "./types.js";

export enum StoreFailureKind {
    /** Nothing was done: the call was rejected or throttled, or there was no connection. */
    NotDone = "NotDone",
    /** There was no answer: the call may have been executed, or may still be. */
    Unknown = "Unknown",
    /** The history before the revision is no longer kept, and the prefix must be listed again. */
    HistoryGone = "HistoryGone",
    /** The lease has ended. */
    LeaseGone = "LeaseGone",
    /** The caller aborted the call, which says nothing about the store. */
    BrokenOff = "BrokenOff",
}

export interface StoreFailure {
    readonly kind: StoreFailureKind;
    readonly text: string;
}

export type StoreResult<T> =
    { readonly ok: true; readonly value: T } | { readonly ok: false; readonly failure: StoreFailure };

export interface Precondition {
    readonly key: string;
    /** The revision that the key must have; 0 if it must be absent. */
    readonly revision: types.Revision;
}

export interface Put {
    readonly key: string;
    readonly value: Uint8Array;
    /** The entry is removed when this lease ends. */
    readonly lease?: string;
}

/** Executed completely or not at all. Limits: MaximumTransactionEntries in total, MaximumValueBytes per value. */
export interface Transaction {
    readonly preconditions: readonly Precondition[];
    readonly puts: readonly Put[];
    readonly deletes: readonly string[];
}

export type TransactionOutcome =
    | { readonly isCommitted: true; readonly revision: types.Revision }
    /** The current entries of the keys that the preconditions name. */
    | { readonly isCommitted: false; readonly current: readonly types.StoreEntry[] };

/** Entries as of a revision. */
export interface Listing {
    readonly entries: readonly types.StoreEntry[];
    readonly revision: types.Revision;
}

export const MaximumTransactionEntries = 32;
/** Below the store's limit of one megabyte, with room for the encoding around a value. */
export const MaximumValueBytes = 700_000;

/**
 * A key-value store with transactions over several keys, one revision counter, leases and long-poll watches. Unlike the
 * product's `KeyValueService`, which swaps one key at a time, it changes a submission, its owner and a segment of
 * results together. With separate writes, a process killed between two of them would lose one.
 */
export abstract class MetadataStore {
    /** A linearizable read. */
    abstract read(key: string): Promise<StoreResult<types.StoreEntry | undefined>>;
    /** Lists all pages. With `allowStale` the result may be seconds old and costs a tenth. */
    abstract list(prefix: string, allowStale?: boolean): Promise<StoreResult<Listing>>;
    abstract transact(transaction: Transaction): Promise<StoreResult<TransactionOutcome>>;
    /** Waits for changes after a revision. Returns an empty list if there are none within `waitMilliseconds`. */
    abstract watch(
        prefix: string,
        after: types.Revision,
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<StoreResult<Listing>>;
    abstract grantLease(milliseconds: number): Promise<StoreResult<string>>;
    abstract renewLease(lease: string): Promise<StoreResult<void>>;
    abstract endLease(lease: string): Promise<StoreResult<void>>;
}
