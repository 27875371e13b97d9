import type * as core from "@boragedale/core";
import * as priorityQueue from "./priorityQueue.js";

/** What the order needs to know of a waiting request. */
export interface SharedItem {
    readonly caller: core.CallerId;
    /** Relative share of the caller; greater than 0. */
    readonly weight: number;
    /** Expected work; greater than 0. */
    readonly cost: number;
    readonly deadlineAt: core.MonotonicMilliseconds;
}

export interface ShareEntry<T extends SharedItem> {
    readonly item: T;
    startTag: number;
    isWaiting: boolean;
    /** Removed from the order by `pop` and not yet put back; still counted as waiting. */
    isPopped: boolean;
    /** How often another request was taken although it was this one's turn. */
    skipCount: number;
}

interface CallerState<T extends SharedItem> {
    readonly waiting: ShareEntry<T>[];
    finishTag: number;
}

/** A place in the order. It is stale if the entry has since got another tag. */
interface Place<T extends SharedItem> {
    readonly entry: ShareEntry<T>;
    readonly startTag: number;
}

/**
 * The order of waiting requests of one priority: start-time fair queueing among callers. Within a caller, requests are
 * served in order of arrival or earliest deadline first.
 *
 * A burst of one caller must not delay the requests of others by more than that caller's share.
 */
export class ShareOrder<T extends SharedItem> {
    /** Consecutive requests taken from this order while less urgent ones waited. Counted by the owner of the order. */
    precedenceCount = 0;
    private readonly callers = new Map<core.CallerId, CallerState<T>>();
    private readonly byStartTag = new priorityQueue.PriorityQueue<Place<T>>();
    private virtualTime = 0;
    private waitingCount = 0;
    private waitingCost = 0;
    private waitingWeight = 0;
    private waitingCallers = 0;

    constructor(private readonly isEarliestDeadlineFirst: boolean) {}

    getWaitingCount(): number {
        return this.waitingCount;
    }

    getWaitingCost(): number {
        return this.waitingCost;
    }

    enqueue(item: T): ShareEntry<T> {
        const startTag = this.getNextTag(item);
        const entry: ShareEntry<T> = { item, startTag, isWaiting: true, isPopped: false, skipCount: 0 };
        const state = this.getCallerState(item.caller);
        if (state.waiting.length === 0) {
            this.waitingWeight += item.weight;
            this.waitingCallers++;
        }
        state.waiting.push(entry);
        state.finishTag = startTag + item.cost / item.weight;
        this.byStartTag.push({ entry, startTag }, startTag);
        this.waitingCount++;
        this.waitingCost += item.cost;
        return entry;
    }

    /** Removes the first entry from the order. It counts as waiting until `remove`; `putBack` restores its place. */
    pop(): ShareEntry<T> | undefined {
        for (let place = this.byStartTag.pop(); place !== undefined; place = this.byStartTag.pop()) {
            const { entry, startTag } = place;
            if (entry.isWaiting && !entry.isPopped && entry.startTag === startTag) {
                const first = this.isEarliestDeadlineFirst ? this.exchangeForMostUrgent(entry) : entry;
                first.isPopped = true;
                return first;
            }
        }
        return undefined;
    }

    putBack(entry: ShareEntry<T>): void {
        entry.isPopped = false;
        this.byStartTag.push({ entry, startTag: entry.startTag }, entry.startTag);
    }

    remove(entry: ShareEntry<T>): void {
        const state = this.getCallerState(entry.item.caller);
        state.waiting.splice(state.waiting.indexOf(entry), 1);
        entry.isWaiting = false;
        this.waitingCount--;
        this.waitingCost -= entry.item.cost;
        if (state.waiting.length === 0) {
            this.waitingWeight -= entry.item.weight;
            this.waitingCallers--;
        }
        if (this.waitingCount === 0) {
            this.reset();
        }
    }

    find(caller: core.CallerId, isWanted: (item: T) => boolean): ShareEntry<T> | undefined {
        return this.callers.get(caller)?.waiting.find(entry => isWanted(entry.item));
    }

    /** Advances the virtual time after an entry was taken. */
    recordTaken(entry: ShareEntry<T>): void {
        const nextTag = this.byStartTag.peek()?.startTag ?? Infinity;
        this.virtualTime = Math.max(this.virtualTime, Math.min(entry.startTag, nextTag));
    }

    /** Counts an item that ran without waiting against its caller's share. */
    recordAdmitted(item: T): void {
        if (this.callers.size > 0) {
            this.getCallerState(item.caller).finishTag = this.getNextTag(item) + item.cost / item.weight;
        }
    }

    /**
     * Estimates the cost ahead of a new item. Ahead of it are all waiting requests, but of each other caller only as
     * much as that caller's share allows, plus the request at the head of each caller's queue.
     */
    estimateCostAhead(item: SharedItem): number {
        const costWithinShares = (this.getExpectedTag(item) - this.virtualTime) * (this.waitingWeight + item.weight);
        const costOfHeads = (this.waitingCallers * this.waitingCost) / Math.max(1, this.waitingCount);
        return Math.min(this.waitingCost, costWithinShares + costOfHeads);
    }

    /** Exchanges the places of an entry and its caller's most urgent one, and returns the latter. */
    private exchangeForMostUrgent(entry: ShareEntry<T>): ShareEntry<T> {
        let first = entry;
        for (const other of this.getCallerState(entry.item.caller).waiting) {
            if (!other.isPopped && other.item.deadlineAt < first.item.deadlineAt) {
                first = other;
            }
        }
        if (first !== entry) {
            [entry.startTag, first.startTag] = [first.startTag, entry.startTag];
            this.byStartTag.push({ entry, startTag: entry.startTag }, entry.startTag);
        }
        return first;
    }

    /** Tag of the place that a new item would be served in. */
    private getExpectedTag(item: SharedItem): number {
        const waiting = this.callers.get(item.caller)?.waiting ?? [];
        const ahead = waiting.filter(entry => entry.item.deadlineAt <= item.deadlineAt).length;
        if (!this.isEarliestDeadlineFirst || ahead === waiting.length) {
            return this.getNextTag(item);
        }
        const tags = waiting.map(entry => entry.startTag).sort((left, right) => left - right);
        return Math.max(this.virtualTime, tags[ahead] ?? 0);
    }

    private getNextTag(item: SharedItem): number {
        return Math.max(this.virtualTime, this.callers.get(item.caller)?.finishTag ?? 0);
    }

    private getCallerState(caller: core.CallerId): CallerState<T> {
        let state = this.callers.get(caller);
        if (state === undefined) {
            state = { waiting: [], finishTag: 0 };
            this.callers.set(caller, state);
        }
        return state;
    }

    /** Resets an idle order. Otherwise old tags would penalize callers for past usage, and the maps would only grow. */
    private reset(): void {
        this.callers.clear();
        this.byStartTag.filter(() => false);
        this.virtualTime = 0;
        this.waitingCost = 0;
        this.waitingWeight = 0;
        this.waitingCallers = 0;
    }
}
