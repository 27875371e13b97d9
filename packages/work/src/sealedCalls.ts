import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as callTable from "./callTable.js";
import * as codec from "./codec.js";
import type * as files from "./files.js";
import type * as types from "./types.js";

/** Finished calls of a shard that have left its head: immutable segments, and runs that index many of them. */
export interface SealedState {
    /** The newest segments, whose index still lies in the head. */
    readonly segments: readonly SegmentInfo[];
    readonly runs: readonly RunInfo[];
}

export interface SegmentInfo {
    readonly name: string;
    readonly newestAt: core.WallMilliseconds;
    /** Hashes of the calls in it, eight bytes each. */
    readonly hashes: Uint8Array;
}

export interface RunInfo {
    readonly name: string;
    readonly newestAt: core.WallMilliseconds;
}

export const EmptySealedState: SealedState = { segments: [], runs: [] };

export interface FoundCalls {
    readonly calls: ReadonlyMap<string, types.CallRecord>;
    /** Names of calls whose segment could not be read: nothing may be decided on them. */
    readonly unreadable: ReadonlySet<string>;
}

/** Calls indexed in the head before the index moves into a run; the head is rewritten with every commit. */
const HeadIndexCalls = 1_024;
const HashBytes = 8;
const CachedSegments = 4;

/** Finds, adds and removes the sealed calls of one shard. Holds an index of hashes, never all the calls. */
export class SealedCalls {
    /** Names of the segments that hold a call of this hash; almost always one. */
    private readonly index = new Map<number, readonly string[]>();
    private readonly knownRuns = new Map<string, readonly SegmentInfo[]>();
    private readonly knownSegments = new Set<string>();
    private readonly cache = new Map<string, readonly types.CallRecord[]>();

    constructor(
        private readonly shard: number,
        private readonly keyValue: backing.KeyValueService,
        private readonly vault: files.FileVault,
        private readonly createId: () => string,
    ) {}

    /** Brings the index to the state of a head that was read; returns why that failed. */
    async adopt(state: SealedState): Promise<string | undefined> {
        for (const run of state.runs) {
            if (this.knownRuns.has(run.name)) {
                continue;
            }
            const entry = await this.keyValue.get(this.getRunKey(run.name), backing.CallPurpose.Ledger);
            if (!entry.ok) {
                return entry.failure.text;
            }
            const segments = entry.value === undefined ? [] : codec.decode<SegmentInfo[]>(entry.value.value);
            this.knownRuns.set(run.name, segments);
            segments.forEach(segment => this.addToIndex(segment));
        }
        state.segments.forEach(segment => this.addToIndex(segment));
        return undefined;
    }

    async find(identities: readonly types.CallIdentity[]): Promise<FoundCalls> {
        const calls = new Map<string, types.CallRecord>();
        const unreadable = new Set<string>();
        for (const identity of identities) {
            const name = callTable.getCallName(identity);
            for (const segment of this.index.get(hashName(name)) ?? []) {
                const records = await this.readSegment(segment);
                const record = records?.find(candidate => callTable.getCallName(candidate) === name);
                if (records === undefined) {
                    unreadable.add(name);
                }
                else if (record !== undefined) {
                    calls.set(name, record);
                }
            }
        }
        return { calls, unreadable };
    }

    /** Writes calls into a segment; the caller commits the returned state. Undefined when the write failed. */
    async seal(state: SealedState, calls: readonly types.CallRecord[]): Promise<SealedState | undefined> {
        const name = this.createId();
        const value = await codec.compress(codec.encode(calls));
        const key = this.getSegmentKey(name);
        if (!(await this.vault.tryCreate(key, value, backing.CallPurpose.Ledger))) {
            return undefined;
        }
        const newestAt = Math.max(...calls.map(call => call.endedAt ?? call.startedAt));
        const segment = { name, newestAt, hashes: encodeHashes(calls) };
        return this.foldIndex({ ...state, segments: [...state.segments, segment] });
    }

    /** Takes back the segment of a commit that lost its race. */
    async unseal(before: SealedState, after: SealedState): Promise<void> {
        const known = new Set([...before.segments, ...before.runs].map(value => value.name));
        for (const segment of after.segments.filter(value => !known.has(value.name))) {
            await this.vault.remove(this.getSegmentKey(segment.name), backing.CallPurpose.Ledger);
        }
    }

    /** Removes everything that ended before `endedBefore`; the caller commits the returned state. */
    async removeOld(state: SealedState, endedBefore: core.WallMilliseconds): Promise<SealedState> {
        const isOld = (value: { readonly newestAt: number }): boolean => value.newestAt < endedBefore;
        const removed = new Set<string>();
        for (const run of state.runs.filter(isOld)) {
            const segments = this.knownRuns.get(run.name) ?? [];
            if ((await this.removeSegments(segments)) && (await this.removeRun(run.name))) {
                removed.add(run.name);
            }
        }
        for (const segment of state.segments.filter(isOld)) {
            if (await this.removeSegments([segment])) {
                removed.add(segment.name);
            }
        }
        return {
            segments: state.segments.filter(segment => !removed.has(segment.name)),
            runs: state.runs.filter(run => !removed.has(run.name)),
        };
    }

    /** Removes the bodies that calls keep outside their records; false when one is left. */
    async removeBodies(records: readonly types.CallRecord[]): Promise<boolean> {
        for (const { result } of records) {
            for (let piece = 0; piece < (result?.storedBody?.pieces ?? 0); piece++) {
                const key = getBodyKey(result?.storedBody?.name ?? "", piece);
                if (!(await this.vault.remove(key, backing.CallPurpose.Ledger))) {
                    return false;
                }
            }
        }
        return true;
    }

    private async foldIndex(state: SealedState): Promise<SealedState | undefined> {
        const calls = state.segments.reduce((sum, segment) => sum + segment.hashes.byteLength / HashBytes, 0);
        if (calls < HeadIndexCalls) {
            return state;
        }
        const name = this.createId();
        const newestAt = Math.max(...state.segments.map(segment => segment.newestAt));
        const value = codec.encode(state.segments);
        const isWritten = await this.vault.tryCreate(this.getRunKey(name), value, backing.CallPurpose.Ledger);
        return isWritten ? { segments: [], runs: [...state.runs, { name, newestAt }] } : undefined;
    }

    private async removeSegments(segments: readonly SegmentInfo[]): Promise<boolean> {
        for (const segment of segments) {
            const records = await this.readSegment(segment.name);
            const isRemoved =
                records !== undefined &&
                (await this.removeBodies(records)) &&
                (await this.vault.remove(this.getSegmentKey(segment.name), backing.CallPurpose.Ledger));
            if (!isRemoved) {
                return false;
            }
            this.removeFromIndex(segment);
        }
        return true;
    }

    private async removeRun(name: string): Promise<boolean> {
        const isRemoved = await this.vault.remove(this.getRunKey(name), backing.CallPurpose.Ledger);
        if (isRemoved) {
            this.knownRuns.delete(name);
        }
        return isRemoved;
    }

    /** An absent segment was removed at the end of its retention: it holds nothing any more. */
    private async readSegment(name: string): Promise<readonly types.CallRecord[] | undefined> {
        const cached = this.cache.get(name);
        if (cached !== undefined) {
            return cached;
        }
        const entry = await this.keyValue.get(this.getSegmentKey(name), backing.CallPurpose.Ledger);
        if (!entry.ok) {
            return undefined;
        }
        const records =
            entry.value === undefined
                ? []
                : codec.decode<types.CallRecord[]>(await codec.decompress(entry.value.value));
        this.cache.set(name, records);
        if (this.cache.size > CachedSegments) {
            const [oldest] = this.cache.keys();
            this.cache.delete(oldest ?? "");
        }
        return records;
    }

    private addToIndex(segment: SegmentInfo): void {
        if (this.knownSegments.has(segment.name)) {
            return;
        }
        this.knownSegments.add(segment.name);
        for (const hash of decodeHashes(segment.hashes)) {
            const names = this.index.get(hash) ?? [];
            this.index.set(hash, [...names, segment.name]);
        }
    }

    private removeFromIndex(segment: SegmentInfo): void {
        this.knownSegments.delete(segment.name);
        this.cache.delete(segment.name);
        for (const hash of decodeHashes(segment.hashes)) {
            const names = (this.index.get(hash) ?? []).filter(name => name !== segment.name);
            if (names.length === 0) {
                this.index.delete(hash);
            }
            else {
                this.index.set(hash, names);
            }
        }
    }

    private getSegmentKey(name: string): string {
        return `ledger/segment/${String(this.shard).padStart(4, "0")}/${name}`;
    }

    private getRunKey(name: string): string {
        return `ledger/run/${String(this.shard).padStart(4, "0")}/${name}`;
    }
}

/** Key of one piece of a result's body that is too large for a segment. */
export function getBodyKey(name: string, piece: number): string {
    return `ledger/body/${name}/${piece}`;
}

/** 52 bits of a hash: exact as a number, and the segment itself decides when two calls share one. */
function hashName(name: string): number {
    const digest = crypto.createHash("sha256").update(name).digest();
    return digest.readUInt32BE(4) * 0x10_0000 + (digest.readUInt32BE(8) >>> 12);
}

function encodeHashes(calls: readonly types.CallRecord[]): Uint8Array {
    const bytes = Buffer.alloc(calls.length * HashBytes);
    calls.forEach((call, index) => bytes.writeDoubleBE(hashName(callTable.getCallName(call)), index * HashBytes));
    return Uint8Array.from(bytes);
}

function* decodeHashes(hashes: Uint8Array): Iterable<number> {
    const bytes = Buffer.from(hashes.buffer, hashes.byteOffset, hashes.byteLength);
    for (let offset = 0; offset < bytes.byteLength; offset += HashBytes) {
        yield bytes.readDoubleBE(offset);
    }
}
