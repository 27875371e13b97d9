import type * as core from "@boragedale/core";
import * as priorityQueue from "./priorityQueue.js";
import * as serviceTime from "./serviceTime.js";
import * as shareOrder from "./shareOrder.js";

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
    /** 0, the default, is the most urgent. */
    readonly priority?: number;
    /** Latest time at which the item may start. Derived from the deadline and the usual service times if absent. */
    readonly latestStartAt?: core.MonotonicMilliseconds;
}

export enum AdmissionKind {
    /** Runs now; report its end with `complete`. */
    Admitted = "Admitted",
    /** Waits; is returned by `take`, or by `expire` once it can't be served in time. */
    Queued = "Queued",
    /** Can't be served in time; answer it now. */
    Refused = "Refused",
}

export type QueuedOrRefused =
    { readonly kind: AdmissionKind.Queued; readonly waitMilliseconds: number } | AdmissionRefusal;

export type AdmissionDecision = { readonly kind: AdmissionKind.Admitted } | QueuedOrRefused;

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
    /** Whether a caller's requests are served earliest deadline first. By default, they are served in order of arrival. */
    readonly isEarliestDeadlineFirst?: boolean;
    /**
     * Predicts the time until requests of this cost have ended, given the mean time per unit of cost. By default,
     * requests are assumed to end at a constant rate.
     */
    readonly predictMilliseconds?: (cost: number, millisecondsPerCost: number) => number;
}

/** Fraction of the remaining time that a request may spend waiting; the rest is for being served and for one retry. */
const MaximumWaitFraction = 0.5;
/** Shortest time after which a caller may retry; retrying sooner only adds load. */
const MinimumRetryAfterMilliseconds = 100;

/** How many requests are examined to find a preferred one, and how often a single request may be skipped. */
const MaximumSkippedRequests = 16;
const MaximumSkipsPerRequest = 32;

/**
 * After this many consecutive requests of one priority, a waiting one of a lower priority is taken: a tenth of the
 * capacity, so that requests of low priority are delayed but do not starve.
 */
const MaximumPrecedence = 9;

type Entry<T> = shareOrder.ShareEntry<AdmissionItem<T>>;
type Order<T> = shareOrder.ShareOrder<AdmissionItem<T>>;

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
    /** The waiting requests by priority, most urgent first. */
    private readonly orders = new Map<number, Order<T>>();
    private readonly byDeadline = new priorityQueue.PriorityQueue<Entry<T>>();
    private readonly service: serviceTime.ServiceTime;
    private expired: AdmissionItem<T>[] = [];
    private running = 0;
    private waitingCount = 0;
    private limit: number;

    constructor(private readonly settings: AdmissionSettings) {
        this.limit = settings.limit;
        this.service = new serviceTime.ServiceTime(settings.expectedMillisecondsPerCost, settings.expectedCost ?? 1);
    }

    /** Sets how many requests may run at once. Called when upstreams are added, removed or change their load. */
    setLimit(limit: number): void {
        this.limit = Math.max(0, limit);
    }

    /**
     * Sets how many requests run, as observed by the caller. Used instead of `complete` if requests run that this queue
     * did not admit.
     */
    setRunning(running: number): void {
        this.running = running;
    }

    /** Adds the time that a request of this cost ran to the service time estimate. */
    recordServiceTime(cost: number, milliseconds: number): void {
        this.service.add(cost, milliseconds);
    }

    offer(item: AdmissionItem<T>, now: core.MonotonicMilliseconds): AdmissionDecision {
        if (this.waitingCount === 0 && this.running < this.limit) {
            this.running++;
            this.getOrder(item).recordAdmitted(item);
            return { kind: AdmissionKind.Admitted };
        }
        return this.offerWaiting(item, now);
    }

    /** Queues or refuses a request for which the caller found no free capacity, whatever the number of running ones. */
    offerWaiting(item: AdmissionItem<T>, now: core.MonotonicMilliseconds): QueuedOrRefused {
        const waitMilliseconds = this.estimateWait(item);
        const allowedMilliseconds =
            item.latestStartAt === undefined
                ? Math.min((item.deadlineAt - now) * MaximumWaitFraction, this.getLatestStart(item) - now)
                : item.latestStartAt - now;
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
        return this.takeInTurn(order => this.takePreferred(order, now, isPreferred));
    }

    /** Like `take`, but returns only a request that satisfies `isEligible`. The others keep their places. */
    takeEligible(now: core.MonotonicMilliseconds, isEligible: (value: T) => boolean): AdmissionItem<T> | undefined {
        if (this.running >= this.limit) {
            return undefined;
        }
        return this.takeInTurn(order => this.takeFirstEligible(order, now, isEligible));
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

    /** Earliest time at which a waiting request may have to be expired; Infinity if none waits. */
    getNextExpiryAt(): core.MonotonicMilliseconds {
        const entry = this.byDeadline.peek();
        return entry === undefined ? Infinity : this.getLatestStart(entry.item);
    }

    /** Removes a waiting request whose caller has disconnected; returns false if it isn't waiting. */
    cancel(value: T, caller: core.CallerId): boolean {
        for (const order of this.orders.values()) {
            const entry = order.find(caller, item => item.value === value);
            if (entry !== undefined) {
                this.removeWaiting(entry);
                return true;
            }
        }
        return false;
    }

    /** How long a new request is expected to wait if none can start at once. */
    estimateWait(item: AdmissionItem<unknown>): number {
        return this.estimateMilliseconds(this.estimateCostAhead(item) + item.cost);
    }

    /** Time after which a refused or expired request should be retried, in milliseconds. */
    getRetryAfterMilliseconds(): number {
        return this.addJitter(this.estimateMilliseconds(this.sumWaitingCost(() => true) / 2));
    }

    getWaitingCount(): number {
        return this.waitingCount;
    }

    getRunningCount(): number {
        return this.running;
    }

    /** Takes a request from the first priority in turn that has one. */
    private takeInTurn(takeFrom: (order: Order<T>) => Entry<T> | undefined): AdmissionItem<T> | undefined {
        const waiting = [...this.orders.values()].filter(order => order.getWaitingCount() > 0);
        for (const order of sortByTurn(waiting)) {
            const entry = takeFrom(order);
            if (entry !== undefined) {
                const position = waiting.indexOf(order);
                waiting.slice(0, position).forEach(urgent => (urgent.precedenceCount = 0));
                order.precedenceCount += position + 1 < waiting.length ? 1 : 0;
                this.removeWaiting(entry);
                order.recordTaken(entry);
                this.running++;
                return entry.item;
            }
        }
        return undefined;
    }

    private takePreferred(
        order: Order<T>,
        now: core.MonotonicMilliseconds,
        isPreferred: ((value: T) => boolean) | undefined,
    ): Entry<T> | undefined {
        const skipped: Entry<T>[] = [];
        let chosen: Entry<T> | undefined;
        while (chosen === undefined && skipped.length < MaximumSkippedRequests) {
            const entry = this.popWaiting(order, now);
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
            order.putBack(entry);
        }
        return chosen;
    }

    private takeFirstEligible(
        order: Order<T>,
        now: core.MonotonicMilliseconds,
        isEligible: (value: T) => boolean,
    ): Entry<T> | undefined {
        const skipped: Entry<T>[] = [];
        let entry = this.popWaiting(order, now);
        while (entry !== undefined && !isEligible(entry.item.value)) {
            skipped.push(entry);
            entry = this.popWaiting(order, now);
        }
        skipped.forEach(other => order.putBack(other));
        return entry;
    }

    /**
     * Removes and returns the first waiting request that can still be served in time. Those that can't are set aside
     * for `expire`.
     */
    private popWaiting(order: Order<T>, now: core.MonotonicMilliseconds): Entry<T> | undefined {
        for (let entry = order.pop(); entry !== undefined; entry = order.pop()) {
            if (this.getLatestStart(entry.item) >= now) {
                return entry;
            }
            // Running it would spend capacity on an answer that comes too late.
            this.removeWaiting(entry);
            this.expired.push(entry.item);
        }
        return undefined;
    }

    /**
     * Estimates the cost ahead of a new item: that of more urgent requests, as far as they precede it, and of those
     * before it within its priority.
     */
    private estimateCostAhead(item: AdmissionItem<unknown>): number {
        const priority = item.priority ?? 0;
        const own = this.orders.get(priority)?.estimateCostAhead(item) ?? 0;
        const urgent = this.sumWaitingCost(other => other < priority);
        const less = this.sumWaitingCost(other => other > priority);
        const ahead = own + Math.min(urgent, (own + item.cost) * MaximumPrecedence);
        return ahead + Math.min(less, ahead / MaximumPrecedence);
    }

    private sumWaitingCost(isCounted: (priority: number) => boolean): number {
        let sum = 0;
        this.orders.forEach((order, priority) => (sum += isCounted(priority) ? order.getWaitingCost() : 0));
        return sum;
    }

    private estimateMilliseconds(cost: number): number {
        const millisecondsPerCost = this.service.getMillisecondsPerCost();
        if (this.settings.predictMilliseconds !== undefined) {
            return this.settings.predictMilliseconds(cost, millisecondsPerCost);
        }
        // Running requests count when the limit has just dropped below them: they finish and free their slots.
        return (cost * millisecondsPerCost) / Math.max(1, this.limit, this.running);
    }

    /** Latest time at which the item can start and still be answered in time, given the usual service times. */
    private getLatestStart(item: AdmissionItem<T>): core.MonotonicMilliseconds {
        return item.latestStartAt ?? item.deadlineAt - this.service.getHighEstimate(item.cost);
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
        const entry = this.getOrder(item).enqueue(item);
        this.byDeadline.push(entry, item.latestStartAt ?? item.deadlineAt);
        this.waitingCount++;
    }

    private removeWaiting(entry: Entry<T>): void {
        this.getOrder(entry.item).remove(entry);
        this.waitingCount--;
        if (this.waitingCount === 0) {
            this.byDeadline.filter(() => false);
        }
    }

    private getOrder(item: AdmissionItem<T>): Order<T> {
        const priority = item.priority ?? 0;
        let order = this.orders.get(priority);
        if (order === undefined) {
            order = new shareOrder.ShareOrder(this.settings.isEarliestDeadlineFirst === true);
            this.orders.set(priority, order);
            const sorted = [...this.orders].sort(([left], [right]) => left - right);
            this.orders.clear();
            sorted.forEach(([key, value]) => this.orders.set(key, value));
        }
        return order;
    }
}

/** Sorts by priority, but puts the lower priorities before one that has preceded them as often as it may. */
function sortByTurn<T>(orders: readonly Order<T>[]): readonly Order<T>[] {
    const [first, ...others] = orders;
    if (first === undefined || others.length === 0) {
        return orders;
    }
    const rest = sortByTurn(others);
    return first.precedenceCount >= MaximumPrecedence ? [...rest, first] : [first, ...rest];
}
