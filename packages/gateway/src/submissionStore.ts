import * as metadataStore from "./metadataStore.js";
import * as records from "./submissionRecords.js";
import type * as types from "./types.js";

/** A head and its revision, which is the fencing number of the next write. */
export interface StoredHead {
    readonly head: records.SubmissionHead;
    readonly revision: types.Revision;
}

export enum WriteOutcomeKind {
    Written = "Written",
    /** Another member has changed or removed the head. */
    Conflict = "Conflict",
    /** Nothing was written. */
    NotDone = "NotDone",
    /** The write may have been applied, or may still be applied later. */
    Unknown = "Unknown",
}

export type WriteOutcome =
    | { readonly kind: WriteOutcomeKind.Written; readonly revision: types.Revision }
    | { readonly kind: WriteOutcomeKind.Conflict; readonly current: StoredHead | undefined }
    | { readonly kind: WriteOutcomeKind.NotDone | WriteOutcomeKind.Unknown; readonly text: string };

export interface HeadWrite {
    readonly submission: string;
    readonly head: records.SubmissionHead;
    /** Revision that the head must have; 0 if it must not exist. */
    readonly expected: types.Revision;
    readonly puts: readonly metadataStore.Put[];
    readonly deletes?: readonly string[];
    /** Further keys that must be at a revision. */
    readonly preconditions?: readonly metadataStore.Precondition[];
}

/** Reads and writes the records of submissions. Every write is fenced by the head's revision. */
export class SubmissionStore {
    constructor(private readonly store: metadataStore.MetadataStore) {}

    async write(write: HeadWrite): Promise<WriteOutcome> {
        const key = records.getHeadKey(write.submission);
        const result = await this.store.transact({
            preconditions: [{ key, revision: write.expected }, ...(write.preconditions ?? [])],
            puts: [{ key, value: records.encodeHead(write.head) }, ...write.puts],
            deletes: write.deletes ?? [],
        });
        if (!result.ok) {
            const isNotDone = result.failure.kind === metadataStore.StoreFailureKind.NotDone;
            const kind = isNotDone ? WriteOutcomeKind.NotDone : WriteOutcomeKind.Unknown;
            return { kind, text: result.failure.text };
        }
        if (result.value.isCommitted) {
            return { kind: WriteOutcomeKind.Written, revision: result.value.revision };
        }
        const current = toStoredHead(result.value.current.find(entry => entry.key === key));
        // An earlier try of this write succeeded, but its answer was lost.
        if (current !== undefined && current.head.nonce === write.head.nonce) {
            return { kind: WriteOutcomeKind.Written, revision: current.revision };
        }
        return { kind: WriteOutcomeKind.Conflict, current };
    }

    /** Linearizable read; undefined if the submission doesn't exist. */
    async readHead(submission: string): Promise<metadataStore.StoreResult<StoredHead | undefined>> {
        const result = await this.store.read(records.getHeadKey(submission));
        return result.ok ? { ok: true, value: toStoredHead(result.value) } : result;
    }

    async readItems(
        submission: string,
        head: records.SubmissionHead,
    ): Promise<metadataStore.StoreResult<readonly types.BatchItem[]>> {
        const parts = getItemKeys(submission, head);
        return this.readAll(parts, records.tryDecodeItems);
    }

    /** Reads all results from the beginning of the segment that contains `position`. */
    async readResults(
        submission: string,
        head: records.SubmissionHead,
        position: number,
    ): Promise<metadataStore.StoreResult<{ first: number; results: readonly types.BatchResult[] }>> {
        const first = head.segments.filter(start => start <= position).at(-1) ?? 0;
        const starts = head.segments.filter(start => start >= first);
        const keys = starts.map(start => records.getResultsKey(submission, start));
        const read = await this.readAll(keys, records.tryDecodeResults);
        return read.ok ? { ok: true, value: { first, results: read.value } } : read;
    }

    /** Reads the progress of items without a result. Returns none if it is missing or unreadable; the items then start over. */
    async readProgress(
        submission: string,
        head: records.SubmissionHead,
    ): Promise<metadataStore.StoreResult<readonly records.ItemProgress[]>> {
        if (!head.hasProgress) {
            return { ok: true, value: [] };
        }
        const result = await this.store.read(records.getProgressKey(submission));
        if (!result.ok) {
            return result;
        }
        const value = result.value?.value;
        return { ok: true, value: (value === undefined ? undefined : records.tryDecodeProgress(value)) ?? [] };
    }

    /** Lists all heads. `allowStale` has a tenth of the cost and may miss the latest changes. */
    async listHeads(allowStale: boolean): Promise<metadataStore.StoreResult<ReadonlyMap<string, StoredHead>>> {
        const result = await this.store.list(records.HeadPrefix, allowStale);
        if (!result.ok) {
            return result;
        }
        const heads = new Map<string, StoredHead>();
        for (const entry of result.value.entries) {
            const stored = toStoredHead(entry);
            if (stored !== undefined) {
                heads.set(records.readHeadKey(entry.key), stored);
            }
        }
        return { ok: true, value: heads };
    }

    /** Removes a submission whose retention period has ended. */
    async remove(submission: string, stored: StoredHead): Promise<void> {
        const headKey = records.getHeadKey(submission);
        const keys = [
            headKey,
            ...getItemKeys(submission, stored.head),
            ...stored.head.segments.map(first => records.getResultsKey(submission, first)),
            ...(stored.head.hasProgress ? [records.getProgressKey(submission)] : []),
        ];
        const limit = metadataStore.MaximumTransactionEntries - 1;
        // The head is removed first: an interruption leaves unreferenced records, but never a head whose records are missing.
        for (let start = 0; start < keys.length; start += limit) {
            const preconditions = start === 0 ? [{ key: headKey, revision: stored.revision }] : [];
            const deletes = keys.slice(start, start + limit);
            const result = await this.store.transact({ preconditions, puts: [], deletes });
            if (!result.ok || !result.value.isCommitted) {
                return;
            }
        }
    }

    private async readAll<T>(
        keys: readonly string[],
        tryDecode: (value: Uint8Array) => readonly T[] | undefined,
    ): Promise<metadataStore.StoreResult<readonly T[]>> {
        const values: T[] = [];
        for (const key of keys) {
            const result = await this.store.read(key);
            if (!result.ok) {
                return result;
            }
            const decoded = result.value?.value === undefined ? undefined : tryDecode(result.value.value);
            if (decoded === undefined) {
                const text = `${key} is missing or can't be decoded`;
                return { ok: false, failure: { kind: metadataStore.StoreFailureKind.Unknown, text } };
            }
            values.push(...decoded);
        }
        return { ok: true, value: values };
    }
}

function toStoredHead(entry: types.StoreEntry | undefined): StoredHead | undefined {
    const head = entry?.value === undefined ? undefined : records.tryDecodeHead(entry.value);
    return entry === undefined || head === undefined ? undefined : { head, revision: entry.revision };
}

function getItemKeys(submission: string, head: records.SubmissionHead): string[] {
    return [...new Array(head.itemParts).keys()].map(part => records.getItemsKey(submission, part));
}
