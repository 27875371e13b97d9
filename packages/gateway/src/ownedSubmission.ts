import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import type * as metadataStore from "./metadataStore.js";
import * as records from "./submissionRecords.js";
import * as submissionStore from "./submissionStore.js";
import * as types from "./types.js";

export enum ItemState {
    Waiting = "Waiting",
    Running = "Running",
    /** Has its result, listed or about to be. */
    Finished = "Finished",
}

/** An item and how far it has come. */
export interface OwnedItem {
    readonly submission: OwnedSubmission;
    readonly index: number;
    readonly item: types.BatchItem;
    state: ItemState;
    /** Data of the events so far; a new run goes on after the last one. */
    readonly texts: string[];
    lastEventId: number | undefined;
    /** Answers that count against it. */
    failures: number;
    /** Not before: the last run ended without a reason that another one would meet as well. */
    notBefore: core.MonotonicMilliseconds;
}

/** Index of an item, id of its last event, data of its events so far. */
export type ItemProgress = readonly [item: number, lastEventId: number, texts: readonly string[]];

export interface OwnedSubmissionOptions {
    readonly id: string;
    readonly stored: submissionStore.StoredHead;
    readonly items: readonly types.BatchItem[];
    readonly results: readonly types.BatchResult[];
    readonly store: submissionStore.SubmissionStore;
    readonly clock: core.Clock;
    /** Called when another owner or nobody has it now. */
    readonly onLost: (reason: string) => void;
    readonly onListed: (count: number, calls: number) => void;
}

/**
 * Results wait this long for others to be written with them: ten items that end within seconds cost two or three writes.
 * What a kill in between loses is run again.
 */
const FlushDelayMilliseconds = 1_200;
/** Bytes of text of one segment. */
const SegmentBytes = 400_000;
const RetryMilliseconds = 200;

/** A submission that this member runs. Nothing is shown to anyone before the store has acknowledged it. */
export class OwnedSubmission {
    readonly items: OwnedItem[];
    private stored: submissionStore.StoredHead;
    private readonly listed: types.BatchResult[];
    private readonly pending: types.BatchResult[] = [];
    private readonly waiters = new Set<() => void>();
    private stopFlush: (() => void) | undefined;
    /** Writes follow one another: each is fenced by the revision of the one before. */
    private lastWrite: Promise<void> = Promise.resolve();
    private hasEnded = false;
    private isLost = false;

    constructor(private readonly options: OwnedSubmissionOptions) {
        this.stored = options.stored;
        this.hasEnded = options.stored.head.isEnded;
        this.listed = [...options.results];
        const finished = new Set(options.results.map(result => result.id));
        const failures = new Map(options.stored.head.failures);
        this.items = options.items.map((item, index) => ({
            submission: this,
            index,
            item,
            state: finished.has(item.id) ? ItemState.Finished : ItemState.Waiting,
            texts: [],
            lastEventId: undefined,
            failures: failures.get(index) ?? 0,
            notBefore: -Infinity,
        }));
    }

    getId(): string {
        return this.options.id;
    }

    getHead(): records.SubmissionHead {
        return this.stored.head;
    }

    getStored(): submissionStore.StoredHead {
        return this.stored;
    }

    /** Whether items may still be run here. */
    isActive(): boolean {
        return !this.hasEnded && !this.isLost;
    }

    isComplete(): boolean {
        return this.listed.length === this.items.length;
    }

    /** Results from a position on, at most `limit` bytes of text but one result at least. */
    getPage(position: number, limitBytes: number): types.ResultPage {
        return createPage(this.items.length, this.listed.slice(position), position, limitBytes);
    }

    /** Resolves when there is a result at the position, or after the time. */
    async waitForPosition(position: number, milliseconds: number): Promise<void> {
        if (this.listed.length > position || milliseconds <= 0 || !this.isActive()) {
            return;
        }
        await new Promise<void>(resolve => {
            const finish = (): void => {
                stop();
                this.waiters.delete(finish);
                resolve();
            };
            const stop = this.options.clock.schedule(milliseconds, finish);
            this.waiters.add(finish);
        });
    }

    tryGetBody(item: string): Uint8Array | undefined {
        return this.hasEnded ? undefined : this.items.find(owned => owned.item.id === item)?.item.body;
    }

    /** Takes the result of an item; it is shown once it is written. */
    finish(owned: OwnedItem, state: types.ResultState): void {
        if (owned.state === ItemState.Finished || !this.isActive()) {
            return;
        }
        owned.state = ItemState.Finished;
        const text = state === types.ResultState.Completed ? owned.texts.join("\n") : "";
        this.pending.push({ id: owned.item.id, state, text });
        const isLast = this.items.every(item => item.state === ItemState.Finished);
        const bytes = this.pending.reduce((sum, result) => sum + result.text.length, 0);
        if (isLast || bytes > SegmentBytes) {
            void this.flush();
            return;
        }
        this.stopFlush ??= this.options.clock.schedule(FlushDelayMilliseconds, () => void this.flush());
    }

    /** Writes what is pending; resolves when it is written or lost. */
    async flush(): Promise<void> {
        this.stopFlush?.();
        this.stopFlush = undefined;
        await this.writeInTurn(async () => {
            while (this.pending.length > 0 && this.isActive()) {
                if (!(await this.writeSegment())) {
                    return;
                }
            }
        });
    }

    /** How far the items have come that have begun. */
    getProgress(): ItemProgress[] {
        return this.items.flatMap((owned): ItemProgress[] =>
            owned.state === ItemState.Finished || owned.lastEventId === undefined
                ? []
                : [[owned.index, owned.lastEventId, [...owned.texts]]],
        );
    }

    /** Lets items go on where a former owner left them. */
    setProgress(progress: readonly ItemProgress[]): void {
        for (const [index, lastEventId, texts] of progress) {
            const owned = this.items[index];
            if (owned?.state === ItemState.Waiting && owned.texts.length === 0) {
                owned.texts.push(...texts);
                owned.lastEventId = lastEventId;
            }
        }
    }

    /** Ends it: no item runs from now on, and that is durable when true is returned. */
    async end(): Promise<boolean> {
        if (this.hasEnded) {
            return true;
        }
        let isDone = false;
        await this.writeInTurn(async () => {
            isDone = this.hasEnded || (await this.writeUntilKnown(this.createHead({ isEnded: true }), []));
        });
        if (isDone) {
            this.hasEnded = true;
            this.wake();
        }
        return isDone;
    }

    /** Leaves it to whoever takes it over; results that are not written are lost to it. */
    lose(reason: string): void {
        if (this.isLost) {
            return;
        }
        this.isLost = true;
        this.stopFlush?.();
        this.wake();
        this.options.onLost(reason);
    }

    private async writeSegment(): Promise<boolean> {
        const first = this.listed.length;
        const batch = takeWithin(this.pending, SegmentBytes);
        const head = this.createHead({
            segments: [...this.stored.head.segments, first],
            listed: first + batch.length,
        });
        const puts = [{ key: records.getResultsKey(this.options.id, first), value: records.encodeResults(batch) }];
        if (!(await this.writeUntilKnown(head, puts))) {
            return false;
        }
        this.pending.splice(0, batch.length);
        this.listed.push(...batch);
        this.wake();
        return true;
    }

    /**
     * Writes until the store says what became of it. A write without an answer is sent again as it was: it may still be
     * carried out, and then the second one finds its own nonce.
     */
    private async writeUntilKnown(head: records.SubmissionHead, puts: readonly metadataStore.Put[]): Promise<boolean> {
        for (let calls = 1; !this.isLost; calls++) {
            const outcome = await this.options.store.write({
                submission: this.options.id,
                head,
                expected: this.stored.revision,
                puts,
            });
            switch (outcome.kind) {
                case submissionStore.WriteOutcomeKind.Written:
                    this.stored = { head, revision: outcome.revision };
                    this.options.onListed(head.listed, calls);
                    return true;
                case submissionStore.WriteOutcomeKind.Conflict:
                    this.resolveConflict(outcome.current);
                    return false;
                case submissionStore.WriteOutcomeKind.NotDone:
                case submissionStore.WriteOutcomeKind.Unknown:
                    await this.options.clock.sleep(RetryMilliseconds);
                    break;
            }
        }
        return false;
    }

    private resolveConflict(current: submissionStore.StoredHead | undefined): void {
        if (current?.head.isEnded === true) {
            this.hasEnded = true;
            this.stored = current;
        }
        this.lose(current === undefined ? "it was removed" : `${current.head.owner} changed it`);
    }

    private createHead(change: Partial<records.SubmissionHead>): records.SubmissionHead {
        const failures = this.items
            .filter(owned => owned.failures > 0 && owned.state !== ItemState.Finished)
            .map(owned => [owned.index, owned.failures] as const);
        return { ...this.stored.head, nonce: createNonce(), failures, ...change };
    }

    private async writeInTurn(action: () => Promise<void>): Promise<void> {
        const turn = this.lastWrite.then(action);
        this.lastWrite = turn.catch(() => undefined);
        await turn;
    }

    private wake(): void {
        [...this.waiters].forEach(waiter => waiter());
    }
}

export function createNonce(): string {
    return crypto.randomBytes(8).toString("hex");
}

/** A page of results that begins at `position`. */
export function createPage(
    total: number,
    results: readonly types.BatchResult[],
    position: number,
    limitBytes: number,
): types.ResultPage {
    const page = takeWithin(results, limitBytes);
    return { total, next: position + page.length, results: page };
}

/** The first results, up to `limitBytes` of text, but one at least. */
function takeWithin(results: readonly types.BatchResult[], limitBytes: number): types.BatchResult[] {
    const taken: types.BatchResult[] = [];
    let bytes = 0;
    for (const result of results) {
        const size = Buffer.byteLength(result.text) + 100;
        if (taken.length > 0 && bytes + size > limitBytes) {
            break;
        }
        taken.push(result);
        bytes += size;
    }
    return taken;
}
