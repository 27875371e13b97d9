import type * as core from "@boragedale/core";
import type * as backing from "@boragedale/backing";
import * as telemetry from "@boragedale/telemetry";
import * as callTable from "./callTable.js";
import * as commitPacer from "./commitPacer.js";
import * as ledgerHead from "./ledgerHead.js";
import * as ledgerDecision from "./ledgerDecision.js";
import * as requests from "./ledgerRequests.js";
import * as types from "./types.js";

export interface LedgerShardOptions {
    readonly shard: number;
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly createId: () => string;
    readonly isRemoved: (instance: core.InstanceId) => boolean;
    /** Maximum rate of commits of this shard. At a higher request rate, requests share commits. */
    readonly commitsPerSecond: number;
}

interface PendingRequest {
    readonly request: requests.LedgerRequest;
    readonly resolve: (reply: requests.LedgerReply) => void;
}

interface BatchAttempt {
    readonly replies?: readonly requests.LedgerReply[];
    /** The reason if there are no replies. */
    readonly text?: string;
}

/** Consecutive write conflicts after which a batch is rejected; more attempts would only add to the contention. */
const MaximumConflicts = 8;
/** Calls in one head, at some 250 bytes each. Leaves room for results below the size limit of a value. */
const MaximumCalls = 2_000;
/** Result bytes in one commit; further results wait for the next commit. */
const MaximumBatchBytes = 256_000;
const ContendedText = "the shard is contended";
const UnreadableReply: requests.LedgerReply = {
    kind: requests.LedgerReplyKind.Unavailable,
    text: "the call's record can't be read now",
};
/** A `Wait` request is answered after this time at the latest, so that its sender notices a change of holder. */
const MaximumWaitMilliseconds = 2_000;

/**
 * One shard of the ledger on its holder. Makes one compare-and-swap at a time; requests that arrive meanwhile form the
 * next batch. After a pause or with an outdated instance list, two instances may both act as the holder. The head's
 * revision is the fencing number: the second writer finds another revision, reloads the head and decides again.
 */
export class LedgerShard {
    private readonly head: ledgerHead.LedgerHead;
    private removalCutoff: core.WallMilliseconds | undefined;
    private isProcessing = false;
    private readonly pacer: commitPacer.CommitPacer;
    private readonly queue: PendingRequest[] = [];
    private readonly waiters = new Map<string, Set<() => void>>();

    constructor(private readonly options: LedgerShardOptions) {
        this.pacer = new commitPacer.CommitPacer(options, options.clock.now());
        this.head = new ledgerHead.LedgerHead(options);
    }

    /** Schedules the removal of calls that ended before the given time. It runs between two commits. */
    removeExpired(endedBefore: core.WallMilliseconds): void {
        this.removalCutoff = endedBefore;
        void this.processQueue();
    }

    async handle(request: requests.LedgerRequest): Promise<requests.LedgerReply> {
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
            void this.processQueue();
        });
    }

    private async processQueue(): Promise<void> {
        if (this.isProcessing) {
            return;
        }
        const { clock } = this.options;
        this.isProcessing = true;
        while (this.queue.length > 0 || this.removalCutoff !== undefined) {
            // Sleeps even for zero milliseconds, so that requests which arrive at the same time share one commit.
            await clock.sleep(this.pacer.getWaitMilliseconds(clock.now()));
            const batch = this.takeBatch();
            this.pacer.recordCommit(clock.now(), batch.length);
            await this.runBatch(batch);
            if (this.removalCutoff !== undefined) {
                await this.head.removeExpired(this.removalCutoff);
                this.removalCutoff = undefined;
            }
        }
        this.isProcessing = false;
    }

    private takeBatch(): readonly PendingRequest[] {
        let bytes = 0;
        let count = 0;
        for (const { request } of this.queue) {
            bytes += request.kind === requests.LedgerRequestKind.Finish ? request.result.body.byteLength : 0;
            if (bytes > MaximumBatchBytes && count > 0) {
                break;
            }
            count++;
        }
        return this.queue.splice(0, count);
    }

    private async runBatch(batch: readonly PendingRequest[]): Promise<void> {
        let attempt: BatchAttempt = { text: ContendedText };
        for (let conflicts = 0; conflicts < MaximumConflicts; conflicts++) {
            const failure = await this.head.ensureLoaded();
            attempt = failure === undefined ? await this.tryBatch(batch) : { text: failure };
            if (attempt.text !== ContendedText) {
                break;
            }
        }
        const { replies, text } = attempt;
        batch.forEach((pending, index) => {
            pending.resolve(replies?.[index] ?? { kind: requests.LedgerReplyKind.Unavailable, text: text ?? "" });
        });
    }

    private async tryBatch(batch: readonly PendingRequest[]): Promise<BatchAttempt> {
        const { clock, isRemoved, shard, telemetry: events } = this.options;
        const identities = batch.map(({ request }) => requests.tryGetIdentity(request));
        const { draft, unreadable } = await this.head.createDraft(identities.filter(value => value !== undefined));
        const mayStart = this.head.getCallCount() < MaximumCalls;
        const context: ledgerDecision.DecisionContext = { now: clock.wallNow(), mayStart, isRemoved };
        const replies = batch.map(({ request }, index) => {
            const identity = identities[index];
            const isUnreadable = identity !== undefined && unreadable.has(callTable.getCallName(identity));
            return isUnreadable ? UnreadableReply : ledgerDecision.decide(draft, request, context);
        });
        if (!draft.hasChanges()) {
            return replies.every(isFinal) ? { replies } : this.verify(replies);
        }
        const commit = await this.head.commit(draft);
        switch (commit.kind) {
            case ledgerHead.CommitKind.Committed:
                this.reportCommit(batch);
                return { replies };
            case ledgerHead.CommitKind.Fenced:
                events.record(telemetry.events.LedgerFenced, { text: `shard ${shard}` });
                return { text: ContendedText };
            case ledgerHead.CommitKind.Failed:
            case ledgerHead.CommitKind.Unknown:
                return { text: commit.text };
        }
    }

    /**
     * Checks that replies which didn't require a commit are based on the current head. Another holder may have finished
     * a call since the head was loaded, and a call that was once read as finished must not be read as running again.
     */
    private async verify(replies: readonly requests.LedgerReply[]): Promise<BatchAttempt> {
        const revision = this.head.tryGetRevision();
        const failure = await this.head.reload();
        if (failure !== undefined) {
            return { text: failure };
        }
        return this.head.tryGetRevision() === revision ? { replies } : { text: ContendedText };
    }

    private reportCommit(batch: readonly PendingRequest[]): void {
        this.options.telemetry.metrics.count("boragedale_ledger_commits_total");
        this.options.telemetry.metrics.count("boragedale_ledger_commit_requests_total", {}, batch.length);
        for (const { request } of batch) {
            const identity = requests.tryGetIdentity(request);
            const callWaiters = identity === undefined ? undefined : this.waiters.get(callTable.getCallName(identity));
            callWaiters?.forEach(wake => wake());
        }
    }

    /** Resolves when a commit includes a request for the call, or after the maximum wait. */
    private async waitForChange(identity: types.CallIdentity): Promise<void> {
        const name = callTable.getCallName(identity);
        const callWaiters = this.waiters.get(name) ?? new Set();
        this.waiters.set(name, callWaiters);
        await new Promise<void>(resolve => {
            const wake = (): void => {
                stop();
                callWaiters.delete(wake);
                resolve();
            };
            const stop = this.options.clock.schedule(MaximumWaitMilliseconds, wake);
            callWaiters.add(wake);
        });
        if (callWaiters.size === 0) {
            this.waiters.delete(name);
        }
    }
}

function isUnfinished(reply: requests.LedgerReply): boolean {
    return reply.kind === requests.LedgerReplyKind.Found && reply.record?.state === types.CallState.Started;
}

/** Whether the reply contains a state that no later commit can change. */
function isFinal(reply: requests.LedgerReply): boolean {
    switch (reply.kind) {
        case requests.LedgerReplyKind.Begun:
            return reply.outcome.kind === types.BeginKind.Finished;
        case requests.LedgerReplyKind.Found:
            return reply.record?.state === types.CallState.Finished;
        default:
            return false;
    }
}
