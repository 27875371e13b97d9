import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import * as backoff from "./backoff.js";
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
/** First and longest pause after a write that failed. */
const FirstRetryMilliseconds = 200;
const LongestRetryMilliseconds = 1_000;
/**
 * How often the progress of items is kept. An item takes five to ten seconds; when every process is killed at once, this
 * much of it is run again instead of all, which else makes the items of a whole fleet late.
 */
const CheckpointMilliseconds = 2_500;
/** Fewer new events than this are cheaper to run again than to write: about a second of one place on an engine. */
const LeastCheckpointEvents = 40;
/** Bytes of text of a checkpoint: half of the largest value that the store takes; what exceeds it is run again. */
const CheckpointBytes = 400_000;

/** A submission that this member runs. Nothing is shown to anyone before the store has acknowledged it. */
export class OwnedSubmission {
    readonly items: OwnedItem[];
    private stored: submissionStore.StoredHead;
    private readonly listed: types.BatchResult[];
    private readonly pending: types.BatchResult[] = [];
    private readonly waiters = new Set<() => void>();
    private stopFlush: (() => void) | undefined;
    private stopCheckpoint: (() => void) | undefined;
    /** Events of each item, by its index, that the store has. */
    private keptEvents: ReadonlyMap<number, number> = new Map();
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
        this.scheduleCheckpoint();
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
    getProgress(): records.ItemProgress[] {
        return this.items.flatMap((owned): records.ItemProgress[] =>
            owned.state === ItemState.Finished || owned.lastEventId === undefined
                ? []
                : [[owned.index, owned.lastEventId, [...owned.texts]]],
        );
    }

    /** Lets items go on where a former owner left them. */
    setProgress(progress: readonly records.ItemProgress[]): void {
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
            isDone = this.hasEnded || (await this.writeUntilKnown(this.createWrite({ isEnded: true }, [])));
        });
        if (isDone) {
            this.hasEnded = true;
            this.stopCheckpoint?.();
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
        this.stopCheckpoint?.();
        this.wake();
        this.options.onLost(reason);
    }

    private async writeSegment(): Promise<boolean> {
        const first = this.listed.length;
        const batch = takeWithin(this.pending, SegmentBytes);
        const change = { segments: [...this.stored.head.segments, first], listed: first + batch.length };
        const put = { key: records.getResultsKey(this.options.id, first), value: records.encodeResults(batch) };
        if (!(await this.writeUntilKnown(this.createWrite(change, [put])))) {
            return false;
        }
        this.pending.splice(0, batch.length);
        this.listed.push(...batch);
        this.wake();
        return true;
    }

    /** Keeps the progress of the items now and then, whatever becomes of this process. */
    private scheduleCheckpoint(): void {
        if (this.isActive() && !this.isComplete()) {
            this.stopCheckpoint = this.options.clock.schedule(
                CheckpointMilliseconds,
                () => void this.checkpoint().then(() => this.scheduleCheckpoint()),
            );
        }
    }

    private async checkpoint(): Promise<void> {
        await this.writeInTurn(async () => {
            if (this.isActive() && this.countUnkeptEvents() >= LeastCheckpointEvents) {
                await this.writeUntilKnown(this.createWrite({}, []), true);
            }
        });
    }

    /**
     * Items that are done, but not listed yet, without their last event: the next owner asks for that one, and sees the end of
     * the item as of any other.
     */
    private getProgressOfPending(results: readonly types.BatchResult[]): records.ItemProgress[] {
        const wanted = new Set(
            results.filter(result => result.state === types.ResultState.Completed).map(result => result.id),
        );
        return this.items.flatMap((owned): records.ItemProgress[] =>
            wanted.has(owned.item.id) && owned.lastEventId !== undefined && owned.texts.length > 1
                ? [[owned.index, owned.lastEventId - 1, owned.texts.slice(0, -1)]]
                : [],
        );
    }

    private countUnkeptEvents(): number {
        const listed = new Set(this.listed.map(result => result.id));
        return this.items
            .filter(owned => !listed.has(owned.item.id))
            .reduce((sum, owned) => sum + owned.texts.length - (this.keptEvents.get(owned.index) ?? 0), 0);
    }

    /**
     * A write that changes the head and keeps the progress of the items as it is now: beside a result it costs no call of
     * its own. The last result and the end remove it.
     */
    private createWrite(
        change: Partial<records.SubmissionHead>,
        puts: readonly metadataStore.Put[],
    ): submissionStore.HeadWrite {
        const key = records.getProgressKey(this.options.id);
        const isOver = change.isEnded === true || change.listed === this.items.length;
        const unlisted = this.pending.slice((change.listed ?? this.listed.length) - this.listed.length);
        const known = [...this.getProgress(), ...this.getProgressOfPending(unlisted)];
        const progress = isOver ? [] : takeProgressWithin(known, CheckpointBytes);
        const hasProgress = progress.length > 0;
        return {
            submission: this.options.id,
            head: this.createHead({ ...change, hasProgress }),
            expected: this.stored.revision,
            puts: hasProgress ? [...puts, { key, value: records.encodeProgress(progress) }] : puts,
            deletes: !hasProgress && this.stored.head.hasProgress ? [key] : [],
        };
    }

    /**
     * Writes until the store says what became of it. A write without an answer is sent again as it was: it may still be
     * carried out, and then the second one finds its own nonce. One that may be left out is, once it is known that nothing
     * was done: a store that refuses is not asked again and again for what can be run again.
     */
    private async writeUntilKnown(write: submissionStore.HeadWrite, mayLeaveOut = false): Promise<boolean> {
        const events = new Map(this.items.map(owned => [owned.index, owned.texts.length]));
        const pauses = new backoff.Backoff(FirstRetryMilliseconds, LongestRetryMilliseconds);
        let mayBeDone = false;
        for (let calls = 1; !this.isLost; calls++) {
            const outcome = await this.options.store.write(write);
            switch (outcome.kind) {
                case submissionStore.WriteOutcomeKind.Written:
                    if (write.head.listed > this.stored.head.listed) {
                        this.options.onListed(write.head.listed, calls);
                    }
                    this.stored = { head: write.head, revision: outcome.revision };
                    this.keptEvents = events;
                    return true;
                case submissionStore.WriteOutcomeKind.Conflict:
                    this.resolveConflict(outcome.current);
                    return false;
                case submissionStore.WriteOutcomeKind.NotDone:
                    if (mayLeaveOut && !mayBeDone) {
                        return false;
                    }
                    break;
                case submissionStore.WriteOutcomeKind.Unknown:
                    mayBeDone = true;
                    break;
            }
            await this.options.clock.sleep(pauses.next());
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

/** The items that have come furthest, up to `limitBytes` of text: they lose most when they start anew. */
function takeProgressWithin(progress: readonly records.ItemProgress[], limitBytes: number): records.ItemProgress[] {
    const taken: records.ItemProgress[] = [];
    let bytes = 0;
    for (const entry of [...progress].sort((left, right) => right[2].length - left[2].length)) {
        bytes += entry[2].reduce((sum, text) => sum + Buffer.byteLength(text), 0);
        if (bytes > limitBytes) {
            break;
        }
        taken.push(entry);
    }
    return taken;
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
