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

/** What one purpose may count on. */
export interface PurposeLimit {
    /** Part of the rate, 0 to 1, that more urgent purposes can't take away. All parts together stay under 1. */
    readonly guaranteedPart: number;
    /** Longest wait in the queue, in milliseconds; a call that would wait longer is refused at once. */
    readonly longestWaitMilliseconds: number;
    /** Whether calls may take the last token; others leave it, except for their guaranteed part. */
    readonly mayTakeLastToken: boolean;
}

export type PurposeLimits = Readonly<Record<types.CallPurpose, PurposeLimit>>;

/**
 * Urgency alone would starve leases while the ledger is busy, and the instance would lose its leases just when it has
 * most to do; so each purpose keeps a part of its own. The waits follow who waits: a caller behind `Ledger` and
 * `Note`, engines with work in hand behind the rest. For the same reason these two alone may take the last token: in
 * a large fleet a token comes every second or two, and a backlog of checkpoints that took each one as it came would
 * keep every booking waiting for the next.
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

function createLimit(guaranteedPart: number, longestWaitMilliseconds: number, mayTakeLastToken = false): PurposeLimit {
    return { guaranteedPart, longestWaitMilliseconds, mayTakeLastToken };
}

/** A call that waits for its turn. */
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

/** Part of the share that a burst may take at once; the steady rate is the rest, so that one second never exceeds it. */
const BurstPart = 0.2;
/** One token to leave for urgent calls, and one for the call that leaves it. */
const SmallestBurst = 2;
const SlowestFactor = 0.1;
const FactorRecoveryPerSecond = 0.1;

/**
 * Decides which call to the key-value service goes next, and when.
 *
 * Load: a fleet whose wishes together exceed the service's rate, and a service that comes back after an outage with
 * every instance's backlog waiting. Harm prevented: the service refuses everyone's calls once its rate is exceeded,
 * the ledger's among them. Limits: the instance takes its share of the fleet's budget. In any second a share of at
 * least 10 calls is kept exactly, since burst and steady rate add up to it; a smaller one may exceed it by less than
 * two calls, which the service would notice only if all instances did so in the same second.
 */
export class CallPacer<T extends PacedCall> {
    private readonly queues = new Map<types.CallPurpose, T[]>(PurposesByUrgency.map(purpose => [purpose, []]));
    private readonly guaranteed: Map<types.CallPurpose, TokenBucket>;
    private readonly total: TokenBucket;
    private share: number;
    /** Lowered when the service throttles us: the fleet size is a lagging figure, so the share may be too large. */
    private factor = 1;
    private factorChangedAt = 0;
    private pausedUntil = 0;

    /** `share` is this instance's part of the budget, in calls a second. */
    constructor(
        share: number,
        private readonly limits: PurposeLimits,
        now: core.MonotonicMilliseconds,
    ) {
        this.share = share;
        this.total = new TokenBucket(now);
        this.guaranteed = new Map(PurposesByUrgency.map(purpose => [purpose, new TokenBucket(now)]));
        this.refill(now);
        this.total.fill();
    }

    /** Changes the share, as instances come and go. */
    setShare(share: number, now: core.MonotonicMilliseconds): void {
        this.refill(now);
        this.share = share;
        this.refill(now);
    }

    /** Queues a call, or refuses it at once where its turn would come too late. */
    enqueue(call: T): QueueOutcome<T> {
        const now = call.queuedAt;
        this.refill(now);
        const wait = this.estimateWait(call.purpose, now);
        const longest = this.limits[call.purpose].longestWaitMilliseconds;
        if (wait > longest) {
            return { kind: QueueOutcomeKind.Refused, retryAfterMilliseconds: Math.ceil(wait - longest) };
        }
        this.getQueue(call.purpose).push(call);
        return { kind: QueueOutcomeKind.Queued, call };
    }

    /** Takes the call that goes now, or undefined where none may. */
    tryTake(now: core.MonotonicMilliseconds): T | undefined {
        this.refill(now);
        const purpose = now < this.pausedUntil ? undefined : this.tryGetNextPurpose();
        if (purpose === undefined) {
            return undefined;
        }
        this.total.take();
        this.getGuaranteed(purpose).takeIfAny();
        return this.getQueue(purpose).shift();
    }

    /** Milliseconds until a queued call may go; undefined where none is queued. */
    getDelay(now: core.MonotonicMilliseconds): number | undefined {
        this.refill(now);
        const waiting = this.getWaitingPurposes();
        const delays = waiting.map(purpose => this.getPurposeDelay(purpose, 1, 1));
        return waiting.length === 0 ? undefined : Math.max(Math.min(...delays), this.pausedUntil - now, 0);
    }

    /** Takes a call out that was given up on; false where it had gone already. */
    remove(call: T): boolean {
        const queue = this.getQueue(call.purpose);
        const index = queue.indexOf(call);
        if (index >= 0) {
            queue.splice(index, 1);
        }
        return index >= 0;
    }

    /** Takes every queued call out, the most urgent first. */
    removeAll(): readonly T[] {
        return PurposesByUrgency.flatMap(purpose => this.getQueue(purpose).splice(0));
    }

    getQueueLength(): number {
        return PurposesByUrgency.reduce((sum, purpose) => sum + this.getQueue(purpose).length, 0);
    }

    /** The service throttled a call: pause, then go on at half the rate and come back to it within seconds. */
    slowDown(now: core.MonotonicMilliseconds, pauseMilliseconds: number): void {
        this.refill(now);
        this.factor = Math.max(SlowestFactor, this.factor / 2);
        this.factorChangedAt = now;
        this.pausedUntil = Math.max(this.pausedUntil, now + pauseMilliseconds);
        this.total.empty();
    }

    /**
     * Starts over after an outage with less than one token, at a `phase` (0 to 1) of its own: full buckets on all
     * instances would spend together, in one instant, far more than the service's rate. The guaranteed parts get the
     * phase too: emptied, they would all be full again at the same later instant.
     */
    restart(now: core.MonotonicMilliseconds, phase: number): void {
        this.refill(now);
        this.total.limitTo(phase);
        this.guaranteed.forEach(bucket => bucket.limitTo(phase));
    }

    /** Purposes with a guaranteed token go first, by urgency; what is left goes by urgency alone. */
    private tryGetNextPurpose(): types.CallPurpose | undefined {
        const waiting = this.getWaitingPurposes();
        const guaranteed = waiting.find(purpose => this.getGuaranteed(purpose).hasToken());
        if (guaranteed !== undefined) {
            return this.total.hasToken() ? guaranteed : undefined;
        }
        return waiting.find(purpose => this.total.hasToken(1 + this.getLeftTokens(purpose)));
    }

    private getWaitingPurposes(): readonly types.CallPurpose[] {
        return PurposesByUrgency.filter(purpose => this.getQueue(purpose).length > 0);
    }

    /** Tokens that a call of this purpose leaves to more urgent ones. */
    private getLeftTokens(purpose: types.CallPurpose): number {
        return this.limits[purpose].mayTakeLastToken ? 0 : 1;
    }

    private estimateWait(purpose: types.CallPurpose, now: core.MonotonicMilliseconds): number {
        const urgency = PurposesByUrgency.indexOf(purpose);
        const before = PurposesByUrgency.slice(0, urgency + 1);
        const ahead = before.reduce((sum, other) => sum + this.getQueue(other).length, 0);
        const wait = this.getPurposeDelay(purpose, ahead + 1, this.getQueue(purpose).length + 1);
        return wait + Math.max(0, this.pausedUntil - now);
    }

    /** Until the `position`th call from now by urgency, or the `ownPosition`th of the purpose's guaranteed part. */
    private getPurposeDelay(purpose: types.CallPurpose, position: number, ownPosition: number): number {
        const byUrgency = this.total.getDelay(position + this.getLeftTokens(purpose));
        const byGuarantee = Math.max(this.getGuaranteed(purpose).getDelay(ownPosition), this.total.getDelay(1));
        return Math.min(byUrgency, byGuarantee);
    }

    private refill(now: core.MonotonicMilliseconds): void {
        const seconds = Math.max(0, now - this.factorChangedAt) / 1_000;
        this.factor = Math.min(1, this.factor + seconds * FactorRecoveryPerSecond);
        this.factorChangedAt = now;
        const rate = this.share * (1 - BurstPart) * this.factor;
        this.total.refill(now, rate, Math.max(SmallestBurst, this.share * BurstPart));
        for (const [purpose, bucket] of this.guaranteed) {
            bucket.refill(now, rate * this.limits[purpose].guaranteedPart, Math.max(1, this.share * BurstPart));
        }
    }

    private getQueue(purpose: types.CallPurpose): T[] {
        return core.Debug.checkDefined(this.queues.get(purpose), purpose);
    }

    private getGuaranteed(purpose: types.CallPurpose): TokenBucket {
        return core.Debug.checkDefined(this.guaranteed.get(purpose), purpose);
    }
}

/** Rounding must not make a token that is due count as missing, or the pacer would wait for nothing. */
const Epsilon = 1e-9;

class TokenBucket {
    private tokens = 0;
    private rate = 1;
    private capacity = 1;

    constructor(private refilledAt: core.MonotonicMilliseconds) {}

    refill(now: core.MonotonicMilliseconds, ratePerSecond: number, capacity: number): void {
        const seconds = Math.max(0, now - this.refilledAt) / 1_000;
        this.rate = ratePerSecond;
        this.capacity = capacity;
        this.tokens = Math.min(this.capacity, this.tokens + seconds * ratePerSecond);
        this.refilledAt = now;
    }

    hasToken(count = 1): boolean {
        return this.tokens >= count - Epsilon;
    }

    take(): void {
        this.tokens = Math.max(0, this.tokens - 1);
    }

    takeIfAny(): void {
        if (this.hasToken()) {
            this.take();
        }
    }

    /** Milliseconds until `count` tokens have come. */
    getDelay(count: number): number {
        const missing = count - this.tokens;
        return missing <= Epsilon ? 0 : (missing / this.rate) * 1_000;
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
