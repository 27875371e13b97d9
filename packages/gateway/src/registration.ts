import type * as core from "@boragedale/core";
import * as backoff from "./backoff.js";
import * as gatewayLog from "./gatewayLog.js";
import * as memberDirectory from "./memberDirectory.js";
import * as metadataStore from "./metadataStore.js";

/**
 * Lease of this member's entry. When it ends, others take over what this member owns, soon enough for items that are
 * due within seconds.
 */
export const LeaseMilliseconds = 4_000;
/** A third of the lease, so that two renewals may fail before it ends. */
const RenewIntervalMilliseconds = 1_300;
/**
 * First and longest pause after a failed call. A member without work detects the store's recovery by this call.
 * Together with the duration of a call that began just before, the pause must stay well below the two seconds within
 * which changes must be known.
 */
const FirstRetryMilliseconds = 300;
const LongestRetryMilliseconds = 500;
const ListingTimeoutMilliseconds = 500;

enum RenewalOutcome {
    Renewed = "Renewed",
    /** The lease has expired, and the entry was removed with it. */
    Ended = "Ended",
    Unknown = "Unknown",
}

/** Keeps this member's entry in the metadata store, under a lease that ends with the process. */
export class Registration implements AsyncDisposable {
    private readonly stopper = new AbortController();
    private lease: string | undefined;
    private task: Promise<void> | undefined;
    /** Aborted to end the pause between two renewals. */
    private pauseAbort = new AbortController();
    private isRenewalDue = false;

    constructor(
        private readonly store: metadataStore.MetadataStore,
        private readonly members: memberDirectory.MemberDirectory,
        private readonly clock: core.Clock,
        private readonly log: gatewayLog.GatewayLog,
    ) {}

    /** Registers once the previous incarnations of this instance are known, or after a timeout. */
    start(whenListed: Promise<void>): void {
        this.task = this.run(whenListed);
    }

    /**
     * Starts a renewal now, or as soon as the one in progress has ended. If a call that starts after a watch is
     * answered, the store was not silent when the watch began; if it fails, the watch is restarted.
     */
    renewEarly(): void {
        this.isRenewalDue = true;
        this.pauseAbort.abort();
    }

    tryGetLease(): string | undefined {
        return this.lease;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
        this.pauseAbort.abort();
        await this.task;
        if (this.lease !== undefined) {
            await this.store.endLease(this.lease);
        }
    }

    private async run(whenListed: Promise<void>): Promise<void> {
        await Promise.race([whenListed, this.clock.sleep(ListingTimeoutMilliseconds, this.stopper.signal)]);
        const pauses = new backoff.Backoff(FirstRetryMilliseconds, LongestRetryMilliseconds);
        while (!this.stopper.signal.aborted) {
            this.isRenewalDue = false;
            this.pauseAbort = new AbortController();
            const isRegistered = await this.ensureRegistered();
            if (isRegistered) {
                pauses.reset();
            }
            if (isRegistered && this.isRenewalDue) {
                continue;
            }
            // After a failure the full pause applies, however many watches begin: the store may be rejecting calls
            // because there are too many.
            const signal = isRegistered ? this.pauseAbort.signal : this.stopper.signal;
            await this.clock.sleep(isRegistered ? RenewIntervalMilliseconds : pauses.next(), signal);
        }
    }

    /** Renews the lease, or registers again. Returns whether the entry exists. */
    private async ensureRegistered(): Promise<boolean> {
        if (this.lease !== undefined) {
            const outcome = await this.renew(this.lease);
            if (outcome !== RenewalOutcome.Ended) {
                return outcome === RenewalOutcome.Renewed;
            }
            // The store answers. Without an entry, other members treat this one as removed, so it registers again
            // without a pause.
            this.lease = undefined;
        }
        return this.register();
    }

    private async register(): Promise<boolean> {
        const granted = await this.store.grantLease(LeaseMilliseconds);
        if (!granted.ok) {
            return false;
        }
        const put = {
            key: memberDirectory.MemberPrefix + this.members.self.id,
            value: memberDirectory.encodeMember(this.members.self),
            lease: granted.value,
        };
        // Otherwise the submissions of a process that was killed and restarted would wait for the lease of its previous
        // incarnation to expire.
        const deletes = this.members.getPreviousIncarnations().map(id => memberDirectory.MemberPrefix + id);
        const written = await this.store.transact({ preconditions: [], puts: [put], deletes });
        if (!written.ok) {
            return false;
        }
        this.lease = granted.value;
        this.log.recordEvent(gatewayLog.GatewayEvent.MemberRegistered, { lease: granted.value });
        return true;
    }

    private async renew(lease: string): Promise<RenewalOutcome> {
        const renewed = await this.store.renewLease(lease);
        if (renewed.ok) {
            return RenewalOutcome.Renewed;
        }
        return renewed.failure.kind === metadataStore.StoreFailureKind.LeaseGone
            ? RenewalOutcome.Ended
            : RenewalOutcome.Unknown;
    }
}
