import type * as core from "@boragedale/core";
import * as jobProgress from "./jobProgress.js";
import * as jobInput from "./jobInput.js";
import type * as jobRecords from "./jobRecords.js";
import * as results from "./results.js";
import * as types from "./types.js";

export interface WaitingItem {
    readonly position: number;
    readonly line: string;
    /** The item is not started before this time, after an attempt that failed or was preempted. */
    readonly notBefore: core.MonotonicMilliseconds;
}

export interface EndedItem {
    readonly position: number;
    readonly hasSucceeded: boolean;
    /** Line of the output or error file. */
    readonly line: Uint8Array;
}

export interface AttemptContext {
    readonly now: core.MonotonicMilliseconds;
    /** Maximum number of attempts of an item. */
    readonly attemptLimit: number;
}

/** A longer result line may not fit into a value if it doesn't compress. */
const MaximumLineBytes = 800_000;
const InitialRetryMilliseconds = 500;
const MaximumRetryMilliseconds = 30_000;

/** A chunk claimed by this instance: its waiting and running items, and those that ended since the last checkpoint. */
export class HeldChunk {
    /** Set when another instance has taken over the chunk or the job has ended. Later outcomes are ignored. */
    isDropped = false;
    private waiting: WaitingItem[] = [];
    private hasLoaded = false;
    private readonly running = new Map<number, AbortController>();
    private ended: EndedItem[] = [];
    private endedBytes = 0;
    private readonly attempts = new Map<number, number>();

    constructor(
        readonly job: jobRecords.JobRecord,
        readonly range: jobRecords.ChunkRange,
        readonly claimId: string,
    ) {}

    /** Loads the chunk's lines, except items that ended under earlier holders. */
    load(lines: readonly string[], chunkProgress: jobProgress.ChunkProgress | undefined): void {
        this.waiting = lines
            .map((line, position) => ({ position, line, notBefore: 0 }))
            .filter(item => !jobProgress.isDone(chunkProgress?.done, item.position));
        for (const [position, attempts] of Object.entries(chunkProgress?.attempts ?? {})) {
            this.attempts.set(Number(position), attempts);
        }
        this.hasLoaded = true;
    }

    hasReadyItem(now: core.MonotonicMilliseconds): boolean {
        return this.waiting.some(item => item.notBefore <= now);
    }

    takeReadyItem(now: core.MonotonicMilliseconds): WaitingItem | undefined {
        const index = this.waiting.findIndex(item => item.notBefore <= now);
        return index < 0 ? undefined : this.waiting.splice(index, 1)[0];
    }

    getWaitingCount(): number {
        return this.waiting.length;
    }

    getRunningCount(): number {
        return this.running.size;
    }

    getEndedBytes(): number {
        return this.endedBytes;
    }

    isLoaded(): boolean {
        return this.hasLoaded;
    }

    isComplete(): boolean {
        return this.hasLoaded && this.waiting.length === 0 && this.running.size === 0;
    }

    startItem(position: number): AbortSignal {
        const controller = new AbortController();
        this.running.set(position, controller);
        return controller.signal;
    }

    /** Processes the outcome of an attempt. Returns true if the item has ended, whether it succeeded or failed. */
    endAttempt(
        waiting: WaitingItem,
        item: types.JobItem,
        outcome: types.ItemOutcome,
        context: AttemptContext,
    ): boolean {
        this.running.delete(waiting.position);
        switch (outcome.kind) {
            case types.ItemOutcomeKind.Succeeded:
                this.endSucceeded(waiting.position, item, outcome.status, outcome.body);
                return true;
            case types.ItemOutcomeKind.Failed:
                this.endFailed(waiting.position, item, outcome);
                return true;
            case types.ItemOutcomeKind.GaveWay:
                this.waiting.push({ ...waiting, notBefore: context.now + outcome.retryAfterMilliseconds });
                return false;
            case types.ItemOutcomeKind.TryAgain:
                return this.retry(waiting, item, outcome.text, context);
        }
    }

    /** Ends an item as failed, also one that was never started because its input is missing. */
    endFailed(position: number, item: types.JobItem, failure: results.FailedItem): void {
        this.addEnded(position, false, results.formatFailed(this.job.id, item, failure));
    }

    /** Removes and returns items that ended since the last call, at most `maximumBytes` of results. */
    takeEnded(maximumBytes: number): readonly EndedItem[] {
        let bytes = 0;
        let count = 0;
        while (count < this.ended.length && bytes + (this.ended[count]?.line.byteLength ?? 0) <= maximumBytes) {
            bytes += this.ended[count]?.line.byteLength ?? 0;
            count++;
        }
        this.endedBytes -= bytes;
        return this.ended.splice(0, count);
    }

    hasEndedItems(): boolean {
        return this.ended.length > 0;
    }

    getAttempts(): Readonly<Record<number, number>> {
        return Object.fromEntries(this.attempts);
    }

    /** Aborts running items and discards all results that are not yet recorded. */
    drop(): void {
        this.isDropped = true;
        this.waiting = [];
        this.ended = [];
        this.endedBytes = 0;
        this.abortRunning();
    }

    abortRunning(): void {
        this.running.forEach(controller => controller.abort());
    }

    private retry(waiting: WaitingItem, item: types.JobItem, text: string, context: AttemptContext): boolean {
        const attempts = (this.attempts.get(waiting.position) ?? 0) + 1;
        if (attempts >= context.attemptLimit) {
            this.endFailed(waiting.position, item, { code: "attempts_exhausted", text });
            return true;
        }
        this.attempts.set(waiting.position, attempts);
        const delay = Math.min(MaximumRetryMilliseconds, InitialRetryMilliseconds * 2 ** (attempts - 1));
        this.waiting.push({ ...waiting, notBefore: context.now + delay });
        return false;
    }

    private endSucceeded(position: number, item: types.JobItem, status: number, body: unknown): void {
        const line = results.formatSucceeded(this.job.id, item, status, body);
        if (line.byteLength > MaximumLineBytes) {
            this.endFailed(position, item, { code: "result_too_large", text: `${line.byteLength} bytes` });
            return;
        }
        this.addEnded(position, true, line);
    }

    private addEnded(position: number, hasSucceeded: boolean, line: Uint8Array): void {
        this.attempts.delete(position);
        this.ended.push({ position, hasSucceeded, line });
        this.endedBytes += line.byteLength;
    }
}

/** Reads the non-blank lines of a chunk, each of which is an item. */
export async function readLines(content: AsyncIterable<Uint8Array>): Promise<readonly string[]> {
    const lines: string[] = [];
    for await (const line of jobInput.splitLines(content)) {
        if (line.text.trim() !== "") {
            lines.push(line.text);
        }
    }
    return lines;
}
