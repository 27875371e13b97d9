import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import type * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";

/** Alternative ways of enforcing a customer's limit, to compare with the one that the gateway implements. */

export const QuotaTerms: customers.QuotaTerms = { windowMilliseconds: 5_000, overShare: 0.1, slack: 20 };

/** Each instance grants an even share of the limit. */
export class EvenShares {
    private readonly buckets = new Map<string, customers.TokenBucket>();

    constructor(
        private readonly owners: gateway.StateOwners,
        private readonly clock: core.Clock,
    ) {}

    claim({ name, limit }: customers.Customer): boolean {
        if (limit === undefined) {
            return true;
        }
        const now = this.clock.now();
        const count = this.owners.getMemberCount();
        const share = { requestsPerSecond: limit.requestsPerSecond / count, burst: limit.burst / count };
        const bucket = this.buckets.get(name) ?? new customers.TokenBucket(share, now);
        this.buckets.set(name, bucket);
        return bucket.tryTake(now);
    }
}

const ReportMilliseconds = 250;
/** How long a customer is refused after the quota owner has reported that it is at its limit. */
const RefusalMilliseconds = 500;

/**
 * Each instance admits requests and reports their number to the quota owner. The messages reuse existing kinds of the
 * same size.
 */
export class Reports {
    private readonly localWindows = new Map<string, customers.SlidingWindow>();
    private readonly totalWindows = new Map<string, customers.SlidingWindow>();
    private readonly limits = new Map<string, customers.RateLimit>();
    private readonly refusedUntil = new Map<string, core.MonotonicMilliseconds>();
    private readonly unreported = new Map<string, number>();
    private isReporting = false;

    constructor(
        private readonly self: core.InstanceId,
        private readonly owners: gateway.StateOwners,
        private readonly network: protocol.PeerNetwork,
        private readonly clock: core.Clock,
    ) {
        network.handle(protocol.MessageKind.QuotaReturn, async message => {
            this.addToTotal(message.customer, message.count);
            return undefined;
        });
        network.handle(protocol.MessageKind.YieldSlot, async message => {
            this.refusedUntil.set(message.upstream, clock.now() + RefusalMilliseconds);
            return undefined;
        });
    }

    claim({ name, limit }: customers.Customer): boolean {
        if (limit === undefined) {
            return true;
        }
        this.limits.set(name, limit);
        const now = this.clock.now();
        const window = this.localWindows.get(name) ?? new customers.SlidingWindow(QuotaTerms.windowMilliseconds);
        this.localWindows.set(name, window);
        if (
            now < (this.refusedUntil.get(name) ?? 0) ||
            window.getCount(now) + 1 > customers.getWindowLimit(limit, QuotaTerms)
        ) {
            return false;
        }
        window.add(1, now);
        this.unreported.set(name, (this.unreported.get(name) ?? 0) + 1);
        if (!this.isReporting) {
            this.isReporting = true;
            this.clock.schedule(ReportMilliseconds, () => this.report());
        }
        return true;
    }

    private report(): void {
        this.isReporting = false;
        for (const [customer, count] of this.unreported) {
            const [owner] = this.owners.rank(customer);
            if (owner === this.self || owner === undefined) {
                this.addToTotal(customer, count);
                continue;
            }
            const message = { kind: protocol.MessageKind.QuotaReturn, customer, count } as const;
            this.network.notify(owner, message, protocol.Lane.Control);
        }
        this.unreported.clear();
    }

    private addToTotal(customer: string, count: number): void {
        const now = this.clock.now();
        const window = this.totalWindows.get(customer) ?? new customers.SlidingWindow(QuotaTerms.windowMilliseconds);
        this.totalWindows.set(customer, window);
        window.add(count, now);
        const limit = this.limits.get(customer);
        if (limit !== undefined && window.getCount(now) >= customers.getWindowLimit(limit, QuotaTerms)) {
            this.refusedUntil.set(customer, now + RefusalMilliseconds);
            const message = { kind: protocol.MessageKind.YieldSlot, upstream: customer } as const;
            this.network.notifyAll(message, protocol.Lane.Control);
        }
    }
}
