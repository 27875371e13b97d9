import * as core from "@boragedale/core";
import * as types from "./types.js";

/** Every purpose, the most urgent first. */
export const PurposesByUrgency: readonly types.CallPurpose[] = [
    types.CallPurpose.Ledger,
    types.CallPurpose.Note,
    types.CallPurpose.Claim,
    types.CallPurpose.Checkpoint,
    types.CallPurpose.Lease,
    types.CallPurpose.JobInput,
    types.CallPurpose.Read,
    types.CallPurpose.Watch,
];

/** Limits of the calls of one purpose. */
export interface PurposeLimit {
    /** Fraction of the rate, 0 to 1, that is reserved for this purpose. All fractions together stay under 1. */
    readonly guaranteedFraction: number;
    /** Longest wait in the queue; a call that would wait longer is refused at once. */
    readonly maximumWaitMilliseconds: number;
    /** Whether calls may take the last token of the shared bucket without using their guaranteed fraction. */
    readonly mayTakeLastToken: boolean;
}

export type PurposeLimits = Readonly<Record<types.CallPurpose, PurposeLimit>>;

/**
 * Limits that apply unless others are configured.
 *
 * Each purpose has a guaranteed fraction, because scheduling by urgency alone would starve lease calls while the ledger
 * is busy, and the instance would lose its leases under its highest load. The maximum waits are shorter for `Ledger` and
 * `Note`, where a caller waits for the result; for the other purposes engines that already have work wait. For the same
 * reason only these two purposes may take the last token: in a large fleet an instance gets one token every second or
 * two, and a backlog of checkpoints that takes each token as it arrives would make every ledger write wait for the next.
 */
export const DefaultPurposeLimits: PurposeLimits = {
    [types.CallPurpose.Ledger]: createLimit(0.2, 2_000, true),
    [types.CallPurpose.Note]: createLimit(0.1, 2_000, true),
    [types.CallPurpose.Claim]: createLimit(0.1, 5_000),
    [types.CallPurpose.Checkpoint]: createLimit(0.1, 5_000),
    [types.CallPurpose.Lease]: createLimit(0.1, 5_000),
    [types.CallPurpose.JobInput]: createLimit(0.1, 10_000),
    [types.CallPurpose.Read]: createLimit(0.1, 5_000),
    [types.CallPurpose.Watch]: createLimit(0.05, 30_000),
};

function createLimit(
    guaranteedFraction: number,
    maximumWaitMilliseconds: number,
    mayTakeLastToken = false,
): PurposeLimit {
    return { guaranteedFraction, maximumWaitMilliseconds, mayTakeLastToken };
}

/** A call that waits in the queue. */
export interface PacedCall {
    readonly purpose: types.CallPurpose;
    readonly queuedAt: core.MonotonicMilliseconds;
}

export enum QueueOutcomeKind {
    Queued = "Queued",
    Refused = "Refused",
}

export type QueueOutcome<T extends PacedCall> =
    | { readonly kind: QueueOutcomeKind.Queued; readonly call: T }
    | { readonly kind: QueueOutcomeKind.Refused; readonly retryAfterMilliseconds: number };

/** Fraction of the share that a burst may use at once. The steady rate is the rest, so no second exceeds the share. */
const BurstFraction = 0.2;
/** One token that is reserved for urgent calls, and one for a call that must leave that token. */
const MinimumBurstTokens = 2;
const MinimumRateFactor = 0.1;
const RateFactorRecoveryPerSecond = 0.1;

/**
 * Decides which call to the key-value service is sent next, and when.
 *
 * The service refuses calls of every purpose, ledger writes included, once its rate is exceeded. This can happen when
 * the fleet's demand exceeds that rate, or after an outage, when every instance sends its backlog. Each instance
 * therefore keeps to its share of the fleet's budget. A share of at least 10 calls a second is never exceeded in any
 * second, since burst and steady rate add up to it. A smaller share may be exceeded by less than two calls in a second,
 * which overloads the service only if all instances do so in the same second.
 */
export class CallPacer<T extends PacedCall> {
    private readonly queues = new Map<types.CallPurpose, T[]>(PurposesByUrgency.map(purpose => [purpose, []]));
    private readonly guaranteedBuckets: Map<types.CallPurpose, TokenBucket>;
    private readonly totalBucket: TokenBucket;
    private callsPerSecond: number;
    /** Factor of the rate, lowered when the service throttles us: the known fleet size lags, so the share may be too large. */
    private rateFactor = 1;
    private rateFactorUpdatedAt = 0;
    private pausedUntil = 0;

    /** `callsPerSecond` is this instance's share of the fleet's budget. */
    constructor(
        callsPerSecond: number,
        private readonly limits: PurposeLimits,
        now: core.MonotonicMilliseconds,
    ) {
        this.callsPerSecond = callsPerSecond;
        this.totalBucket = new TokenBucket(now);
        this.guaranteedBuckets = new Map(PurposesByUrgency.map(purpose => [purpose, new TokenBucket(now)]));
        this.refill(now);
        this.totalBucket.fill();
    }

    /** Changes this instance's share of the budget, which depends on the fleet size. */
    setCallsPerSecond(callsPerSecond: number, now: core.MonotonicMilliseconds): void {
        this.refill(now);
        this.callsPerSecond = callsPerSecond;
        this.refill(now);
    }

    /** Queues a call, or refuses it at once if it would wait longer than its purpose allows. */
    enqueue(call: T): QueueOutcome<T> {
        const now = call.queuedAt;
        this.refill(now);
        const wait = this.estimateWaitMilliseconds(call.purpose, now);
        const longest = this.limits[call.purpose].maximumWaitMilliseconds;
        if (wait > longest) {
            return { kind: QueueOutcomeKind.Refused, retryAfterMilliseconds: Math.ceil(wait - longest) };
        }
        this.getQueue(call.purpose).push(call);
        return { kind: QueueOutcomeKind.Queued, call };
    }

    /** Removes and returns the call to send now, or returns undefined if none may be sent. */
    tryTake(now: core.MonotonicMilliseconds): T | undefined {
        this.refill(now);
        const purpose = now < this.pausedUntil ? undefined : this.tryGetNextPurpose();
        if (purpose === undefined) {
            return undefined;
        }
        this.totalBucket.take();
        this.getGuaranteedBucket(purpose).takeIfAny();
        return this.getQueue(purpose).shift();
    }

    /** Milliseconds until a queued call may be sent; undefined if none is queued. */
    getDelayMilliseconds(now: core.MonotonicMilliseconds): number | undefined {
        this.refill(now);
        const waiting = this.getWaitingPurposes();
        const delays = waiting.map(purpose => this.getPurposeDelayMilliseconds(purpose, 1, 1));
        return waiting.length === 0 ? undefined : Math.max(Math.min(...delays), this.pausedUntil - now, 0);
    }

    /** Removes a call from the queue; returns false if it was sent already. */
    remove(call: T): boolean {
        const queue = this.getQueue(call.purpose);
        const index = queue.indexOf(call);
        if (index >= 0) {
            queue.splice(index, 1);
        }
        return index >= 0;
    }

    /** Removes and returns every queued call, the most urgent first. */
    removeAll(): readonly T[] {
        return PurposesByUrgency.flatMap(purpose => this.getQueue(purpose).splice(0));
    }

    getQueueLength(): number {
        return PurposesByUrgency.reduce((sum, purpose) => sum + this.getQueue(purpose).length, 0);
    }

    /** Reacts to a throttled call: pauses, then continues at half the rate, which recovers within seconds. */
    slowDown(now: core.MonotonicMilliseconds, pauseMilliseconds: number): void {
        this.refill(now);
        this.rateFactor = Math.max(MinimumRateFactor, this.rateFactor / 2);
        this.rateFactorUpdatedAt = now;
        this.pausedUntil = Math.max(this.pausedUntil, now + pauseMilliseconds);
        this.totalBucket.empty();
    }

    /**
     * Limits each bucket to `phase` tokens (0 to 1) after an outage. With full buckets, all instances together would
     * send far more calls at once than the service's rate allows. The phase differs between instances and applies to the
     * guaranteed buckets, too: if all of them were emptied, they would all have a token again at the same instant.
     */
    restart(now: core.MonotonicMilliseconds, phase: number): void {
        this.refill(now);
        this.totalBucket.limitTo(phase);
        this.guaranteedBuckets.forEach(bucket => bucket.limitTo(phase));
    }

    /** Purposes with a guaranteed token come first, in order of urgency; then the others in order of urgency. */
    private tryGetNextPurpose(): types.CallPurpose | undefined {
        const waiting = this.getWaitingPurposes();
        const guaranteed = waiting.find(purpose => this.getGuaranteedBucket(purpose).hasTokens());
        if (guaranteed !== undefined) {
            return this.totalBucket.hasTokens() ? guaranteed : undefined;
        }
        return waiting.find(purpose => this.totalBucket.hasTokens(1 + this.getReservedTokens(purpose)));
    }

    private getWaitingPurposes(): readonly types.CallPurpose[] {
        return PurposesByUrgency.filter(purpose => this.getQueue(purpose).length > 0);
    }

    /** Number of tokens that a call of this purpose must leave for more urgent calls. */
    private getReservedTokens(purpose: types.CallPurpose): number {
        return this.limits[purpose].mayTakeLastToken ? 0 : 1;
    }

    private estimateWaitMilliseconds(purpose: types.CallPurpose, now: core.MonotonicMilliseconds): number {
        const urgency = PurposesByUrgency.indexOf(purpose);
        const before = PurposesByUrgency.slice(0, urgency + 1);
        const ahead = before.reduce((sum, other) => sum + this.getQueue(other).length, 0);
        const wait = this.getPurposeDelayMilliseconds(purpose, ahead + 1, this.getQueue(purpose).length + 1);
        return wait + Math.max(0, this.pausedUntil - now);
    }

    /**
     * Time until the call may be sent: as the `position`th call by urgency, or as the `ownPosition`th call of the
     * purpose's guaranteed fraction, whichever comes first.
     */
    private getPurposeDelayMilliseconds(purpose: types.CallPurpose, position: number, ownPosition: number): number {
        const byUrgency = this.totalBucket.getDelayMilliseconds(position + this.getReservedTokens(purpose));
        const byGuarantee = Math.max(
            this.getGuaranteedBucket(purpose).getDelayMilliseconds(ownPosition),
            this.totalBucket.getDelayMilliseconds(1),
        );
        return Math.min(byUrgency, byGuarantee);
    }

    private refill(now: core.MonotonicMilliseconds): void {
        const seconds = Math.max(0, now - this.rateFactorUpdatedAt) / 1_000;
        this.rateFactor = Math.min(1, this.rateFactor + seconds * RateFactorRecoveryPerSecond);
        this.rateFactorUpdatedAt = now;
        const rate = this.callsPerSecond * (1 - BurstFraction) * this.rateFactor;
        this.totalBucket.refill(now, rate, Math.max(MinimumBurstTokens, this.callsPerSecond * BurstFraction));
        for (const [purpose, bucket] of this.guaranteedBuckets) {
            bucket.refill(
                now,
                rate * this.limits[purpose].guaranteedFraction,
                Math.max(1, this.callsPerSecond * BurstFraction),
            );
        }
    }

    private getQueue(purpose: types.CallPurpose): T[] {
        return core.Debug.checkDefined(this.queues.get(purpose), purpose);
    }

    private getGuaranteedBucket(purpose: types.CallPurpose): TokenBucket {
        return core.Debug.checkDefined(this.guaranteedBuckets.get(purpose), purpose);
    }
}

/** Tolerance for rounding errors. Without it, a token that is due could count as missing and delay the call needlessly. */
const TokenEpsilon = 1e-9;

class TokenBucket {
    private tokens = 0;
    private tokensPerSecond = 1;
    private capacity = 1;

    constructor(private refilledAt: core.MonotonicMilliseconds) {}

    refill(now: core.MonotonicMilliseconds, ratePerSecond: number, capacity: number): void {
        const seconds = Math.max(0, now - this.refilledAt) / 1_000;
        this.tokensPerSecond = ratePerSecond;
        this.capacity = capacity;
        this.tokens = Math.min(this.capacity, this.tokens + seconds * ratePerSecond);
        this.refilledAt = now;
    }

    hasTokens(count = 1): boolean {
        return this.tokens >= count - TokenEpsilon;
    }

    take(): void {
        this.tokens = Math.max(0, this.tokens - 1);
    }

    takeIfAny(): void {
        if (this.hasTokens()) {
            this.take();
        }
    }

    /** Milliseconds until the bucket holds `count` tokens. */
    getDelayMilliseconds(count: number): number {
        const missing = count - this.tokens;
        return missing <= TokenEpsilon ? 0 : (missing / this.tokensPerSecond) * 1_000;
    }

    limitTo(tokens: number): void {
        this.tokens = Math.min(this.tokens, tokens);
    }

    fill(): void {
        this.tokens = this.capacity;
    }

    empty(): void {
        this.tokens = 0;
    }
}
