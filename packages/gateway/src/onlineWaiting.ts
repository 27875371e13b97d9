import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";

/** Time for which a stream holds a slot, until durations have been observed. */
const InitialServiceMilliseconds = 800;
/**
 * Interval at which waiting requests are served even if no slot was reported free, and at which the engines are listed
 * anew. Penalties of engines end, and engines are added, without a notice.
 */
const CheckMilliseconds = 25;
/** No peer may occupy the queue for longer, whatever its message says. */
const MaximumWaitMilliseconds = 10_000;
/** Less urgent priorities share the last level, so that messages of peers can't add any number of levels. */
const LowestPriority = 9;

/** How a wait ended. */
export enum WaitOutcomeKind {
    Granted = "granted",
    /** The expected wait was too long, so that the request was never queued. */
    Refused = "refused",
    /** No slot became free within the time allowed. */
    Expired = "expired",
    /** The caller or the requesting member has left. */
    Dropped = "dropped",
}

/** An online request as its share and time determine its place. */
export interface SharedRequest {
    /** The customer, or another name for those who share as one customer. */
    readonly share: string;
    readonly weight: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly remainingMilliseconds: number;
    /** Longest time for which it may wait. */
    readonly waitMilliseconds: number;
}

/** A request that asks this coordinator. */
export interface AskingRequest extends SharedRequest {
    readonly service: string;
    readonly from: core.InstanceId;
    /** Engines that the request may not use. */
    readonly except: ReadonlySet<core.UpstreamId>;
    /** Whether anybody still waits for the answer. */
    readonly isWanted: () => boolean;
}

export type WaitOutcome =
    | { readonly kind: WaitOutcomeKind.Granted; readonly choice: decisions.SlotChoice }
    | {
          readonly kind: WaitOutcomeKind.Refused | WaitOutcomeKind.Expired | WaitOutcomeKind.Dropped;
          readonly expectedWaitMilliseconds: number;
      };

export interface OnlineWaitingParts {
    readonly slotTable: decisions.SlotTable;
    readonly clock: core.Clock;
    readonly random: () => number;
    /** The engines of a service whose slots are granted here. */
    readonly getEngines: (service: string) => readonly decisions.SlotCandidate[];
    /** Chooses an engine with a slot for an online request, as long as there is one. */
    readonly tryChooseFree: (service: string, except: ReadonlySet<core.UpstreamId>) => decisions.SlotChoice | undefined;
    /** Counts the slot as the requester's. */
    readonly grant: (choice: decisions.SlotChoice, from: core.InstanceId) => void;
    readonly onWaitEnded: (outcome: WaitOutcomeKind) => void;
}

interface Waiting {
    readonly request: AskingRequest;
    readonly finish: (outcome: WaitOutcome) => void;
}

interface Queue {
    readonly requests: decisions.AdmissionQueue<Waiting>;
    readonly slotEnds: decisions.SlotEnds;
    /** The engines as of `listedAt`. Listing them for each notice would be most of the cost of observing their slots. */
    engines: readonly decisions.SlotCandidate[];
    listedAt: core.MonotonicMilliseconds;
    slots: number;
}

/**
 * Holds the online requests that wait at this coordinator for a slot, its own and those of its neighbours, and grants
 * freed slots to them by priority, customers' shares and deadlines.
 *
 * At a peak, demand exceeds the slots, and one customer may send several times its usual rate. In order of arrival,
 * every customer would wait behind that one's requests.
 */
export class OnlineWaiting {
    private readonly queues = new Map<string, Queue>();
    private readonly waiting = new Set<Waiting>();
    private stopCheck: (() => void) | undefined;
    private checkAt: core.MonotonicMilliseconds = Infinity;

    constructor(private readonly parts: OnlineWaitingParts) {}

    getWaitingCount(): number {
        return this.waiting.size;
    }

    hasWaiting(service: string): boolean {
        return (this.queues.get(service)?.requests.getWaitingCount() ?? 0) > 0;
    }

    /** Records for how long a request of this member held a slot. */
    recordServiceTime(service: string, milliseconds: number): void {
        this.getQueue(service).requests.recordServiceTime(1, milliseconds);
    }

    /** The wait to be expected for a request, if no slot is free. */
    estimateWait(service: string, request: SharedRequest): number {
        const queue = this.getQueue(service);
        this.observe(service, queue);
        return queue.requests.estimateWait(this.createItem(request, undefined));
    }

    /** The engines here that are not among the given ones. */
    getOtherEngines(service: string, usable: readonly decisions.SlotCandidate[]): ReadonlySet<core.UpstreamId> {
        const others = this.parts.getEngines(service).filter(engine => usable.every(({ id }) => id !== engine.id));
        return new Set(others.map(({ id }) => id));
    }

    /** Queues a request for which no slot is free. Resolves when it is granted one or refused. */
    async wait(request: AskingRequest): Promise<WaitOutcome> {
        const queue = this.getQueue(request.service);
        this.observe(request.service, queue);
        return new Promise(resolve => {
            const waiting: Waiting = {
                request,
                finish: outcome => {
                    this.waiting.delete(waiting);
                    this.parts.onWaitEnded(outcome.kind);
                    resolve(outcome);
                },
            };
            const decision = queue.requests.offerWaiting(this.createItem(request, waiting), this.parts.clock.now());
            if (decision.kind === decisions.AdmissionKind.Refused) {
                const expectedWaitMilliseconds = decision.waitMilliseconds;
                waiting.finish({ kind: WaitOutcomeKind.Refused, expectedWaitMilliseconds });
                return;
            }
            this.waiting.add(waiting);
            // No request may wait while a slot is free or batch work could yield one.
            this.serveQueue(request.service, queue);
            this.scheduleCheck();
        });
    }

    /** Grants the free slots to the waiting requests, first in order first, and ends the waits that took too long. */
    serve(): void {
        for (const [service, queue] of this.queues) {
            this.serveQueue(service, queue);
        }
        this.scheduleCheck();
    }

    /** Drops the requests of removed members. */
    forget(removed: readonly core.InstanceId[]): void {
        for (const waiting of [...this.waiting].filter(({ request }) => removed.includes(request.from))) {
            this.getQueue(waiting.request.service).requests.cancel(waiting, waiting.request.share);
            waiting.finish({ kind: WaitOutcomeKind.Dropped, expectedWaitMilliseconds: 0 });
        }
    }

    private serveQueue(service: string, queue: Queue): void {
        const now = this.parts.clock.now();
        const { requests } = queue;
        this.observe(service, queue);
        let choice: decisions.SlotChoice | undefined;
        const isEligible = ({ request }: Waiting): boolean => {
            choice = request.isWanted() ? this.parts.tryChooseFree(service, request.except) : undefined;
            return choice !== undefined || !request.isWanted();
        };
        while (requests.getWaitingCount() > 0) {
            const item = requests.takeEligible(now, isEligible);
            if (item === undefined) {
                break;
            }
            const { request, finish } = item.value;
            if (choice === undefined) {
                finish({ kind: WaitOutcomeKind.Dropped, expectedWaitMilliseconds: 0 });
            }
            else {
                this.parts.grant(choice, request.from);
                finish({ kind: WaitOutcomeKind.Granted, choice });
            }
            this.observe(service, queue);
        }
        for (const item of requests.expire(now)) {
            const expectedWaitMilliseconds = requests.estimateWait(item);
            item.value.finish({ kind: WaitOutcomeKind.Expired, expectedWaitMilliseconds });
        }
    }

    /** Tells the queue how many slots there are and how many are in use, which the slot table knows. */
    private observe(service: string, queue: Queue): void {
        const now = this.parts.clock.now();
        if (now - queue.listedAt >= CheckMilliseconds) {
            queue.engines = this.parts.getEngines(service);
            queue.listedAt = now;
            queue.slotEnds.retain(new Set(queue.engines.map(({ id }) => id)));
        }
        queue.slots = 0;
        let running = 0;
        for (const { id, slots } of queue.engines) {
            const online = Math.min(slots, this.parts.slotTable.getTotal(id).online);
            queue.slotEnds.observe(id, online, now);
            queue.slots += slots;
            running += online;
        }
        queue.requests.setLimit(queue.slots);
        queue.requests.setRunning(running);
    }

    private createItem<T extends Waiting | undefined>(request: SharedRequest, value: T): decisions.AdmissionItem<T> {
        const now = this.parts.clock.now();
        return {
            value,
            caller: request.share,
            weight: request.weight > 0 ? request.weight : 1,
            cost: 1,
            deadlineAt: now + request.remainingMilliseconds,
            priority: Math.min(LowestPriority, Math.max(0, Math.round(request.priority))),
            latestStartAt: now + Math.min(MaximumWaitMilliseconds, request.waitMilliseconds),
        };
    }

    private scheduleCheck(): void {
        if (this.waiting.size === 0) {
            this.stopCheck?.();
            this.checkAt = Infinity;
            return;
        }
        const now = this.parts.clock.now();
        const expiryAt = Math.min(...[...this.queues.values()].map(queue => queue.requests.getNextExpiryAt()));
        const dueAt = Math.max(now + 1, Math.min(now + CheckMilliseconds, expiryAt + 1));
        if (dueAt >= this.checkAt) {
            return;
        }
        this.stopCheck?.();
        this.checkAt = dueAt;
        this.stopCheck = this.parts.clock.schedule(dueAt - now, () => {
            this.checkAt = Infinity;
            this.serve();
        });
    }

    private getQueue(service: string): Queue {
        let queue = this.queues.get(service);
        if (queue === undefined) {
            const slotEnds = new decisions.SlotEnds();
            const created: Queue = {
                slotEnds,
                engines: [],
                listedAt: -Infinity,
                slots: 0,
                requests: new decisions.AdmissionQueue<Waiting>({
                    limit: 0,
                    expectedMillisecondsPerCost: InitialServiceMilliseconds,
                    random: this.parts.random,
                    isEarliestDeadlineFirst: true,
                    predictMilliseconds: (cost, mean) =>
                        slotEnds.estimateWait(cost, created.slots, mean, this.parts.clock.now()),
                }),
            };
            queue = created;
            this.queues.set(service, queue);
        }
        return queue;
    }
}
