import type * as core from "@boragedale/core";
import * as priorityQueue from "./priorityQueue.js";
import * as serviceTime from "./serviceTime.js";

/** A request that asks to run. */
export interface AdmissionItem<T> {
    readonly value: T;
    readonly caller: core.CallerId;
    /** Relative share of the caller, over 0. */
    readonly weight: number;
    /** Expected work in any unit that is the same for all items, such as 1 a request or tokens; over 0. */
    readonly cost: number;
    /** When the answer must be there. */
    readonly deadlineAt: core.MonotonicMilliseconds;
}

export enum AdmissionKind {
    /** Runs now; tell its end by `complete`. */
    Admitted = "Admitted",
    /** Waits; comes back from `take`, or from `expire` once it can't be served in time. */
    Queued = "Queued",
    /** Can't be served in time: answer now. */
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
    /** Requests that may run at once; changes by `setLimit`. */
    readonly limit: number;
    /** Time that one unit of cost takes, as long as nothing has been learned. */
    readonly expectedMillisecondsPerCost: number;
    /** The usual cost; 1 where it isn't given. */
    readonly expectedCost?: number;
    /** From 0 up to 1; spreads the times to come back, so that refused callers don't all return together. */
    readonly random: () => number;
}

/** Part of the time left that a request may spend waiting; the rest is for being served and for one retry. */
const WaitShare = 0.5;
/** Shortest time to come back; a caller that retries faster only adds load. */
const MinimumRetryAfter = 100;

/** Requests looked at to find a preferred one, and times that one may be passed over. */
const MostPassedOver = 16;
const MostPasses = 32;

interface Entry<T> {
    readonly item: AdmissionItem<T>;
    readonly startTag: number;
    isWaiting: boolean;
    /** How often another one went before it although it was its turn. */
    passes: number;
}

interface CallerState<T> {
    readonly waiting: Entry<T>[];
    finishTag: number;
}

/**
 * Admits, queues or refuses the requests of one class for one model.
 *
 * Load: bursts and minutes of saturation, where one caller may send most of the requests.
 *
 * Harm prevented: a queue without a bound turns an overload into an outage, since each request is answered after its
 * caller has gone; a queue in order of arrival lets one caller's thousand requests stand before everybody's one. So
 * callers share by start-time fair queueing (weight, cost), and a request is refused on arrival when the wait that its
 * share gives would use more than half of its time. The bound is a wait and not a length, since a length that suits 20
 * token answers is a hundred times too long for 2,000 token ones.
 *
 * A class and a model have a queue of their own: nothing ever waits here behind the other class.
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

    /** Sets how many may run at once, as upstreams come, go and fill. */
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
        const allowed = Math.min((item.deadlineAt - now) * WaitShare, this.getLatestStart(item) - now);
        if (waitMilliseconds > allowed) {
            return this.createRefusal(waitMilliseconds, Math.max(0, allowed));
        }
        this.enqueue(item);
        return { kind: AdmissionKind.Queued, waitMilliseconds };
    }

    /**
     * The next request to run, or undefined when none waits or nothing is free. Tell its end by `complete`.
     *
     * `isPreferred` may pass over some requests for one that costs less now, such as one whose prefix is cached where
     * a place is free: at saturation, sending each to any free place makes every engine read every prefix, which cost
     * a third of the throughput. A request is passed over a bounded number of times, so that none starves.
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

    /** A request that was admitted or taken has ended after `serviceMilliseconds`; undefined teaches nothing. */
    complete(cost: number, serviceMilliseconds: number | undefined): void {
        this.running = Math.max(0, this.running - 1);
        if (serviceMilliseconds !== undefined && cost > 0) {
            this.service.add(cost, serviceMilliseconds);
        }
    }

    /** Requests that can no longer be served in time. They have not run; answer them at once. */
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

    /** Takes a waiting request out because its caller has gone; false where it does not wait. */
    cancel(value: T, caller: core.CallerId): boolean {
        const entry = this.callers.get(caller)?.waiting.find(waiting => waiting.item.value === value);
        if (entry === undefined) {
            return false;
        }
        this.removeWaiting(entry);
        return true;
    }

    /** When a refused or expired request should come back, in milliseconds. */
    getRetryAfter(): number {
        return this.spread(this.toWait(this.waitingCost / 2));
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
        const passed: Entry<T>[] = [];
        let chosen: Entry<T> | undefined;
        while (chosen === undefined && passed.length < MostPassedOver) {
            const entry = this.popWaiting(now);
            if (entry === undefined) {
                break;
            }
            const isChosen = isPreferred === undefined || entry.passes >= MostPasses || isPreferred(entry.item.value);
            if (isChosen) {
                chosen = entry;
            }
            else {
                passed.push(entry);
            }
        }
        chosen ??= passed.shift();
        for (const entry of passed) {
            entry.passes++;
            this.byStartTag.push(entry, entry.startTag);
        }
        return chosen;
    }

    /** The first that waits and can still be served in time; those that can't are put aside for `expire`. */
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
     * What would be before the item: all that waits, but of each other caller only what its share lets pass, and one
     * request that is first in its caller's line already.
     */
    private estimateWait(item: AdmissionItem<T>): number {
        const passing = (this.getStartTag(item) - this.virtualTime) * (this.waitingWeight + item.weight);
        const firstOnes = (this.waitingCallers * this.waitingCost) / Math.max(1, this.waitingCount);
        return this.toWait(Math.min(this.waitingCost, passing + firstOnes) + item.cost);
    }

    private toWait(cost: number): number {
        // What runs counts where the limit has just fallen: it ends, and its places come back.
        return (cost * this.service.getPerCost()) / Math.max(1, this.limit, this.running);
    }

    /** Latest time to start and still answer in time, by what service usually takes. */
    private getLatestStart(item: AdmissionItem<T>): core.MonotonicMilliseconds {
        return item.deadlineAt - this.service.getHigh(item.cost);
    }

    private createRefusal(waitMilliseconds: number, allowedMilliseconds: number): AdmissionRefusal {
        return {
            kind: AdmissionKind.Refused,
            waitMilliseconds,
            retryAfterMilliseconds: this.spread(waitMilliseconds - allowedMilliseconds),
        };
    }

    private spread(milliseconds: number): number {
        return Math.round(Math.max(MinimumRetryAfter, milliseconds) * (1 + this.settings.random()));
    }

    private enqueue(item: AdmissionItem<T>): void {
        const startTag = this.getStartTag(item);
        const entry: Entry<T> = { item, startTag, isWaiting: true, passes: 0 };
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
            this.forgetAll();
        }
    }

    /** An idle queue starts anew: old tags would hold a caller's past against it, and the maps would only grow. */
    private forgetAll(): void {
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
