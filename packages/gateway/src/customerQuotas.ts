import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import * as protocol from "@boragedale/protocol";
import * as quotaAdmissions from "./quotaAdmissions.js";
import type * as quotaKeepers from "./quotaKeepers.js";
import * as quotaReach from "./quotaReach.js";

/** Time for a keeper to answer: some milliseconds of way, and whatever a busy loop adds. */
const ClaimTimeoutMilliseconds = 120;
/** A keeper whose connection closed or was refused is passed over for this long. */
const GoneMilliseconds = 1_000;
/** A keeper that gave no answer in time is not asked for this long: each request would wait for nothing. */
const SilentMilliseconds = 500;
/** A member whose question was refused refuses by itself for this long: a customer far over its limit would flood the keeper. */
const HeldMilliseconds = 100;

export interface CustomerQuotasParts {
    readonly self: core.InstanceId;
    readonly keepers: quotaKeepers.QuotaKeepers;
    readonly network: protocol.PeerNetwork;
    /** Undefined: no customers are configured. */
    readonly getCustomers: () => customers.CustomerDirectory | undefined;
    readonly clock: core.Clock;
    readonly terms: customers.QuotaTerms;
    readonly random: () => number;
}

/** What decided a request. */
export enum QuotaDecider {
    /** The customer has no limit. */
    NoLimit = "NoLimit",
    Keeper = "Keeper",
    /** The keeper refused a request of the customer a moment ago. */
    Held = "Held",
    /** The keeper could not be reached: this member's own share. */
    Fallback = "Fallback",
}

export interface QuotaDecision extends customers.QuotaVerdict {
    readonly customer: string;
    readonly decider: QuotaDecider;
    /** The member that counted the request. */
    readonly keeper: core.InstanceId | undefined;
}

/**
 * Holds customers to their limits over all members: one keeper counts all requests of a customer and is asked before each. A member
 * that can't reach it falls back to its own share.
 */
export class CustomerQuotas {
    private readonly ledger: customers.QuotaLedger;
    private readonly fallback: customers.QuotaFallback;
    private readonly admissions: quotaAdmissions.QuotaAdmissions;
    private readonly goneUntil = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    private readonly silentUntil = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    /** By customer: until when requests are refused without asking, and when the last refused caller comes back. */
    private readonly held = new Map<string, { readonly until: number; returnsAt: number }>();
    private readonly reach: quotaReach.QuotaReach;

    constructor(private readonly parts: CustomerQuotasParts) {
        const { network, terms, random } = parts;
        this.ledger = new customers.QuotaLedger(terms);
        this.admissions = new quotaAdmissions.QuotaAdmissions(terms.windowMilliseconds);
        this.reach = new quotaReach.QuotaReach(parts);
        this.fallback = new customers.QuotaFallback(terms, random);
        network.handle(protocol.MessageKind.QuotaClaim, async message => this.serveClaim(message));
        network.handle(protocol.MessageKind.QuotaReturn, async message => {
            this.ledger.giveBack(message.customer, message.count);
            return undefined;
        });
    }

    /** Whether a request of the customer may run. */
    async claim(customer: customers.Customer): Promise<QuotaDecision> {
        const { name, limit } = customer;
        if (limit === undefined) {
            const decider = QuotaDecider.NoLimit;
            return { customer: name, isGranted: true, retryAfterMilliseconds: 0, decider, keeper: undefined };
        }
        const decision =
            this.tryHold(name, limit) ??
            (await this.claimFromKeeper(name, limit)) ??
            this.claimFromFallback(name, limit);
        if (decision.isGranted) {
            this.admissions.record(name, decision.keeper, this.parts.clock.now());
        }
        else if (decision.decider === QuotaDecider.Keeper) {
            this.hold(decision);
        }
        return decision;
    }

    /** The request was granted, and no upstream ran it. */
    giveBack(decision: QuotaDecision): void {
        const { customer, keeper } = decision;
        if (!decision.isGranted || keeper === undefined) {
            return;
        }
        this.admissions.forget(customer, keeper);
        if (keeper === this.parts.self) {
            this.ledger.giveBack(customer, 1);
            return;
        }
        const message = { kind: protocol.MessageKind.QuotaReturn, customer, count: 1 } as const;
        this.parts.network.notify(keeper, message, protocol.Lane.Control);
    }

    /** Customers of which this member keeps a count. */
    getAccountCount(): number {
        return this.ledger.getAccountCount();
    }

    private hold({ customer, retryAfterMilliseconds }: QuotaDecision): void {
        const now = this.parts.clock.now();
        const until = now + Math.min(HeldMilliseconds, retryAfterMilliseconds);
        this.held.set(customer, { until, returnsAt: now + retryAfterMilliseconds });
    }

    /** A refusal without asking, where the keeper has just refused; callers come back after the one that it refused. */
    private tryHold(customer: string, limit: customers.RateLimit): QuotaDecision | undefined {
        const held = this.held.get(customer);
        const now = this.parts.clock.now();
        if (held === undefined || now >= held.until) {
            this.held.delete(customer);
            return undefined;
        }
        held.returnsAt = Math.min(
            now + customers.LongestRetryMilliseconds,
            held.returnsAt + 1_000 / limit.requestsPerSecond,
        );
        const retryAfterMilliseconds = held.returnsAt - now;
        return { isGranted: false, retryAfterMilliseconds, customer, decider: QuotaDecider.Held, keeper: undefined };
    }

    /** Undefined where no keeper can be reached. */
    private async claimFromKeeper(customer: string, limit: customers.RateLimit): Promise<QuotaDecision | undefined> {
        const decider = QuotaDecider.Keeper;
        const { silent } = this.reach.get(false);
        for (const keeper of this.parts.keepers.rank(customer, silent)) {
            const now = this.parts.clock.now();
            if (now < (this.goneUntil.get(keeper) ?? 0)) {
                continue;
            }
            if (now < (this.silentUntil.get(keeper) ?? 0)) {
                return undefined;
            }
            const uncounted = this.admissions.countUncounted(customer, keeper, now);
            if (keeper === this.parts.self) {
                this.admissions.settle(customer, keeper);
                return { ...this.count(customer, limit, uncounted), customer, decider, keeper };
            }
            const verdict = await this.ask(keeper, { customer, ...limit, uncounted });
            if (verdict !== undefined) {
                this.admissions.settle(customer, keeper);
                return { ...verdict, customer, decider, keeper };
            }
            if (!this.goneUntil.has(keeper)) {
                return undefined;
            }
        }
        return undefined;
    }

    private claimFromFallback(customer: string, limit: customers.RateLimit): QuotaDecision {
        const { clock, keepers } = this.parts;
        const now = clock.now();
        const { silent } = this.reach.get(false);
        const hasEnded = keepers.rank(customer, silent).every(keeper => now < (this.goneUntil.get(keeper) ?? 0));
        const claim = { customer, limit, memberCount: keepers.getMemberCount(), hasEnded };
        const verdict = this.fallback.claim(claim, now);
        return { ...verdict, customer, decider: QuotaDecider.Fallback, keeper: undefined };
    }

    private async ask(
        keeper: core.InstanceId,
        claim: Omit<protocol.QuotaClaim, "kind">,
    ): Promise<customers.QuotaVerdict | undefined> {
        const { network, clock } = this.parts;
        const askedAt = clock.now();
        const message = { kind: protocol.MessageKind.QuotaClaim, ...claim } as const;
        const options = { lane: protocol.Lane.Control, timeoutMilliseconds: ClaimTimeoutMilliseconds };
        const reply = await network.request(keeper, message, options);
        this.goneUntil.delete(keeper);
        if (reply.ok && reply.message.kind === protocol.MessageKind.QuotaReply) {
            const { isGranted, retryAfterMilliseconds } = reply.message;
            return { isGranted, retryAfterMilliseconds };
        }
        // A process that ended closes its connections and refuses new ones at once; one that is cut off or slow does neither.
        const isGone = !reply.ok && clock.now() - askedAt < ClaimTimeoutMilliseconds / 2;
        const until = isGone ? this.goneUntil : this.silentUntil;
        until.set(keeper, clock.now() + (isGone ? GoneMilliseconds : SilentMilliseconds));
        return undefined;
    }

    private serveClaim(message: protocol.QuotaClaim): protocol.Message {
        const { customer, uncounted, requestsPerSecond, burst } = message;
        // The asker may have heard of a new customer, or of its first limit, before this member.
        const limit = this.parts.getCustomers()?.tryGet(customer)?.limit ?? { requestsPerSecond, burst };
        return { kind: protocol.MessageKind.QuotaReply, ...this.count(customer, limit, uncounted) };
    }

    private count(customer: string, limit: customers.RateLimit, uncounted: number): customers.QuotaVerdict {
        // What a keeper before this one knew is lost with it, and the loss may be a moment old.
        const { share, known } = this.reach.get(!this.ledger.hasAccount(customer));
        return this.ledger.claim({ customer, limit, uncounted, share, known }, this.parts.clock.now());
    }
}
