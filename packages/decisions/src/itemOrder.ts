/** What decides when a batch item gets a place. */
export interface ItemOutlook {
    /** Time until its result is due, in milliseconds; negative once it is late. */
    readonly dueInMilliseconds: number;
    /** Time that it still needs in a place, in milliseconds, as far as can be told; 0 where nothing is known. */
    readonly remainingMilliseconds: number;
    readonly eventsSoFar: number;
}

/**
 * Share of the expected time within which an item may still be done: items differ by a quarter and more around their mean,
 * and one that is given up wrongly is late for sure.
 */
const OptimisticShare = 0.7;

/**
 * Order in which items get places, first ones first; those that come last give their places up first.
 *
 * Load: more items than can be done in time, as after all processes were killed at once or when many submissions come
 * together. Harm prevented: places go to the items that are due first, which can't be done in time any more, until those
 * behind them can't either, and every result comes late. So an item that can't be in time waits behind all that can; it
 * still runs, since its result is wanted. Among those that can, the earliest due goes first, and of one submission the
 * item that has come furthest, whose place is soonest free again.
 */
export function compareItems(left: ItemOutlook, right: ItemOutlook): number {
    const isLeftLate = isHopeless(left);
    const isRightLate = isHopeless(right);
    if (isLeftLate !== isRightLate) {
        return isLeftLate ? 1 : -1;
    }
    return left.dueInMilliseconds - right.dueInMilliseconds || right.eventsSoFar - left.eventsSoFar;
}

function isHopeless(item: ItemOutlook): boolean {
    return item.remainingMilliseconds * OptimisticShare > item.dueInMilliseconds;
}

/** Weight of a new item in the running means: some twenty items decide. */
const MeanWeight = 0.05;

/** Learns how long items run: they tell the most that they may produce, not what they will. */
export class ItemLength {
    private meanEvents: number | undefined;
    private meanEventMilliseconds: number | undefined;

    /** An item is done with so many events in all; its last run made `runEvents` of them in a time. */
    record(events: number, runEvents: number, runMilliseconds: number): void {
        this.meanEvents = mix(this.meanEvents, events);
        if (runEvents > 0) {
            this.meanEventMilliseconds = mix(this.meanEventMilliseconds, runMilliseconds / runEvents);
        }
    }

    /** Time that an item still needs, in milliseconds; 0 until items have been seen. */
    estimate(eventsSoFar: number): number {
        return Math.max(0, (this.meanEvents ?? 0) - eventsSoFar) * (this.meanEventMilliseconds ?? 0);
    }
}

function mix(mean: number | undefined, value: number): number {
    return mean === undefined ? value : mean + (value - mean) * MeanWeight;
}
