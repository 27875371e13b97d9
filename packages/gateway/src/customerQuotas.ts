import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import * as protocol from "@boragedale/protocol";
import * as quotaAdmissions from "./quotaAdmissions.js";
import type * as stateOwners from "./stateOwners.js";
import * as quotaReach from "./quotaReach.js";

/** Time for an owner to answer: a few milliseconds of network latency, plus the delay of a busy event loop. */
const ClaimTimeoutMilliseconds = 120;
/** An owner whose connection was closed or refused is skipped for this time. */
const DisconnectedOwnerMilliseconds = 1_000;
/**
 * An owner that did not answer in time is not asked for this time. Otherwise each request would wait for the timeout.
 */
const UnresponsiveOwnerMilliseconds = 500;
/**
 * After an owner rejects a claim, this member rejects further requests of the customer itself for this time. Otherwise
 * a customer far above its limit would flood the owner.
 */
const LocalRejectionMilliseconds = 100;

export interface CustomerQuotasParts {
    readonly self: core.InstanceId;
    readonly owners: stateOwners.StateOwners;
    readonly network: protocol.PeerNetwork;
    /** Undefined if no customers are configured. */
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
    /** The owner rejected a request of the customer a moment ago. */
    Held = "Held",
    /** The owner could not be reached, and this member's own share of the limit applied. */
    Fallback = "Fallback",
}

export interface QuotaDecision extends customers.QuotaVerdict {
    readonly customer: string;
    readonly decider: QuotaDecider;
    /** The member that counted the request. */
    readonly keeper: core.InstanceId | undefined;
}

/**
 * Enforces customers' limits across all members. One owner counts all requests of a customer and is asked before each
 * request runs. A member that cannot reach the owner falls back to its own share of the limit.
 */
export class CustomerQuotas {
    private readonly ledger: customers.QuotaLedger;
    private readonly fallback: customers.QuotaFallback;
    private readonly admissions: quotaAdmissions.QuotaAdmissions;
    private readonly disconnectedUntil = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    private readonly unresponsiveUntil = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    /**
     * By customer: the time until which requests are rejected without asking, and the time at which the last rejected
     * caller retries.
     */
    private readonly localRejections = new Map<string, { readonly until: number; retryAt: number }>();
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

    /** Claims quota for one request of the customer, and returns whether the request may run. */
    async claim(customer: customers.Customer): Promise<QuotaDecision> {
        const { name, limit } = customer;
        if (limit === undefined) {
            const decider = QuotaDecider.NoLimit;
            return { customer: name, isGranted: true, retryAfterMilliseconds: 0, decider, keeper: undefined };
        }
        const decision =
            this.tryRejectLocally(name, limit) ??
            (await this.claimFromOwner(name, limit)) ??
            this.claimFromFallback(name, limit);
        if (decision.isGranted) {
            this.admissions.record(name, decision.keeper, this.parts.clock.now());
        }
        else if (decision.decider === QuotaDecider.Keeper) {
            this.startLocalRejection(decision);
        }
        return decision;
    }

    /** Returns the quota of a granted request that no upstream ran. */
    refund(decision: QuotaDecision): void {
        const { customer, keeper: owner } = decision;
        if (!decision.isGranted || owner === undefined) {
            return;
        }
        this.admissions.removeLast(customer, owner);
        if (owner === this.parts.self) {
            this.ledger.giveBack(customer, 1);
            return;
        }
        const message = { kind: protocol.MessageKind.QuotaReturn, customer, count: 1 } as const;
        this.parts.network.notify(owner, message, protocol.Lane.Control);
    }

    /** Number of customers whose requests this member counts. */
    getAccountCount(): number {
        return this.ledger.getAccountCount();
    }

    private startLocalRejection({ customer, retryAfterMilliseconds }: QuotaDecision): void {
        const now = this.parts.clock.now();
        const until = now + Math.min(LocalRejectionMilliseconds, retryAfterMilliseconds);
        this.localRejections.set(customer, { until, retryAt: now + retryAfterMilliseconds });
    }

    /**
     * Rejects a request without asking if the owner has just rejected one. Each rejected caller retries after the
     * previous one.
     */
    private tryRejectLocally(customer: string, limit: customers.RateLimit): QuotaDecision | undefined {
        const rejection = this.localRejections.get(customer);
        const now = this.parts.clock.now();
        if (rejection === undefined || now >= rejection.until) {
            this.localRejections.delete(customer);
            return undefined;
        }
        rejection.retryAt = Math.min(
            now + customers.LongestRetryMilliseconds,
            rejection.retryAt + 1_000 / limit.requestsPerSecond,
        );
        const retryAfterMilliseconds = rejection.retryAt - now;
        return { isGranted: false, retryAfterMilliseconds, customer, decider: QuotaDecider.Held, keeper: undefined };
    }

    /** Undefined if no owner can be reached. */
    private async claimFromOwner(customer: string, limit: customers.RateLimit): Promise<QuotaDecision | undefined> {
        const decider = QuotaDecider.Keeper;
        const { unresponsive } = this.reach.get(false);
        for (const owner of this.parts.owners.rank(customer, unresponsive)) {
            const now = this.parts.clock.now();
            if (now < (this.disconnectedUntil.get(owner) ?? 0)) {
                continue;
            }
            if (now < (this.unresponsiveUntil.get(owner) ?? 0)) {
                return undefined;
            }
            const uncounted = this.admissions.countUncounted(customer, owner, now);
            if (owner === this.parts.self) {
                this.admissions.markCounted(customer, owner);
                return { ...this.countRequest(customer, limit, uncounted), customer, decider, keeper: owner };
            }
            const verdict = await this.requestClaim(owner, { customer, ...limit, uncounted });
            if (verdict !== undefined) {
                this.admissions.markCounted(customer, owner);
                return { ...verdict, customer, decider, keeper: owner };
            }
            if (!this.disconnectedUntil.has(owner)) {
                return undefined;
            }
        }
        return undefined;
    }

    private claimFromFallback(customer: string, limit: customers.RateLimit): QuotaDecision {
        const { clock, owners } = this.parts;
        const now = clock.now();
        const { unresponsive } = this.reach.get(false);
        const haveAllDisconnected = owners
            .rank(customer, unresponsive)
            .every(owner => now < (this.disconnectedUntil.get(owner) ?? 0));
        const claim = { customer, limit, memberCount: owners.getMemberCount(), hasEnded: haveAllDisconnected };
        const verdict = this.fallback.claim(claim, now);
        return { ...verdict, customer, decider: QuotaDecider.Fallback, keeper: undefined };
    }

    private async requestClaim(
        owner: core.InstanceId,
        claim: Omit<protocol.QuotaClaim, "kind">,
    ): Promise<customers.QuotaVerdict | undefined> {
        const { network, clock } = this.parts;
        const requestedAt = clock.now();
        const message = { kind: protocol.MessageKind.QuotaClaim, ...claim } as const;
        const options = { lane: protocol.Lane.Control, timeoutMilliseconds: ClaimTimeoutMilliseconds };
        const reply = await network.request(owner, message, options);
        this.disconnectedUntil.delete(owner);
        if (reply.ok && reply.message.kind === protocol.MessageKind.QuotaReply) {
            const { isGranted, retryAfterMilliseconds } = reply.message;
            return { isGranted, retryAfterMilliseconds };
        }
        // A process that has ended closes its connections and refuses new ones immediately. One that is cut off or slow
        // does neither.
        const isDisconnected = !reply.ok && clock.now() - requestedAt < ClaimTimeoutMilliseconds / 2;
        const until = isDisconnected ? this.disconnectedUntil : this.unresponsiveUntil;
        until.set(
            owner,
            clock.now() + (isDisconnected ? DisconnectedOwnerMilliseconds : UnresponsiveOwnerMilliseconds),
        );
        return undefined;
    }

    private serveClaim(message: protocol.QuotaClaim): protocol.Message {
        const { customer, uncounted, requestsPerSecond, burst } = message;
        // The requester may know of a new customer, or of a customer's first limit, before this member does.
        const limit = this.parts.getCustomers()?.tryGet(customer)?.limit ?? { requestsPerSecond, burst };
        return { kind: protocol.MessageKind.QuotaReply, ...this.countRequest(customer, limit, uncounted) };
    }

    private countRequest(customer: string, limit: customers.RateLimit, uncounted: number): customers.QuotaVerdict {
        // The counts of a previous owner are lost with it. It may have been lost a moment ago, so a new account needs
        // the current state.
        const reach = this.reach.get(!this.ledger.hasAccount(customer));
        const { reachableShare: share, knownShare: known, lostMilliseconds } = reach;
        return this.ledger.claim(
            { customer, limit, uncounted, share, known, lostMilliseconds },
            this.parts.clock.now(),
        );
    }
}
