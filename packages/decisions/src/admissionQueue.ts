import type * as core from "@boragedale/core";
import * as priorityQueue from "./priorityQueue.js";
import * as serviceTime from "./serviceTime.js";

/** A request that asks for admission. */
export interface AdmissionItem<T> {
    readonly value: T;
    readonly caller: core.CallerId;
    /** Relative share of the caller; greater than 0. */
    readonly weight: number;
    /**
     * Expected work, in any unit that is the same for all items, such as 1 per request or a number of tokens; greater
     * than 0.
     */
    readonly cost: number;
    /** When the answer is due. */
    readonly deadlineAt: core.MonotonicMilliseconds;
}

export enum AdmissionKind {
    /** Runs now; report its end with `complete`. */
    Admitted = "Admitted",
    /** Waits; is returned by `take`, or by `expire` once it can't be served in time. */
    Queued = "Queued",
    /** Can't be served in time; answer it now. */
    Refused = "Refused",
}

export type AdmissionDecision =
    | { readonly kind: AdmissionKind.Admitted }
    | { readonly kind: AdmissionKind.Queued; readonly waitMilliseconds: number }
    | AdmissionRefusal;

export interface AdmissionRefusal {
    readonly kind: AdmissionKind.Refused;
    /** How long the request would have waited. */
    readonly waitMilliseconds: number;
    readonly retryAfterMilliseconds: number;
}

export interface AdmissionSettings {
    /** Requests that may run at once; can be changed with `setLimit`. */
    readonly limit: number;
    /** Time per unit of cost, used until service times have been observed. */
    readonly expectedMillisecondsPerCost: number;
    /** Typical cost of a request; 1 by default. */
    readonly expectedCost?: number;
    /**
     * Returns a number from 0 up to 1; adds jitter to retry times, so that refused callers don't all return together.
     */
    readonly random: () => number;
}

/** Fraction of the remaining time that a request may spend waiting; the rest is for being served and for one retry. */
const MaximumWaitFraction = 0.5;
/** Shortest time after which a caller may retry; retrying sooner only adds load. */
const MinimumRetryAfterMilliseconds = 100;

/** How many requests are examined to find a preferred one, and how often a single request may be skipped. */
const MaximumSkippedRequests = 16;
const MaximumSkipsPerRequest = 32;

interface Entry<T> {
    readonly item: AdmissionItem<T>;
    readonly startTag: number;
    isWaiting: boolean;
    /** How often another request was taken although it was this one's turn. */
    skipCount: number;
}

interface CallerState<T> {
    readonly waiting: Entry<T>[];
    finishTag: number;
}

/**
 * Admits, queues or refuses the requests of one class for one model.
 *
 * The queue has to handle bursts and minutes of saturation in which one caller may send most of the requests. An
 * unbounded queue would turn an overload into an outage, because each request would be answered after its caller has
 * left. A queue in order of arrival would put one caller's thousand requests before everybody else's single one.
 * Callers therefore share by start-time fair queueing (by weight and cost), and a request is refused on arrival when
 * the wait expected for its share would use more than half of its remaining time. The bound is a waiting time and not a
 * queue length, because a length that suits answers of 20 tokens is a hundred times too long for answers of 2,000
 * tokens.
 *
 * Each class and model has its own queue, so that no request waits behind the other class.
 */
export class AdmissionQueue<T> {
    private readonly callers = new Map<core.CallerId, CallerState<T>>();
    private readonly byStartTag = new priorityQueue.PriorityQueue<Entry<T>>();
    private readonly byDeadline = new priorityQueue.PriorityQueue<Entry<T>>();
    private readonly service: serviceTime.ServiceTime;
    private expired: AdmissionItem<T>[] = [];
    private virtualTime = 0;
    private running = 0;
    private waitingCount = 0;
    private waitingCost = 0;
    private waitingWeight = 0;
    private waitingCallers = 0;
    private limit: number;

    constructor(private readonly settings: AdmissionSettings) {
        this.limit = settings.limit;
        this.service = new serviceTime.ServiceTime(settings.expectedMillisecondsPerCost, settings.expectedCost ?? 1);
    }

    /** Sets how many requests may run at once. Called when upstreams are added, removed or change their load. */
    setLimit(limit: number): void {
        this.limit = Math.max(0, limit);
    }

    offer(item: AdmissionItem<T>, now: core.MonotonicMilliseconds): AdmissionDecision {
        if (this.waitingCount === 0 && this.running < this.limit) {
            this.running++;
            this.advanceVirtualTime(item);
            return { kind: AdmissionKind.Admitted };
        }
        const waitMilliseconds = this.estimateWait(item);
        const allowedMilliseconds = Math.min(
            (item.deadlineAt - now) * MaximumWaitFraction,
            this.getLatestStart(item) - now,
        );
        if (waitMilliseconds > allowedMilliseconds) {
            return this.createRefusal(waitMilliseconds, Math.max(0, allowedMilliseconds));
        }
        this.enqueue(item);
        return { kind: AdmissionKind.Queued, waitMilliseconds };
    }

    /**
     * Returns the next request to run, or undefined when none waits or the limit is reached. Report its end with
     * `complete`.
     *
     * `isPreferred` allows skipping requests in favour of one that is cheaper to run now, such as one whose prefix is
     * cached on an upstream with a free slot. At saturation, sending each request to any free slot makes every engine
     * prefill every prefix, which reduces throughput by a third. Each request is skipped a bounded number of times, so
     * that none starves.
     */
    take(now: core.MonotonicMilliseconds, isPreferred?: (value: T) => boolean): AdmissionItem<T> | undefined {
        if (this.running >= this.limit) {
            return undefined;
        }
        const entry = this.takePreferred(now, isPreferred);
        if (entry === undefined) {
            return undefined;
        }
        this.removeWaiting(entry);
        this.virtualTime = Math.max(
            this.virtualTime,
            Math.min(entry.startTag, this.byStartTag.peek()?.startTag ?? Infinity),
        );
        this.running++;
        return entry.item;
    }

    /**
     * Records that an admitted or taken request has ended. `serviceMilliseconds` updates the service time estimate;
     * undefined leaves it unchanged.
     */
    complete(cost: number, serviceMilliseconds: number | undefined): void {
        this.running = Math.max(0, this.running - 1);
        if (serviceMilliseconds !== undefined && cost > 0) {
            this.service.add(cost, serviceMilliseconds);
        }
    }

    /**
     * Removes and returns the requests that can no longer be served in time. They have not run; answer them at once.
     */
    expire(now: core.MonotonicMilliseconds): readonly AdmissionItem<T>[] {
        for (let entry = this.byDeadline.peek(); entry !== undefined; entry = this.byDeadline.peek()) {
            if (entry.isWaiting && this.getLatestStart(entry.item) >= now) {
                break;
            }
            this.byDeadline.pop();
            if (entry.isWaiting) {
                this.removeWaiting(entry);
                this.expired.push(entry.item);
            }
        }
        const result = this.expired;
        this.expired = [];
        return result;
    }

    /** Removes a waiting request whose caller has disconnected; returns false if it isn't waiting. */
    cancel(value: T, caller: core.CallerId): boolean {
        const entry = this.callers.get(caller)?.waiting.find(waiting => waiting.item.value === value);
        if (entry === undefined) {
            return false;
        }
        this.removeWaiting(entry);
        return true;
    }

    /** Time after which a refused or expired request should be retried, in milliseconds. */
    getRetryAfterMilliseconds(): number {
        return this.addJitter(this.estimateMilliseconds(this.waitingCost / 2));
    }

    getWaitingCount(): number {
        return this.waitingCount;
    }

    getRunningCount(): number {
        return this.running;
    }

    private takePreferred(
        now: core.MonotonicMilliseconds,
        isPreferred: ((value: T) => boolean) | undefined,
    ): Entry<T> | undefined {
        const skipped: Entry<T>[] = [];
        let chosen: Entry<T> | undefined;
        while (chosen === undefined && skipped.length < MaximumSkippedRequests) {
            const entry = this.popWaiting(now);
            if (entry === undefined) {
                break;
            }
            const isChosen =
                isPreferred === undefined || entry.skipCount >= MaximumSkipsPerRequest || isPreferred(entry.item.value);
            if (isChosen) {
                chosen = entry;
            }
            else {
                skipped.push(entry);
            }
        }
        chosen ??= skipped.shift();
        for (const entry of skipped) {
            entry.skipCount++;
            this.byStartTag.push(entry, entry.startTag);
        }
        return chosen;
    }

    /**
     * Removes and returns the first waiting request that can still be served in time. Those that can't are set aside
     * for `expire`.
     */
    private popWaiting(now: core.MonotonicMilliseconds): Entry<T> | undefined {
        for (let entry = this.byStartTag.pop(); entry !== undefined; entry = this.byStartTag.pop()) {
            if (entry.isWaiting && this.getLatestStart(entry.item) >= now) {
                return entry;
            }
            if (entry.isWaiting) {
                // Running it would spend capacity on an answer that comes too late.
                this.removeWaiting(entry);
                this.expired.push(entry.item);
            }
        }
        return undefined;
    }

    /**
     * Estimates the wait of a new item. Ahead of it are all waiting requests, but of each other caller only as much as
     * that caller's share allows, plus the request at the head of each caller's queue.
     */
    private estimateWait(item: AdmissionItem<T>): number {
        const costWithinShares = (this.getStartTag(item) - this.virtualTime) * (this.waitingWeight + item.weight);
        const costOfHeads = (this.waitingCallers * this.waitingCost) / Math.max(1, this.waitingCount);
        return this.estimateMilliseconds(Math.min(this.waitingCost, costWithinShares + costOfHeads) + item.cost);
    }

    private estimateMilliseconds(cost: number): number {
        // Running requests count when the limit has just dropped below them: they finish and free their slots.
        return (cost * this.service.getMillisecondsPerCost()) / Math.max(1, this.limit, this.running);
    }

    /** Latest time at which the item can start and still be answered in time, given the usual service times. */
    private getLatestStart(item: AdmissionItem<T>): core.MonotonicMilliseconds {
        return item.deadlineAt - this.service.getHighEstimate(item.cost);
    }

    private createRefusal(waitMilliseconds: number, allowedMilliseconds: number): AdmissionRefusal {
        return {
            kind: AdmissionKind.Refused,
            waitMilliseconds,
            retryAfterMilliseconds: this.addJitter(waitMilliseconds - allowedMilliseconds),
        };
    }

    private addJitter(milliseconds: number): number {
        return Math.round(Math.max(MinimumRetryAfterMilliseconds, milliseconds) * (1 + this.settings.random()));
    }

    private enqueue(item: AdmissionItem<T>): void {
        const startTag = this.getStartTag(item);
        const entry: Entry<T> = { item, startTag, isWaiting: true, skipCount: 0 };
        const state = this.getCallerState(item.caller);
        if (state.waiting.length === 0) {
            this.waitingWeight += item.weight;
            this.waitingCallers++;
        }
        state.waiting.push(entry);
        state.finishTag = startTag + item.cost / item.weight;
        this.byStartTag.push(entry, startTag);
        this.byDeadline.push(entry, item.deadlineAt);
        this.waitingCount++;
        this.waitingCost += item.cost;
    }

    private removeWaiting(entry: Entry<T>): void {
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

    /** Resets an idle queue. Otherwise old tags would penalize callers for past usage, and the maps would only grow. */
    private reset(): void {
        this.callers.clear();
        this.byStartTag.filter(() => false);
        this.byDeadline.filter(() => false);
        this.virtualTime = 0;
        this.waitingCost = 0;
        this.waitingWeight = 0;
        this.waitingCallers = 0;
    }

    private advanceVirtualTime(item: AdmissionItem<T>): void {
        if (this.callers.size > 0) {
            this.getCallerState(item.caller).finishTag = this.getStartTag(item) + item.cost / item.weight;
        }
    }

    private getStartTag(item: AdmissionItem<T>): number {
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
}
