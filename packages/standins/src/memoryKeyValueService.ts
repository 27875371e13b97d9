import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";

/** Faults that a test switches on. Each stays until it is switched off. */
export interface KeyValueFaults {
    isDown: boolean;
    /** Extra time before each call takes effect. */
    delayMilliseconds: number;
    /** Number of upcoming writes that take effect but whose reply is lost. */
    lostReplies: number;
    /** Watch events are dropped. `resumeWatches` switches this off and reports them as a gap. */
    isWatchCut: boolean;
}

interface Lease {
    readonly id: backing.LeaseId;
    readonly milliseconds: number;
    stop: () => void;
}

interface HistoryItem {
    readonly key: string;
    readonly revision: backing.Revision;
    readonly event: backing.WatchEvent;
}

const MaximumHistoryItems = 1_000;

interface Watcher {
    readonly prefix: string;
    readonly deliver: (event: backing.WatchEvent) => void;
    hasMissed: boolean;
}

/**
 * An in-memory key-value service. It holds the state of the HTTP stand-in, and tests in virtual time use it directly.
 * Its history is bounded, so a watch that starts from too old a revision begins with a gap.
 */
export class MemoryKeyValueService extends backing.KeyValueService {
    readonly faults: KeyValueFaults = { isDown: false, delayMilliseconds: 0, lostReplies: 0, isWatchCut: false };
    /** Number of calls by purpose; each watch counts as one call. */
    readonly calls = new Map<backing.CallPurpose, number>();
    /** Number of writes that took effect, by purpose. */
    readonly writes = new Map<backing.CallPurpose, number>();
    private revision: backing.Revision = 0;
    private nextLease = 1;
    private readonly entries = new Map<string, backing.Entry & { readonly lease?: backing.LeaseId }>();
    private readonly leases = new Map<backing.LeaseId, Lease>();
    private readonly watchers = new Set<Watcher>();
    private history: HistoryItem[] = [];
    /** Changes up to and including this revision have been dropped from the history. */
    private compactedRevision: backing.Revision = 0;

    constructor(private readonly clock: core.Clock) {
        super();
    }

    /** Revision of the latest write. */
    getRevision(): backing.Revision {
        return this.revision;
    }

    override async get(
        key: string,
        purpose: backing.CallPurpose,
    ): Promise<backing.KeyValueResult<backing.Entry | undefined>> {
        const failure = await this.applyFaults(purpose);
        return failure ?? { ok: true, value: this.entries.get(key) };
    }

    override async list(request: backing.ListRequest): Promise<backing.KeyValueResult<readonly backing.Entry[]>> {
        const failure = await this.applyFaults(request.purpose);
        if (failure !== undefined) {
            return failure;
        }
        const isWanted = (key: string): boolean =>
            key.startsWith(request.prefix) && (request.after === undefined || key > request.after);
        return { ok: true, value: this.select(isWanted, request.limit) };
    }

    /** Lists the keys from `start` up to but excluding `end`; an `end` of "\0" means no upper bound, as in etcd. */
    async listRange(
        range: { readonly start: string; readonly end: string; readonly limit: number },
        purpose: backing.CallPurpose,
    ): Promise<backing.KeyValueResult<readonly backing.Entry[]>> {
        const failure = await this.applyFaults(purpose);
        if (failure !== undefined) {
            return failure;
        }
        const isWanted = (key: string): boolean => key >= range.start && (range.end === "\0" || key < range.end);
        return { ok: true, value: this.select(isWanted, range.limit) };
    }

    override async compareAndSwap(request: backing.SwapRequest): Promise<backing.KeyValueResult<backing.SwapOutcome>> {
        const failure = await this.applyFaults(request.purpose);
        if (failure !== undefined) {
            return failure;
        }
        if (request.value !== undefined && request.value.byteLength > backing.MaximumValueBytes) {
            return createFailure(backing.KeyValueFailureKind.Unavailable, "the value is over the size limit", true);
        }
        if (request.lease !== undefined && !this.leases.has(request.lease)) {
            return createFailure(backing.KeyValueFailureKind.Unavailable, "the lease has ended", true);
        }
        const current = this.entries.get(request.key);
        if ((current?.revision ?? 0) !== request.expectedRevision) {
            return { ok: true, value: { swapped: false, current } };
        }
        this.apply(request.key, request.value, request.lease);
        this.writes.set(request.purpose, (this.writes.get(request.purpose) ?? 0) + 1);
        const revision = this.revision;
        if (this.faults.lostReplies > 0) {
            this.faults.lostReplies--;
            return createFailure(backing.KeyValueFailureKind.ReplyLost, "the reply was lost");
        }
        return { ok: true, value: { swapped: true, revision } };
    }

    override async grantLease(milliseconds: number): Promise<backing.KeyValueResult<backing.LeaseId>> {
        const failure = await this.applyFaults(backing.CallPurpose.Lease);
        if (failure !== undefined) {
            return failure;
        }
        const id = String(this.nextLease++);
        this.leases.set(id, { id, milliseconds, stop: this.scheduleLeaseExpiry(id, milliseconds) });
        return { ok: true, value: id };
    }

    override async keepLeaseAlive(id: backing.LeaseId): Promise<backing.KeyValueResult<boolean>> {
        const failure = await this.applyFaults(backing.CallPurpose.Lease);
        if (failure !== undefined) {
            return failure;
        }
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return { ok: true, value: false };
        }
        lease.stop();
        lease.stop = this.scheduleLeaseExpiry(id, lease.milliseconds);
        return { ok: true, value: true };
    }

    override async revokeLease(id: backing.LeaseId): Promise<backing.KeyValueResult<void>> {
        const failure = await this.applyFaults(backing.CallPurpose.Lease);
        if (failure === undefined) {
            this.endLease(id);
        }
        return failure ?? { ok: true, value: undefined };
    }

    override async *watch(request: backing.WatchRequest): AsyncIterable<backing.WatchEvent> {
        await request.beforeConnect?.();
        this.count(backing.CallPurpose.Watch);
        const queue: backing.WatchEvent[] = [];
        let wake: () => void = () => undefined;
        const watcher: Watcher = {
            prefix: request.prefix,
            hasMissed: false,
            deliver: event => {
                queue.push(event);
                wake();
            },
        };
        const stop = (): void => wake();
        request.signal.addEventListener("abort", stop);
        try {
            this.watchers.add(watcher);
            queue.push(...this.getMissedEvents(request));
            while (!request.signal.aborted) {
                const event = queue.shift();
                if (event !== undefined) {
                    yield event;
                    continue;
                }
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
            }
        }
        finally {
            this.watchers.delete(watcher);
            request.signal.removeEventListener("abort", stop);
        }
    }

    /** Whether the lease still exists; doesn't count as a call. */
    hasLease(id: backing.LeaseId): boolean {
        return this.leases.has(id);
    }

    /** Drops the history, as a real service does periodically; watches from an earlier revision begin with a gap. */
    compact(): void {
        this.compactedRevision = this.revision;
        this.history = [];
    }

    /** Cancels the expiry timers without ending the leases: a stopping process must not wait for leases to expire. */
    stopTimers(): void {
        for (const lease of this.leases.values()) {
            lease.stop();
        }
    }

    /** Switches `isWatchCut` off and delivers a gap to each watch that missed a change. */
    resumeWatches(): void {
        this.faults.isWatchCut = false;
        for (const watcher of this.watchers) {
            if (watcher.hasMissed) {
                watcher.hasMissed = false;
                watcher.deliver({ kind: backing.WatchEventKind.Gap, revision: this.revision });
            }
        }
    }

    private select(isWanted: (key: string) => boolean, limit: number): readonly backing.Entry[] {
        const keys = [...this.entries.keys()].filter(isWanted).sort().slice(0, limit);
        return keys.map(key => core.Debug.checkDefined(this.entries.get(key), key));
    }

    private async applyFaults(purpose: backing.CallPurpose): Promise<ReturnType<typeof createFailure> | undefined> {
        this.count(purpose);
        if (this.faults.delayMilliseconds > 0) {
            await this.clock.sleep(this.faults.delayMilliseconds);
        }
        if (this.faults.isDown) {
            return createFailure(backing.KeyValueFailureKind.Unavailable, "the key-value service is down");
        }
        return undefined;
    }

    private count(purpose: backing.CallPurpose): void {
        this.calls.set(purpose, (this.calls.get(purpose) ?? 0) + 1);
    }

    private apply(key: string, value: Uint8Array | undefined, lease: backing.LeaseId | undefined): void {
        this.revision++;
        if (value === undefined) {
            this.entries.delete(key);
            this.publish(key, { kind: backing.WatchEventKind.Removed, key, revision: this.revision });
            return;
        }
        const entry = { key, value: Uint8Array.from(value), revision: this.revision, lease };
        this.entries.set(key, entry);
        this.publish(key, { kind: backing.WatchEventKind.Changed, entry });
    }

    private getMissedEvents(request: backing.WatchRequest): readonly backing.WatchEvent[] {
        if (request.afterRevision < this.compactedRevision) {
            return [{ kind: backing.WatchEventKind.Gap, revision: this.revision }];
        }
        return this.history
            .filter(item => item.revision > request.afterRevision && item.key.startsWith(request.prefix))
            .map(item => item.event);
    }

    private publish(key: string, event: backing.WatchEvent): void {
        this.history.push({ key, revision: this.revision, event });
        if (this.history.length > MaximumHistoryItems) {
            this.compactedRevision = this.history.shift()?.revision ?? this.compactedRevision;
        }
        for (const watcher of this.watchers) {
            if (!key.startsWith(watcher.prefix)) {
                continue;
            }
            if (this.faults.isWatchCut) {
                watcher.hasMissed = true;
                continue;
            }
            watcher.deliver(event);
        }
    }

    private scheduleLeaseExpiry(id: backing.LeaseId, milliseconds: number): () => void {
        return this.clock.schedule(milliseconds, () => this.endLease(id));
    }

    private endLease(id: backing.LeaseId): void {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return;
        }
        lease.stop();
        this.leases.delete(id);
        for (const [key, entry] of [...this.entries]) {
            if (entry.lease === id) {
                this.apply(key, undefined, undefined);
            }
        }
    }
}

function createFailure(
    kind: backing.KeyValueFailureKind,
    text: string,
    isAnswer = false,
): { readonly ok: false; readonly failure: backing.KeyValueFailure } {
    return { ok: false, failure: { kind, text, isAnswer } };
}
