/** What determines when a batch item gets a slot. */
export interface ItemEstimate {
    /** Time until its result is due, in milliseconds; negative once it is late. */
    readonly dueInMilliseconds: number;
    /** Estimated time for which it still needs a slot, in milliseconds; 0 if nothing is known. */
    readonly remainingMilliseconds: number;
    readonly eventsSoFar: number;
}

/**
 * Fraction of the expected time within which an item may still finish: items differ by a quarter and more from their
 * mean, and an item that is wrongly considered late will certainly be late.
 */
const OptimisticFraction = 0.7;

/**
 * Orders the items that wait for a slot, first ones first; the last ones yield their slots first.
 *
 * There may be more items than can finish in time, as after all processes were killed at once or when many submissions
 * arrive together. Slots would then go to the items that are due first and can't finish in time any more, until those
 * behind them can't either, and every result is late. So an item that can't finish in time waits behind all that can;
 * it still runs, because its result is wanted. Among those that can, the earliest due goes first, and within one
 * submission the item with the most progress, whose slot is free again soonest.
 */
export function compareItems(left: ItemEstimate, right: ItemEstimate): number {
    const isLeftLate = willBeLate(left);
    const isRightLate = willBeLate(right);
    if (isLeftLate !== isRightLate) {
        return isLeftLate ? 1 : -1;
    }
    return left.dueInMilliseconds - right.dueInMilliseconds || right.eventsSoFar - left.eventsSoFar;
}

/** Whether an item will end after its due time even if it runs faster than usual. */
export function willBeLate(item: ItemEstimate): boolean {
    return item.remainingMilliseconds * OptimisticFraction > item.dueInMilliseconds;
}

/** Share of an item's remaining run: an item that has less time to spare would be late after one preemption. */
const ProtectedShare = 0.25;

/**
 * Orders running items by which of them yields its slot first. Items that can't finish in time yield first, since
 * another delay costs their callers nothing; then those with the most time to spare. An item that would be late after
 * another delay yields only if there is no other one.
 */
export function compareYielding(left: ItemEstimate, right: ItemEstimate): number {
    return getYieldClass(left) - getYieldClass(right) || getSlack(right) - getSlack(left);
}

/**
 * Returns the time that the item has to spare before it is due, as reported to coordinators: at least 0 while it can
 * finish in time, and negative once it can't.
 */
export function getReportedSlack(item: ItemEstimate): number {
    const slack = Math.round(getSlack(item));
    return willBeLate(item) ? Math.min(-1, slack) : Math.max(0, slack);
}

function getSlack(item: ItemEstimate): number {
    return item.dueInMilliseconds - item.remainingMilliseconds;
}

function getYieldClass(item: ItemEstimate): number {
    if (willBeLate(item)) {
        return 0;
    }
    return getSlack(item) < item.remainingMilliseconds * ProtectedShare ? 2 : 1;
}

/** Weight of a new item in the running means: they represent about the last twenty items. */
const MeanWeight = 0.05;

/** Estimates how long items run. Items state only the maximum that they may produce, not what they will produce. */
export class ItemDurationEstimator {
    private meanEvents: number | undefined;
    private meanEventMilliseconds: number | undefined;

    /**
     * Records a finished item with its total number of events; its last run produced `runEvents` of them in
     * `runMilliseconds`.
     */
    record(events: number, runEvents: number, runMilliseconds: number): void {
        this.meanEvents = updateMean(this.meanEvents, events);
        if (runEvents > 0) {
            this.meanEventMilliseconds = updateMean(this.meanEventMilliseconds, runMilliseconds / runEvents);
        }
    }

    /** Time that an item still needs, in milliseconds; 0 until an item has been recorded. */
    estimate(eventsSoFar: number): number {
        return Math.max(0, (this.meanEvents ?? 0) - eventsSoFar) * (this.meanEventMilliseconds ?? 0);
    }
}

function updateMean(mean: number | undefined, value: number): number {
    return mean === undefined ? value : mean + (value - mean) * MeanWeight;
}
