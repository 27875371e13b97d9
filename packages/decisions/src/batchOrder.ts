import type * as core from "@boragedale/core";

/** One item that waits for a place. */
export interface BatchOrderItem {
    readonly id: string;
    readonly caller: core.CallerId;
    readonly weight: number;
    /** Expected work, such as tokens to read and to generate; corrected by `settle`. */
    readonly cost: number;
    readonly deadlineAt: core.MonotonicMilliseconds;
    /** True for an item that gave way with tokens kept: its place in the order is before the caller's new ones. */
    readonly isResumed?: boolean;
}

interface CallerQueue {
    /** Ordered by deadline. */
    readonly items: BatchOrderItem[];
    /** Work had, over weight. */
    served: number;
}

export interface BatchOrderSettings {
    /** An item is urgent this long before its deadline, in milliseconds. */
    readonly urgentMilliseconds: number;
    /** Work, over weight, by which urgent items may put a caller ahead of its share. */
    readonly urgentLead: number;
}

/**
 * Which batch item runs next.
 *
 * Load: jobs of up to hundreds of thousands of items beside jobs of one class, items of 20 tokens beside 2,000. Harm
 * prevented: by deadline alone a caller that sets early deadlines starves the rest; by turns alone a caller with long
 * items gets a hundred times the work. So callers share by work had over weight; within a caller the earliest deadline
 * goes first; an item that would otherwise be late goes before, as far as a bounded lead allows, so that a job that
 * can't be done in time anyway costs the others little.
 */
export class BatchOrder {
    private readonly callers = new Map<core.CallerId, CallerQueue>();
    private length = 0;
    private virtualTime = 0;

    constructor(private readonly settings: BatchOrderSettings) {}

    add(item: BatchOrderItem): void {
        let queue = this.callers.get(item.caller);
        if (queue === undefined) {
            queue = { items: [], served: this.virtualTime };
            this.callers.set(item.caller, queue);
        }
        if (queue.items.length === 0) {
            // Idle time earns nothing: a caller that comes back doesn't take the fleet until it has caught up.
            queue.served = Math.max(queue.served, this.virtualTime);
        }
        queue.items.splice(findPosition(queue.items, item), 0, item);
        this.length++;
    }

    /** The item to run next, taken out; undefined when none waits. */
    take(now: core.MonotonicMilliseconds): BatchOrderItem | undefined {
        const fair = this.tryGetFairCaller();
        if (fair === undefined) {
            return undefined;
        }
        this.virtualTime = Math.max(this.virtualTime, fair.served);
        const queue = this.tryGetUrgentCaller(now) ?? fair;
        const item = queue.items.shift();
        if (item !== undefined) {
            this.length--;
            queue.served += item.cost / item.weight;
        }
        return item;
    }

    /** An item ended with another cost than was expected. */
    settle(caller: core.CallerId, weight: number, expectedCost: number, actualCost: number): void {
        const queue = this.callers.get(caller);
        if (queue !== undefined) {
            queue.served += (actualCost - expectedCost) / weight;
        }
    }

    /** Takes items out, such as those of a cancelled job; returns how many. */
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
            if (queue.items.length > 0 && (best === undefined || queue.served < best.served)) {
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
            const isWithinLead = queue.served <= this.virtualTime + this.settings.urgentLead;
            if (first !== undefined && isWithinLead && first.deadlineAt >= now && first.deadlineAt < bestDeadline) {
                best = queue;
                bestDeadline = first.deadlineAt;
            }
        }
        return best;
    }
}

/** Resumed items first, since their tokens are paid for; then by deadline; equal ones in the order of arrival. */
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
