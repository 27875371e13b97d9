import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as codec from "./codec.js";
import * as files from "./files.js";
import * as jobRecords from "./jobRecords.js";

export interface JobRetentionOptions {
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    /** How long results and files stay readable, from the release note in force. */
    readonly getRetentionMilliseconds: () => number;
}

const ListLimit = 200;
/** Segments are large: each entry of this list may be close to a megabyte. */
const SegmentListLimit = 4;

/**
 * Removes what is past its retention: ended jobs with their results, and files that no running job reads. Parts go
 * before the record that names them, so that an interrupted removal is found and finished by the next one.
 */
export class JobRetention {
    private readonly vault: files.ContentStore;

    constructor(private readonly options: JobRetentionOptions) {
        this.vault = new files.ContentStore(options);
    }

    /** Removes what is due now; stops early, without harm, when the service doesn't answer or `signal` is aborted. */
    async removeOld(signal: AbortSignal): Promise<void> {
        const { clock, getRetentionMilliseconds } = this.options;
        const before = clock.wallNow() - getRetentionMilliseconds();
        const inputsInUse = new Set<string>();
        const isWhole = await this.forEachEntry(jobRecords.JobsPrefix, signal, async entry => {
            const job = codec.decode<jobRecords.JobRecord>(entry.value);
            if (job.ended === undefined) {
                inputsInUse.add(job.inputFile);
                return true;
            }
            return job.ended.endedAt >= before || (await this.removeJob(job, entry));
        });
        // After an incomplete pass it is not known which files are still read.
        if (isWhole) {
            await this.forEachEntry(jobRecords.FilesPrefix, signal, async entry => {
                const file = codec.decode<jobRecords.FileRecord>(entry.value);
                const isDue = file.createdAt < before && !inputsInUse.has(file.id);
                return !isDue || (await this.removeFile(file, entry));
            });
        }
    }

    private async removeJob(job: jobRecords.JobRecord, entry: backing.Entry): Promise<boolean> {
        return (
            (await this.removePrefix(jobRecords.getResultsPrefix(job.id))) &&
            (await this.vault.remove(jobRecords.getBoardKey(job.id), backing.CallPurpose.Checkpoint)) &&
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

    /** Visits every entry; false when the service failed or a visit did. */
    private async forEachEntry(
        prefix: string,
        signal: AbortSignal,
        visit: (entry: backing.Entry) => Promise<boolean>,
    ): Promise<boolean> {
        let after: string | undefined;
        let isWhole = true;
        while (!signal.aborted) {
            const request = { prefix, after, limit: ListLimit, purpose: backing.CallPurpose.Read };
            const entries = await this.options.keyValue.list(request);
            if (!entries.ok) {
                return false;
            }
            for (const entry of entries.value) {
                isWhole = (await visit(entry)) && isWhole;
            }
            after = entries.value.at(-1)?.key;
            if (entries.value.length < ListLimit) {
                return isWhole;
            }
        }
        return false;
    }
}
