import * as metadataStore from "./metadataStore.js";
import type * as types from "./types.js";

/** Kinds of call, as the metrics name them. */
export enum StoreCall {
    Read = "read",
    List = "list",
    Transact = "transact",
    Watch = "watch",
    GrantLease = "grant-lease",
    RenewLease = "renew-lease",
    EndLease = "end-lease",
}

/** Outcome of a call that succeeded; others have the kind of their failure. */
export const DoneOutcome = "Done";

/** Told of each call once it is over. */
export type StoreCallObserver = (call: StoreCall, purpose: string, outcome: string, milliseconds: number) => void;

/**
 * Tells of each call to the metadata store what it was for: the store bounds and prices calls, and a rise is found by its
 * purpose.
 */
export class CountedStore extends metadataStore.MetadataStore {
    constructor(
        private readonly inner: metadataStore.MetadataStore,
        private readonly now: () => number,
        private readonly observe: StoreCallObserver,
    ) {
        super();
    }

    override async read(key: string): Promise<metadataStore.StoreResult<types.StoreEntry | undefined>> {
        return this.count(StoreCall.Read, key, this.inner.read(key));
    }

    override async list(
        prefix: string,
        allowStale?: boolean,
    ): Promise<metadataStore.StoreResult<metadataStore.Listing>> {
        return this.count(StoreCall.List, prefix, this.inner.list(prefix, allowStale));
    }

    override async transact(
        transaction: metadataStore.Transaction,
    ): Promise<metadataStore.StoreResult<metadataStore.TransactionOutcome>> {
        const key = transaction.puts[0]?.key ?? transaction.deletes[0] ?? "";
        return this.count(StoreCall.Transact, key, this.inner.transact(transaction));
    }

    override async watch(
        prefix: string,
        after: types.Revision,
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<metadataStore.StoreResult<metadataStore.Listing>> {
        return this.count(StoreCall.Watch, prefix, this.inner.watch(prefix, after, waitMilliseconds, signal));
    }

    override async grantLease(milliseconds: number): Promise<metadataStore.StoreResult<string>> {
        return this.count(StoreCall.GrantLease, "", this.inner.grantLease(milliseconds));
    }

    override async renewLease(lease: string): Promise<metadataStore.StoreResult<void>> {
        return this.count(StoreCall.RenewLease, "", this.inner.renewLease(lease));
    }

    override async endLease(lease: string): Promise<metadataStore.StoreResult<void>> {
        return this.count(StoreCall.EndLease, "", this.inner.endLease(lease));
    }

    private async count<T>(
        call: StoreCall,
        key: string,
        result: Promise<metadataStore.StoreResult<T>>,
    ): Promise<metadataStore.StoreResult<T>> {
        const startedAt = this.now();
        const settled = await result;
        const outcome = settled.ok ? DoneOutcome : settled.failure.kind;
        this.observe(call, getPurpose(key), outcome, this.now() - startedAt);
        return settled;
    }
}

/** Parts of a key that tell what it is for; what follows names one submission or member, and must not become a series. */
const PurposeParts = 2;

function getPurpose(key: string): string {
    return key.split("/").slice(0, PurposeParts).join("/");
}
