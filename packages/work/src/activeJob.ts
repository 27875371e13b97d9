import type * as core from "@boragedale/core";
import * as checkpointer from "./checkpointer.js";
import type * as heldChunk from "./heldChunk.js";
import type * as jobRecords from "./jobRecords.js";

/** A running job as a runner sees it. */
export interface ActiveJob {
    readonly record: jobRecords.JobRecord;
    readonly checkpoints: checkpointer.Checkpointer;
    readonly held: Map<number, heldChunk.HeldChunk>;
    /** Not looked at for open chunks before this time. */
    recheckAt: core.MonotonicMilliseconds;
    /** Every chunk was claimed or had ended when the board was last looked at. */
    isExhausted: boolean;
    /** Since when something waits to be recorded; also moved by a failed try. */
    checkpointedAt: core.MonotonicMilliseconds;
    isCheckpointing: boolean;
    /** Time from a checkpoint that was not recorded to its next try. */
    retryMilliseconds: number;
}

export const FirstRetryMilliseconds = 200;
/** In an outage the whole fleet tries; a service that comes back must not find all of it at its door at once. */
const LongestRetryMilliseconds = 5_000;

/** Sets how long the next try waits, after one that was recorded or was not. */
export function noteCheckpoint(job: ActiveJob, isRecorded: boolean): void {
    job.retryMilliseconds = isRecorded
        ? FirstRetryMilliseconds
        : Math.min(LongestRetryMilliseconds, 2 * job.retryMilliseconds);
}

/** Whether what has ended fills a checkpoint already, so that it need not wait for its time. */
export function hasFullCheckpoint(job: ActiveJob): boolean {
    const bytes = [...job.held.values()].reduce((total, chunk) => total + chunk.getEndedBytes(), 0);
    return bytes >= checkpointer.CheckpointBytes;
}
