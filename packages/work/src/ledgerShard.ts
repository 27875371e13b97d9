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
    readonly isGone: (instance: core.InstanceId) => boolean;
    /** Commits that this shard may make in a second; more requests then share a commit. */
    readonly commitsPerSecond: number;
}

interface PendingRequest {
    readonly request: requests.LedgerRequest;
    readonly resolve: (reply: requests.LedgerReply) => void;
}

interface BatchAttempt {
    readonly replies?: readonly requests.LedgerReply[];
    /** Why there are no replies. */
    readonly text?: string;
}

/** A holder whose head lost this many races in a row gives its requests up; more would only add to the contention. */
const MaximumConflicts = 8;
/** Calls in one head: some 250 bytes each, under the size limit of a value with room for results. */
const MaximumCalls = 2_000;
/** Results taken into one commit; the next ones wait for the following commit. */
const MaximumBatchBytes = 256_000;
const ContendedText = "the shard is contended";
const UnreadableReply: requests.LedgerReply = {
    kind: requests.LedgerReplyKind.Unavailable,
    text: "the call's record can't be read now",
};
/** A held `Wait` is answered after this time at the latest, so that a waiter notices when the shard has moved. */
const WaitMilliseconds = 2_000;

/**
 * One shard of the ledger, as its holder works on it: one compare-and-swap at a time, and all that arrives meanwhile
 * goes into the next. Two instances may both believe that they hold the shard (a lagging list, a pause): the entry's
 * revision is the fence, since the one that writes second finds another revision, reads again, and decides again.
 */
export class LedgerShard {
    private readonly head: ledgerHead.LedgerHead;
    private removeBefore: core.WallMilliseconds | undefined;
    private isWorking = false;
    private readonly pacer: commitPacer.CommitPacer;
    private readonly queue: PendingRequest[] = [];
    private readonly waiters = new Map<string, Set<() => void>>();

    constructor(private readonly options: LedgerShardOptions) {
        this.pacer = new commitPacer.CommitPacer(options, options.clock.now());
        this.head = new ledgerHead.LedgerHead(options);
    }

    /** Removes what ended before the given time, between two commits. */
    removeOld(endedBefore: core.WallMilliseconds): void {
        this.removeBefore = endedBefore;
        void this.work();
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
        const { clock } = this.options;
        this.isWorking = true;
        while (this.queue.length > 0 || this.removeBefore !== undefined) {
            // Also a wait of nothing lets the requests of the same moment join: the first would be committed alone.
            await clock.sleep(this.pacer.getWait(clock.now()));
            const batch = this.takeBatch();
            this.pacer.noteCommit(clock.now(), batch.length);
            await this.runBatch(batch);
            if (this.removeBefore !== undefined) {
                await this.head.removeOld(this.removeBefore);
                this.removeBefore = undefined;
            }
        }
        this.isWorking = false;
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
        const { clock, isGone, shard, telemetry: events } = this.options;
        const identities = batch.map(({ request }) => requests.tryGetIdentity(request));
        const { draft, unreadable } = await this.head.createDraft(identities.filter(value => value !== undefined));
        const mayStart = this.head.getCallCount() < MaximumCalls;
        const context: ledgerDecision.DecisionContext = { now: clock.wallNow(), mayStart, isGone };
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
                this.noteCommit(batch);
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
     * Makes sure that answers which no commit has checked are not older than their question: another holder may have
     * finished a call since, and one that was read as finished must never be read as running again.
     */
    private async verify(replies: readonly requests.LedgerReply[]): Promise<BatchAttempt> {
        const revision = this.head.tryGetRevision();
        const failure = await this.head.reload();
        if (failure !== undefined) {
            return { text: failure };
        }
        return this.head.tryGetRevision() === revision ? { replies } : { text: ContendedText };
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
}

function isUnfinished(reply: requests.LedgerReply): boolean {
    return reply.kind === requests.LedgerReplyKind.Found && reply.record?.state === types.CallState.Started;
}

/** Whether the reply tells a state that no later commit changes. */
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
