import type * as core from "@boragedale/core";
import * as checkpointer from "./checkpointer.js";
import type * as heldChunk from "./heldChunk.js";
import type * as jobRecords from "./jobRecords.js";

/** A runner's state of one running job. */
export interface ActiveJob {
    readonly record: jobRecords.JobRecord;
    readonly checkpointer: checkpointer.Checkpointer;
    readonly heldChunks: Map<number, heldChunk.HeldChunk>;
    /** The job is not checked for open chunks before this time. */
    recheckAt: core.MonotonicMilliseconds;
    /** All chunks were claimed or had ended when the job's progress record was last read. */
    isExhausted: boolean;
    /** Time of the last checkpoint attempt, whether or not it was recorded; initially when the job was added. */
    checkpointedAt: core.MonotonicMilliseconds;
    isCheckpointing: boolean;
    /** Delay before a checkpoint that was not recorded is retried. */
    retryMilliseconds: number;
}

export const InitialRetryMilliseconds = 200;
/** In an outage the whole fleet retries; with short delays it would overload the service as soon as it is back. */
const MaximumRetryMilliseconds = 5_000;

/** Updates the delay before the next retry: reset after a recorded checkpoint, otherwise doubled. */
export function updateRetryDelay(job: ActiveJob, isRecorded: boolean): void {
    job.retryMilliseconds = isRecorded
        ? InitialRetryMilliseconds
        : Math.min(MaximumRetryMilliseconds, 2 * job.retryMilliseconds);
}

/** Whether the finished results fill a checkpoint, which is then written without waiting for the interval. */
export function hasFullCheckpoint(job: ActiveJob): boolean {
    const bytes = [...job.heldChunks.values()].reduce((total, chunk) => total + chunk.getEndedBytes(), 0);
    return bytes >= checkpointer.CheckpointBytes;
}
