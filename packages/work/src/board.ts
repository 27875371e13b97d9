import type * as core from "@boragedale/core";
import type * as jobRecords from "./jobRecords.js";
import * as types from "./types.js";

/**
 * A job's board: who works on which chunk, what has ended, where the results lie. One key holds it, so that a cancel is
 * one compare-and-swap: whoever records results later finds another revision, reads the state, and drops them.
 */
export interface Board {
    readonly nonce: string;
    readonly state: types.JobState;
    readonly endedAt?: core.WallMilliseconds;
    readonly succeeded: number;
    readonly failed: number;
    readonly outputBytes: number;
    readonly errorBytes: number;
    /** By chunk number; a chunk that nobody has touched is absent. */
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
    /** Names the process: after a restart under the same name the claim is nobody's. */
    readonly process: string;
    readonly renewedAt: core.WallMilliseconds;
}

/** Results that belong to the job. Small ones lie on the board itself. */
export interface SegmentPointer {
    readonly name: string;
    readonly inline?: Uint8Array;
}

export interface Claimer {
    readonly instance: core.InstanceId;
    readonly process: string;
    readonly now: core.WallMilliseconds;
    readonly createId: () => string;
    /** Whether the chunk's present claim may be taken over. */
    readonly isAbandoned: (claim: Claim) => boolean;
}

/** What one instance has to record for one chunk. */
export interface ChunkReport {
    readonly chunk: number;
    readonly claimId: string;
    /** Positions within the chunk that ended since the last report. */
    readonly ended: readonly number[];
    readonly succeeded: number;
    readonly failed: number;
    readonly attempts: Readonly<Record<number, number>>;
    /** Gives the chunk back, so that others go on with it at once. */
    readonly releases: boolean;
}

export interface Checkpoint {
    readonly reports: readonly ChunkReport[];
    readonly segment?: SegmentPointer;
    readonly outputBytes: number;
    readonly errorBytes: number;
}

export function createBoard(): Board {
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

export function hasEnded(board: Board): boolean {
    return board.state !== types.JobState.Running;
}

/** Chunks that this claimer may claim now, in the order of the input. */
export function getOpenChunks(board: Board, job: jobRecords.JobRecord, claimer: Claimer): readonly number[] {
    if (hasEnded(board)) {
        return [];
    }
    return [...job.chunkItems.keys()].filter(chunk => {
        const progress = board.chunks[chunk];
        return progress?.hasEnded !== true && (progress?.claim === undefined || claimer.isAbandoned(progress.claim));
    });
}

/** Claims the given chunks where they are still open; undefined when none is. */
export function claimChunks(
    board: Board,
    job: jobRecords.JobRecord,
    wanted: readonly number[],
    claimer: Claimer,
): Board | undefined {
    const open = new Set(getOpenChunks(board, job, claimer));
    const claimed = wanted.filter(chunk => open.has(chunk));
    if (claimed.length === 0) {
        return undefined;
    }
    const chunks = { ...board.chunks };
    for (const chunk of claimed) {
        const { instance, process, now } = claimer;
        const claim = { id: claimer.createId(), instance, process, renewedAt: now };
        chunks[chunk] = { ...chunks[chunk], claim };
    }
    return { ...board, chunks };
}

/** Chunks of the checkpoint that somebody else holds now, or that nobody may write to any more. */
export function getLostChunks(board: Board, checkpoint: Checkpoint): readonly number[] {
    return checkpoint.reports
        .filter(report => hasEnded(board) || board.chunks[report.chunk]?.claim?.id !== report.claimId)
        .map(report => report.chunk);
}

/** Whether the checkpoint's results are on the board already: its write took effect, and the reply was lost. */
export function isRecorded(board: Board, checkpoint: Checkpoint): boolean {
    return (
        checkpoint.segment !== undefined && board.segments.some(segment => segment.name === checkpoint.segment?.name)
    );
}

/** Records a checkpoint none of whose chunks is lost; the job ends with its last chunk. */
export function applyCheckpoint(
    board: Board,
    job: jobRecords.JobRecord,
    checkpoint: Checkpoint,
    now: core.WallMilliseconds,
): Board {
    const chunks = { ...board.chunks };
    let { succeeded, failed } = board;
    for (const report of checkpoint.reports) {
        chunks[report.chunk] = applyReport(chunks[report.chunk] ?? {}, report, job, now);
        succeeded += report.succeeded;
        failed += report.failed;
    }
    const isFinished = [...job.chunkItems.keys()].every(chunk => chunks[chunk]?.hasEnded === true);
    return {
        ...board,
        state: isFinished ? types.JobState.Finished : board.state,
        endedAt: isFinished ? now : board.endedAt,
        succeeded,
        failed,
        outputBytes: board.outputBytes + checkpoint.outputBytes,
        errorBytes: board.errorBytes + checkpoint.errorBytes,
        chunks,
        segments: checkpoint.segment === undefined ? board.segments : [...board.segments, checkpoint.segment],
    };
}

export function endBoard(board: Board, state: types.JobState, now: core.WallMilliseconds): Board | undefined {
    return hasEnded(board) ? undefined : { ...board, state, endedAt: now };
}

export function isDone(done: Uint8Array | undefined, position: number): boolean {
    return (((done?.[position >> 3] ?? 0) >> (position & 7)) & 1) === 1;
}

function applyReport(
    progress: ChunkProgress,
    report: ChunkReport,
    job: jobRecords.JobRecord,
    now: core.WallMilliseconds,
): ChunkProgress {
    const items = job.chunkItems[report.chunk] ?? 0;
    const done = new Uint8Array(Math.ceil(items / 8));
    done.set(progress.done ?? []);
    for (const position of report.ended) {
        done[position >> 3] = (done[position >> 3] ?? 0) | (1 << (position & 7));
    }
    if ([...Array(items).keys()].every(position => isDone(done, position))) {
        return { hasEnded: true };
    }
    const claim = report.releases || progress.claim === undefined ? undefined : { ...progress.claim, renewedAt: now };
    const attempts = Object.keys(report.attempts).length === 0 ? undefined : report.attempts;
    return { claim, done, attempts };
}
