import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import type * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";

/** Ways of holding a customer to its limit that are not deployed; the deployed one is measured beside them. */

export const Terms: customers.QuotaTerms = { windowMilliseconds: 5_000, overShare: 0.1, slack: 20 };

/** Each instance gives out an even share of the limit. */
export class EvenShares {
    private readonly buckets = new Map<string, customers.TokenBucket>();

    constructor(
        private readonly keepers: gateway.QuotaOwners,
        private readonly clock: core.Clock,
    ) {}

    claim({ name, limit }: customers.Customer): boolean {
        if (limit === undefined) {
            return true;
        }
        const now = this.clock.now();
        const count = this.keepers.getMemberCount();
        const share = { requestsPerSecond: limit.requestsPerSecond / count, burst: limit.burst / count };
        const bucket = this.buckets.get(name) ?? new customers.TokenBucket(share, now);
        this.buckets.set(name, bucket);
        return bucket.tryTake(now);
    }
}

const ReportMilliseconds = 250;
/** A customer that the keeper says is at its limit is refused for this long. */
const HeldMilliseconds = 500;

/** Admits, and reports what it admitted. Its messages are carried by kinds of the same size. */
export class Reports {
    private readonly own = new Map<string, customers.SlidingWindow>();
    private readonly kept = new Map<string, customers.SlidingWindow>();
    private readonly limits = new Map<string, customers.RateLimit>();
    private readonly heldUntil = new Map<string, core.MonotonicMilliseconds>();
    private readonly unreported = new Map<string, number>();
    private isReporting = false;

    constructor(
        private readonly self: core.InstanceId,
        private readonly keepers: gateway.QuotaOwners,
        private readonly network: protocol.PeerNetwork,
        private readonly clock: core.Clock,
    ) {
        network.handle(protocol.MessageKind.QuotaReturn, async message => {
            this.keep(message.customer, message.count);
            return undefined;
        });
        network.handle(protocol.MessageKind.YieldSlot, async message => {
            this.heldUntil.set(message.upstream, clock.now() + HeldMilliseconds);
            return undefined;
        });
    }

    claim({ name, limit }: customers.Customer): boolean {
        if (limit === undefined) {
            return true;
        }
        this.limits.set(name, limit);
        const now = this.clock.now();
        const window = this.own.get(name) ?? new customers.SlidingWindow(Terms.windowMilliseconds);
        this.own.set(name, window);
        if (
            now < (this.heldUntil.get(name) ?? 0) ||
            window.getCount(now) + 1 > customers.getWindowLimit(limit, Terms)
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
            const [keeper] = this.keepers.rank(customer);
            if (keeper === this.self || keeper === undefined) {
                this.keep(customer, count);
                continue;
            }
            const message = { kind: protocol.MessageKind.QuotaReturn, customer, count } as const;
            this.network.notify(keeper, message, protocol.Lane.Control);
        }
        this.unreported.clear();
    }

    private keep(customer: string, count: number): void {
        const now = this.clock.now();
        const window = this.kept.get(customer) ?? new customers.SlidingWindow(Terms.windowMilliseconds);
        this.kept.set(customer, window);
        window.add(count, now);
        const limit = this.limits.get(customer);
        if (limit !== undefined && window.getCount(now) >= customers.getWindowLimit(limit, Terms)) {
            this.heldUntil.set(customer, now + HeldMilliseconds);
            const message = { kind: protocol.MessageKind.YieldSlot, upstream: customer } as const;
            this.network.notifyAll(message, protocol.Lane.Control);
        }
    }
}
