import type * as core from "@boragedale/core";
import type * as jobRecords from "./jobRecords.js";
import * as types from "./types.js";

/**
 * A job's progress record: the claim and progress of each chunk, and where the results are stored. It is a single
 * value, so that a cancel is one compare-and-swap: an instance that records results later finds another revision, reads
 * the state and drops its results.
 */
export interface JobProgress {
    readonly nonce: string;
    readonly state: types.JobState;
    readonly endedAt?: core.WallMilliseconds;
    readonly succeeded: number;
    readonly failed: number;
    readonly outputBytes: number;
    readonly errorBytes: number;
    /** By chunk number; a chunk that was never claimed is absent. */
    readonly chunks: Readonly<Record<number, ChunkProgress>>;
    readonly segments: readonly SegmentPointer[];
}

export interface ChunkProgress {
    readonly claim?: Claim;
    readonly hasEnded?: boolean;
    /** One bit for each item that has ended; absent before the first and after the last. */
    readonly done?: Uint8Array;
    /** Attempts used up by items that have not ended, by position within the chunk. */
    readonly attempts?: Readonly<Record<number, number>>;
}

export interface Claim {
    readonly id: string;
    readonly instance: core.InstanceId;
    /** Identifies the process. After a restart of the instance, claims of its previous process are abandoned. */
    readonly process: string;
    readonly renewedAt: core.WallMilliseconds;
}

/** Refers to a segment of the job's results. Small segments are stored inline in the progress record. */
export interface SegmentPointer {
    readonly name: string;
    readonly inline?: Uint8Array;
}

export interface Claimer {
    readonly instance: core.InstanceId;
    readonly process: string;
    readonly now: core.WallMilliseconds;
    readonly createId: () => string;
    /** Whether the chunk's current claim may be taken over. */
    readonly isAbandoned: (claim: Claim) => boolean;
}

/** The progress of one chunk that an instance records in a checkpoint. */
export interface ChunkReport {
    readonly chunk: number;
    readonly claimId: string;
    /** Positions within the chunk of items that ended since the last report. */
    readonly ended: readonly number[];
    readonly succeeded: number;
    readonly failed: number;
    readonly attempts: Readonly<Record<number, number>>;
    /** Releases the claim, so that another instance can continue with the chunk immediately. */
    readonly releases: boolean;
}

export interface Checkpoint {
    readonly reports: readonly ChunkReport[];
    readonly segment?: SegmentPointer;
    readonly outputBytes: number;
    readonly errorBytes: number;
}

export function createJobProgress(): JobProgress {
    return {
        nonce: "",
        state: types.JobState.Running,
        succeeded: 0,
        failed: 0,
        outputBytes: 0,
        errorBytes: 0,
        chunks: {},
        segments: [],
    };
}

export function hasEnded(progress: JobProgress): boolean {
    return progress.state !== types.JobState.Running;
}

/** Returns the chunks that this claimer may claim now, in the order of the input. */
export function getOpenChunks(progress: JobProgress, job: jobRecords.JobRecord, claimer: Claimer): readonly number[] {
    if (hasEnded(progress)) {
        return [];
    }
    return [...job.chunkItems.keys()].filter(chunk => {
        const current = progress.chunks[chunk];
        return current?.hasEnded !== true && (current?.claim === undefined || claimer.isAbandoned(current.claim));
    });
}

/** Claims those of the given chunks that are still open, or returns undefined if none is. */
export function claimChunks(
    progress: JobProgress,
    job: jobRecords.JobRecord,
    candidates: readonly number[],
    claimer: Claimer,
): JobProgress | undefined {
    const open = new Set(getOpenChunks(progress, job, claimer));
    const claimed = candidates.filter(chunk => open.has(chunk));
    if (claimed.length === 0) {
        return undefined;
    }
    const chunks = { ...progress.chunks };
    for (const chunk of claimed) {
        const { instance, process, now } = claimer;
        const claim = { id: claimer.createId(), instance, process, renewedAt: now };
        chunks[chunk] = { ...chunks[chunk], claim };
    }
    return { ...progress, chunks };
}

/** Returns the checkpoint's chunks that can't be recorded: another claim replaced theirs, or the job has ended. */
export function getLostChunks(progress: JobProgress, checkpoint: Checkpoint): readonly number[] {
    return checkpoint.reports
        .filter(report => hasEnded(progress) || progress.chunks[report.chunk]?.claim?.id !== report.claimId)
        .map(report => report.chunk);
}

/** Whether the checkpoint's results are already recorded: its write took effect, but the reply was lost. */
export function isRecorded(progress: JobProgress, checkpoint: Checkpoint): boolean {
    return (
        checkpoint.segment !== undefined && progress.segments.some(segment => segment.name === checkpoint.segment?.name)
    );
}

/** Applies a checkpoint without lost chunks. The job finishes with its last chunk. */
export function applyCheckpoint(
    progress: JobProgress,
    job: jobRecords.JobRecord,
    checkpoint: Checkpoint,
    now: core.WallMilliseconds,
): JobProgress {
    const chunks = { ...progress.chunks };
    let { succeeded, failed } = progress;
    for (const report of checkpoint.reports) {
        chunks[report.chunk] = applyReport(chunks[report.chunk] ?? {}, report, job, now);
        succeeded += report.succeeded;
        failed += report.failed;
    }
    const isFinished = [...job.chunkItems.keys()].every(chunk => chunks[chunk]?.hasEnded === true);
    return {
        ...progress,
        state: isFinished ? types.JobState.Finished : progress.state,
        endedAt: isFinished ? now : progress.endedAt,
        succeeded,
        failed,
        outputBytes: progress.outputBytes + checkpoint.outputBytes,
        errorBytes: progress.errorBytes + checkpoint.errorBytes,
        chunks,
        segments: checkpoint.segment === undefined ? progress.segments : [...progress.segments, checkpoint.segment],
    };
}

export function endJob(
    progress: JobProgress,
    state: types.JobState,
    now: core.WallMilliseconds,
): JobProgress | undefined {
    return hasEnded(progress) ? undefined : { ...progress, state, endedAt: now };
}

export function isDone(done: Uint8Array | undefined, position: number): boolean {
    return (((done?.[position >> 3] ?? 0) >> (position & 7)) & 1) === 1;
}

function applyReport(
    chunkProgress: ChunkProgress,
    report: ChunkReport,
    job: jobRecords.JobRecord,
    now: core.WallMilliseconds,
): ChunkProgress {
    const items = job.chunkItems[report.chunk] ?? 0;
    const done = new Uint8Array(Math.ceil(items / 8));
    done.set(chunkProgress.done ?? []);
    for (const position of report.ended) {
        done[position >> 3] = (done[position >> 3] ?? 0) | (1 << (position & 7));
    }
    if ([...Array(items).keys()].every(position => isDone(done, position))) {
        return { hasEnded: true };
    }
    const claim =
        report.releases || chunkProgress.claim === undefined ? undefined : { ...chunkProgress.claim, renewedAt: now };
    const attempts = Object.keys(report.attempts).length === 0 ? undefined : report.attempts;
    return { claim, done, attempts };
}
