import type * as core from "@boragedale/core";

/** An item that waits for a slot. */
export interface BatchOrderItem {
    readonly id: string;
    readonly caller: core.CallerId;
    readonly weight: number;
    /** Expected work, such as the number of tokens to prefill and to generate; corrected by `correctCost`. */
    readonly cost: number;
    readonly deadlineAt: core.MonotonicMilliseconds;
    /** True for an item that yielded its slot and kept its tokens: it is ordered before the caller's new items. */
    readonly isResumed?: boolean;
}

interface CallerQueue {
    /** Ordered by deadline. */
    readonly items: BatchOrderItem[];
    /** Work received, divided by weight. */
    servedWork: number;
}

export interface BatchOrderSettings {
    /** An item is urgent from this long before its deadline, in milliseconds. */
    readonly urgentMilliseconds: number;
    /** Work, divided by weight, by which urgent items may put a caller ahead of its share. */
    readonly urgentLead: number;
}

/**
 * Decides which batch item runs next.
 *
 * Jobs with hundreds of thousands of items compete with jobs the size of a school class, and items of 20 tokens with
 * items of 2,000. Ordering by deadline alone would let a caller with early deadlines starve the others; taking turns
 * would give a caller with long items a hundred times the work. Callers therefore share by work received divided by
 * weight. Within a caller the earliest deadline goes first. An item that would otherwise be late goes before others,
 * but only within a bounded lead, so that a job that can't be finished in time anyway costs the others little.
 */
export class BatchOrder {
    private readonly callers = new Map<core.CallerId, CallerQueue>();
    private length = 0;
    private virtualTime = 0;

    constructor(private readonly settings: BatchOrderSettings) {}

    add(item: BatchOrderItem): void {
        let queue = this.callers.get(item.caller);
        if (queue === undefined) {
            queue = { items: [], servedWork: this.virtualTime };
            this.callers.set(item.caller, queue);
        }
        if (queue.items.length === 0) {
            // Idle time earns no credit: a caller that returns must not occupy the whole fleet until it has caught up.
            queue.servedWork = Math.max(queue.servedWork, this.virtualTime);
        }
        queue.items.splice(findPosition(queue.items, item), 0, item);
        this.length++;
    }

    /** Removes and returns the item to run next; undefined when none waits. */
    take(now: core.MonotonicMilliseconds): BatchOrderItem | undefined {
        const fair = this.tryGetFairCaller();
        if (fair === undefined) {
            return undefined;
        }
        this.virtualTime = Math.max(this.virtualTime, fair.servedWork);
        const queue = this.tryGetUrgentCaller(now) ?? fair;
        const item = queue.items.shift();
        if (item !== undefined) {
            this.length--;
            queue.servedWork += item.cost / item.weight;
        }
        return item;
    }

    /** Corrects the work of an item that ended with a different cost than expected. */
    correctCost(caller: core.CallerId, weight: number, expectedCost: number, actualCost: number): void {
        const queue = this.callers.get(caller);
        if (queue !== undefined) {
            queue.servedWork += (actualCost - expectedCost) / weight;
        }
    }

    /** Removes items, such as those of a cancelled job, and returns their number. */
    remove(isUnwanted: (item: BatchOrderItem) => boolean): number {
        let removed = 0;
        for (const queue of this.callers.values()) {
            const kept = queue.items.filter(item => !isUnwanted(item));
            removed += queue.items.length - kept.length;
            queue.items.splice(0, queue.items.length, ...kept);
        }
        this.length -= removed;
        return removed;
    }

    getLength(): number {
        return this.length;
    }

    private tryGetFairCaller(): CallerQueue | undefined {
        let best: CallerQueue | undefined;
        for (const queue of this.callers.values()) {
            if (queue.items.length > 0 && (best === undefined || queue.servedWork < best.servedWork)) {
                best = queue;
            }
        }
        return best;
    }

    private tryGetUrgentCaller(now: core.MonotonicMilliseconds): CallerQueue | undefined {
        let best: CallerQueue | undefined;
        let bestDeadline = now + this.settings.urgentMilliseconds;
        for (const queue of this.callers.values()) {
            const first = queue.items[0];
            const isWithinLead = queue.servedWork <= this.virtualTime + this.settings.urgentLead;
            if (first !== undefined && isWithinLead && first.deadlineAt >= now && first.deadlineAt < bestDeadline) {
                best = queue;
                bestDeadline = first.deadlineAt;
            }
        }
        return best;
    }
}

/**
 * Resumed items come first, because their tokens are already paid for, then the earliest deadline; equal items keep the
 * order of arrival.
 */
function findPosition(items: readonly BatchOrderItem[], item: BatchOrderItem): number {
    let low = 0;
    let high = items.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (isBefore(item, items[middle]!)) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}

function isBefore(left: BatchOrderItem, right: BatchOrderItem): boolean {
    const leftResumed = left.isResumed === true;
    const rightResumed = right.isResumed === true;
    return leftResumed === rightResumed ? left.deadlineAt < right.deadlineAt : leftResumed;
}
