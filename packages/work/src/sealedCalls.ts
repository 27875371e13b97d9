import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as callTable from "./callTable.js";
import * as codec from "./codec.js";
import type * as files from "./files.js";
import type * as types from "./types.js";

/** Finished calls moved out of a shard's head: immutable segments, and runs, each of which indexes many segments. */
export interface SealedState {
    /** The newest segments, which are indexed in the head itself. */
    readonly segments: readonly SegmentInfo[];
    readonly runs: readonly RunInfo[];
}

export interface SegmentInfo {
    readonly name: string;
    readonly newestAt: core.WallMilliseconds;
    /** Hashes of the names of the segment's calls, eight bytes each. */
    readonly hashes: Uint8Array;
}

export interface RunInfo {
    readonly name: string;
    readonly newestAt: core.WallMilliseconds;
}

export const EmptySealedState: SealedState = { segments: [], runs: [] };

export interface FoundCalls {
    readonly calls: ReadonlyMap<string, types.CallRecord>;
    /** Names of calls whose segment could not be read, so that no request on them can be decided. */
    readonly unreadable: ReadonlySet<string>;
}

/** Calls indexed in the head before that index is moved into a run, since every commit rewrites the head. */
const MaximumHeadIndexCalls = 1_024;
const HashBytes = 8;
const MaximumCachedSegments = 4;

/** Finds, adds and removes the sealed calls of one shard. Memory holds an index of hashes, not the calls themselves. */
export class SealedCalls {
    /** Names of the segments that contain a call with this hash; almost always one. */
    private readonly index = new Map<number, readonly string[]>();
    private readonly loadedRuns = new Map<string, readonly SegmentInfo[]>();
    private readonly indexedSegments = new Set<string>();
    private readonly cache = new Map<string, readonly types.CallRecord[]>();

    constructor(
        private readonly shard: number,
        private readonly keyValue: backing.KeyValueService,
        private readonly contentStore: files.ContentStore,
        private readonly createId: () => string,
    ) {}

    /** Adds the segments and runs of a head to the index. Returns the reason if a run can't be read. */
    async loadIndex(state: SealedState): Promise<string | undefined> {
        for (const run of state.runs) {
            if (this.loadedRuns.has(run.name)) {
                continue;
            }
            const entry = await this.keyValue.get(this.getRunKey(run.name), backing.CallPurpose.Ledger);
            if (!entry.ok) {
                return entry.failure.text;
            }
            const segments = entry.value === undefined ? [] : codec.decode<SegmentInfo[]>(entry.value.value);
            this.loadedRuns.set(run.name, segments);
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

    /** Writes calls into a new segment. The caller commits the returned state; undefined if the write failed. */
    async seal(state: SealedState, calls: readonly types.CallRecord[]): Promise<SealedState | undefined> {
        const name = this.createId();
        const value = await codec.compress(codec.encode(calls));
        const key = this.getSegmentKey(name);
        if (!(await this.contentStore.tryCreate(key, value, backing.CallPurpose.Ledger))) {
            return undefined;
        }
        const newestAt = Math.max(...calls.map(call => call.endedAt ?? call.startedAt));
        const segment = { name, newestAt, hashes: encodeHashes(calls) };
        return this.moveIndexToRun({ ...state, segments: [...state.segments, segment] });
    }

    /** Removes the segment of a commit that was not written. */
    async removeUncommitted(before: SealedState, after: SealedState): Promise<void> {
        const committed = new Set([...before.segments, ...before.runs].map(value => value.name));
        for (const segment of after.segments.filter(value => !committed.has(value.name))) {
            await this.contentStore.remove(this.getSegmentKey(segment.name), backing.CallPurpose.Ledger);
        }
    }

    /** Removes segments and runs whose calls all ended before `endedBefore`. The caller commits the returned state. */
    async removeExpired(state: SealedState, endedBefore: core.WallMilliseconds): Promise<SealedState> {
        const isExpired = (value: { readonly newestAt: number }): boolean => value.newestAt < endedBefore;
        const removed = new Set<string>();
        for (const run of state.runs.filter(isExpired)) {
            const segments = this.loadedRuns.get(run.name) ?? [];
            if ((await this.removeSegments(segments)) && (await this.removeRun(run.name))) {
                removed.add(run.name);
            }
        }
        for (const segment of state.segments.filter(isExpired)) {
            if (await this.removeSegments([segment])) {
                removed.add(segment.name);
            }
        }
        return {
            segments: state.segments.filter(segment => !removed.has(segment.name)),
            runs: state.runs.filter(run => !removed.has(run.name)),
        };
    }

    /** Removes result bodies that are stored outside their records. Returns false if one could not be removed. */
    async removeBodies(records: readonly types.CallRecord[]): Promise<boolean> {
        for (const { result } of records) {
            for (let piece = 0; piece < (result?.storedBody?.pieces ?? 0); piece++) {
                const key = getBodyKey(result?.storedBody?.name ?? "", piece);
                if (!(await this.contentStore.remove(key, backing.CallPurpose.Ledger))) {
                    return false;
                }
            }
        }
        return true;
    }

    private async moveIndexToRun(state: SealedState): Promise<SealedState | undefined> {
        const calls = state.segments.reduce((sum, segment) => sum + segment.hashes.byteLength / HashBytes, 0);
        if (calls < MaximumHeadIndexCalls) {
            return state;
        }
        const name = this.createId();
        const newestAt = Math.max(...state.segments.map(segment => segment.newestAt));
        const value = codec.encode(state.segments);
        const isWritten = await this.contentStore.tryCreate(this.getRunKey(name), value, backing.CallPurpose.Ledger);
        return isWritten ? { segments: [], runs: [...state.runs, { name, newestAt }] } : undefined;
    }

    private async removeSegments(segments: readonly SegmentInfo[]): Promise<boolean> {
        for (const segment of segments) {
            const records = await this.readSegment(segment.name);
            const isRemoved =
                records !== undefined &&
                (await this.removeBodies(records)) &&
                (await this.contentStore.remove(this.getSegmentKey(segment.name), backing.CallPurpose.Ledger));
            if (!isRemoved) {
                return false;
            }
            this.removeFromIndex(segment);
        }
        return true;
    }

    private async removeRun(name: string): Promise<boolean> {
        const isRemoved = await this.contentStore.remove(this.getRunKey(name), backing.CallPurpose.Ledger);
        if (isRemoved) {
            this.loadedRuns.delete(name);
        }
        return isRemoved;
    }

    /** An absent segment counts as empty, since segments are removed only at the end of their retention. */
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
        if (this.cache.size > MaximumCachedSegments) {
            const [oldest] = this.cache.keys();
            this.cache.delete(oldest ?? "");
        }
        return records;
    }

    private addToIndex(segment: SegmentInfo): void {
        if (this.indexedSegments.has(segment.name)) {
            return;
        }
        this.indexedSegments.add(segment.name);
        for (const hash of decodeHashes(segment.hashes)) {
            const names = this.index.get(hash) ?? [];
            this.index.set(hash, [...names, segment.name]);
        }
    }

    private removeFromIndex(segment: SegmentInfo): void {
        this.indexedSegments.delete(segment.name);
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

/** Returns the key of one piece of a result body that is too large for a segment. */
export function getBodyKey(name: string, piece: number): string {
    return `ledger/body/${name}/${piece}`;
}

/** Returns 52 bits of a hash, which a number represents exactly. On a collision the segment's records decide. */
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
