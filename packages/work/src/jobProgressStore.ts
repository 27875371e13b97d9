import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as jobProgress from "./jobProgress.js";
import * as codec from "./codec.js";
import * as jobRecords from "./jobRecords.js";
import * as swap from "./swap.js";

export interface JobProgressStoreOptions {
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    readonly createId: () => string;
}

export type JobProgressResult =
    | { readonly ok: true; readonly progress: jobProgress.JobProgress }
    | { readonly ok: false; readonly text: string; readonly mayBeWritten: boolean };

interface KnownProgress {
    readonly progress: jobProgress.JobProgress;
    readonly revision: backing.Revision;
    readonly readAt: core.MonotonicMilliseconds;
}

/** Consecutive write conflicts after which an update is abandoned, since the record is then too contended. */
const MaximumConflicts = 16;
const MaximumKnownRecords = 256;

/** Reads and updates progress records. An update is computed again whenever another writer was first. */
export class JobProgressStore {
    /** Progress records as last read or written, by job; the oldest are removed. */
    private readonly known = new Map<string, KnownProgress>();

    constructor(private readonly options: JobProgressStoreOptions) {}

    /** Returns a progress record that was read at most `maximumAgeMilliseconds` ago. */
    async read(job: string, maximumAgeMilliseconds = 0): Promise<JobProgressResult> {
        const known = this.known.get(job);
        if (known !== undefined && this.options.clock.now() - known.readAt < maximumAgeMilliseconds) {
            return { ok: true, progress: known.progress };
        }
        const entry = await this.options.keyValue.get(jobRecords.getProgressKey(job), backing.CallPurpose.Read);
        if (!entry.ok) {
            return { ok: false, text: entry.failure.text, mayBeWritten: false };
        }
        return { ok: true, progress: this.adoptEntry(job, entry.value) };
    }

    /** Updates a progress record and returns the result. `change` returns undefined if there is nothing to write. */
    async update(
        job: string,
        purpose: backing.CallPurpose,
        change: (progress: jobProgress.JobProgress) => jobProgress.JobProgress | undefined,
    ): Promise<JobProgressResult> {
        let current = await this.read(job, Infinity);
        for (let conflicts = 0; conflicts < MaximumConflicts && current.ok; conflicts++) {
            const changed = change(current.progress);
            if (changed === undefined) {
                return current;
            }
            const progress = { ...changed, nonce: this.options.createId() };
            const written = await swap.writeValue(this.options.keyValue, this.options.clock, {
                key: jobRecords.getProgressKey(job),
                expectedRevision: this.known.get(job)?.revision ?? 0,
                value: codec.encode(progress),
                purpose,
            });
            switch (written.kind) {
                case swap.WriteKind.Written:
                    this.setKnown(job, progress, written.revision);
                    return { ok: true, progress };
                case swap.WriteKind.Conflict:
                    current = { ok: true, progress: this.adoptEntry(job, written.current) };
                    break;
                case swap.WriteKind.Failed:
                    return { ok: false, text: written.text, mayBeWritten: false };
                case swap.WriteKind.Unknown:
                    this.known.delete(job);
                    return { ok: false, text: written.text, mayBeWritten: true };
            }
        }
        return current.ok
            ? { ok: false, text: "the job's progress record is contended", mayBeWritten: false }
            : current;
    }

    forget(job: string): void {
        this.known.delete(job);
    }

    private adoptEntry(job: string, entry: backing.Entry | undefined): jobProgress.JobProgress {
        const progress =
            entry === undefined ? jobProgress.createJobProgress() : codec.decode<jobProgress.JobProgress>(entry.value);
        this.setKnown(job, progress, entry?.revision ?? 0);
        return progress;
    }

    private setKnown(job: string, progress: jobProgress.JobProgress, revision: backing.Revision): void {
        this.known.delete(job);
        this.known.set(job, { progress, revision, readAt: this.options.clock.now() });
        if (this.known.size > MaximumKnownRecords) {
            const [oldest] = this.known.keys();
            this.known.delete(oldest ?? "");
        }
    }
}
