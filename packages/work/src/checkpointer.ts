import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as jobProgress from "./jobProgress.js";
import type * as jobProgressStore from "./jobProgressStore.js";
import type * as files from "./files.js";
import type * as heldChunk from "./heldChunk.js";
import * as jobRecords from "./jobRecords.js";
import * as results from "./results.js";

export interface CheckpointerOptions {
    readonly progressStore: jobProgressStore.JobProgressStore;
    readonly contentStore: files.ContentStore;
    readonly clock: core.Clock;
    readonly createId: () => string;
}

export enum CheckpointKind {
    Recorded = "Recorded",
    /** Nothing is recorded yet; the same results are retried later. */
    Delayed = "Delayed",
    /** The job has already ended: it was cancelled, has expired or was finished by another instance. */
    JobEnded = "JobEnded",
}

export interface CheckpointOutcome {
    readonly kind: CheckpointKind;
    readonly progress?: jobProgress.JobProgress;
    /** Chunks whose claim another instance has taken over; their results were dropped. */
    readonly lost: readonly number[];
}

/** Uncompressed size of one checkpoint's results, which fit into a value even if they don't compress. */
export const CheckpointBytes = 850_000;
/**
 * Limits for results that are stored inline in the progress record, which saves a write. The progress record of a large
 * job is rewritten too often for that.
 */
const InlineBytes = 64_000;
const InlineSegments = 4;
const InlineJobItems = 2_000;

interface ChunkResults {
    readonly chunk: heldChunk.HeldChunk;
    readonly ended: readonly heldChunk.EndedItem[];
    readonly attempts: Readonly<Record<number, number>>;
    readonly releases: boolean;
}

/** A checkpoint that is being written, unchanged until it is known whether it was recorded. */
interface PendingCheckpoint {
    readonly results: readonly ChunkResults[];
    readonly checkpoint: jobProgress.Checkpoint;
    /** Content of the segment, while it is not yet written. */
    segment: Uint8Array | undefined;
}

/**
 * Records the results of one job's chunks in its progress record. A checkpoint whose outcome is unknown (lost reply,
 * service down) is retried unchanged, with the same segment name; a new one could list results twice.
 */
export class Checkpointer {
    private pending: PendingCheckpoint | undefined;

    constructor(
        private readonly job: jobRecords.JobRecord,
        private readonly options: CheckpointerOptions,
    ) {}

    hasPending(): boolean {
        return this.pending !== undefined;
    }

    async record(chunks: readonly heldChunk.HeldChunk[], releases: boolean): Promise<CheckpointOutcome> {
        this.pending ??= await this.build(takeResults(chunks, releases));
        const lost: number[] = [];
        while (this.pending.results.length > 0) {
            const pending: PendingCheckpoint = this.pending;
            if (!(await this.writeSegment(pending))) {
                return { kind: CheckpointKind.Delayed, lost };
            }
            const attempt = await this.writeProgress(pending);
            if (attempt === undefined) {
                return { kind: CheckpointKind.Delayed, lost };
            }
            if (attempt.lost.length === 0) {
                this.pending = undefined;
                return { kind: CheckpointKind.Recorded, progress: attempt.progress, lost };
            }
            await this.removeSegment(pending);
            if (jobProgress.hasEnded(attempt.progress)) {
                this.pending = undefined;
                return { kind: CheckpointKind.JobEnded, progress: attempt.progress, lost };
            }
            lost.push(...attempt.lost);
            const kept = pending.results.filter(result => !attempt.lost.includes(result.chunk.range.chunk));
            this.pending = await this.build(kept);
        }
        this.pending = undefined;
        return { kind: CheckpointKind.Recorded, lost };
    }

    private async build(chunkResults: readonly ChunkResults[]): Promise<PendingCheckpoint> {
        const ended = chunkResults.flatMap(result => result.ended);
        const output = Buffer.concat(ended.filter(item => item.hasSucceeded).map(item => item.line));
        const errors = Buffer.concat(ended.filter(item => !item.hasSucceeded).map(item => item.line));
        const checkpoint = {
            reports: chunkResults.map(createReport),
            outputBytes: output.byteLength,
            errorBytes: errors.byteLength,
        };
        if (ended.length === 0) {
            return { results: chunkResults, checkpoint, segment: undefined };
        }
        const bytes = await results.encodeSegment({ output, errors });
        const name = this.options.createId();
        const isInline = bytes.byteLength <= InlineBytes && (await this.mayStoreInline());
        const segment = isInline ? { name, inline: bytes } : { name };
        return {
            results: chunkResults,
            checkpoint: { ...checkpoint, segment },
            segment: isInline ? undefined : bytes,
        };
    }

    private async mayStoreInline(): Promise<boolean> {
        if (this.job.total > InlineJobItems) {
            return false;
        }
        const read = await this.options.progressStore.read(this.job.id, Infinity);
        return read.ok && read.progress.segments.filter(entry => entry.inline !== undefined).length < InlineSegments;
    }

    /** Writes the segment before the progress record refers to it, so that no reader finds a name without content. */
    private async writeSegment(pending: PendingCheckpoint): Promise<boolean> {
        if (pending.segment === undefined) {
            return true;
        }
        const key = this.getSegmentKey(pending);
        const written = await this.options.contentStore.tryCreate(key, pending.segment, backing.CallPurpose.Checkpoint);
        if (written) {
            pending.segment = undefined;
        }
        return written;
    }

    private async writeProgress(
        pending: PendingCheckpoint,
    ): Promise<{ readonly progress: jobProgress.JobProgress; readonly lost: readonly number[] } | undefined> {
        const { checkpoint } = pending;
        let lost: readonly number[] = [];
        const now = this.options.clock.wallNow();
        const result = await this.options.progressStore.update(
            this.job.id,
            backing.CallPurpose.Checkpoint,
            progress => {
                const isRecorded = jobProgress.isRecorded(progress, checkpoint);
                lost = isRecorded ? [] : jobProgress.getLostChunks(progress, checkpoint);
                return isRecorded || lost.length > 0
                    ? undefined
                    : jobProgress.applyCheckpoint(progress, this.job, checkpoint, now);
            },
        );
        return result.ok ? { progress: result.progress, lost } : undefined;
    }

    /** Removes a segment that the progress record doesn't refer to. If this fails, it is removed with the job. */
    private async removeSegment(pending: PendingCheckpoint): Promise<void> {
        const { segment } = pending.checkpoint;
        if (segment !== undefined && segment.inline === undefined) {
            await this.options.contentStore.remove(this.getSegmentKey(pending), backing.CallPurpose.Checkpoint);
        }
    }

    private getSegmentKey(pending: PendingCheckpoint): string {
        return jobRecords.getResultsPrefix(this.job.id) + (pending.checkpoint.segment?.name ?? "");
    }
}

function takeResults(chunks: readonly heldChunk.HeldChunk[], releases: boolean): readonly ChunkResults[] {
    let remainingBytes = CheckpointBytes;
    return chunks.map(chunk => {
        const ended = chunk.takeEnded(remainingBytes);
        remainingBytes -= ended.reduce((bytes, item) => bytes + item.line.byteLength, 0);
        return { chunk, ended, attempts: chunk.getAttempts(), releases };
    });
}

function createReport(result: ChunkResults): jobProgress.ChunkReport {
    const succeeded = result.ended.filter(item => item.hasSucceeded).length;
    return {
        chunk: result.chunk.range.chunk,
        claimId: result.chunk.claimId,
        ended: result.ended.map(item => item.position),
        succeeded,
        failed: result.ended.length - succeeded,
        attempts: result.attempts,
        releases: result.releases,
    };
}
