import type * as core from "@boragedale/core";
import type * as services from "./services.js";
import type * as types from "./types.js";

/** A lease while it is held. */
export interface HeldLease {
    readonly id: types.LeaseId;
    /** Aborted before the service ends the lease; what rests on the lease stops then. */
    readonly lapsed: AbortSignal;
}

export interface LeaseKeeperOptions {
    readonly service: services.KeyValueService;
    readonly clock: core.Clock;
    /** How long the service holds the lease after each sign of life, in milliseconds. */
    readonly milliseconds: number;
}

/** A lease is kept alive this often while it lasts, so two lost calls in a row don't end it. */
const KeepAlivesPerLease = 4;
/** Part of the lease that is given up for certain: clocks that run apart, and the time to stop what rests on it. */
const SafetyPart = 0.15;

interface Holding {
    readonly id: types.LeaseId;
    readonly controller: AbortController;
    heldUntil: core.MonotonicMilliseconds;
    stopTimer: () => void;
}

/**
 * Keeps one lease, and takes a new one when it was lost. Time is counted on the monotonic clock from the moment a call
 * was *sent*: the service counts from the moment it got it, so the holder always stops first. After a pause of the
 * process the timer may fire late, so `tryGetLease` compares the clock itself. Writes under the lease stay fenced by
 * their revision all the same; the lease only saves wasted work.
 */
export class LeaseKeeper implements AsyncDisposable {
    private holding: Holding | undefined;
    private readonly stopped = new AbortController();
    private readonly task: Promise<void>;

    constructor(private readonly options: LeaseKeeperOptions) {
        this.task = this.keep();
    }

    /** The lease, where it is certain to be held now. */
    tryGetLease(): HeldLease | undefined {
        const { holding } = this;
        if (holding === undefined) {
            return undefined;
        }
        if (this.options.clock.now() >= holding.heldUntil) {
            this.drop(holding);
            return undefined;
        }
        return { id: holding.id, lapsed: holding.controller.signal };
    }

    /** Tells holders that the lease has ended, then revokes it so that others need not wait for its end. */
    async [Symbol.asyncDispose](): Promise<void> {
        const { holding } = this;
        this.stopped.abort();
        if (holding !== undefined) {
            this.drop(holding);
            await this.options.service.revokeLease(holding.id);
        }
        await this.task;
    }

    private async keep(): Promise<void> {
        const { clock, milliseconds } = this.options;
        while (!this.stopped.signal.aborted) {
            if (this.tryGetLease() === undefined) {
                await this.grant();
            }
            else {
                await this.keepAlive();
            }
            await clock.sleep(milliseconds / KeepAlivesPerLease, this.stopped.signal);
        }
    }

    private async grant(): Promise<void> {
        const { clock, milliseconds, service } = this.options;
        const sentAt = clock.now();
        const granted = await service.grantLease(milliseconds);
        if (!granted.ok) {
            return;
        }
        if (this.stopped.signal.aborted) {
            await service.revokeLease(granted.value);
            return;
        }
        const controller = new AbortController();
        const holding: Holding = { id: granted.value, controller, heldUntil: 0, stopTimer: () => undefined };
        this.holding = holding;
        this.extend(holding, sentAt);
    }

    private async keepAlive(): Promise<void> {
        const { holding } = this;
        if (holding === undefined) {
            return;
        }
        const sentAt = this.options.clock.now();
        const kept = await this.options.service.keepLeaseAlive(holding.id);
        if (!kept.ok || holding.controller.signal.aborted) {
            return;
        }
        if (kept.value) {
            this.extend(holding, sentAt);
        }
        else {
            this.drop(holding);
            await this.grant();
        }
    }

    private extend(holding: Holding, sentAt: core.MonotonicMilliseconds): void {
        const { clock, milliseconds } = this.options;
        holding.stopTimer();
        holding.heldUntil = sentAt + milliseconds * (1 - SafetyPart);
        holding.stopTimer = clock.schedule(holding.heldUntil - clock.now(), () => this.drop(holding));
    }

    private drop(holding: Holding): void {
        holding.stopTimer();
        holding.controller.abort();
        if (this.holding === holding) {
            this.holding = undefined;
        }
    }
}
