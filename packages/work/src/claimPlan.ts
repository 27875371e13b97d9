import type * as core from "@boragedale/core";
import type * as heldChunk from "./heldChunk.js";
import type * as jobRecords from "./jobRecords.js";

/** What one instance has at hand when it decides whether to claim more. */
export interface WorkAtHand {
    readonly chunks: readonly heldChunk.HeldChunk[];
    /** Items that run or could run now. */
    readonly capacity: number;
    /** Items that ended in a millisecond, as lately seen. */
    readonly rate: number;
}

/**
 * Work claimed ahead, so that an outage of the key-value service doesn't starve the engines: this many items for each
 * one that can run, or what runs in this time at the present rate, as far as the chunks held here are not too many.
 */
const ItemsAhead = 4;
const AheadMilliseconds = 60_000;
const MaximumHeldChunks = 12;
/**
 * Results that wait to be recorded, in bytes. Where items end faster than checkpoints take them away, or the service is
 * down, they would otherwise fill the memory of a small instance: first no more is claimed, then no more is started.
 */
const ClaimingBytes = 8_000_000;
const StartingBytes = 48_000_000;
/** Boards that the whole fleet may read in a second to find open chunks, and the most for one instance. */
const FleetReadsPerSecond = 400;
const ReadsPerSecond = 40;
const ReadBurst = 8;

/** Whether to claim. Only below half of what is wanted, so that one write claims several chunks. */
export function wantsWork(atHand: WorkAtHand): boolean {
    const chunks = atHand.chunks.filter(chunk => !chunk.isComplete());
    const isBehind = chunks.some(chunk => !chunk.hasBeenLoaded()) || countEndedBytes(atHand.chunks) > ClaimingBytes;
    return !isBehind && chunks.length < MaximumHeldChunks && countWaiting(chunks) < getWantedItems(atHand) / 2;
}

/** Whether another item may be started, as far as its result will find room. */
export function hasRoomForResults(chunks: readonly heldChunk.HeldChunk[]): boolean {
    return countEndedBytes(chunks) < StartingBytes;
}

/** Chunks of a job that may be claimed at once: what is wanted, not more than fit. */
export function getRoom(atHand: WorkAtHand, record: jobRecords.JobRecord): number {
    const chunks = atHand.chunks.filter(chunk => !chunk.isComplete());
    const itemsOfChunk = Math.max(1, record.total / record.chunkItems.length);
    const wanted = Math.ceil((getWantedItems(atHand) - countWaiting(chunks)) / itemsOfChunk);
    return Math.max(1, Math.min(MaximumHeldChunks - chunks.length, wanted));
}

/**
 * Limits how often idle instances look at boards. Without a share of a fixed rate, a fleet without batch work would
 * read the most of all, since every instance has room.
 */
export class ReadBudget {
    private credit = ReadBurst;

    constructor(private earnedAt: core.MonotonicMilliseconds) {}

    /** Takes one read where there is one. */
    tryTake(now: core.MonotonicMilliseconds, instances: number): boolean {
        const earned = ((now - this.earnedAt) * getReadsPerSecond(instances)) / 1_000;
        this.credit = Math.min(ReadBurst, this.credit + earned);
        this.earnedAt = now;
        if (this.credit < 1) {
            return false;
        }
        this.credit--;
        return true;
    }
}

/** Time in which one instance can look at so many jobs twice. */
export function getPassMilliseconds(jobs: number, instances: number): number {
    return (2_000 * jobs) / getReadsPerSecond(instances);
}

function getReadsPerSecond(instances: number): number {
    return Math.min(ReadsPerSecond, FleetReadsPerSecond / Math.max(1, instances));
}

/** Items that should wait here; none while nothing can run. */
function getWantedItems(atHand: WorkAtHand): number {
    const { capacity, rate } = atHand;
    return capacity === 0 ? 0 : Math.max(capacity * ItemsAhead, rate * AheadMilliseconds);
}

function countEndedBytes(chunks: readonly heldChunk.HeldChunk[]): number {
    return chunks.reduce((bytes, chunk) => bytes + chunk.getEndedBytes(), 0);
}

function countWaiting(chunks: readonly heldChunk.HeldChunk[]): number {
    return chunks.reduce((count, chunk) => count + chunk.getWaitingCount(), 0);
}
