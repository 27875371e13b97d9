import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as codec from "./codec.js";
import * as files from "./files.js";
import * as jobRecords from "./jobRecords.js";

export interface JobRetentionOptions {
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    /** How long results and files stay readable, from the release note in effect. */
    readonly getRetentionMilliseconds: () => number;
}

const ListLimit = 200;
/** Segments are listed in smaller pages, since each may be close to a megabyte. */
const SegmentListLimit = 4;

/**
 * Removes ended jobs with their results and files that no running job reads, after their retention. Parts are removed
 * before the record that refers to them, so that the next run completes an interrupted removal.
 */
export class JobRetention {
    private readonly contentStore: files.ContentStore;

    constructor(private readonly options: JobRetentionOptions) {
        this.contentStore = new files.ContentStore(options);
    }

    /** Removes everything past its retention. May stop at any point if the service fails or `signal` is aborted. */
    async removeExpired(signal: AbortSignal): Promise<void> {
        const { clock, getRetentionMilliseconds } = this.options;
        const endedBefore = clock.wallNow() - getRetentionMilliseconds();
        const inputsInUse = new Set<string>();
        const isComplete = await this.forEachEntry(jobRecords.JobsPrefix, signal, async entry => {
            const job = codec.decode<jobRecords.JobRecord>(entry.value);
            if (job.ended === undefined) {
                inputsInUse.add(job.inputFile);
                return true;
            }
            return job.ended.endedAt >= endedBefore || (await this.removeJob(job, entry));
        });
        // After an incomplete pass it is not known which files are still in use.
        if (isComplete) {
            await this.forEachEntry(jobRecords.FilesPrefix, signal, async entry => {
                const file = codec.decode<jobRecords.FileRecord>(entry.value);
                const isDue = file.createdAt < endedBefore && !inputsInUse.has(file.id);
                return !isDue || (await this.removeFile(file, entry));
            });
        }
    }

    private async removeJob(job: jobRecords.JobRecord, entry: backing.Entry): Promise<boolean> {
        return (
            (await this.removePrefix(jobRecords.getResultsPrefix(job.id))) &&
            (await this.contentStore.remove(jobRecords.getProgressKey(job.id), backing.CallPurpose.Checkpoint)) &&
            (await this.removeEntry(entry))
        );
    }

    private async removeFile(file: jobRecords.FileRecord, entry: backing.Entry): Promise<boolean> {
        return (await this.removePrefix(jobRecords.getPiecesPrefix(file.id))) && this.removeEntry(entry);
    }

    private async removePrefix(prefix: string): Promise<boolean> {
        const request = { prefix, limit: SegmentListLimit, purpose: backing.CallPurpose.Read };
        for (;;) {
            const entries = await this.options.keyValue.list(request);
            if (!entries.ok) {
                return false;
            }
            for (const entry of entries.value) {
                if (!(await this.removeEntry(entry))) {
                    return false;
                }
            }
            if (entries.value.length < SegmentListLimit) {
                return true;
            }
        }
    }

    private async removeEntry(entry: backing.Entry): Promise<boolean> {
        const removed = await this.options.keyValue.compareAndSwap({
            key: entry.key,
            expectedRevision: entry.revision,
            value: undefined,
            purpose: backing.CallPurpose.Checkpoint,
        });
        return removed.ok && removed.value.swapped;
    }

    /** Visits every entry. Returns false if the service or a visit failed, or if `signal` is aborted. */
    private async forEachEntry(
        prefix: string,
        signal: AbortSignal,
        visit: (entry: backing.Entry) => Promise<boolean>,
    ): Promise<boolean> {
        let after: string | undefined;
        let isComplete = true;
        while (!signal.aborted) {
            const request = { prefix, after, limit: ListLimit, purpose: backing.CallPurpose.Read };
            const entries = await this.options.keyValue.list(request);
            if (!entries.ok) {
                return false;
            }
            for (const entry of entries.value) {
                isComplete = (await visit(entry)) && isComplete;
            }
            after = entries.value.at(-1)?.key;
            if (entries.value.length < ListLimit) {
                return isComplete;
            }
        }
        return false;
    }
}
