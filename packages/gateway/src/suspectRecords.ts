import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as msgpackr from "msgpackr";
import * as zod from "zod";
import * as memberDirectory from "./memberDirectory.js";
import * as metadataStore from "./metadataStore.js";
import type * as types from "./types.js";

/** Prefix of the records. They reach all members with the entries of the fleet. */
const SuspectPrefix = `${memberDirectory.FleetPrefix}suspect/`;
/** Keys in the store are limited to 200 bytes; a longer fingerprint is not stored. */
const MaximumFingerprintBytes = 120;
/** The store's longest lease, and the time for which members remember a suspect. */
const LeaseMilliseconds = 10 * 60_000;
/**
 * Delay before a first crash is written. Every request in progress shares it, and most of them are sent again and finish in this time.
 */
const FirstCrashDelayMilliseconds = 1_500;
/**
 * Delay of up to twice this time before a member writes what another one has noticed. Usually that one's record is listed by then.
 */
const OtherWriterMilliseconds = 1_000;
const RetryMilliseconds = 1_000;
const MaximumWriteAttempts = 30;

/** Dependencies of `SuspectRecords`. */
export interface SuspectRecordParts {
    readonly store: metadataStore.MetadataStore;
    readonly clock: core.Clock;
    readonly random: () => number;
}

const RecordSchema = zod.record(zod.string(), zod.number().min(0));

/** The crashes of a request that is suspected. */
interface Candidate extends decisions.SuspectReport {
    /** Whether nothing has changed since: the request has neither finished nor crashed another upstream. */
    readonly isCurrent: () => boolean;
}

/**
 * Keeps the crashes of requests that have crashed upstreams, but too few for a verdict, in the metadata store. Otherwise the count would
 * start at zero if all members were restarted.
 */
export class SuspectRecords {
    /** Crashes in the listed records, by fingerprint. */
    private readonly listed = new Map<string, number>();
    /** Requests with one crash each that are going to be written together, by fingerprint. */
    private readonly gathered = new Map<string, Candidate>();

    constructor(private readonly parts: SuspectRecordParts) {}

    /** Writes the crashes of a request unless the store has them. `isOwn` tells whether this member has noticed the last one. */
    async write(report: decisions.SuspectReport, isOwn: boolean, isCurrent: () => boolean): Promise<void> {
        const { clock, random } = this.parts;
        const candidate = { ...report, isCurrent };
        if (decisions.countReportedDeaths(report) > 1) {
            await clock.sleep(isOwn ? 0 : (1 + random()) * OtherWriterMilliseconds);
            await this.writeAll([candidate]);
            return;
        }
        // Other members don't hear whether the request has finished.
        if (!isOwn) {
            return;
        }
        this.gathered.set(report.fingerprint, candidate);
        if (this.gathered.size === 1) {
            await clock.sleep(FirstCrashDelayMilliseconds);
            const candidates = [...this.gathered.values()];
            this.gathered.clear();
            await this.writeAll(candidates);
        }
    }

    private async writeAll(candidates: readonly Candidate[]): Promise<void> {
        const { store, clock } = this.parts;
        for (let attempt = 0; attempt < MaximumWriteAttempts; attempt++) {
            const missing = candidates.filter(candidate => this.isMissing(candidate));
            if (missing.length === 0) {
                return;
            }
            const granted = await store.grantLease(LeaseMilliseconds);
            if (granted.ok && (await this.putAll(missing, granted.value))) {
                return;
            }
            await clock.sleep(RetryMilliseconds);
        }
    }

    private async putAll(candidates: readonly Candidate[], lease: string): Promise<boolean> {
        for (let start = 0; start < candidates.length; start += metadataStore.MaximumTransactionEntries) {
            const puts = candidates
                .slice(start, start + metadataStore.MaximumTransactionEntries)
                .map(({ fingerprint, deathsByUpstream }) => ({
                    key: SuspectPrefix + encodeURIComponent(fingerprint),
                    value: msgpackr.pack(deathsByUpstream),
                    lease,
                }));
            if (!(await this.parts.store.transact({ preconditions: [], puts, deletes: [] })).ok) {
                return false;
            }
        }
        return true;
    }

    private isMissing(candidate: Candidate): boolean {
        return (
            encodeURIComponent(candidate.fingerprint).length <= MaximumFingerprintBytes &&
            (this.listed.get(candidate.fingerprint) ?? 0) < decisions.countReportedDeaths(candidate) &&
            candidate.isCurrent()
        );
    }

    /** Reads the records among changed entries of the fleet. */
    readReports(entries: readonly types.StoreEntry[]): readonly decisions.SuspectReport[] {
        return entries.flatMap(({ key, value }) => {
            if (!key.startsWith(SuspectPrefix)) {
                return [];
            }
            const fingerprint = decodeURIComponent(key.slice(SuspectPrefix.length));
            const deathsByUpstream = value === undefined ? undefined : tryReadRecord(value);
            if (deathsByUpstream === undefined) {
                this.listed.delete(fingerprint);
                return [];
            }
            const report = { fingerprint, deathsByUpstream };
            this.listed.set(fingerprint, decisions.countReportedDeaths(report));
            return [report];
        });
    }
}

/** Returns undefined for bytes that another program wrote under the prefix. */
function tryReadRecord(value: Uint8Array): Readonly<Record<core.UpstreamId, number>> | undefined {
    try {
        const parsed = RecordSchema.safeParse(msgpackr.unpack(value));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
