import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** Largest value that the platform's key-value service accepts. Our values stay below it, to leave room for encoding. */
export const MaximumValueBytes = 1_000_000;

/**
 * The platform's key-value service: compare-and-swap, leases, watches. Failures are returned as values, since each
 * caller must distinguish "nothing was written" from "it may have been written".
 */
export abstract class KeyValueService {
    abstract get(key: string, purpose: types.CallPurpose): Promise<types.KeyValueResult<types.Entry | undefined>>;
    abstract list(request: types.ListRequest): Promise<types.KeyValueResult<readonly types.Entry[]>>;
    abstract compareAndSwap(request: types.SwapRequest): Promise<types.KeyValueResult<types.SwapOutcome>>;
    /** Requests a lease of `milliseconds`; it expires unless it is kept alive. */
    abstract grantLease(milliseconds: number): Promise<types.KeyValueResult<types.LeaseId>>;
    /** Returns false when the lease had already ended. */
    abstract keepLeaseAlive(lease: types.LeaseId): Promise<types.KeyValueResult<boolean>>;
    abstract revokeLease(lease: types.LeaseId): Promise<types.KeyValueResult<void>>;
    /** Yields changes until `signal` is aborted; reconnects automatically and yields a gap if changes were missed. */
    abstract watch(request: types.WatchRequest): AsyncIterable<types.WatchEvent>;
}

/** The platform's list of live and leaving instances. It lags by seconds, so it must not be used for fencing. */
export abstract class InstanceList {
    /** Returns undefined if the list could not be read. */
    abstract tryRead(): Promise<readonly core.InstanceDescription[] | undefined>;
}

/** The store of model weights. The whole fleet shares its rate, so a slot must be held while an upstream loads. */
export abstract class WeightStore {
    /** Returns the size of one version's weights, or undefined if the store doesn't know the version. */
    abstract tryGetBytes(model: core.ModelId, version: string): Promise<number | undefined>;
}
