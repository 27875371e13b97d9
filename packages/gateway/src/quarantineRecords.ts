import type * as core from "@boragedale/core";
import * as msgpackr from "msgpackr";
import * as zod from "zod";
import * as memberDirectory from "./memberDirectory.js";
import type * as metadataStore from "./metadataStore.js";
import type * as types from "./types.js";

/** Prefix of the records. They reach all members with the entries of the fleet. */
const QuarantinePrefix = `${memberDirectory.FleetPrefix}quarantine/`;
/** What is refused. */
export enum QuarantineKind {
    /** Each request with a part of the prompt. */
    Part = "part",
    /** A single request, identified by its fingerprint. */
    Request = "request",
}

/** Keys in the store are limited to 200 bytes; a longer name is not stored. */
const MaximumNameBytes = 120;
/** The store's longest lease. It removes records that nobody needs any more. */
const LongestLeaseMilliseconds = 10 * 60_000;
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
export interface QuarantineChange {
    readonly kind: QuarantineKind;
    /** The part, or the fingerprint of the request. */
    readonly name: string;
    /** 0 if the quarantine has ended. */
    readonly remainingMilliseconds: number;
}

const RecordSchema = zod.object({ until: zod.number() });

/**
 * Keeps quarantined prompt parts and requests in the metadata store, so that a member that starts knows them, also if all members were
 * restarted at once.
 */
export class QuarantineRecords {
    /** Keys of the records that exist. */
    private readonly listed = new Set<string>();

    constructor(private readonly parts: QuarantineRecordParts) {}

    /** Writes a record unless another member has written it. Resolves when it exists, or after many failed attempts. */
    async write(kind: QuarantineKind, name: string, remainingMilliseconds: number): Promise<void> {
        const { store, clock, random } = this.parts;
        const key = tryGetKey(kind, name);
        if (key === undefined) {
            return;
        }
        const value = msgpackr.pack({ until: clock.wallNow() + remainingMilliseconds });
        await clock.sleep(random() * WriteSpreadMilliseconds);
        for (let attempt = 0; attempt < MaximumWriteAttempts && !this.listed.has(key); attempt++) {
            const lease = await store.grantLease(Math.min(LongestLeaseMilliseconds, remainingMilliseconds));
            if (lease.ok) {
                const puts = [{ key, value, lease: lease.value }];
                const written = await store.transact({ preconditions: [{ key, revision: 0 }], puts, deletes: [] });
                if (written.ok) {
                    return;
                }
            }
            await clock.sleep(RetryMilliseconds);
        }
    }

    /** Removes the record, if there is one, of a part that has turned out not to be guilty. */
    async removeIfListed(part: string): Promise<void> {
        const key = tryGetKey(QuarantineKind.Part, part);
        if (key !== undefined && this.listed.has(key)) {
            await this.parts.store.transact({ preconditions: [], puts: [], deletes: [key] });
        }
    }

    /** Reads the changes of quarantines from changed entries of the fleet. */
    readChanges(entries: readonly types.StoreEntry[]): readonly QuarantineChange[] {
        const changes: QuarantineChange[] = [];
        for (const { key, value } of entries) {
            const kind = Object.values(QuarantineKind).find(other => key.startsWith(getPrefix(other)));
            if (kind === undefined) {
                continue;
            }
            const name = decodeURIComponent(key.slice(getPrefix(kind).length));
            const until = value === undefined ? undefined : tryReadUntil(value);
            if (until === undefined) {
                this.listed.delete(key);
            }
            else {
                this.listed.add(key);
            }
            const remainingMilliseconds = Math.max(0, (until ?? 0) - this.parts.clock.wallNow());
            changes.push({ kind, name, remainingMilliseconds });
        }
        return changes;
    }
}

function getPrefix(kind: QuarantineKind): string {
    return `${QuarantinePrefix}${kind}/`;
}

function tryGetKey(kind: QuarantineKind, name: string): string | undefined {
    const encoded = encodeURIComponent(name);
    return encoded.length > MaximumNameBytes ? undefined : getPrefix(kind) + encoded;
}

/** Returns undefined for bytes that another program wrote under the prefix. */
function tryReadUntil(value: Uint8Array): number | undefined {
    try {
        const parsed = RecordSchema.safeParse(msgpackr.unpack(value));
        return parsed.success ? parsed.data.until : undefined;
    }
    catch {
        return undefined;
    }
}
