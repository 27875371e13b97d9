import * as metadataStore from "./metadataStore.js";
import type * as types from "./types.js";

/** Kinds of calls. The values are the names in the metrics. */
export enum StoreCall {
    Read = "read",
    List = "list",
    Transact = "transact",
    Watch = "watch",
    GrantLease = "grant-lease",
    RenewLease = "renew-lease",
    EndLease = "end-lease",
}

/** Outcome of a successful call. The outcome of a failed call is the kind of its failure. */
export const DoneOutcome = "Done";

/** Called with each store call after it has ended. */
export type StoreCallObserver = (call: StoreCall, purpose: string, outcome: string, milliseconds: number) => void;

/**
 * Reports the purpose, outcome and duration of each call to the metadata store. The store limits calls and charges for
 * them, and the purpose shows the cause of an increase.
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
        return this.observeResult(StoreCall.Read, key, this.inner.read(key));
    }

    override async list(
        prefix: string,
        allowStale?: boolean,
    ): Promise<metadataStore.StoreResult<metadataStore.Listing>> {
        return this.observeResult(StoreCall.List, prefix, this.inner.list(prefix, allowStale));
    }

    override async transact(
        transaction: metadataStore.Transaction,
    ): Promise<metadataStore.StoreResult<metadataStore.TransactionOutcome>> {
        const key = transaction.puts[0]?.key ?? transaction.deletes[0] ?? "";
        return this.observeResult(StoreCall.Transact, key, this.inner.transact(transaction));
    }

    override async watch(
        prefix: string,
        after: types.Revision,
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<metadataStore.StoreResult<metadataStore.Listing>> {
        return this.observeResult(StoreCall.Watch, prefix, this.inner.watch(prefix, after, waitMilliseconds, signal));
    }

    override async grantLease(milliseconds: number): Promise<metadataStore.StoreResult<string>> {
        return this.observeResult(StoreCall.GrantLease, "", this.inner.grantLease(milliseconds));
    }

    override async renewLease(lease: string): Promise<metadataStore.StoreResult<void>> {
        return this.observeResult(StoreCall.RenewLease, "", this.inner.renewLease(lease));
    }

    override async endLease(lease: string): Promise<metadataStore.StoreResult<void>> {
        return this.observeResult(StoreCall.EndLease, "", this.inner.endLease(lease));
    }

    private async observeResult<T>(
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

/**
 * Number of leading key segments that identify the purpose. The rest names a single submission or member and must not
 * become a metric series.
 */
const PurposeSegments = 2;

function getPurpose(key: string): string {
    return key.split("/").slice(0, PurposeSegments).join("/");
}
