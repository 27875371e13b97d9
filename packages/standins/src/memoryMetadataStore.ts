import type * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";

/** Faults between one client and the store, which a test switches on and off. */
export interface MetadataFaults {
    /** Calls fail without taking effect. */
    isDown: boolean;
    /** Number of upcoming transactions that take effect but whose reply is lost. */
    lostReplies: number;
    /**
     * Number of upcoming transactions that get no reply and are carried out only after `transactionDelayMilliseconds`,
     * if their preconditions still hold then.
     */
    delayedTransactions: number;
    transactionDelayMilliseconds: number;
    /** Time after which the replies to transactions arrive, which take effect at once. */
    transactionReplyMilliseconds: number;
    /** All calls time out without a reply, including watches that start now and open watches that would return now. */
    isSilent: boolean;
    /** Calls that start now time out without a reply; watches that are already open still return. */
    areNewCallsSilent: boolean;
    /** Watches that start now time out without a reply, as on a connection that went silent. */
    areNewWatchesSilent: boolean;
    /** Returned by listings that allow stale data, instead of the current state. */
    staleListing?: gateway.Listing | undefined;
}

interface Lease {
    readonly milliseconds: number;
    readonly keys: Set<string>;
    stop: () => void;
}

interface Change {
    readonly entry: gateway.StoreEntry;
}

const UnansweredCallMilliseconds = 1_000;
/** Time beyond a watch's own wait after which a client treats its connection as silent. */
const WatchTimeoutMarginMilliseconds = 1_500;

/** The state of a metadata store, held in memory. `createClient` creates its clients. */
export class MemoryMetadata {
    private readonly entries = new Map<string, gateway.StoreEntry & { readonly lease: string | undefined }>();
    private readonly leases = new Map<string, Lease>();
    private readonly watchers = new Set<() => void>();
    private history: Change[] = [];
    private historyStart: gateway.Revision = 0;
    private revision: gateway.Revision = 0;
    private nextLease = 1;
    /** While this is set, leases don't expire; they end only through `endLease`. */
    areLeaseExpiriesPaused = false;
    /** Number of calls by method name. */
    readonly calls = new Map<string, number>();

    constructor(readonly clock: core.Clock) {}

    createClient(): MemoryMetadataStore {
        return new MemoryMetadataStore(this);
    }

    get(key: string): gateway.StoreEntry | undefined {
        return this.entries.get(key);
    }

    list(prefix: string): gateway.Listing {
        const entries = [...this.entries.values()].filter(entry => entry.key.startsWith(prefix));
        return { entries: entries.sort((left, right) => (left.key < right.key ? -1 : 1)), revision: this.revision };
    }

    /** Drops the history, so that watches from an earlier revision must list again. */
    compact(): void {
        this.history = [];
        this.historyStart = this.revision;
        this.notifyWatchers();
    }

    /** Writes without preconditions or a lease, as operators and upstreams do. */
    put(key: string, value: string | Uint8Array): gateway.Revision {
        const bytes = typeof value === "string" ? Buffer.from(value) : value;
        this.transact({ preconditions: [], puts: [{ key, value: bytes }], deletes: [] });
        return this.revision;
    }

    remove(key: string): void {
        this.transact({ preconditions: [], puts: [], deletes: [key] });
    }

    transact(transaction: gateway.Transaction): gateway.StoreResult<gateway.TransactionOutcome> {
        const arePreconditionsMet = transaction.preconditions.every(
            condition => (this.entries.get(condition.key)?.revision ?? 0) === condition.revision,
        );
        if (!arePreconditionsMet) {
            const current = transaction.preconditions.flatMap(condition => this.entries.get(condition.key) ?? []);
            return { ok: true, value: { isCommitted: false, current } };
        }
        if (transaction.puts.some(put => put.lease !== undefined && !this.leases.has(put.lease))) {
            return createFailure(gateway.StoreFailureKind.LeaseGone);
        }
        this.revision++;
        for (const put of transaction.puts) {
            this.write(put.key, put.value, put.lease);
        }
        for (const key of transaction.deletes) {
            this.write(key, undefined, undefined);
        }
        this.notifyWatchers();
        return { ok: true, value: { isCommitted: true, revision: this.revision } };
    }

    /** Changes under a prefix after a revision; undefined if that part of the history was dropped. */
    tryGetChanges(prefix: string, after: gateway.Revision): gateway.Listing | undefined {
        if (after < this.historyStart) {
            return undefined;
        }
        const entries = this.history
            .map(change => change.entry)
            .filter(entry => entry.revision > after && entry.key.startsWith(prefix));
        return { entries, revision: this.revision };
    }

    /** Resolves at the next change, after the given time, or when the signal is aborted. */
    async waitForChange(milliseconds: number, signal: AbortSignal): Promise<void> {
        await new Promise<void>(resolve => {
            const finish = (): void => {
                stop();
                this.watchers.delete(finish);
                signal.removeEventListener("abort", finish);
                resolve();
            };
            const stop = this.clock.schedule(milliseconds, finish);
            this.watchers.add(finish);
            signal.addEventListener("abort", finish, { once: true });
        });
    }

    grantLease(milliseconds: number): string {
        const id = String(this.nextLease++);
        this.leases.set(id, { milliseconds, keys: new Set(), stop: this.scheduleExpiry(id, milliseconds) });
        return id;
    }

    renewLease(id: string): boolean {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return false;
        }
        lease.stop();
        lease.stop = this.scheduleExpiry(id, lease.milliseconds);
        return true;
    }

    endLease(id: string): boolean {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return false;
        }
        lease.stop();
        this.leases.delete(id);
        this.transact({ preconditions: [], puts: [], deletes: [...lease.keys] });
        return true;
    }

    count(call: string): void {
        this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
    }

    private scheduleExpiry(id: string, milliseconds: number): () => void {
        return this.clock.schedule(milliseconds, () => {
            const lease = this.leases.get(id);
            if (lease !== undefined && this.areLeaseExpiriesPaused) {
                lease.stop = this.scheduleExpiry(id, milliseconds);
                return;
            }
            this.endLease(id);
        });
    }

    private write(key: string, value: Uint8Array | undefined, lease: string | undefined): void {
        const previous = this.entries.get(key);
        if (previous?.lease !== undefined) {
            this.leases.get(previous.lease)?.keys.delete(key);
        }
        const entry = { key, revision: this.revision, value, lease };
        if (value === undefined) {
            if (!this.entries.delete(key)) {
                return;
            }
        }
        else {
            this.entries.set(key, entry);
        }
        if (lease !== undefined) {
            this.leases.get(lease)?.keys.add(key);
        }
        this.history.push({ entry: { key, revision: this.revision, value } });
    }

    private notifyWatchers(): void {
        [...this.watchers].forEach(watcher => watcher());
    }
}

/** One client of the store, with its own faults. */
export class MemoryMetadataStore extends gateway.MetadataStore {
    readonly faults: MetadataFaults = {
        isDown: false,
        lostReplies: 0,
        delayedTransactions: 0,
        transactionDelayMilliseconds: 0,
        transactionReplyMilliseconds: 0,
        isSilent: false,
        areNewCallsSilent: false,
        areNewWatchesSilent: false,
    };

    constructor(private readonly state: MemoryMetadata) {
        super();
    }

    override async read(key: string): Promise<gateway.StoreResult<gateway.StoreEntry | undefined>> {
        return (await this.applyFaults("read")) ?? { ok: true, value: this.state.get(key) };
    }

    override async list(prefix: string, allowStale = false): Promise<gateway.StoreResult<gateway.Listing>> {
        if (allowStale && this.faults.staleListing !== undefined) {
            return { ok: true, value: this.faults.staleListing };
        }
        return (await this.applyFaults("list")) ?? { ok: true, value: this.state.list(prefix) };
    }

    override async transact(
        transaction: gateway.Transaction,
    ): Promise<gateway.StoreResult<gateway.TransactionOutcome>> {
        const failure = await this.applyFaults<gateway.TransactionOutcome>("transact");
        if (failure !== undefined) {
            return failure;
        }
        if (this.faults.delayedTransactions > 0) {
            this.faults.delayedTransactions--;
            this.state.clock.schedule(
                this.faults.transactionDelayMilliseconds,
                () => void this.state.transact(transaction),
            );
            return createFailure(gateway.StoreFailureKind.Unknown);
        }
        const result = this.state.transact(transaction);
        if (this.faults.transactionReplyMilliseconds > 0) {
            await this.state.clock.sleep(this.faults.transactionReplyMilliseconds);
        }
        if (this.faults.lostReplies > 0) {
            this.faults.lostReplies--;
            return createFailure(gateway.StoreFailureKind.Unknown);
        }
        return result;
    }

    override async watch(
        prefix: string,
        after: gateway.Revision,
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<gateway.StoreResult<gateway.Listing>> {
        this.state.count("watch");
        if (this.faults.isDown) {
            return createFailure(gateway.StoreFailureKind.NotDone);
        }
        if (this.faults.isSilent || this.faults.areNewCallsSilent || this.faults.areNewWatchesSilent) {
            return this.failAfterWatchTimeout(waitMilliseconds, signal);
        }
        const deadline = this.state.clock.now() + waitMilliseconds;
        for (;;) {
            const changes = this.state.tryGetChanges(prefix, after);
            if (changes === undefined) {
                return createFailure(gateway.StoreFailureKind.HistoryGone);
            }
            const remaining = deadline - this.state.clock.now();
            if (changes.entries.length > 0 || remaining <= 0) {
                return this.faults.isSilent
                    ? this.failAfterWatchTimeout(remaining, signal)
                    : { ok: true, value: changes };
            }
            if (signal.aborted) {
                return createFailure(gateway.StoreFailureKind.BrokenOff);
            }
            await this.state.waitForChange(remaining, signal);
        }
    }

    override async grantLease(milliseconds: number): Promise<gateway.StoreResult<string>> {
        return (await this.applyFaults("grantLease")) ?? { ok: true, value: this.state.grantLease(milliseconds) };
    }

    override async renewLease(lease: string): Promise<gateway.StoreResult<void>> {
        return (
            (await this.applyFaults("renewLease")) ??
            (this.state.renewLease(lease)
                ? { ok: true, value: undefined }
                : createFailure(gateway.StoreFailureKind.LeaseGone))
        );
    }

    override async endLease(lease: string): Promise<gateway.StoreResult<void>> {
        return (
            (await this.applyFaults("endLease")) ??
            (this.state.endLease(lease)
                ? { ok: true, value: undefined }
                : createFailure(gateway.StoreFailureKind.LeaseGone))
        );
    }

    private async failAfterWatchTimeout(
        remainingMilliseconds: number,
        signal: AbortSignal,
    ): Promise<gateway.StoreResult<gateway.Listing>> {
        await this.state.clock.sleep(remainingMilliseconds + WatchTimeoutMarginMilliseconds, signal);
        return createFailure(signal.aborted ? gateway.StoreFailureKind.BrokenOff : gateway.StoreFailureKind.Unknown);
    }

    private async applyFaults<T>(call: string): Promise<gateway.StoreResult<T> | undefined> {
        this.state.count(call);
        if (this.faults.isDown) {
            return createFailure(gateway.StoreFailureKind.NotDone);
        }
        if (this.faults.isSilent || this.faults.areNewCallsSilent) {
            await this.state.clock.sleep(UnansweredCallMilliseconds);
            return createFailure(gateway.StoreFailureKind.Unknown);
        }
        return undefined;
    }
}

function createFailure<T>(kind: gateway.StoreFailureKind): gateway.StoreResult<T> {
    return { ok: false, failure: { kind, text: `fault injected by the test: ${kind}` } };
}
