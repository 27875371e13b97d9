import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";

/** A request that asks to run, and the queue that it belongs to. */
export interface AdmissionRequest {
    /** Names the queue: a model or service, and the class. No class ever waits in another's queue. */
    readonly queue: string;
    readonly caller: core.CallerId;
    readonly weight: number;
    readonly cost: number;
    readonly deadlineAt: core.MonotonicMilliseconds;
    /** Requests of this queue that may run here at once; read again whenever one of them could start. */
    readonly getLimit: () => number;
    /** Whether the request costs less than others now, such as one whose prefix is cached where a place is free. */
    readonly isPreferred?: () => boolean;
}

/** Leave to run. It must be given back, with the time that running took where that teaches something. */
export interface Ticket {
    leave(serviceMilliseconds: number | undefined): void;
}

export interface AdmissionDeskOptions {
    readonly clock: core.Clock;
    readonly random: () => number;
    /** Time that one unit of cost takes until some have been seen, in milliseconds. */
    readonly expectedMillisecondsPerCost: number;
    readonly expectedCost: number;
}

interface Waiter {
    readonly isPreferred: () => boolean;
    readonly settle: (outcome: core.Outcome<Ticket>) => void;
}

interface QueueState {
    readonly queue: decisions.AdmissionQueue<Waiter>;
    getLimit: () => number;
    stopTimer: (() => void) | undefined;
}

/** How often waiting requests are looked at beside the events that free a place, in milliseconds. */
const LookInterval = 25;

/** Lets requests run, wait or go, by the decisions of one queue for each model or service and class. */
export class AdmissionDesk implements Disposable {
    private readonly queues = new Map<string, QueueState>();

    constructor(private readonly options: AdmissionDeskOptions) {}

    /** Resolves once the request may run or is refused; never holds a refusal back. */
    enter(request: AdmissionRequest, signal: AbortSignal): Promise<core.Outcome<Ticket>> {
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
                    waiter.settle(core.createFailure(createExpired(state.queue.getRetryAfterMilliseconds())));
                }
            };
            const decision = state.queue.offer({ ...request, value: waiter }, this.options.clock.now());
            switch (decision.kind) {
                case decisions.AdmissionKind.Admitted:
                    resolve(core.createSuccess(this.createTicket(state, request.cost)));
                    break;
                case decisions.AdmissionKind.Refused:
                    resolve(core.createFailure(createUnreachable(decision)));
                    break;
                case decisions.AdmissionKind.Queued:
                    signal.addEventListener("abort", cancel, { once: true });
                    this.watch(state);
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

    private createTicket(state: QueueState, cost: number): Ticket {
        let isHeld = true;
        return {
            leave: serviceMilliseconds => {
                if (isHeld) {
                    isHeld = false;
                    state.queue.complete(cost, serviceMilliseconds);
                    this.startWaiting(state);
                }
            },
        };
    }

    private startWaiting(state: QueueState): void {
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
            item.value.settle(core.createFailure(createExpired(state.queue.getRetryAfterMilliseconds())));
        }
    }

    /** Places also get free without a request's end: an upstream comes back, a note adds one, others use less. */
    private watch(state: QueueState): void {
        state.stopTimer ??= this.options.clock.schedule(LookInterval, () => {
            state.stopTimer = undefined;
            this.startWaiting(state);
            if (state.queue.getWaitingCount() > 0) {
                this.watch(state);
            }
        });
    }
}

function createUnreachable(refusal: decisions.AdmissionRefusal): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.DeadlineUnreachable,
        message: core.messages.DeadlineUnreachable,
        values: [Math.round(refusal.waitMilliseconds), Math.round(refusal.retryAfterMilliseconds)],
        certainty: core.RunCertainty.NotRun,
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
    });
}

function createExpired(retryAfterMilliseconds: number): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.Overloaded,
        message: core.messages.Overloaded,
        values: [Math.round(retryAfterMilliseconds)],
        certainty: core.RunCertainty.NotRun,
        retryAfterMilliseconds,
    });
}
