import * as core from "@boragedale/core";
import * as platform from "@boragedale/platform";
import * as telemetry from "@boragedale/telemetry";
import * as callTable from "./callTable.js";
import * as codec from "./codec.js";
import * as ledgerDecision from "./ledgerDecision.js";
import * as requests from "./ledgerRequests.js";
import * as swap from "./swap.js";
import * as types from "./types.js";

export interface LedgerShardOptions {
    readonly shard: number;
    readonly keyValue: platform.KeyValueService;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly createId: () => string;
    readonly isGone: (instance: core.InstanceId) => boolean;
    /** Commits that this shard may make in a second; more requests then share a commit. */
    readonly commitsPerSecond: number;
}

interface PendingRequest {
    readonly request: requests.LedgerRequest;
    readonly resolve: (reply: requests.LedgerReply) => void;
}

/** What the shard's key holds. The nonce makes every write unlike any other, so that an own one is recognised. */
interface ShardHead {
    readonly nonce: string;
    readonly calls: readonly types.CallRecord[];
}

interface LoadedHead {
    readonly revision: platform.Revision;
    readonly table: callTable.CallTable;
}

/** A holder whose head lost this many races in a row gives its requests up; more would only add to the contention. */
const MaximumConflicts = 8;
/** How old a head may be for an answer that changes nothing; older ones are read again first. */
const FreshMilliseconds = 500;
/** A held `Wait` is answered after this time at the latest, so that a waiter notices when the shard has moved. */
const WaitMilliseconds = 2_000;
const CommitBurst = 4;

/**
 * One shard of the ledger, as its holder works on it: one compare-and-swap at a time, and all that arrives meanwhile
 * goes into the next. Two instances may both believe that they hold the shard (a lagging list, a pause): the entry's
 * revision is the fence, since the one that writes second finds another revision, reads again, and decides again.
 */
export class LedgerShard {
    private head: LoadedHead | undefined;
    private verifiedAt = -Infinity;
    private isWorking = false;
    private tokens = CommitBurst;
    private refilledAt: core.MonotonicMilliseconds;
    private queue: PendingRequest[] = [];
    private readonly waiters = new Map<string, Set<() => void>>();

    constructor(private readonly options: LedgerShardOptions) {
        this.refilledAt = options.clock.now();
    }

    async ask(request: requests.LedgerRequest): Promise<requests.LedgerReply> {
        const reply = await this.enqueue(request);
        if (request.kind !== requests.LedgerRequestKind.Wait || !isUnfinished(reply)) {
            return reply;
        }
        await this.waitForChange(request.identity);
        return this.enqueue(request);
    }

    private enqueue(request: requests.LedgerRequest): Promise<requests.LedgerReply> {
        return new Promise(resolve => {
            this.queue.push({ request, resolve });
            void this.work();
        });
    }

    private async work(): Promise<void> {
        if (this.isWorking) {
            return;
        }
        this.isWorking = true;
        while (this.queue.length > 0) {
            await this.waitForToken();
            const batch = this.queue;
            this.queue = [];
            await this.runBatch(batch);
        }
        this.isWorking = false;
    }

    private async runBatch(batch: readonly PendingRequest[]): Promise<void> {
        let replies: readonly requests.LedgerReply[] | undefined;
        let text = "the shard is contended";
        for (let conflicts = 0; replies === undefined && conflicts < MaximumConflicts; conflicts++) {
            const failure = await this.refresh();
            if (failure !== undefined) {
                text = failure;
                break;
            }
            const attempt = await this.tryCommit(batch);
            replies = attempt.replies;
            if (attempt.text !== undefined) {
                text = attempt.text;
                break;
            }
        }
        batch.forEach((pending, index) => {
            pending.resolve(replies?.[index] ?? { kind: requests.LedgerReplyKind.Unavailable, text });
        });
    }

    /** Makes sure that a head is loaded and not stale; returns why that failed. */
    private async refresh(): Promise<string | undefined> {
        const { keyValue, clock, shard } = this.options;
        if (this.head !== undefined && clock.now() - this.verifiedAt < FreshMilliseconds) {
            return undefined;
        }
        const entry = await keyValue.get(getHeadKey(shard), platform.CallPurpose.Ledger);
        if (!entry.ok) {
            return entry.failure.text;
        }
        this.adopt(entry.value);
        return undefined;
    }

    private adopt(entry: platform.Entry | undefined): void {
        this.verifiedAt = this.options.clock.now();
        if (this.head !== undefined && this.head.revision === (entry?.revision ?? 0)) {
            return;
        }
        const calls = entry === undefined ? [] : codec.decode<ShardHead>(entry.value).calls;
        this.head = { revision: entry?.revision ?? 0, table: new callTable.CallTable(calls) };
    }

    private async tryCommit(
        batch: readonly PendingRequest[],
    ): Promise<{ readonly replies?: readonly requests.LedgerReply[]; readonly text?: string }> {
        const { clock, isGone, keyValue, shard, createId } = this.options;
        const head = core.Debug.checkDefined(this.head, "a head is loaded before a commit");
        const draft = head.table.createDraft(new Map());
        const context = { now: clock.wallNow(), isGone };
        const replies = batch.map(pending => ledgerDecision.decide(draft, pending.request, context));
        if (!draft.hasChanges()) {
            return { replies };
        }
        const calls = [...draft.getAll()];
        const value = codec.encode({ nonce: createId(), calls } satisfies ShardHead);
        const written = await swap.writeValue(keyValue, {
            key: getHeadKey(shard),
            expectedRevision: head.revision,
            value,
            purpose: platform.CallPurpose.Ledger,
        });
        switch (written.kind) {
            case swap.WriteKind.Written:
                this.head = { revision: written.revision, table: new callTable.CallTable(calls) };
                this.verifiedAt = clock.now();
                this.noteCommit(batch);
                return { replies };
            case swap.WriteKind.Conflict:
                this.options.telemetry.record(telemetry.events.LedgerFenced, { text: `shard ${shard}` });
                this.adopt(written.current);
                return {};
            case swap.WriteKind.Failed:
                return { text: written.text };
            case swap.WriteKind.Unknown:
                this.head = undefined;
                return { text: written.text };
        }
    }

    private noteCommit(batch: readonly PendingRequest[]): void {
        this.options.telemetry.metrics.count("boragedale_ledger_commits_total");
        this.options.telemetry.metrics.count("boragedale_ledger_commit_requests_total", {}, batch.length);
        for (const { request } of batch) {
            const identity = requests.tryGetIdentity(request);
            const waiting = identity === undefined ? undefined : this.waiters.get(callTable.getCallName(identity));
            waiting?.forEach(wake => wake());
        }
    }

    /** Resolves when a commit touches the call, or after the longest wait. */
    private async waitForChange(identity: types.CallIdentity): Promise<void> {
        const name = callTable.getCallName(identity);
        const waiting = this.waiters.get(name) ?? new Set();
        this.waiters.set(name, waiting);
        await new Promise<void>(resolve => {
            const wake = (): void => {
                stop();
                waiting.delete(wake);
                resolve();
            };
            const stop = this.options.clock.schedule(WaitMilliseconds, wake);
            waiting.add(wake);
        });
        if (waiting.size === 0) {
            this.waiters.delete(name);
        }
    }

    /**
     * Paces the commits: at low load each request is committed at once, at high load the rate stays within the
     * shard's share of the call budget and each commit carries more requests.
     */
    private async waitForToken(): Promise<void> {
        const { clock, commitsPerSecond } = this.options;
        this.refill();
        if (this.tokens < 1) {
            await clock.sleep(((1 - this.tokens) * 1_000) / commitsPerSecond);
            this.refill();
        }
        this.tokens -= 1;
    }

    private refill(): void {
        const { clock, commitsPerSecond } = this.options;
        const earned = ((clock.now() - this.refilledAt) * commitsPerSecond) / 1_000;
        this.tokens = Math.min(CommitBurst, this.tokens + earned);
        this.refilledAt = clock.now();
    }
}

export function getHeadKey(shard: number): string {
    return `ledger/head/${String(shard).padStart(4, "0")}`;
}

function isUnfinished(reply: requests.LedgerReply): boolean {
    return reply.kind === requests.LedgerReplyKind.Found && reply.record?.state === types.CallState.Started;
}
