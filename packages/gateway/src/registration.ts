import type * as core from "@boragedale/core";
import * as backoff from "./backoff.js";
import * as gatewayLog from "./gatewayLog.js";
import * as memberDirectory from "./memberDirectory.js";
import * as metadataStore from "./metadataStore.js";
import type * as types from "./types.js";

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
/** Writes of the entry in a row. The second one knows the revision that the first one has met. */
const MaximumWrites = 2;

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
    /** Whether the store has acknowledged the entry under `lease`. */
    private isEntryWritten = false;
    /**
     * Revision that the entry had when the store last told it; 0 if it didn't exist. Writes are conditional on it, so that a write
     * that the store carries out late can't move the entry to a lease that is no longer renewed.
     */
    private entryRevision: types.Revision = 0;
    /** Until when the lease certainly goes on. It runs from the arrival of the call that granted or renewed it. */
    private leaseEndsAt: core.MonotonicMilliseconds = -Infinity;
    /** Set while this member's view of the members contradicts that its entry exists. */
    private isEntryDoubtful = false;
    /** Number of times that the entry has been written, each of which begins another listing period. */
    private listingPeriod = 0;
    private readonly listedListeners = new Set<() => void>();
    private task: Promise<void> | undefined;
    /** Aborted to end the pause between two renewals. */
    private pauseAbort = new AbortController();
    private isRenewalDue = false;

    constructor(
        private readonly store: metadataStore.MetadataStore,
        private readonly members: memberDirectory.MemberDirectory,
        private readonly clock: core.Clock,
        private readonly log: gatewayLog.GatewayLog,
    ) {
        members.onChange(removed => {
            if (this.isEntryWritten && removed.includes(members.self.id)) {
                this.isEntryDoubtful = true;
                this.renewEarly();
            }
        });
    }

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

    /**
     * The period for which this member's entry has been in the store without interruption; undefined if it may be missing. Within one
     * period, nobody takes over what this member owns.
     */
    tryGetListingPeriod(): number | undefined {
        const isListed = this.isEntryWritten && !this.isEntryDoubtful && this.clock.now() < this.leaseEndsAt;
        return isListed ? this.listingPeriod : undefined;
    }

    /** Called when a listing period begins. */
    onListed(listener: () => void): void {
        this.listedListeners.add(listener);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
        this.pauseAbort.abort();
        await this.task;
        this.isEntryWritten = false;
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
            if (outcome === RenewalOutcome.Unknown) {
                return false;
            }
            if (outcome === RenewalOutcome.Ended) {
                // The store answers. Without an entry, other members treat this one as removed, so it registers again
                // without a pause.
                this.lease = undefined;
                this.isEntryWritten = false;
            }
            else if (this.isEntryWritten && !this.members.isListed() && !(await this.checkEntry())) {
                return false;
            }
        }
        return this.isEntryWritten || this.register();
    }

    /**
     * Reads the entry if this member's view lacks it: a lease that goes on doesn't prove that the entry does. Returns whether
     * the store answered.
     */
    private async checkEntry(): Promise<boolean> {
        const found = await this.store.read(this.getEntryKey());
        if (!found.ok) {
            return false;
        }
        const revision = found.value?.revision ?? 0;
        this.isEntryDoubtful = false;
        if (revision !== this.entryRevision) {
            this.entryRevision = revision;
            this.isEntryWritten = false;
        }
        return true;
    }

    private async register(): Promise<boolean> {
        if (this.lease === undefined) {
            const sentAt = this.clock.now();
            const granted = await this.store.grantLease(LeaseMilliseconds);
            if (!granted.ok) {
                return false;
            }
            this.leaseEndsAt = sentAt + LeaseMilliseconds;
            // Kept if the write fails. The write may still be carried out, which has no effect once the lease has ended.
            this.lease = granted.value;
        }
        return this.writeEntry(this.lease);
    }

    private async writeEntry(lease: string): Promise<boolean> {
        const key = this.getEntryKey();
        for (let calls = 0; calls < MaximumWrites; calls++) {
            const written = await this.store.transact({
                preconditions: [{ key, revision: this.entryRevision }],
                puts: [{ key, value: memberDirectory.encodeMember(this.members.self), lease }],
                // Otherwise the submissions of a process that was killed and restarted would wait for the lease of its
                // previous incarnation to expire.
                deletes: this.members.getPreviousIncarnations().map(id => memberDirectory.MemberPrefix + id),
            });
            if (!written.ok) {
                return false;
            }
            if (written.value.isCommitted) {
                this.entryRevision = written.value.revision;
                this.isEntryWritten = true;
                this.isEntryDoubtful = false;
                this.listingPeriod++;
                this.log.recordEvent(gatewayLog.GatewayEvent.MemberRegistered, { lease });
                this.listedListeners.forEach(listener => listener());
                return true;
            }
            // An earlier write of this member was carried out without an answer, or the entry has been removed.
            this.entryRevision = written.value.current.find(entry => entry.key === key)?.revision ?? 0;
        }
        return false;
    }

    private getEntryKey(): string {
        return memberDirectory.MemberPrefix + this.members.self.id;
    }

    private async renew(lease: string): Promise<RenewalOutcome> {
        const sentAt = this.clock.now();
        const renewed = await this.store.renewLease(lease);
        if (renewed.ok) {
            this.leaseEndsAt = sentAt + LeaseMilliseconds;
            return RenewalOutcome.Renewed;
        }
        return renewed.failure.kind === metadataStore.StoreFailureKind.LeaseGone
            ? RenewalOutcome.Ended
            : RenewalOutcome.Unknown;
    }
}
