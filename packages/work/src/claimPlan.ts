import type * as core from "@boragedale/core";
import type * as heldChunk from "./heldChunk.js";
import type * as jobRecords from "./jobRecords.js";

/** The state of one instance on which the decision to claim more chunks is based. */
export interface LocalWork {
    readonly chunks: readonly heldChunk.HeldChunk[];
    /** Number of items that are running or could be started now. */
    readonly capacity: number;
    /** Recent rate at which items ended. */
    readonly itemsPerMillisecond: number;
}

/**
 * Chunks are claimed ahead, so that the engines have work during an outage of the key-value service: this many items
 * for each one that can run, or the items that end in this time at the current rate, whichever is more, up to a maximum
 * number of held chunks.
 */
const ClaimAheadItems = 4;
const ClaimAheadMilliseconds = 60_000;
const MaximumHeldChunks = 12;
/**
 * Limits for results that are not yet recorded. Without them, results would fill the memory of a small instance when
 * items end faster than checkpoints are written, or when the service is down. Above the first limit no more chunks are
 * claimed, above the second no more items are started.
 */
const MaximumBytesToClaim = 8_000_000;
const MaximumBytesToStart = 48_000_000;
/** Limits for reading progress records to find open chunks, for the whole fleet and for one instance. */
const MaximumFleetReadsPerSecond = 400;
const MaximumReadsPerSecond = 40;
const BurstReads = 8;

/** Whether to claim chunks: only below half of the wanted items, so that one write claims several chunks. */
export function shouldClaim(localWork: LocalWork): boolean {
    const chunks = localWork.chunks.filter(chunk => !chunk.isComplete());
    const isBehind = chunks.some(chunk => !chunk.isLoaded()) || countEndedBytes(localWork.chunks) > MaximumBytesToClaim;
    return !isBehind && chunks.length < MaximumHeldChunks && countWaitingItems(chunks) < getWantedItems(localWork) / 2;
}

/** Whether another item may be started, given the size of the results that are not yet recorded. */
export function mayStartItems(chunks: readonly heldChunk.HeldChunk[]): boolean {
    return countEndedBytes(chunks) < MaximumBytesToStart;
}

/** Returns how many chunks of a job to claim now, within the maximum number of held chunks. */
export function getClaimLimit(localWork: LocalWork, record: jobRecords.JobRecord): number {
    const chunks = localWork.chunks.filter(chunk => !chunk.isComplete());
    const itemsPerChunk = Math.max(1, record.total / record.chunkItems.length);
    const wantedChunks = Math.ceil((getWantedItems(localWork) - countWaitingItems(chunks)) / itemsPerChunk);
    return Math.max(1, Math.min(MaximumHeldChunks - chunks.length, wantedChunks));
}

/**
 * Limits how often an instance reads progress records, to its share of a fixed rate of the fleet. Otherwise a fleet
 * without batch work would read the most, since every instance has free slots.
 */
export class ReadBudget {
    private tokens = BurstReads;

    constructor(private refilledAt: core.MonotonicMilliseconds) {}

    /** Takes one read from the budget if available. */
    tryTake(now: core.MonotonicMilliseconds, instances: number): boolean {
        const newTokens = ((now - this.refilledAt) * getReadsPerSecond(instances)) / 1_000;
        this.tokens = Math.min(BurstReads, this.tokens + newTokens);
        this.refilledAt = now;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }
}

/** Returns the time in which one instance can check the given number of jobs twice. */
export function getPassMilliseconds(jobs: number, instances: number): number {
    return (2_000 * jobs) / getReadsPerSecond(instances);
}

function getReadsPerSecond(instances: number): number {
    return Math.min(MaximumReadsPerSecond, MaximumFleetReadsPerSecond / Math.max(1, instances));
}

/** Returns how many items should be waiting on this instance; none while no item can run. */
function getWantedItems(localWork: LocalWork): number {
    const { capacity, itemsPerMillisecond } = localWork;
    return capacity === 0 ? 0 : Math.max(capacity * ClaimAheadItems, itemsPerMillisecond * ClaimAheadMilliseconds);
}

function countEndedBytes(chunks: readonly heldChunk.HeldChunk[]): number {
    return chunks.reduce((bytes, chunk) => bytes + chunk.getEndedBytes(), 0);
}

function countWaitingItems(chunks: readonly heldChunk.HeldChunk[]): number {
    return chunks.reduce((count, chunk) => count + chunk.getWaitingCount(), 0);
}
