import type * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as callPacer from "./callPacer.js";
import * as readCoalescer from "./readSharing.js";
import * as serviceHealth from "./serviceHealth.js";
import * as services from "./services.js";
import * as types from "./types.js";

/** Calls a second that all instances of the fleet together may send to the service. */
export interface CallBudget {
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
}

/** The platform guarantees "several hundred" writes and about two thousand reads; the rest is for its other users. */
export const DefaultCallBudget: CallBudget = { writesPerSecond: 300, readsPerSecond: 1_600 };

export interface PacedKeyValueOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    /** Number of live instances, including this one; it may be out of date by seconds. */
    readonly getFleetSize: () => number;
    /** Fraction of the ledger's shards that this instance holds, 0 to 1. If absent, all instances get equal shares. */
    readonly getLedgerPart?: () => number;
    /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
    readonly random: () => number;
    readonly budget?: CallBudget;
    readonly limits?: callPacer.PurposeLimits;
    /** Timeout of a call, from the moment when it is sent. */
    readonly timeoutMilliseconds?: number;
}

/**
 * Fraction of the fleet's write budget that is reserved for the holders of ledger shards. With equal shares, each of 400
 * instances has 0.75 writes a second; a ledger write at one of the few shard holders would wait seconds while the budget
 * of all other instances is unused. While a shard moves, two instances may hold it for seconds; the fleet then exceeds
 * its budget by that shard's share.
 */
const LedgerWriteFraction = 0.5;

const DefaultTimeoutMilliseconds = 3_000;
const ReadAttempts = 3;
const ReadRetryMilliseconds = 50;
const DefaultThrottlePauseMilliseconds = 500;
/** Key that is read to check whether the service answers again after an outage; it needs no entry. */
const ProbeKey = "boragedale/probe";

interface WaitingCall extends callPacer.PacedCall {
    readonly settle: (failure: types.KeyValueFailure | undefined) => void;
}

/**
 * The client through which an instance makes all its calls to the key-value service. It keeps to the instance's share of
 * the fleet's budget, sends urgent purposes first, coalesces identical reads, retries reads, limits the time of each
 * call, and fails calls immediately while the service is down. A call that was never sent fails as `Unavailable` or
 * `Throttled`, so that the caller can be told that its request did not run.
 */
export class PacedKeyValueService extends services.KeyValueService implements AsyncDisposable {
    private readonly health = new serviceHealth.ServiceHealth();
    private readonly coalescer = new readCoalescer.ReadCoalescer();
    private readonly writes: callPacer.CallPacer<WaitingCall>;
    private readonly reads: callPacer.CallPacer<WaitingCall>;
    private readonly stopped = new AbortController();
    private isProbing = false;
    private readonly pumpTimers = new Map<callPacer.CallPacer<WaitingCall>, () => void>();

    constructor(
        private readonly inner: services.KeyValueService,
        private readonly options: PacedKeyValueOptions,
    ) {
        super();
        const limits = options.limits ?? callPacer.DefaultPurposeLimits;
        const now = options.clock.now();
        this.writes = new callPacer.CallPacer(this.getShare().writesPerSecond, limits, now);
        this.reads = new callPacer.CallPacer(this.getShare().readsPerSecond, limits, now);
        const { metrics } = options.telemetry;
        metrics.observeGauge("boragedale_key_value_queue", { kind: "write" }, () => this.writes.getQueueLength());
        metrics.observeGauge("boragedale_key_value_queue", { kind: "read" }, () => this.reads.getQueueLength());
        metrics.observeGauge("boragedale_key_value_up", {}, () => (this.isDown() ? 0 : 1));
    }

    /** Whether calls fail immediately because the service doesn't answer. */
    isDown(): boolean {
        return this.health.getState() === serviceHealth.HealthState.Down;
    }

    override async get(
        key: string,
        purpose: types.CallPurpose,
    ): Promise<types.KeyValueResult<types.Entry | undefined>> {
        return this.read(`get ${key}`, purpose, () => this.inner.get(key, purpose));
    }

    override async list(request: types.ListRequest): Promise<types.KeyValueResult<readonly types.Entry[]>> {
        const name = `list ${JSON.stringify([request.prefix, request.after, request.limit])}`;
        return this.read(name, request.purpose, () => this.inner.list(request));
    }

    override async compareAndSwap(request: types.SwapRequest): Promise<types.KeyValueResult<types.SwapOutcome>> {
        return this.write(request.purpose, () => this.inner.compareAndSwap(request));
    }

    override async grantLease(milliseconds: number): Promise<types.KeyValueResult<types.LeaseId>> {
        return this.write(types.CallPurpose.Lease, () => this.inner.grantLease(milliseconds));
    }

    override async keepLeaseAlive(lease: types.LeaseId): Promise<types.KeyValueResult<boolean>> {
        return this.write(types.CallPurpose.Lease, () => this.inner.keepLeaseAlive(lease));
    }

    override async revokeLease(lease: types.LeaseId): Promise<types.KeyValueResult<void>> {
        return this.write(types.CallPurpose.Lease, () => this.inner.revokeLease(lease));
    }

    override watch(request: types.WatchRequest): AsyncIterable<types.WatchEvent> {
        return this.inner.watch({ ...request, beforeConnect: () => this.admitWatch(request.signal) });
    }

    /** Fails queued calls immediately, as not written. Calls that were sent already run to their end. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.stopped.abort();
        this.failQueued("the client was closed");
        this.pumpTimers.forEach(stop => stop());
    }

    private async read<T>(
        name: string,
        purpose: types.CallPurpose,
        call: () => Promise<types.KeyValueResult<T>>,
    ): Promise<types.KeyValueResult<T>> {
        const countShared = (): void =>
            this.options.telemetry.metrics.count("boragedale_key_value_shared_reads_total", { purpose });
        return this.coalescer.run(name, () => this.readRepeatedly(purpose, call), countShared);
    }

    private async readRepeatedly<T>(
        purpose: types.CallPurpose,
        call: () => Promise<types.KeyValueResult<T>>,
    ): Promise<types.KeyValueResult<T>> {
        for (let attempt = 1; ; attempt++) {
            const result = await this.callOnce(this.reads, purpose, call);
            const isRepeated = !result.ok && isUnanswered(result.failure) && !this.isDown();
            if (!isRepeated || attempt === ReadAttempts || this.stopped.signal.aborted) {
                return result;
            }
            const wait = ReadRetryMilliseconds * 2 ** attempt * (0.5 + this.options.random());
            await this.options.clock.sleep(wait, this.stopped.signal);
        }
    }

    private async write<T>(
        purpose: types.CallPurpose,
        call: () => Promise<types.KeyValueResult<T>>,
    ): Promise<types.KeyValueResult<T>> {
        return this.callOnce(this.writes, purpose, call);
    }

    private async callOnce<T>(
        pacer: callPacer.CallPacer<WaitingCall>,
        purpose: types.CallPurpose,
        call: () => Promise<types.KeyValueResult<T>>,
    ): Promise<types.KeyValueResult<T>> {
        const refused = await this.waitForTurn(pacer, purpose);
        if (refused !== undefined) {
            const isOverBudget = refused.kind === types.KeyValueFailureKind.Throttled;
            this.countCall(purpose, isOverBudget ? "RefusedByBudget" : "RefusedByOutage");
            return { ok: false, failure: refused };
        }
        const { clock, telemetry } = this.options;
        const start = clock.now();
        const result = await this.callWithTimeout(pacer === this.writes, call);
        telemetry.metrics.recordDuration("boragedale_key_value_call_seconds", { purpose }, clock.now() - start);
        this.countCall(purpose, result.ok ? "Answered" : result.failure.kind);
        this.recordResult(pacer, result);
        return result;
    }

    /** Resolves to undefined when the call may be sent, or to the reason why it may not. */
    private waitForTurn(
        pacer: callPacer.CallPacer<WaitingCall>,
        purpose: types.CallPurpose,
    ): Promise<types.KeyValueFailure | undefined> {
        const { clock } = this.options;
        if (this.stopped.signal.aborted || this.isDown()) {
            return Promise.resolve(this.createDownFailure("the key-value service does not answer"));
        }
        this.updateShares();
        return new Promise(resolve => {
            const limit = (this.options.limits ?? callPacer.DefaultPurposeLimits)[purpose].maximumWaitMilliseconds;
            const stopTimer = clock.schedule(limit, () => {
                if (pacer.remove(call)) {
                    resolve(createThrottledFailure(limit));
                }
            });
            const settle = (failure: types.KeyValueFailure | undefined): void => {
                stopTimer();
                resolve(failure);
            };
            const call: WaitingCall = { purpose, queuedAt: clock.now(), settle };
            const outcome = pacer.enqueue(call);
            if (outcome.kind === callPacer.QueueOutcomeKind.Refused) {
                settle(createThrottledFailure(outcome.retryAfterMilliseconds));
                return;
            }
            this.pump(pacer);
        });
    }

    /** Sends the queued calls that may be sent now, and schedules itself for the next one. */
    private pump(pacer: callPacer.CallPacer<WaitingCall>): void {
        const { clock } = this.options;
        this.pumpTimers.get(pacer)?.();
        for (let call = pacer.tryTake(clock.now()); call !== undefined; call = pacer.tryTake(clock.now())) {
            call.settle(undefined);
        }
        const delay = pacer.getDelayMilliseconds(clock.now());
        if (delay !== undefined) {
            this.pumpTimers.set(
                pacer,
                clock.schedule(Math.max(1, delay), () => this.pump(pacer)),
            );
        }
    }

    private async callWithTimeout<T>(
        isWrite: boolean,
        call: () => Promise<types.KeyValueResult<T>>,
    ): Promise<types.KeyValueResult<T>> {
        const kind = isWrite ? types.KeyValueFailureKind.ReplyLost : types.KeyValueFailureKind.Unavailable;
        const milliseconds = this.options.timeoutMilliseconds ?? DefaultTimeoutMilliseconds;
        return new Promise((resolve, reject) => {
            const stopTimer = this.options.clock.schedule(milliseconds, () =>
                resolve({ ok: false, failure: { kind, text: `no answer within ${milliseconds} ms` } }),
            );
            call().then(resolve, reject).finally(stopTimer);
        });
    }

    private recordResult(pacer: callPacer.CallPacer<WaitingCall>, result: types.KeyValueResult<unknown>): void {
        if (!result.ok && isUnanswered(result.failure)) {
            if (this.health.recordMissingAnswer()) {
                this.enterOutage(result.failure.text);
            }
            return;
        }
        if (!result.ok && result.failure.kind === types.KeyValueFailureKind.Throttled) {
            const pause = result.failure.retryAfterMilliseconds ?? DefaultThrottlePauseMilliseconds;
            // The pause is randomized so that the instances don't all resume at the same instant.
            pacer.slowDown(this.options.clock.now(), pause * (1 + this.options.random()));
        }
        if (this.health.recordAnswer()) {
            this.leaveOutage();
        }
    }

    private enterOutage(text: string): void {
        this.options.telemetry.record(telemetry.events.KeyValueDown, { text });
        this.failQueued("the key-value service does not answer");
        void this.probe();
    }

    private leaveOutage(): void {
        const { clock, random } = this.options;
        this.options.telemetry.record(telemetry.events.KeyValueRestored);
        this.writes.restart(clock.now(), random());
        this.reads.restart(clock.now(), random());
    }

    /** Probes the service until it is up again. At most one such task runs at a time. */
    private async probe(): Promise<void> {
        const { clock, random } = this.options;
        if (this.isProbing) {
            return;
        }
        this.isProbing = true;
        while (this.isDown() && !this.stopped.signal.aborted) {
            await clock.sleep(this.health.advanceProbeDelay(random()), this.stopped.signal);
            if (this.stopped.signal.aborted || !this.isDown()) {
                break;
            }
            const purpose = types.CallPurpose.Read;
            const result = await this.callWithTimeout(false, () => this.inner.get(ProbeKey, purpose));
            this.countCall(purpose, result.ok ? "Answered" : result.failure.kind);
            this.recordResult(this.reads, result);
        }
        this.isProbing = false;
    }

    /** Waits until a watch may connect. Nobody could handle a refusal, so it waits through outages, too, until aborted. */
    private async admitWatch(signal: AbortSignal): Promise<void> {
        const purpose = types.CallPurpose.Watch;
        while (!signal.aborted && !this.stopped.signal.aborted) {
            const refused = await this.waitForTurn(this.reads, purpose);
            if (refused === undefined) {
                this.countCall(purpose, "Answered");
                return;
            }
            const wait =
                (refused.retryAfterMilliseconds ?? DefaultThrottlePauseMilliseconds) * (1 + this.options.random());
            await this.options.clock.sleep(wait, AbortSignal.any([signal, this.stopped.signal]));
        }
    }

    private failQueued(text: string): void {
        const failure = this.createDownFailure(text);
        for (const call of [...this.writes.removeAll(), ...this.reads.removeAll()]) {
            call.settle(failure);
        }
    }

    private createDownFailure(text: string): types.KeyValueFailure {
        const retryAfterMilliseconds = this.health.getRetryAfterMilliseconds();
        return { kind: types.KeyValueFailureKind.Unavailable, text, retryAfterMilliseconds };
    }

    private updateShares(): void {
        const now = this.options.clock.now();
        const share = this.getShare();
        this.writes.setCallsPerSecond(share.writesPerSecond, now);
        this.reads.setCallsPerSecond(share.readsPerSecond, now);
    }

    private getShare(): CallBudget {
        const budget = this.options.budget ?? DefaultCallBudget;
        const fleetSize = Math.max(1, this.options.getFleetSize());
        const ledgerShardFraction = this.options.getLedgerPart?.();
        const ledgerWrites = ledgerShardFraction === undefined ? 0 : budget.writesPerSecond * LedgerWriteFraction;
        const commonWrites = budget.writesPerSecond - ledgerWrites;
        return {
            writesPerSecond: commonWrites / fleetSize + ledgerWrites * (ledgerShardFraction ?? 0),
            readsPerSecond: budget.readsPerSecond / fleetSize,
        };
    }

    private countCall(purpose: types.CallPurpose, result: string): void {
        this.options.telemetry.metrics.count("boragedale_key_value_calls_total", { purpose, result });
    }
}

/** Whether the service gave no answer at all. A service that refuses a particular call is up. */
function isUnanswered(failure: types.KeyValueFailure): boolean {
    return failure.kind !== types.KeyValueFailureKind.Throttled && failure.isAnswer !== true;
}

function createThrottledFailure(retryAfterMilliseconds: number): types.KeyValueFailure {
    const text = "not sent: this instance's share of the call budget is used up";
    return { kind: types.KeyValueFailureKind.Throttled, text, retryAfterMilliseconds };
}
