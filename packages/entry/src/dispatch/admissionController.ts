import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";

/** A request for admission, and the queue that it belongs to. */
export interface AdmissionRequest {
    /**
     * Name of the queue. There is one for each model or service and request class, so classes don't block each other.
     */
    readonly queue: string;
    readonly caller: core.CallerId;
    readonly weight: number;
    readonly cost: number;
    readonly deadlineAt: core.MonotonicMilliseconds;
    /** Number of requests of this queue that may run on this instance at once. Read again whenever one could start. */
    readonly getLimit: () => number;
    /** Whether to prefer the request now, for example because an upstream with a free slot has its prefix cached. */
    readonly isPreferred?: () => boolean;
}

/** Permission to run. The holder must release it. */
export interface AdmissionTicket {
    /** Frees the slot. `serviceMilliseconds` is the service time to learn from, or undefined to learn nothing. */
    release(serviceMilliseconds: number | undefined): void;
}

export interface AdmissionControllerOptions {
    readonly clock: core.Clock;
    readonly random: () => number;
    /** Initial estimate of the time that one unit of cost takes, used until requests have been measured. */
    readonly expectedMillisecondsPerCost: number;
    readonly expectedCost: number;
}

interface Waiter {
    readonly isPreferred: () => boolean;
    readonly settle: (outcome: core.Outcome<AdmissionTicket>) => void;
}

interface QueueState {
    readonly queue: decisions.AdmissionQueue<Waiter>;
    getLimit: () => number;
    stopTimer: (() => void) | undefined;
}

/** How often queues are checked in addition to the checks when a slot is released. */
const SweepIntervalMilliseconds = 25;

/** Admits, queues or refuses requests, with one queue for each model or service and request class. */
export class AdmissionController implements Disposable {
    private readonly queues = new Map<string, QueueState>();

    constructor(private readonly options: AdmissionControllerOptions) {}

    /** Resolves when the request may run or is refused. A refusal is returned as soon as it is decided. */
    admit(request: AdmissionRequest, signal: AbortSignal): Promise<core.Outcome<AdmissionTicket>> {
        const state = this.getQueue(request);
        state.getLimit = request.getLimit;
        state.queue.setLimit(request.getLimit());
        return new Promise(resolve => {
            const waiter: Waiter = {
                isPreferred: request.isPreferred ?? (() => false),
                settle: outcome => {
                    signal.removeEventListener("abort", cancel);
                    resolve(outcome);
                },
            };
            const cancel = (): void => {
                if (state.queue.cancel(waiter, request.caller)) {
                    waiter.settle(core.createFailure(createOverloaded(state.queue.getRetryAfterMilliseconds())));
                }
            };
            const decision = state.queue.offer({ ...request, value: waiter }, this.options.clock.now());
            switch (decision.kind) {
                case decisions.AdmissionKind.Admitted:
                    resolve(core.createSuccess(this.createTicket(state, request.cost)));
                    break;
                case decisions.AdmissionKind.Refused:
                    resolve(core.createFailure(createDeadlineUnreachable(decision)));
                    break;
                case decisions.AdmissionKind.Queued:
                    signal.addEventListener("abort", cancel, { once: true });
                    this.scheduleSweep(state);
                    break;
            }
        });
    }

    getWaitingCount(queue: string): number {
        return this.queues.get(queue)?.queue.getWaitingCount() ?? 0;
    }

    [Symbol.dispose](): void {
        this.queues.forEach(state => state.stopTimer?.());
    }

    private getQueue(request: AdmissionRequest): QueueState {
        let state = this.queues.get(request.queue);
        if (state === undefined) {
            const { random, expectedMillisecondsPerCost, expectedCost } = this.options;
            const queue = new decisions.AdmissionQueue<Waiter>({
                limit: 0,
                expectedMillisecondsPerCost,
                expectedCost,
                random,
            });
            state = { queue, getLimit: request.getLimit, stopTimer: undefined };
            this.queues.set(request.queue, state);
        }
        return state;
    }

    private createTicket(state: QueueState, cost: number): AdmissionTicket {
        let isHeld = true;
        return {
            release: serviceMilliseconds => {
                if (isHeld) {
                    isHeld = false;
                    state.queue.complete(cost, serviceMilliseconds);
                    this.startWaiters(state);
                }
            },
        };
    }

    private startWaiters(state: QueueState): void {
        if (state.queue.getWaitingCount() === 0) {
            return;
        }
        const now = this.options.clock.now();
        state.queue.setLimit(state.getLimit());
        const take = (): decisions.AdmissionItem<Waiter> | undefined =>
            state.queue.take(now, waiter => waiter.isPreferred());
        for (let item = take(); item !== undefined; item = take()) {
            item.value.settle(core.createSuccess(this.createTicket(state, item.cost)));
        }
        for (const item of state.queue.expire(now)) {
            item.value.settle(core.createFailure(createOverloaded(state.queue.getRetryAfterMilliseconds())));
        }
    }

    /**
     * Slots can also become free without a release: an upstream comes back, a release note adds one, or other instances
     * use fewer.
     */
    private scheduleSweep(state: QueueState): void {
        state.stopTimer ??= this.options.clock.schedule(SweepIntervalMilliseconds, () => {
            state.stopTimer = undefined;
            this.startWaiters(state);
            if (state.queue.getWaitingCount() > 0) {
                this.scheduleSweep(state);
            }
        });
    }
}

function createDeadlineUnreachable(refusal: decisions.AdmissionRefusal): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.DeadlineUnreachable,
        message: core.messages.DeadlineUnreachable,
        values: [Math.round(refusal.waitMilliseconds), Math.round(refusal.retryAfterMilliseconds)],
        certainty: core.RunCertainty.NotRun,
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
    });
}

function createOverloaded(retryAfterMilliseconds: number): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.Overloaded,
        message: core.messages.Overloaded,
        values: [Math.round(retryAfterMilliseconds)],
        certainty: core.RunCertainty.NotRun,
        retryAfterMilliseconds,
    });
}
