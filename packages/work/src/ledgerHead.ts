import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as callTable from "./callTable.js";
import * as codec from "./codec.js";
import * as files from "./files.js";
import * as sealedCalls from "./sealedCalls.js";
import * as swap from "./swap.js";
import * as types from "./types.js";

export interface LedgerHeadOptions {
    readonly shard: number;
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    readonly createId: () => string;
}

/** The value stored under the shard's key. The nonce makes every write unique, so that a writer recognises its own. */
interface StoredHead {
    readonly nonce: string;
    readonly calls: readonly types.CallRecord[];
    readonly sealed: sealedCalls.SealedState;
}

interface LoadedHead {
    readonly revision: backing.Revision;
    readonly table: callTable.CallTable;
    readonly sealed: sealedCalls.SealedState;
}

export enum CommitKind {
    Committed = "Committed",
    /** Another holder wrote first, and its head is loaded. */
    Fenced = "Fenced",
    /** Nothing was written. */
    Failed = "Failed",
    /** It is not known whether the head was written. */
    Unknown = "Unknown",
}

export interface CommitOutcome {
    readonly kind: CommitKind;
    readonly text: string;
}

/**
 * Finished calls are moved from the head into a segment once they reach one of these sizes, since every commit
 * rewrites the whole head.
 */
const SealBytes = 48_000;
const SealCalls = 256;
const CallOverheadBytes = 200;

/**
 * The head of one shard: a single value with the shard's unfinished and latest finished calls and the index of its
 * sealed ones. It is written by compare-and-swap against the revision at which it was read.
 */
export class LedgerHead {
    private head: LoadedHead | undefined;
    private readonly sealed: sealedCalls.SealedCalls;

    constructor(private readonly options: LedgerHeadOptions) {
        const { shard, keyValue, createId } = options;
        this.sealed = new sealedCalls.SealedCalls(shard, keyValue, new files.ContentStore(options), createId);
    }

    /** Loads the head unless one is loaded, which may be outdated. Returns the reason if that fails. */
    async ensureLoaded(): Promise<string | undefined> {
        return this.head === undefined ? this.reload() : undefined;
    }

    /** Reads the head again. Returns the reason if that fails. */
    async reload(): Promise<string | undefined> {
        const { keyValue, shard } = this.options;
        const entry = await keyValue.get(getHeadKey(shard), backing.CallPurpose.Ledger);
        return entry.ok ? this.loadEntry(entry.value) : entry.failure.text;
    }

    /** Returns the revision of the loaded head. */
    tryGetRevision(): backing.Revision | undefined {
        return this.head?.revision;
    }

    /** Creates a draft of the calls in the head and of the sealed calls listed in `identities`. */
    async createDraft(identities: readonly types.CallIdentity[]): Promise<{
        readonly draft: callTable.CallDraft;
        readonly unreadable: ReadonlySet<string>;
    }> {
        const { table } = this.getHead();
        const sealed = identities.filter(identity => table.tryGet(identity) === undefined);
        const found = await this.sealed.find(sealed);
        return { draft: table.createDraft(found.calls), unreadable: found.unreadable };
    }

    getCallCount(): number {
        return this.getHead().table.getCount();
    }

    async commit(draft: callTable.CallDraft): Promise<CommitOutcome> {
        const head = this.getHead();
        const calls = [...draft.getAll()];
        const finished = calls.filter(call => call.state === types.CallState.Finished);
        if (!isSealDue(finished)) {
            return this.write(head, calls, head.sealed);
        }
        const sealed = await this.sealed.seal(head.sealed, finished);
        if (sealed === undefined) {
            return { kind: CommitKind.Failed, text: "a segment could not be written" };
        }
        const open = calls.filter(call => call.state !== types.CallState.Finished);
        const outcome = await this.write(head, open, sealed);
        if (outcome.kind === CommitKind.Fenced || outcome.kind === CommitKind.Failed) {
            await this.sealed.removeUncommitted(head.sealed, sealed);
        }
        return outcome;
    }

    /** Removes calls that ended before `endedBefore`, and unfinished ones that started before it. */
    async removeExpired(endedBefore: core.WallMilliseconds): Promise<void> {
        if ((await this.ensureLoaded()) !== undefined) {
            return;
        }
        const head = this.getHead();
        const sealed = await this.sealed.removeExpired(head.sealed, endedBefore);
        const all = [...head.table.getAll()];
        const expired = all.filter(call => isExpired(call, endedBefore));
        if (!(await this.sealed.removeBodies(expired))) {
            return;
        }
        const kept = all.filter(call => !isExpired(call, endedBefore));
        const hasChanged =
            kept.length < all.length ||
            sealed.segments.length < head.sealed.segments.length ||
            sealed.runs.length < head.sealed.runs.length;
        if (hasChanged) {
            await this.write(head, kept, sealed);
        }
    }

    private async write(
        head: LoadedHead,
        calls: readonly types.CallRecord[],
        sealed: sealedCalls.SealedState,
    ): Promise<CommitOutcome> {
        const { keyValue, clock, shard, createId } = this.options;
        const written = await swap.writeValue(keyValue, clock, {
            key: getHeadKey(shard),
            expectedRevision: head.revision,
            value: codec.encode({ nonce: createId(), calls, sealed } satisfies StoredHead),
            purpose: backing.CallPurpose.Ledger,
        });
        switch (written.kind) {
            case swap.WriteKind.Written:
                await this.load({ revision: written.revision, table: new callTable.CallTable(calls), sealed });
                return { kind: CommitKind.Committed, text: "" };
            case swap.WriteKind.Conflict: {
                const failure = await this.loadEntry(written.current);
                return { kind: failure === undefined ? CommitKind.Fenced : CommitKind.Failed, text: failure ?? "" };
            }
            case swap.WriteKind.Failed:
                return { kind: CommitKind.Failed, text: written.text };
            case swap.WriteKind.Unknown:
                this.head = undefined;
                return { kind: CommitKind.Unknown, text: written.text };
        }
    }

    private async loadEntry(entry: backing.Entry | undefined): Promise<string | undefined> {
        const revision = entry?.revision ?? 0;
        if (this.head?.revision === revision) {
            return undefined;
        }
        this.head = undefined;
        const stored = entry === undefined ? undefined : codec.decode<StoredHead>(entry.value);
        const sealed = stored?.sealed ?? sealedCalls.EmptySealedState;
        return this.load({ revision, table: new callTable.CallTable(stored?.calls ?? []), sealed });
    }

    /** Doesn't use a head whose index of sealed calls can't be read: a finished call would appear to be new. */
    private async load(head: LoadedHead): Promise<string | undefined> {
        const failure = await this.sealed.loadIndex(head.sealed);
        this.head = failure === undefined ? head : undefined;
        return failure;
    }

    private getHead(): LoadedHead {
        return core.Debug.checkDefined(this.head, "a head is loaded");
    }
}

export function getHeadKey(shard: number): string {
    return `ledger/head/${String(shard).padStart(4, "0")}`;
}

/** Estimates the size of a finished call in a head or segment. */
export function estimateBytes(call: types.CallRecord): number {
    return CallOverheadBytes + (call.result?.body.byteLength ?? 0);
}

function isSealDue(finished: readonly types.CallRecord[]): boolean {
    return finished.length >= SealCalls || finished.reduce((sum, call) => sum + estimateBytes(call), 0) >= SealBytes;
}

function isExpired(call: types.CallRecord, endedBefore: core.WallMilliseconds): boolean {
    return (call.endedAt ?? call.startedAt) < endedBefore;
}
