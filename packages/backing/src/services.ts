import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** Largest value that the platform's key-value service takes, in bytes; we stay under it with room for encoding. */
export const MaximumValueBytes = 1_000_000;

/**
 * The platform's key-value service: compare-and-swap, leases, watches. Failures are values, since each caller must
 * tell "nothing was written" from "it may have been written".
 */
export abstract class KeyValueService {
    abstract get(key: string, purpose: types.CallPurpose): Promise<types.KeyValueResult<types.Entry | undefined>>;
    abstract list(request: types.ListRequest): Promise<types.KeyValueResult<readonly types.Entry[]>>;
    abstract compareAndSwap(request: types.SwapRequest): Promise<types.KeyValueResult<types.SwapOutcome>>;
    /** Asks for a lease of `milliseconds`; the service ends it unless it is kept alive. */
    abstract grantLease(milliseconds: number): Promise<types.KeyValueResult<types.LeaseId>>;
    /** Returns false when the lease had already ended. */
    abstract keepLeaseAlive(lease: types.LeaseId): Promise<types.KeyValueResult<boolean>>;
    abstract revokeLease(lease: types.LeaseId): Promise<types.KeyValueResult<void>>;
    /** Yields changes until `signal` is aborted; reconnects by itself and yields a gap where changes were missed. */
    abstract watch(request: types.WatchRequest): AsyncIterable<types.WatchEvent>;
}

/** The platform's list of live and leaving instances. It lags by seconds: a hint, never a fence. */
export abstract class InstanceList {
    /** Returns undefined when the list could not be read. */
    abstract tryRead(): Promise<readonly core.InstanceDescription[] | undefined>;
}

/** The weight store's rate is shared by the whole fleet; a slot must be held while an upstream loads. */
export abstract class WeightStore {
    /** Bytes of the weights of one version, or undefined where the store doesn't know it. */
    abstract tryGetBytes(model: core.ModelId, version: string): Promise<number | undefined>;
}
