import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as msgpackr from "msgpackr";
import * as zod from "zod";
import * as memberDirectory from "./memberDirectory.js";
import * as metadataStore from "./metadataStore.js";
import * as suspectRecords from "./suspectRecords.js";
import type * as trialRunner from "./trialRunner.js";
import type * as types from "./types.js";

/** Prefix of the records. They reach all members with the entries of the fleet. */
const QuarantinePrefix = `${memberDirectory.FleetPrefix}quarantine/`;
/** Keys in the store are limited to 200 bytes; a longer name is not stored. */
const MaximumNameBytes = 120;
/** The store's longest lease. It removes records that nobody needs any more. */
const LongestLeaseMilliseconds = 10 * 60_000;
/** A lease may end this much before the time in its record. */
const ExpirySlackMilliseconds = 30_000;
/** Delay of up to this time before a record is written, since all members of a small fleet come to the same verdict. */
const WriteSpreadMilliseconds = 300;
const RetryMilliseconds = 1_000;
const MaximumWriteAttempts = 30;

/** Dependencies of `QuarantineRecords`. */
export interface QuarantineRecordParts {
    readonly store: metadataStore.MetadataStore;
    readonly clock: core.Clock;
    readonly random: () => number;
}

/** A change of a quarantine in the store. */
export interface QuarantineChange extends trialRunner.QuarantineName {
    /** 0 if the quarantine's time has passed, or its record was removed. */
    readonly remainingMilliseconds: number;
    /** Trials that have failed. */
    readonly failures: number;
    /** Whether the record was removed before its time, by a member that refuted it or by an operator. */
    readonly isEndedEarly?: boolean;
}

interface ListedRecord {
    readonly revision: types.Revision;
    readonly until: number;
}

const RecordSchema = zod.object({ until: zod.number(), failures: zod.number().min(0).optional() });
type QuarantineRecord = zod.infer<typeof RecordSchema>;

/**
 * Keeps quarantined prompt parts and requests in the metadata store, so that a member that starts knows them, also if all members were
 * restarted at once.
 */
export class QuarantineRecords {
    /** The records that exist, by key. */
    private readonly listed = new Map<string, ListedRecord>();
    /** Revisions of records whose quarantines have turned out to be false, in case the entries are listed again. */
    private readonly refuted = new Map<string, types.Revision>();

    /** The crashes of requests that are not quarantined yet. */
    readonly suspects: suspectRecords.SuspectRecords;

    constructor(private readonly parts: QuarantineRecordParts) {
        this.suspects = new suspectRecords.SuspectRecords(parts);
    }

    /**
     * Writes a record. Without failed trials, a record that another member has written is kept. `isCurrent` tells whether the
     * quarantine still holds, since the store may be away for longer. Resolves when the record exists, or after many failed attempts.
     */
    async write(change: QuarantineChange, isCurrent: () => boolean): Promise<void> {
        const { store, clock, random } = this.parts;
        const key = tryGetKey(change);
        if (key === undefined) {
            return;
        }
        const isNew = change.failures === 0;
        const lifetime = Math.min(LongestLeaseMilliseconds, change.remainingMilliseconds);
        const until = clock.wallNow() + lifetime;
        const value = msgpackr.pack({ until, failures: change.failures });
        await clock.sleep(isNew ? random() * WriteSpreadMilliseconds : 0);
        let lease: string | undefined;
        for (let attempt = 0; attempt < MaximumWriteAttempts && isCurrent(); attempt++) {
            if (isNew && this.listed.has(key)) {
                return;
            }
            lease ??= await this.tryGrantLease(lifetime);
            if (lease !== undefined) {
                const puts = [{ key, value, lease }];
                const preconditions = isNew ? [{ key, revision: 0 }] : [];
                const written = await store.transact({ preconditions, puts, deletes: [] });
                if (written.ok) {
                    await this.removeIfRefuted(key, written.value, isCurrent);
                    return;
                }
            }
            await clock.sleep(RetryMilliseconds);
        }
        if (lease !== undefined && !isCurrent()) {
            await this.endLease(lease);
        }
    }

    private async tryGrantLease(lifetime: number): Promise<string | undefined> {
        const granted = await this.parts.store.grantLease(lifetime);
        return granted.ok ? granted.value : undefined;
    }

    /** Ends the lease of writes without an answer, so that they have no effect if the store carries them out later. */
    private async endLease(lease: string): Promise<void> {
        const { store, clock } = this.parts;
        for (let attempt = 0; attempt < MaximumWriteAttempts; attempt++) {
            const ended = await store.endLease(lease);
            if (ended.ok || ended.failure.kind === metadataStore.StoreFailureKind.LeaseGone) {
                return;
            }
            await clock.sleep(RetryMilliseconds);
        }
    }

    /** Call when a quarantine has turned out to be false. Its record, if there is one, no longer counts here. */
    refute(quarantine: trialRunner.QuarantineName): void {
        const key = tryGetKey(quarantine);
        const revision = key === undefined ? undefined : this.listed.get(key)?.revision;
        if (key !== undefined && revision !== undefined) {
            this.refuted.set(key, revision);
        }
    }

    /** Removes the record, if there is one, of a quarantine that has turned out to be false. */
    async removeIfListed(quarantine: trialRunner.QuarantineName): Promise<void> {
        const { store, clock } = this.parts;
        const key = tryGetKey(quarantine);
        const revision = key === undefined ? undefined : this.listed.get(key)?.revision;
        if (key === undefined || revision === undefined) {
            return;
        }
        this.refute(quarantine);
        for (
            let attempt = 0;
            attempt < MaximumWriteAttempts && this.listed.get(key)?.revision === revision;
            attempt++
        ) {
            const removed = await store.transact({ preconditions: [{ key, revision }], puts: [], deletes: [key] });
            if (removed.ok) {
                return;
            }
            await clock.sleep(RetryMilliseconds);
        }
    }

    /** Removes a record that was written while its quarantine turned out to be false. */
    private async removeIfRefuted(
        key: string,
        written: metadataStore.TransactionOutcome,
        isCurrent: () => boolean,
    ): Promise<void> {
        if (written.isCommitted && !isCurrent()) {
            const { revision } = written;
            this.refuted.set(key, revision);
            await this.parts.store.transact({ preconditions: [{ key, revision }], puts: [], deletes: [key] });
        }
    }

    /** Reads the changes of quarantines from changed entries of the fleet. */
    readChanges(entries: readonly types.StoreEntry[]): readonly QuarantineChange[] {
        const changes: QuarantineChange[] = [];
        for (const { key, value, revision } of entries) {
            const quarantine = Object.values(protocol.QuarantineKind).find(other => key.startsWith(getPrefix(other)));
            if (quarantine === undefined) {
                continue;
            }
            const name = decodeURIComponent(key.slice(getPrefix(quarantine).length));
            const record = value === undefined ? undefined : tryReadRecord(value);
            const wallNow = this.parts.clock.wallNow();
            const dueAt = this.listed.get(key)?.until ?? wallNow;
            if (record === undefined) {
                this.listed.delete(key);
                this.refuted.delete(key);
            }
            else {
                this.listed.set(key, { revision, until: record.until });
            }
            if (record !== undefined && this.refuted.get(key) === revision) {
                continue;
            }
            const remainingMilliseconds = Math.max(0, (record?.until ?? 0) - wallNow);
            const isEndedEarly = record === undefined && dueAt - wallNow > ExpirySlackMilliseconds;
            changes.push({ quarantine, name, remainingMilliseconds, failures: record?.failures ?? 0, isEndedEarly });
        }
        return changes;
    }
}

function getPrefix(quarantine: protocol.QuarantineKind): string {
    return `${QuarantinePrefix}${quarantine}/`;
}

function tryGetKey({ quarantine, name }: trialRunner.QuarantineName): string | undefined {
    const encoded = encodeURIComponent(name);
    return encoded.length > MaximumNameBytes ? undefined : getPrefix(quarantine) + encoded;
}

/** Returns undefined for bytes that another program wrote under the prefix. */
function tryReadRecord(value: Uint8Array): QuarantineRecord | undefined {
    try {
        const parsed = RecordSchema.safeParse(msgpackr.unpack(value));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
