import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import * as backoff from "./backoff.js";
import type * as metadataStore from "./metadataStore.js";
import type * as ownershipCertainty from "./ownershipCertainty.js";
import * as records from "./submissionRecords.js";
import * as submissionStore from "./submissionStore.js";
import * as types from "./types.js";

/** State of an item at its owner. */
export enum ItemState {
    Waiting = "Waiting",
    Running = "Running",
    /** The item has a result, which may not be listed in the head yet. */
    Finished = "Finished",
}

/** An item and its progress. */
export interface OwnedItem {
    readonly submission: OwnedSubmission;
    readonly index: number;
    readonly item: types.BatchItem;
    state: ItemState;
    /** Data of the events so far. The next run continues after the last one. */
    readonly texts: string[];
    lastEventId: number | undefined;
    /**
     * Where the events so far come from; undefined if there are none, or if it is not known. Only upstreams of this origin may
     * continue the item, since the events of two software versions don't fit together.
     */
    origin: records.ItemOrigin | undefined;
    /** When the last run ended, or the progress of a previous owner was taken over. */
    waitingSince: core.MonotonicMilliseconds;
    /** Failed attempts, which count towards the route's maximum. */
    failures: number;
    /** Runs that were stopped because their upstream was silent. */
    silentRuns: number;
    /** Runs in a row that broke off without an event. */
    brokenRuns: number;
    /** Earliest time of the next run; later than now only if the last run was lost. */
    notBefore: core.MonotonicMilliseconds;
}

/** Initial state, dependencies and callbacks of an `OwnedSubmission`. */
export interface OwnedSubmissionOptions {
    readonly id: string;
    readonly stored: submissionStore.StoredHead;
    readonly items: readonly types.BatchItem[];
    readonly results: readonly types.BatchResult[];
    readonly store: submissionStore.SubmissionStore;
    readonly clock: core.Clock;
    readonly certainty: ownershipCertainty.OwnershipCertainty;
    /** Called when this member no longer owns the submission. */
    readonly onOwnershipLost: (reason: string) => void;
    /** Called when results have been listed, with their total number and the number of calls to the store that this took. */
    readonly onListed: (count: number, calls: number) => void;
}

/**
 * Delay that combines several results into one write: ten items that end within seconds need two or three writes. Results that are
 * lost because the process is killed during the delay are computed again.
 */
const FlushDelayMilliseconds = 1_200;
/**
 * The same after a run that failed or was rejected as impossible. The number of such runs of an item is limited over all its owners, so little
 * of it may be lost with this process. They are rare.
 */
const FailureDelayMilliseconds = 100;
/** Maximum size of a segment's texts. */
const MaximumSegmentBytes = 400_000;
/** Initial and maximum pause after a failed write. */
const InitialRetryMilliseconds = 200;
const MaximumRetryMilliseconds = 1_000;
/**
 * Interval at which the progress of items is stored. Items take five to ten seconds. When all processes are killed at once, at most
 * this much of an item is repeated; repeating whole items would delay those of the whole fleet.
 */
const CheckpointIntervalMilliseconds = 2_500;
/** Minimum number of new events for a checkpoint. Repeating fewer, about a second in one engine slot, is cheaper than the write. */
const MinimumCheckpointEvents = 40;
/** Maximum size of a checkpoint's texts: half of the store's maximum value size. Progress beyond it is not stored. */
const MaximumCheckpointBytes = 400_000;

/** A submission that this member runs. Results become readable only after the store has acknowledged them. */
export class OwnedSubmission {
    readonly items: OwnedItem[];
    private stored: submissionStore.StoredHead;
    private readonly listed: types.BatchResult[];
    private readonly pending: types.BatchResult[] = [];
    private readonly waiters = new Set<() => void>();
    private stopFlush: (() => void) | undefined;
    private stopFailureFlush: (() => void) | undefined;
    private stopCheckpoint: (() => void) | undefined;
    /** Number of events in the store, by item index. */
    private checkpointedEvents: ReadonlyMap<number, number> = new Map();
    /** Writes are sequential, since each is fenced by the revision of the previous one. */
    private lastWrite: Promise<void> = Promise.resolve();
    private hasEnded = false;
    private hasLostOwnership = false;

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
            origin: undefined,
            waitingSince: -Infinity,
            failures: failures.get(index) ?? 0,
            silentRuns: 0,
            brokenRuns: 0,
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

    /** Whether this member may still run items of the submission. */
    isActive(): boolean {
        return !this.hasEnded && !this.hasLostOwnership;
    }

    isComplete(): boolean {
        return this.listed.length === this.items.length;
    }

    /** Whether the store must be asked if this member still owns the submission, for which there is work to do. */
    needsOwnershipCheck(): boolean {
        const { certainty } = this.options;
        // The reply to a handover tells, without a call to the store.
        return this.isActive() && !this.isComplete() && !certainty.isOwner() && !certainty.mayBeHandedOver();
    }

    /**
     * Whether the page from `position` is certain to show what the store holds. Listed results never change, whoever owns the
     * submission. That there are no further ones is known only to the owner, while no write of its own is uncertain.
     */
    isPageCertain(position: number): boolean {
        const isFinal = this.isComplete() || (this.hasEnded && !this.hasLostOwnership);
        return (
            position < this.listed.length || isFinal || (this.isActive() && this.options.certainty.knowsAllResults())
        );
    }

    /**
     * Compares a head that was read from the store with this member's state. `period` is the listing period of this member when the
     * read began.
     */
    noteStoredHead({ head, revision }: submissionStore.StoredHead, owner: core.InstanceId, period?: number): void {
        // The read may have begun before this member took the submission over.
        if (revision < this.stored.revision) {
            return;
        }
        if (head.owner !== owner) {
            this.giveUpOwnership(`${head.owner} owns it`);
            return;
        }
        if (head.isEnded && !this.hasEnded) {
            this.giveUpOwnership("another member ended it");
            return;
        }
        this.options.certainty.noteRead(period);
    }

    /** Call before another member is asked to take over. */
    noteHandoverRequest(): void {
        this.options.certainty.noteHandoverRequest();
    }

    /** Whether another member was asked to take over and may still do so. */
    mayBeHandedOver(): boolean {
        return this.options.certainty.mayBeHandedOver();
    }

    /** Returns results from `position`: up to `limitBytes` of text, but at least one result. */
    getPage(position: number, limitBytes: number): types.ResultPage {
        return createPage(this.items.length, this.listed.slice(position), position, limitBytes);
    }

    /** Resolves when there is a result at the position, at the latest after `milliseconds`. */
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

    /** Records the result of an item. It becomes readable when it has been written. */
    finish(owned: OwnedItem, state: types.ResultState): void {
        if (owned.state === ItemState.Finished || !this.isActive()) {
            return;
        }
        owned.state = ItemState.Finished;
        const text = state === types.ResultState.Completed ? owned.texts.join("\n") : "";
        this.pending.push({ id: owned.item.id, state, text });
        const isLast = this.items.every(item => item.state === ItemState.Finished);
        const bytes = this.pending.reduce((sum, result) => sum + result.text.length, 0);
        if (isLast || bytes > MaximumSegmentBytes) {
            void this.flush();
            return;
        }
        this.stopFlush ??= this.options.clock.schedule(FlushDelayMilliseconds, () => void this.flush());
    }

    /** Call after a run that counts towards the item's attempts or shows that it can't be done. It is stored soon. */
    noteFailure(): void {
        if (this.isActive()) {
            this.stopFailureFlush ??= this.options.clock.schedule(FailureDelayMilliseconds, () => void this.flush());
        }
    }

    /** Writes the pending results and failures. Resolves when the results are written or this member has lost ownership. */
    async flush(): Promise<void> {
        this.stopTimers();
        await this.enqueueWrite(async () => {
            if (this.pending.length === 0 && this.hasUnstoredFailures() && this.isActive()) {
                await this.writeUntilKnown(this.createWrite({}, []), true);
            }
            while (this.pending.length > 0 && this.isActive()) {
                if (!(await this.writeSegment())) {
                    return;
                }
            }
        });
    }

    /** Returns the progress of unfinished items that have received events. */
    getProgress(): records.ItemProgress[] {
        return this.items.flatMap((owned): records.ItemProgress[] =>
            owned.state === ItemState.Finished || owned.lastEventId === undefined
                ? []
                : [[owned.index, owned.lastEventId, [...owned.texts], owned.origin]],
        );
    }

    /** Sets the progress that a previous owner made, so that items continue from there. */
    setProgress(progress: readonly records.ItemProgress[]): void {
        for (const [index, lastEventId, texts, origin] of progress) {
            const owned = this.items[index];
            if (owned?.state === ItemState.Waiting && owned.texts.length === 0) {
                owned.texts.push(...texts);
                owned.lastEventId = lastEventId;
                owned.origin = origin;
                owned.waitingSince = this.options.clock.now();
            }
        }
    }

    /** Ends the submission, so that no more items run. Returns whether the end is durable. */
    async end(): Promise<boolean> {
        if (this.hasEnded) {
            return true;
        }
        let isDurable = false;
        await this.enqueueWrite(async () => {
            isDurable = this.hasEnded || (await this.writeUntilKnown(this.createWrite({ isEnded: true }, [])));
        });
        if (isDurable) {
            this.hasEnded = true;
            this.stopCheckpoint?.();
            this.notifyWaiters();
        }
        return isDurable;
    }

    /** Gives up ownership. Results that are not written yet are not passed to the next owner. */
    giveUpOwnership(reason: string): void {
        if (this.hasLostOwnership) {
            return;
        }
        this.hasLostOwnership = true;
        this.stopTimers();
        this.stopCheckpoint?.();
        this.notifyWaiters();
        this.options.onOwnershipLost(reason);
    }

    private stopTimers(): void {
        this.stopFlush?.();
        this.stopFlush = undefined;
        this.stopFailureFlush?.();
        this.stopFailureFlush = undefined;
    }

    private hasUnstoredFailures(): boolean {
        const stored = new Map(this.stored.head.failures);
        return this.listFailures().some(([index, failures]) => failures > (stored.get(index) ?? 0));
    }

    private async writeSegment(): Promise<boolean> {
        const first = this.listed.length;
        const batch = takeResultsWithin(this.pending, MaximumSegmentBytes);
        const change = { segments: [...this.stored.head.segments, first], listed: first + batch.length };
        const put = { key: records.getResultsKey(this.options.id, first), value: records.encodeResults(batch) };
        if (!(await this.writeUntilKnown(this.createWrite(change, [put])))) {
            return false;
        }
        this.pending.splice(0, batch.length);
        this.listed.push(...batch);
        this.notifyWaiters();
        return true;
    }

    /** Stores the progress of the items regularly, so that it survives a crash of this process. */
    private scheduleCheckpoint(): void {
        if (this.isActive() && !this.isComplete()) {
            this.stopCheckpoint = this.options.clock.schedule(
                CheckpointIntervalMilliseconds,
                () => void this.checkpoint().then(() => this.scheduleCheckpoint()),
            );
        }
    }

    private async checkpoint(): Promise<void> {
        await this.enqueueWrite(async () => {
            if (this.isActive() && this.countUncheckpointedEvents() >= MinimumCheckpointEvents) {
                await this.writeUntilKnown(this.createWrite({}, []), true);
            }
        });
    }

    /**
     * Returns the progress of completed items whose results are not listed yet, without their last event. A new owner requests
     * only that event and then sees the item end as usual.
     */
    private getProgressOfPending(results: readonly types.BatchResult[]): records.ItemProgress[] {
        const wanted = new Set(
            results.filter(result => result.state === types.ResultState.Completed).map(result => result.id),
        );
        return this.items.flatMap((owned): records.ItemProgress[] =>
            wanted.has(owned.item.id) && owned.lastEventId !== undefined && owned.texts.length > 1
                ? [[owned.index, owned.lastEventId - 1, owned.texts.slice(0, -1), owned.origin]]
                : [],
        );
    }

    private countUncheckpointedEvents(): number {
        const listed = new Set(this.listed.map(result => result.id));
        return this.items
            .filter(owned => !listed.has(owned.item.id))
            .reduce((sum, owned) => sum + owned.texts.length - (this.checkpointedEvents.get(owned.index) ?? 0), 0);
    }

    /**
     * Creates a write that changes the head and stores the current progress of the items, which needs no separate call. The last
     * result and the end of the submission remove the progress record.
     */
    private createWrite(
        change: Partial<records.SubmissionHead>,
        puts: readonly metadataStore.Put[],
    ): submissionStore.HeadWrite {
        const key = records.getProgressKey(this.options.id);
        const isOver = change.isEnded === true || change.listed === this.items.length;
        const unlisted = this.pending.slice((change.listed ?? this.listed.length) - this.listed.length);
        const known = [...this.getProgress(), ...this.getProgressOfPending(unlisted)];
        const progress = isOver ? [] : takeProgressWithin(known, MaximumCheckpointBytes);
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
     * Repeats a write until its outcome is known; returns whether it was applied. An unanswered write is repeated unchanged: if it
     * is applied later, the repetition finds its own nonce in the head. An optional write (a checkpoint) is abandoned as soon as it
     * is certain that it was not applied, so as not to load a failing store for work that can be repeated.
     */
    private async writeUntilKnown(write: submissionStore.HeadWrite, isOptional = false): Promise<boolean> {
        const events = new Map(this.items.map(owned => [owned.index, owned.texts.length]));
        const pauses = new backoff.Backoff(InitialRetryMilliseconds, MaximumRetryMilliseconds);
        let mayBeWritten = false;
        for (let calls = 1; !this.hasLostOwnership; calls++) {
            const period = this.options.certainty.noteWriteSent();
            const outcome = await this.options.store.write(write);
            switch (outcome.kind) {
                case submissionStore.WriteOutcomeKind.Written:
                    this.options.certainty.noteWritten(period);
                    if (write.head.listed > this.stored.head.listed) {
                        this.options.onListed(write.head.listed, calls);
                    }
                    this.stored = { head: write.head, revision: outcome.revision };
                    this.checkpointedEvents = events;
                    return true;
                case submissionStore.WriteOutcomeKind.Conflict:
                    this.resolveConflict(outcome.current);
                    return false;
                case submissionStore.WriteOutcomeKind.NotDone:
                    if (!mayBeWritten) {
                        this.options.certainty.noteNotWritten();
                    }
                    if (isOptional && !mayBeWritten) {
                        return false;
                    }
                    break;
                case submissionStore.WriteOutcomeKind.Unknown:
                    mayBeWritten = true;
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
        this.giveUpOwnership(current === undefined ? "it was removed" : `${current.head.owner} has changed it`);
    }

    private createHead(change: Partial<records.SubmissionHead>): records.SubmissionHead {
        return { ...this.stored.head, nonce: createNonce(), failures: this.listFailures(), ...change };
    }

    private listFailures(): (readonly [item: number, failures: number])[] {
        return this.items
            .filter(owned => owned.failures > 0 && owned.state !== ItemState.Finished)
            .map(owned => [owned.index, owned.failures] as const);
    }

    /** Runs an action after all previous writes. */
    private async enqueueWrite(action: () => Promise<void>): Promise<void> {
        const turn = this.lastWrite.then(action);
        this.lastWrite = turn.catch(() => undefined);
        await turn;
    }

    private notifyWaiters(): void {
        [...this.waiters].forEach(waiter => waiter());
    }
}

export function createNonce(): string {
    return crypto.randomBytes(8).toString("hex");
}

/** Creates a page of results that begins at `position`. */
export function createPage(
    total: number,
    results: readonly types.BatchResult[],
    position: number,
    limitBytes: number,
): types.ResultPage {
    const page = takeResultsWithin(results, limitBytes);
    return { total, next: position + page.length, results: page };
}

/** Selects the items with the most events, up to `limitBytes` of text: restarting them would cost the most. */
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

/** Returns the first results, up to `limitBytes` of text but at least one. */
function takeResultsWithin(results: readonly types.BatchResult[], limitBytes: number): types.BatchResult[] {
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
