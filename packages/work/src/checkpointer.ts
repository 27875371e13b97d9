import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as boards from "./board.js";
import type * as boardStore from "./boardStore.js";
import type * as files from "./files.js";
import type * as heldChunk from "./heldChunk.js";
import * as jobRecords from "./jobRecords.js";
import * as results from "./results.js";

export interface CheckpointerOptions {
    readonly boards: boardStore.BoardStore;
    readonly vault: files.ContentStore;
    readonly clock: core.Clock;
    readonly createId: () => string;
}

export enum CheckpointKind {
    Recorded = "Recorded",
    /** Nothing is recorded yet; the same results are tried again. */
    Delayed = "Delayed",
    /** The job has ended elsewhere: cancelled, expired, or finished. */
    JobEnded = "JobEnded",
}

export interface CheckpointOutcome {
    readonly kind: CheckpointKind;
    readonly board?: boards.Board;
    /** Chunks that somebody else holds now; their results were dropped. */
    readonly lost: readonly number[];
}

/** Uncompressed results of one checkpoint; they fit into a value even where they don't compress. */
export const CheckpointBytes = 850_000;
/** Results of small jobs lie on the board, which saves a write; a large job's board is written too often for that. */
const InlineBytes = 64_000;
const InlineSegments = 4;
const InlineJobItems = 2_000;

interface ChunkResults {
    readonly chunk: heldChunk.HeldChunk;
    readonly ended: readonly heldChunk.EndedItem[];
    readonly attempts: Readonly<Record<number, number>>;
    readonly releases: boolean;
}

/** Results on their way to the board, frozen until it is known whether they got there. */
interface PendingCheckpoint {
    readonly results: readonly ChunkResults[];
    readonly checkpoint: boards.Checkpoint;
    /** Content of a segment that has yet to be written. */
    segment: Uint8Array | undefined;
}

/**
 * Brings the results of one job's chunks to its board. A checkpoint whose outcome is not known (reply lost, service
 * down) is tried again as it is, under the same segment name: built anew it would list results twice.
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
            const attempt = await this.writeBoard(pending);
            if (attempt === undefined) {
                return { kind: CheckpointKind.Delayed, lost };
            }
            if (attempt.lost.length === 0) {
                this.pending = undefined;
                return { kind: CheckpointKind.Recorded, board: attempt.board, lost };
            }
            await this.removeSegment(pending);
            if (boards.hasEnded(attempt.board)) {
                this.pending = undefined;
                return { kind: CheckpointKind.JobEnded, board: attempt.board, lost };
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
        const isInline = bytes.byteLength <= InlineBytes && (await this.hasRoomOnBoard());
        const segment = isInline ? { name, inline: bytes } : { name };
        return {
            results: chunkResults,
            checkpoint: { ...checkpoint, segment },
            segment: isInline ? undefined : bytes,
        };
    }

    private async hasRoomOnBoard(): Promise<boolean> {
        if (this.job.total > InlineJobItems) {
            return false;
        }
        const board = await this.options.boards.read(this.job.id, Infinity);
        return board.ok && board.board.segments.filter(segment => segment.inline !== undefined).length < InlineSegments;
    }

    /** The segment is written before the board names it, so that no reader finds a name without content. */
    private async writeSegment(pending: PendingCheckpoint): Promise<boolean> {
        if (pending.segment === undefined) {
            return true;
        }
        const key = this.getSegmentKey(pending);
        const written = await this.options.vault.tryCreate(key, pending.segment, backing.CallPurpose.Checkpoint);
        if (written) {
            pending.segment = undefined;
        }
        return written;
    }

    private async writeBoard(
        pending: PendingCheckpoint,
    ): Promise<{ readonly board: boards.Board; readonly lost: readonly number[] } | undefined> {
        const { checkpoint } = pending;
        let lost: readonly number[] = [];
        const now = this.options.clock.wallNow();
        const result = await this.options.boards.update(this.job.id, backing.CallPurpose.Checkpoint, board => {
            const isRecorded = boards.isRecorded(board, checkpoint);
            lost = isRecorded ? [] : boards.getLostChunks(board, checkpoint);
            return isRecorded || lost.length > 0 ? undefined : boards.applyCheckpoint(board, this.job, checkpoint, now);
        });
        return result.ok ? { board: result.board, lost } : undefined;
    }

    /** A segment that no board names would only take room; where this fails, it goes with the job. */
    private async removeSegment(pending: PendingCheckpoint): Promise<void> {
        const { segment } = pending.checkpoint;
        if (segment !== undefined && segment.inline === undefined) {
            await this.options.vault.remove(this.getSegmentKey(pending), backing.CallPurpose.Checkpoint);
        }
    }

    private getSegmentKey(pending: PendingCheckpoint): string {
        return jobRecords.getResultsPrefix(this.job.id) + (pending.checkpoint.segment?.name ?? "");
    }
}

function takeResults(chunks: readonly heldChunk.HeldChunk[], releases: boolean): readonly ChunkResults[] {
    let room = CheckpointBytes;
    return chunks.map(chunk => {
        const ended = chunk.takeEnded(room);
        room -= ended.reduce((bytes, item) => bytes + item.line.byteLength, 0);
        return { chunk, ended, attempts: chunk.getAttempts(), releases };
    });
}

function createReport(result: ChunkResults): boards.ChunkReport {
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
