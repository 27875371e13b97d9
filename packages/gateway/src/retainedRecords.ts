import type * as core from "@boragedale/core";
import * as msgpackr from "msgpackr";
import type * as zod from "zod";
import type * as fleetView from "./fleetView.js";
import type * as metadataStore from "./metadataStore.js";
import type * as types from "./types.js";

/** How long a fact counts after it has ceased to hold. Callers take up a broken stream within seconds. */
export const RetentionMilliseconds = 60_000;
/** Delay of up to this time before a record is written, since all members see a new fact at the same time. */
const WriteSpreadMilliseconds = 100;
const RetryMilliseconds = 200;
/** Interval at which records of facts that no longer hold are checked, and delay of up to this time before one is removed. */
const CheckIntervalMilliseconds = 5_000;

/** Dependencies of `RetainedRecords`. */
export interface RetainedRecordParts {
    readonly store: metadataStore.MetadataStore;
    readonly view: fleetView.FleetView;
    readonly clock: core.Clock;
    readonly random: () => number;
    /** Whether the view was recently confirmed by the store or by a member that watches it. */
    readonly isViewCurrent: () => boolean;
}

interface Retained<TRecord> {
    readonly record: TRecord;
    readonly revision: types.Revision;
    /** When this member first saw that the fact no longer holds; undefined while it does. */
    endedAt: core.MonotonicMilliseconds | undefined;
    /** Set if the fact holds again. A removal that is under way must fail, so the record is written anew. */
    mustBeRenewed: boolean;
}

/**
 * Keeps facts of the registry in the metadata store for a minute after they have ceased to hold. A gateway that has just
 * started, or that lags behind the registry, can't tell from what is listed now what was there before. Facts that change
 * seldom only: each change costs a write of some members.
 */
export abstract class RetainedRecords<TRecord> implements AsyncDisposable {
    /** The records that exist, by key. */
    private readonly retained = new Map<string, Retained<TRecord>>();
    /** When this member began to write each record that it is writing. */
    private readonly writesSince = new Map<string, core.MonotonicMilliseconds>();
    /** Revisions of removals, since a listing may be older. */
    private readonly removedRevisions = new Map<string, types.Revision>();
    private readonly removing = new Set<string>();
    private readonly stopper = new AbortController();
    private reading: Promise<boolean> | undefined;
    private nextReading: Promise<boolean> | undefined;
    private stopChecking: (() => void) | undefined;

    protected constructor(
        protected readonly parts: RetainedRecordParts,
        private readonly prefix: string,
        private readonly schema: zod.ZodType<TRecord>,
    ) {
        parts.view.onChange(() => this.check());
    }

    /** Applies changed entries of the fleet. */
    applyEntries(entries: readonly types.StoreEntry[]): void {
        const records = entries.filter(({ key }) => key.startsWith(this.prefix));
        records.forEach(entry => this.applyRecord(entry));
        if (records.length > 0) {
            this.check();
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
        this.stopChecking?.();
    }

    /** The facts that hold now, by key. */
    protected abstract listCurrent(): ReadonlyMap<string, TRecord>;

    /** Reads the records from the store. Returns whether it has answered. */
    protected async readAll(): Promise<boolean> {
        // A reading that is in progress may have been carried out before the caller's request was sent.
        if (this.reading === undefined) {
            this.reading = this.read();
            return this.reading;
        }
        this.nextReading ??= this.reading.then(async () => {
            this.nextReading = undefined;
            this.reading = this.read();
            return this.reading;
        });
        return this.nextReading;
    }

    /** The records that exist, of facts that hold or held lately. */
    protected getRecords(): readonly TRecord[] {
        return [...this.retained.values()].map(({ record }) => record);
    }

    /** Whether the store certainly keeps the record until a minute after the fact has ceased to hold. */
    protected isRecorded(key: string): boolean {
        return this.retained.get(key)?.mustBeRenewed === false;
    }

    /** How long this member has been writing the record; undefined if it isn't. */
    protected tryGetWriteMilliseconds(key: string): number | undefined {
        const since = this.writesSince.get(key);
        return since === undefined ? undefined : this.parts.clock.now() - since;
    }

    private async read(): Promise<boolean> {
        const listed = await this.parts.store.list(this.prefix);
        if (listed.ok) {
            listed.value.entries.forEach(entry => this.applyRecord(entry));
        }
        this.reading = undefined;
        return listed.ok;
    }

    private applyRecord({ key, value, revision }: types.StoreEntry): void {
        const known = this.retained.get(key);
        const knownRevision = Math.max(known?.revision ?? 0, this.removedRevisions.get(key) ?? 0);
        if (knownRevision > revision) {
            return;
        }
        const record = value === undefined ? undefined : this.tryDecode(value);
        if (record === undefined) {
            this.retained.delete(key);
            this.removedRevisions.set(key, revision);
            return;
        }
        if (known?.revision !== revision) {
            this.retained.set(key, { record, revision, endedAt: undefined, mustBeRenewed: false });
        }
    }

    /** Writes the records that are missing, and removes those of facts that have ceased to hold. */
    private check(): void {
        if (this.stopper.signal.aborted) {
            return;
        }
        for (const [key, record] of this.listCurrent()) {
            const retained = this.retained.get(key);
            if (retained?.endedAt !== undefined) {
                retained.endedAt = undefined;
                retained.mustBeRenewed = true;
            }
            if (!this.isRecorded(key) && !this.writesSince.has(key)) {
                this.writesSince.set(key, this.parts.clock.now());
                void this.write(key, record);
            }
        }
        this.checkEnded();
    }

    private checkEnded(): void {
        const now = this.parts.clock.now();
        const current = this.listCurrent();
        let hasEnded = false;
        for (const [key, retained] of this.retained) {
            if (current.has(key)) {
                continue;
            }
            hasEnded = true;
            retained.endedAt ??= now;
            if (now - retained.endedAt >= RetentionMilliseconds && !this.removing.has(key)) {
                void this.remove(key, retained);
            }
        }
        if (hasEnded && !this.stopper.signal.aborted) {
            this.stopChecking ??= this.parts.clock.schedule(CheckIntervalMilliseconds, () => {
                this.stopChecking = undefined;
                this.checkEnded();
            });
        }
    }

    private async write(key: string, record: TRecord): Promise<void> {
        const { store, clock, random } = this.parts;
        const { signal } = this.stopper;
        const value = msgpackr.pack(record);
        await clock.sleep(random() * WriteSpreadMilliseconds, signal);
        let revision = this.retained.get(key)?.revision ?? 0;
        while (!signal.aborted && !this.isRecorded(key) && this.listCurrent().has(key)) {
            const preconditions = [{ key, revision }];
            const written = await store.transact({ preconditions, puts: [{ key, value }], deletes: [] });
            if (written.ok) {
                const { value: outcome } = written;
                const entries = outcome.isCommitted ? [{ key, value, revision: outcome.revision }] : outcome.current;
                entries.forEach(entry => this.applyRecord(entry));
                // An entry that this build can't read is replaced.
                revision = entries.find(entry => entry.key === key)?.revision ?? 0;
            }
            if (!this.isRecorded(key)) {
                await clock.sleep(RetryMilliseconds * (1 + random()), signal);
            }
        }
        this.writesSince.delete(key);
    }

    private async remove(key: string, retained: Retained<TRecord>): Promise<void> {
        const { store, clock, random, isViewCurrent } = this.parts;
        this.removing.add(key);
        await clock.sleep(random() * CheckIntervalMilliseconds, this.stopper.signal);
        const isWanted = !this.listCurrent().has(key) && this.retained.get(key) === retained;
        if (isWanted && !this.stopper.signal.aborted && isViewCurrent()) {
            const { revision } = retained;
            const removed = await store.transact({ preconditions: [{ key, revision }], puts: [], deletes: [key] });
            if (removed.ok && !removed.value.isCommitted) {
                removed.value.current.forEach(entry => this.applyRecord(entry));
            }
            const isGone =
                removed.ok && (removed.value.isCommitted || removed.value.current.every(entry => entry.key !== key));
            if (isGone && this.retained.get(key) === retained) {
                this.retained.delete(key);
            }
        }
        this.removing.delete(key);
        this.check();
    }

    /** Returns undefined for bytes that another program wrote under the prefix. */
    private tryDecode(value: Uint8Array): TRecord | undefined {
        try {
            const parsed = this.schema.safeParse(msgpackr.unpack(value));
            return parsed.success ? parsed.data : undefined;
        }
        catch {
            return undefined;
        }
    }
}
