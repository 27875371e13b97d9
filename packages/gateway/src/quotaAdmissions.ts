import type * as core from "@boragedale/core";

/** A request of a customer that this member ran, and the owner that counted it. */
interface Admission {
    readonly at: core.MonotonicMilliseconds;
    /** Undefined if no owner counted the request. */
    readonly owner: core.InstanceId | undefined;
}

/**
 * The requests that this member ran in the last window, by customer. A new owner of a customer's quota is sent the
 * number of those that it has not counted.
 */
export class QuotaAdmissions {
    /** Requests are ordered oldest first, and customers by their last request. */
    private readonly byCustomer = new Map<string, Admission[]>();

    constructor(private readonly windowMilliseconds: number) {}

    record(customer: string, owner: core.InstanceId | undefined, now: core.MonotonicMilliseconds): void {
        const recent = this.prune(customer, now);
        recent.push({ at: now, owner });
        this.byCustomer.delete(customer);
        this.byCustomer.set(customer, recent);
        this.evictIdle(now);
    }

    /** Removes the last request that the owner counted. */
    removeLast(customer: string, owner: core.InstanceId): void {
        const recent = this.byCustomer.get(customer);
        const index = recent?.findLastIndex(admission => admission.owner === owner) ?? -1;
        if (index >= 0) {
            recent?.splice(index, 1);
        }
    }

    /** Number of requests in the last window that the owner has not counted. */
    countUncounted(customer: string, owner: core.InstanceId, now: core.MonotonicMilliseconds): number {
        return this.prune(customer, now).filter(admission => admission.owner !== owner).length;
    }

    /** Marks all of the customer's requests as counted by the owner. */
    markCounted(customer: string, owner: core.InstanceId): void {
        const recent = this.byCustomer.get(customer);
        if (recent?.some(admission => admission.owner !== owner) === true) {
            this.byCustomer.set(
                customer,
                recent.map(({ at }) => ({ at, owner })),
            );
        }
    }

    private prune(customer: string, now: core.MonotonicMilliseconds): Admission[] {
        const recent = this.byCustomer.get(customer) ?? [];
        const first = recent.findIndex(admission => admission.at > now - this.windowMilliseconds);
        recent.splice(0, first < 0 ? recent.length : first);
        return recent;
    }

    private evictIdle(now: core.MonotonicMilliseconds): void {
        for (const [customer, recent] of this.byCustomer) {
            if ((recent.at(-1)?.at ?? -Infinity) > now - this.windowMilliseconds) {
                return;
            }
            this.byCustomer.delete(customer);
        }
    }
}
