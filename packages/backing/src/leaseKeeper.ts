import type * as core from "@boragedale/core";
import type * as services from "./services.js";
import type * as types from "./types.js";

/** A lease that this instance holds. */
export interface HeldLease {
    readonly id: types.LeaseId;
    /** Aborted before the lease expires at the service, so that work that depends on the lease can stop in time. */
    readonly expirySignal: AbortSignal;
}

export interface LeaseRenewerOptions {
    readonly service: services.KeyValueService;
    readonly clock: core.Clock;
    /** How long the service keeps the lease after it was granted or last renewed. */
    readonly leaseMilliseconds: number;
}

/** Number of renewals within the duration of one lease. With 4, two lost calls in a row don't end the lease. */
const KeepAlivesPerLease = 4;
/** Fraction of the lease that isn't used, to allow for clock drift and for the time to stop work under the lease. */
const SafetyMarginFraction = 0.15;

interface ActiveLease {
    readonly id: types.LeaseId;
    readonly controller: AbortController;
    validUntil: core.MonotonicMilliseconds;
    cancelTimer: () => void;
}

/**
 * Keeps one lease renewed, and requests a new one when it is lost. Its duration is counted by the monotonic clock from
 * the moment when a call was *sent*; the service measures from the moment when it received the call, so the holder always
 * stops first. After the process was paused, the timer may fire late, so `tryGetLease` checks the clock itself. Writes
 * under the lease are still fenced by their revision; the lease only avoids wasted work.
 */
export class LeaseRenewer implements AsyncDisposable {
    private lease: ActiveLease | undefined;
    private readonly stopped = new AbortController();
    private readonly task: Promise<void>;

    constructor(private readonly options: LeaseRenewerOptions) {
        this.task = this.run();
    }

    /** Returns the lease, or undefined unless it is certain that the service still holds it. */
    tryGetLease(): HeldLease | undefined {
        const { lease } = this;
        if (lease === undefined) {
            return undefined;
        }
        if (this.options.clock.now() >= lease.validUntil) {
            this.expire(lease);
            return undefined;
        }
        return { id: lease.id, expirySignal: lease.controller.signal };
    }

    /** Aborts the lease's signal, then revokes the lease so that others need not wait until it expires. */
    async [Symbol.asyncDispose](): Promise<void> {
        const { lease } = this;
        this.stopped.abort();
        if (lease !== undefined) {
            this.expire(lease);
            await this.options.service.revokeLease(lease.id);
        }
        await this.task;
    }

    private async run(): Promise<void> {
        const { clock, leaseMilliseconds } = this.options;
        while (!this.stopped.signal.aborted) {
            if (this.tryGetLease() === undefined) {
                await this.grant();
            }
            else {
                await this.keepAlive();
            }
            await clock.sleep(leaseMilliseconds / KeepAlivesPerLease, this.stopped.signal);
        }
    }

    private async grant(): Promise<void> {
        const { clock, leaseMilliseconds, service } = this.options;
        const sentAt = clock.now();
        const granted = await service.grantLease(leaseMilliseconds);
        if (!granted.ok) {
            return;
        }
        if (this.stopped.signal.aborted) {
            await service.revokeLease(granted.value);
            return;
        }
        const controller = new AbortController();
        const lease: ActiveLease = { id: granted.value, controller, validUntil: 0, cancelTimer: () => undefined };
        this.lease = lease;
        this.extend(lease, sentAt);
    }

    private async keepAlive(): Promise<void> {
        const { lease } = this;
        if (lease === undefined) {
            return;
        }
        const sentAt = this.options.clock.now();
        const kept = await this.options.service.keepLeaseAlive(lease.id);
        if (!kept.ok || lease.controller.signal.aborted) {
            return;
        }
        if (kept.value) {
            this.extend(lease, sentAt);
        }
        else {
            this.expire(lease);
            await this.grant();
        }
    }

    private extend(lease: ActiveLease, sentAt: core.MonotonicMilliseconds): void {
        const { clock, leaseMilliseconds } = this.options;
        lease.cancelTimer();
        lease.validUntil = sentAt + leaseMilliseconds * (1 - SafetyMarginFraction);
        lease.cancelTimer = clock.schedule(lease.validUntil - clock.now(), () => this.expire(lease));
    }

    private expire(lease: ActiveLease): void {
        lease.cancelTimer();
        lease.controller.abort();
        if (this.lease === lease) {
            this.lease = undefined;
        }
    }
}
