import type * as core from "@boragedale/core";

/** A request of a customer that this member ran, and who counted it. */
interface Admission {
    readonly at: core.MonotonicMilliseconds;
    /** Undefined: nobody did. */
    readonly keeper: core.InstanceId | undefined;
}

/** What this member ran in the last window, by customer: a keeper that is new to a customer is told what it has not counted. */
export class QuotaAdmissions {
    /** Oldest first, in the order in which the customers were last seen. */
    private readonly byCustomer = new Map<string, Admission[]>();

    constructor(private readonly windowMilliseconds: number) {}

    record(customer: string, keeper: core.InstanceId | undefined, now: core.MonotonicMilliseconds): void {
        const recent = this.prune(customer, now);
        recent.push({ at: now, keeper });
        this.byCustomer.delete(customer);
        this.byCustomer.set(customer, recent);
        this.evictIdle(now);
    }

    /** Takes back the last one that the keeper counted. */
    forget(customer: string, keeper: core.InstanceId): void {
        const recent = this.byCustomer.get(customer);
        const index = recent?.findLastIndex(admission => admission.keeper === keeper) ?? -1;
        if (index >= 0) {
            recent?.splice(index, 1);
        }
    }

    /** Requests of the last window that the keeper has not counted. */
    countUncounted(customer: string, keeper: core.InstanceId, now: core.MonotonicMilliseconds): number {
        return this.prune(customer, now).filter(admission => admission.keeper !== keeper).length;
    }

    /** The keeper has counted all of the customer's requests now. */
    settle(customer: string, keeper: core.InstanceId): void {
        const recent = this.byCustomer.get(customer);
        if (recent?.some(admission => admission.keeper !== keeper) === true) {
            this.byCustomer.set(
                customer,
                recent.map(({ at }) => ({ at, keeper })),
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
