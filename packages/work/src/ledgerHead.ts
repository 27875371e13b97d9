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

/** What the shard's key holds. The nonce makes every write unlike any other, so that an own one is recognised. */
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
    /** Another holder wrote first; its head is loaded now. */
    Fenced = "Fenced",
    /** Nothing was written. */
    Failed = "Failed",
    /** It could not be found out whether it was written. */
    Unknown = "Unknown",
}

export interface CommitOutcome {
    readonly kind: CommitKind;
    readonly text: string;
}

/** Finished calls stay in the head until they take this much; every commit writes the head anew. */
const SealBytes = 48_000;
const SealCalls = 256;
const CallOverheadBytes = 200;

/** The head of one shard: loads it, and writes it under the revision that it was read at. */
export class LedgerHead {
    private head: LoadedHead | undefined;
    private readonly sealed: sealedCalls.SealedCalls;

    constructor(private readonly options: LedgerHeadOptions) {
        const { shard, keyValue, createId } = options;
        this.sealed = new sealedCalls.SealedCalls(shard, keyValue, new files.FileVault(options), createId);
    }

    /** Makes sure that a head is loaded, however old; returns why that failed. */
    async ensureLoaded(): Promise<string | undefined> {
        return this.head === undefined ? this.reload() : undefined;
    }

    /** Reads the head again; returns why that failed. */
    async reload(): Promise<string | undefined> {
        const { keyValue, shard } = this.options;
        const entry = await keyValue.get(getHeadKey(shard), backing.CallPurpose.Ledger);
        return entry.ok ? this.adopt(entry.value) : entry.failure.text;
    }

    /** Revision of the head that is loaded. */
    tryGetRevision(): backing.Revision | undefined {
        return this.head?.revision;
    }

    /** A draft over the calls of the head and those sealed ones that `identities` name. */
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
            await this.sealed.unseal(head.sealed, sealed);
        }
        return outcome;
    }

    /** Removes calls that ended before `endedBefore`, and those never settled that started before it. */
    async removeOld(endedBefore: core.WallMilliseconds): Promise<void> {
        if ((await this.ensureLoaded()) !== undefined) {
            return;
        }
        const head = this.getHead();
        const sealed = await this.sealed.removeOld(head.sealed, endedBefore);
        const all = [...head.table.getAll()];
        const over = all.filter(call => isOver(call, endedBefore));
        if (!(await this.sealed.removeBodies(over))) {
            return;
        }
        const kept = all.filter(call => !isOver(call, endedBefore));
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
                const failure = await this.adopt(written.current);
                return { kind: failure === undefined ? CommitKind.Fenced : CommitKind.Failed, text: failure ?? "" };
            }
            case swap.WriteKind.Failed:
                return { kind: CommitKind.Failed, text: written.text };
            case swap.WriteKind.Unknown:
                this.head = undefined;
                return { kind: CommitKind.Unknown, text: written.text };
        }
    }

    private async adopt(entry: backing.Entry | undefined): Promise<string | undefined> {
        const revision = entry?.revision ?? 0;
        if (this.head?.revision === revision) {
            return undefined;
        }
        this.head = undefined;
        const stored = entry === undefined ? undefined : codec.decode<StoredHead>(entry.value);
        const sealed = stored?.sealed ?? sealedCalls.EmptySealedState;
        return this.load({ revision, table: new callTable.CallTable(stored?.calls ?? []), sealed });
    }

    /** A head whose index of sealed calls can't be read is not used: a finished key would look new. */
    private async load(head: LoadedHead): Promise<string | undefined> {
        const failure = await this.sealed.adopt(head.sealed);
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

/** Bytes that a finished call takes in a head or segment, roughly. */
export function estimateBytes(call: types.CallRecord): number {
    return CallOverheadBytes + (call.result?.body.byteLength ?? 0);
}

function isSealDue(finished: readonly types.CallRecord[]): boolean {
    return finished.length >= SealCalls || finished.reduce((sum, call) => sum + estimateBytes(call), 0) >= SealBytes;
}

function isOver(call: types.CallRecord, endedBefore: core.WallMilliseconds): boolean {
    return (call.endedAt ?? call.startedAt) < endedBefore;
}
