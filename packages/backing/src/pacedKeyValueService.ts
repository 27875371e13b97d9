import type * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as callPacer from "./callPacer.js";
import * as readSharing from "./readSharing.js";
import * as serviceHealth from "./serviceHealth.js";
import * as services from "./services.js";
import * as types from "./types.js";

/** What the fleet together may ask of the service, in calls a second. */
export interface CallBudget {
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
}

/** The platform promises "several hundred" writes and about two thousand reads; other users of it get the rest. */
export const DefaultCallBudget: CallBudget = { writesPerSecond: 300, readsPerSecond: 1_600 };

export interface PacedKeyValueOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    /** Number of live instances, this one among them; a lagging figure will do. */
    readonly getFleetSize: () => number;
    /** Part of the ledger's shards that this instance holds, 0 to 1; without it all share alike. */
    readonly getLedgerPart?: () => number;
    /** Gives numbers from 0 up to 1. */
    readonly random: () => number;
    readonly budget?: CallBudget;
    readonly limits?: callPacer.PurposeLimits;
    /** Longest time that a call may take once it has left, in milliseconds. */
    readonly timeoutMilliseconds?: number;
}

/**
 * Part of the fleet's writes that goes to the holders of the ledger's shards. With equal shares 400 instances have 0.75
 * writes a second each, and the few that hold shards would make a booking wait seconds for its commit while the budget of
 * all others lies idle. Two holders of one shard, for seconds while a duty moves, exceed the budget by that shard's share.
 */
const LedgerPartOfWrites = 0.5;

const DefaultTimeoutMilliseconds = 3_000;
const ReadAttempts = 3;
const ReadRetryMilliseconds = 50;
const DefaultPauseMilliseconds = 500;
/** Read while the service is down, to see whether it answers; the key needs no entry. */
const ProbeKey = "boragedale/probe";

interface WaitingCall extends callPacer.PacedCall {
    readonly finish: (failure: types.KeyValueFailure | undefined) => void;
}

/**
 * The one way from an instance to the key-value service. It keeps to the instance's share of the fleet's budget, lets
 * urgent purposes go first, shares identical reads, repeats reads, bounds each call's time, and fails calls at once
 * while the service is down. A call that never left is `Unavailable` or `Throttled`, so that `not run` can be said.
 */
export class PacedKeyValueService extends services.KeyValueService implements AsyncDisposable {
    private readonly health = new serviceHealth.ServiceHealth();
    private readonly sharing = new readSharing.ReadSharing();
    private readonly writes: callPacer.CallPacer<WaitingCall>;
    private readonly reads: callPacer.CallPacer<WaitingCall>;
    private readonly stopped = new AbortController();
    private isProbing = false;
    private readonly pumps = new Map<callPacer.CallPacer<WaitingCall>, () => void>();

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

    /** Whether calls fail at once because the service does not answer. */
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
        return this.inner.watch({ ...request, admit: () => this.admitWatch(request.signal) });
    }

    /** Fails what waits, at once and as not written; calls that have left end by themselves. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.stopped.abort();
        this.failQueued("the client was closed");
        this.pumps.forEach(stop => stop());
    }

    private async read<T>(
        name: string,
        purpose: types.CallPurpose,
        call: () => Promise<types.KeyValueResult<T>>,
    ): Promise<types.KeyValueResult<T>> {
        const countShared = (): void =>
            this.options.telemetry.metrics.count("boragedale_key_value_shared_reads_total", { purpose });
        return this.sharing.run(name, () => this.readRepeatedly(purpose, call), countShared);
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
            const isBudget = refused.kind === types.KeyValueFailureKind.Throttled;
            this.count(purpose, isBudget ? "RefusedByBudget" : "RefusedByOutage");
            return { ok: false, failure: refused };
        }
        const { clock, telemetry } = this.options;
        const start = clock.now();
        const result = await this.callWithTimeout(pacer === this.writes, call);
        telemetry.metrics.recordDuration("boragedale_key_value_call_seconds", { purpose }, clock.now() - start);
        this.count(purpose, result.ok ? "Answered" : result.failure.kind);
        this.noteResult(pacer, result);
        return result;
    }

    /** Resolves to undefined when the call may go, or to why it does not. */
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
            const limit = (this.options.limits ?? callPacer.DefaultPurposeLimits)[purpose].longestWaitMilliseconds;
            const stopTimer = clock.schedule(limit, () => {
                if (pacer.remove(call)) {
                    resolve(createThrottled(limit));
                }
            });
            const finish = (failure: types.KeyValueFailure | undefined): void => {
                stopTimer();
                resolve(failure);
            };
            const call: WaitingCall = { purpose, queuedAt: clock.now(), finish };
            const outcome = pacer.enqueue(call);
            if (outcome.kind === callPacer.QueueOutcomeKind.Refused) {
                finish(createThrottled(outcome.retryAfterMilliseconds));
                return;
            }
            this.pump(pacer);
        });
    }

    /** Lets go what may go now, and comes back when the next one may. */
    private pump(pacer: callPacer.CallPacer<WaitingCall>): void {
        const { clock } = this.options;
        this.pumps.get(pacer)?.();
        for (let call = pacer.tryTake(clock.now()); call !== undefined; call = pacer.tryTake(clock.now())) {
            call.finish(undefined);
        }
        const delay = pacer.getDelay(clock.now());
        if (delay !== undefined) {
            this.pumps.set(
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

    private noteResult(pacer: callPacer.CallPacer<WaitingCall>, result: types.KeyValueResult<unknown>): void {
        if (!result.ok && isUnanswered(result.failure)) {
            if (this.health.noteSilence()) {
                this.enterOutage(result.failure.text);
            }
            return;
        }
        if (!result.ok && result.failure.kind === types.KeyValueFailureKind.Throttled) {
            const pause = result.failure.retryAfterMilliseconds ?? DefaultPauseMilliseconds;
            // The pause differs between instances; else all of them would come back at the same instant.
            pacer.slowDown(this.options.clock.now(), pause * (1 + this.options.random()));
        }
        if (this.health.noteAnswer()) {
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

    /** One task that runs as long as the service is down. */
    private async probe(): Promise<void> {
        const { clock, random } = this.options;
        if (this.isProbing) {
            return;
        }
        this.isProbing = true;
        while (this.isDown() && !this.stopped.signal.aborted) {
            await clock.sleep(this.health.takeProbeDelay(random()), this.stopped.signal);
            if (this.stopped.signal.aborted || !this.isDown()) {
                break;
            }
            const purpose = types.CallPurpose.Read;
            const result = await this.callWithTimeout(false, () => this.inner.get(ProbeKey, purpose));
            this.count(purpose, result.ok ? "Answered" : result.failure.kind);
            this.noteResult(this.reads, result);
        }
        this.isProbing = false;
    }

    /** A watch has nobody to refuse: it waits for its turn, through an outage too, until it is aborted. */
    private async admitWatch(signal: AbortSignal): Promise<void> {
        const purpose = types.CallPurpose.Watch;
        while (!signal.aborted && !this.stopped.signal.aborted) {
            const refused = await this.waitForTurn(this.reads, purpose);
            if (refused === undefined) {
                this.count(purpose, "Answered");
                return;
            }
            const wait = (refused.retryAfterMilliseconds ?? DefaultPauseMilliseconds) * (1 + this.options.random());
            await this.options.clock.sleep(wait, AbortSignal.any([signal, this.stopped.signal]));
        }
    }

    private failQueued(text: string): void {
        const failure = this.createDownFailure(text);
        for (const call of [...this.writes.removeAll(), ...this.reads.removeAll()]) {
            call.finish(failure);
        }
    }

    private createDownFailure(text: string): types.KeyValueFailure {
        const retryAfterMilliseconds = this.health.getRetryAfter();
        return { kind: types.KeyValueFailureKind.Unavailable, text, retryAfterMilliseconds };
    }

    private updateShares(): void {
        const now = this.options.clock.now();
        const share = this.getShare();
        this.writes.setShare(share.writesPerSecond, now);
        this.reads.setShare(share.readsPerSecond, now);
    }

    private getShare(): CallBudget {
        const budget = this.options.budget ?? DefaultCallBudget;
        const fleetSize = Math.max(1, this.options.getFleetSize());
        const ledgerPart = this.options.getLedgerPart?.();
        const ledgerWrites = ledgerPart === undefined ? 0 : budget.writesPerSecond * LedgerPartOfWrites;
        const commonWrites = budget.writesPerSecond - ledgerWrites;
        return {
            writesPerSecond: commonWrites / fleetSize + ledgerWrites * (ledgerPart ?? 0),
            readsPerSecond: budget.readsPerSecond / fleetSize,
        };
    }

    private count(purpose: types.CallPurpose, result: string): void {
        this.options.telemetry.metrics.count("boragedale_key_value_calls_total", { purpose, result });
    }
}

/** Whether the service gave no answer at all; one that refuses a call as it stands is up. */
function isUnanswered(failure: types.KeyValueFailure): boolean {
    return failure.kind !== types.KeyValueFailureKind.Throttled && failure.isAnswer !== true;
}

function createThrottled(retryAfterMilliseconds: number): types.KeyValueFailure {
    const text = "not sent: this instance's share of the call budget is used up";
    return { kind: types.KeyValueFailureKind.Throttled, text, retryAfterMilliseconds };
}
