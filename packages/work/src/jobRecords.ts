import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** The values in which files and jobs are stored, and their keys. */

/** An uploaded file. Its content is stored in pieces, each of which is a compressed value. */
export interface FileRecord extends types.FileDescription {
    /** Uncompressed size of each piece, in order. */
    readonly pieces: readonly number[];
    /** The compressed content of a small file. Storing it inline saves a write for each small job. */
    readonly inline?: Uint8Array;
}

/** A job as submitted. The record changes once, when the job ends; until then, changes go to the progress record. */
export interface JobRecord {
    /** Identifies the submission that created the record. */
    readonly nonce: string;
    readonly id: string;
    readonly caller: core.CallerId;
    readonly inputFile: string;
    readonly endpoint: string;
    readonly generation: core.Generation;
    readonly createdAt: core.WallMilliseconds;
    readonly deadlineAt: core.WallMilliseconds;
    readonly metadata?: Readonly<Record<string, string>>;
    readonly total: number;
    /** Number of items in each chunk. Chunks are contiguous in the input. */
    readonly chunkItems: readonly number[];
    /** Size of each chunk's lines. */
    readonly chunkBytes: readonly number[];
    readonly ended?: JobEnd;
}

export interface JobEnd {
    readonly state: types.JobState;
    readonly counts: types.JobCounts;
    readonly endedAt: core.WallMilliseconds;
}

/** The position of a chunk in its job's input. */
export interface ChunkRange {
    readonly chunk: number;
    readonly firstItem: number;
    readonly items: number;
    readonly start: number;
    readonly bytes: number;
}

export function getChunkRange(job: JobRecord, chunk: number): ChunkRange {
    const sum = (values: readonly number[]): number =>
        values.slice(0, chunk).reduce((total, value) => total + value, 0);
    return {
        chunk,
        firstItem: sum(job.chunkItems),
        items: job.chunkItems[chunk] ?? 0,
        start: sum(job.chunkBytes),
        bytes: job.chunkBytes[chunk] ?? 0,
    };
}

export const JobsPrefix = "jobs/";
export const FilesPrefix = "files/";

export function getFileKey(caller: core.CallerId, id: string): string {
    return `${FilesPrefix}${encodeURIComponent(caller)}/${id}`;
}

export function getPiecesPrefix(file: string): string {
    return `filedata/${file}/`;
}

export function getPieceKey(file: string, piece: number): string {
    return getPiecesPrefix(file) + String(piece).padStart(6, "0");
}

export function getJobsPrefix(caller: core.CallerId): string {
    return `${JobsPrefix}${encodeURIComponent(caller)}/`;
}

export function getJobKey(caller: core.CallerId, id: string): string {
    return getJobsPrefix(caller) + id;
}

export function getProgressKey(job: string): string {
    return `boards/${job}`;
}

export function getResultsPrefix(job: string): string {
    return `results/${job}/`;
}
