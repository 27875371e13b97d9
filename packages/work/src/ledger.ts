import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import type * as backing from "@boragedale/backing";
import type * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import * as files from "./files.js";
import * as ledgerReplies from "./ledgerReplies.js";
import * as ledgerRouter from "./ledgerRouter.js";
import * as ledgerShard from "./ledgerShard.js";
import * as requests from "./ledgerRequests.js";
import * as resultBodies from "./resultBodies.js";
import * as resultSpool from "./resultSpool.js";
import * as services from "./services.js";
import * as types from "./types.js";

export interface ShardedCallLedgerOptions {
    readonly keyValue: backing.KeyValueService;
    readonly peers: protocol.PeerNetwork;
    readonly membership: protocol.Membership;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly instance: core.InstanceId;
    /** Number of shards in the whole fleet; must be the same on every instance. */
    readonly shards?: number;
    /** Maximum rate of commits of the whole fleet's ledger. */
    readonly commitsPerSecond?: number;
    /** How long calls stay readable, from the release note in effect. */
    readonly getRetentionMilliseconds?: () => number;
    /** The instance's disk, if it has one: stores results until the key-value service accepts them. */
    readonly spool?: resultSpool.SpoolFiles;
    /** Returns an id that is unique across processes; tests pass a counter. */
    readonly createId?: () => string;
}

export const DefaultLedgerShards = 4;
export const DefaultLedgerCommitsPerSecond = 160;

const DefaultRetentionMilliseconds = 7 * 86_400_000;
const RemovalIntervalMilliseconds = 60_000;
/** A `begin` or `takeOver` that takes longer than this is abandoned, and its start is reported as never sent. */
const BeginTimeoutMilliseconds = 4_000;
/**
 * A call may be sent only within this time after its start. Otherwise a process that resumes after a pause could send a
 * call that another instance has taken over and, after the service reported "did not run", sent itself. Instances are
 * removed from the fleet only after they were silent for longer than this.
 */
const SendWindowMilliseconds = 5_000;
/** Callers are told within this time that the outcome is unknown, whether or not that is recorded. */
const MarkTimeoutMilliseconds = 1_000;
const InitialRetryMilliseconds = 100;
const MaximumRetryMilliseconds = 2_000;

export function createShardedCallLedger(options: ShardedCallLedgerOptions): ShardedCallLedger {
    return new ShardedCallLedger(options);
}

/**
 * The ledger of the whole fleet. Requests are routed to the holder of the call's shard, which commits many of them in
 * one write. Otherwise each call would cost two writes, and the key-value service accepts several hundred a second.
 */
export class ShardedCallLedger extends services.CallLedger {
    private readonly shards: readonly ledgerShard.LedgerShard[];
    private readonly router: ledgerRouter.LedgerRouter;
    private readonly bodies: resultBodies.ResultBodies;
    /** Identifies this process. A start made by an earlier process of the same instance may have been sent. */
    private readonly processId: string;
    private nextStartNumber = 0;
    /**
     * When this process made each start that may be sent, by start id. An entry is added before the start is requested
     * and removed once the start is abandoned or its outcome is recorded.
     */
    private readonly activeStarts = new Map<string, core.MonotonicMilliseconds>();
    private readonly recordings = new Set<Promise<void>>();
    private readonly stopping = new AbortController();
    private readonly spool: resultSpool.ResultSpool | undefined;
    private readonly tasks: readonly Promise<void>[];

    constructor(private readonly options: ShardedCallLedgerOptions) {
        super();
        const { createId = crypto.randomUUID, shards = DefaultLedgerShards, membership } = options;
        this.processId = createId();
        const commitsPerSecond = (options.commitsPerSecond ?? DefaultLedgerCommitsPerSecond) / shards;
        const isRemoved = (instance: core.InstanceId): boolean => membership.isRemoved(instance);
        const shared = { ...options, commitsPerSecond, createId, isRemoved };
        this.shards = [...Array(shards).keys()].map(shard => new ledgerShard.LedgerShard({ ...shared, shard }));
        this.router = new ledgerRouter.LedgerRouter({
            ...options,
            shards: this.shards,
            getRunState: startId => this.getRunState(startId),
        });
        this.bodies = new resultBodies.ResultBodies(new files.ContentStore(options));
        this.spool = options.spool === undefined ? undefined : new resultSpool.ResultSpool(options.spool);
        this.tasks = [this.removeExpiredWhileRunning(), this.replaySpool()];
    }

    override async begin(call: types.CallRequest): Promise<types.BeginOutcome> {
        const outcome = await this.tryBegin(call, undefined);
        switch (outcome.kind) {
            case types.BeginKind.InFlight:
                return this.resolveInFlight(call, outcome);
            case types.BeginKind.Finished: {
                const result = await this.bodies.load(outcome.result);
                return result === undefined ? ledgerReplies.createBodyUnreadable() : { ...outcome, result };
            }
            default:
                return outcome;
        }
    }

    override isSendAllowed(record: types.CallRecord): boolean {
        const startedAt = this.activeStarts.get(record.startId ?? "");
        return startedAt !== undefined && this.options.clock.now() - startedAt < SendWindowMilliseconds;
    }

    override async finish(
        record: types.CallRecord,
        result: types.CallResult,
        timeoutMilliseconds: number,
    ): Promise<boolean> {
        let isRecorded = false;
        const recording = this.recordUntilAccepted(record, result).then(wasRecorded => {
            isRecorded = wasRecorded;
        });
        await this.withTimeout(this.trackRecording(recording), timeoutMilliseconds);
        if (!isRecorded && this.spool !== undefined) {
            await this.spoolUntilRecorded(
                this.spool,
                { record: omitResult(record), result },
                recording,
                () => isRecorded,
            );
        }
        return isRecorded;
    }

    override async release(record: types.CallRecord): Promise<void> {
        // If the request below is lost, instances that find the record query this process, which reports "never sent".
        this.removeStart(record);
        const request: requests.LedgerRequest = {
            kind: requests.LedgerRequestKind.Release,
            record: omitResult(record),
        };
        await this.router.route(record, request);
    }

    override async takeOver(record: types.CallRecord): Promise<types.CallRecord | undefined> {
        const { instance } = this.options;
        const startId = this.createStart();
        const kind = requests.LedgerRequestKind.TakeOver;
        const pendingReply = this.router.route(record, { kind, record: omitResult(record), instance, startId });
        const reply = await this.withTimeout(pendingReply, BeginTimeoutMilliseconds);
        if (reply?.kind === requests.LedgerReplyKind.Recorded && reply.record?.startId === startId) {
            return reply.record;
        }
        this.activeStarts.delete(startId);
        return undefined;
    }

    override async markOutcomeUnknown(record: types.CallRecord): Promise<void> {
        const eventFields = { request: record.key, caller: record.caller, text: record.service };
        this.options.telemetry.record(telemetry.events.CallOutcomeUnknown, eventFields);
        const kind = requests.LedgerRequestKind.MarkUnknown;
        const marking = this.routeUntilAnswered(record, { kind, record: omitResult(record) }).then(reply => {
            if (reply !== undefined) {
                this.removeStart(record);
            }
        });
        await this.withTimeout(this.trackRecording(marking), MarkTimeoutMilliseconds);
    }

    override async read(identity: types.CallIdentity): Promise<core.Outcome<types.CallRecord | undefined>> {
        const request: requests.LedgerRequest = {
            kind: requests.LedgerRequestKind.Read,
            identity: toIdentity(identity),
        };
        const reply = await this.router.route(identity, request);
        if (reply.kind !== requests.LedgerReplyKind.Found) {
            return core.createFailure(ledgerReplies.createUnavailable());
        }
        if (reply.record === undefined) {
            return core.createSuccess(undefined);
        }
        const record = await this.loadBody(reply.record);
        return record === undefined
            ? core.createFailure(ledgerReplies.createUnavailable())
            : core.createSuccess(record);
    }

    override async waitForResult(
        identity: types.CallIdentity,
        signal: AbortSignal,
    ): Promise<types.CallRecord | undefined> {
        const request: requests.LedgerRequest = {
            kind: requests.LedgerRequestKind.Wait,
            identity: toIdentity(identity),
        };
        const aborted = new Promise<undefined>(resolve => {
            signal.addEventListener("abort", () => resolve(undefined), { once: true });
        });
        while (!signal.aborted) {
            const reply = await Promise.race([this.router.route(identity, request), aborted]);
            if (reply?.kind === requests.LedgerReplyKind.Found) {
                const { record } = reply;
                if (record === undefined) {
                    return undefined;
                }
                const hasEnded = record.state !== types.CallState.Started || (await this.isNoLongerRunning(record));
                const completed = hasEnded ? await this.loadBody(record) : undefined;
                if (completed !== undefined) {
                    return completed;
                }
            }
            else if (reply !== undefined) {
                await this.options.clock.sleep(InitialRetryMilliseconds, signal);
            }
        }
        return undefined;
    }

    override async listOutcomesUnknown(): Promise<core.Outcome<readonly types.CallRecord[]>> {
        return ledgerReplies.collectRecords(
            await this.router.routeToAllShards({ kind: requests.LedgerRequestKind.ListUnknown }),
        );
    }

    override async listOrphaned(): Promise<core.Outcome<readonly types.CallRecord[]>> {
        return ledgerReplies.collectRecords(
            await this.router.routeToAllShards({ kind: requests.LedgerRequestKind.ListOrphaned }),
        );
    }

    /** Waits for results that are still being recorded, up to a timeout, then stops. */
    override async [Symbol.asyncDispose](): Promise<void> {
        await this.withTimeout(Promise.all(this.recordings), BeginTimeoutMilliseconds);
        this.stopping.abort();
        await Promise.all(this.tasks);
    }

    private async tryBegin(call: types.CallRequest, neverSent: string | undefined): Promise<types.BeginOutcome> {
        const { instance, telemetry: events } = this.options;
        const startId = this.createStart();
        const kind = requests.LedgerRequestKind.Begin;
        const pendingReply = this.router.route(call, { kind, call, instance, startId, neverSent });
        const reply = await this.withTimeout(pendingReply, BeginTimeoutMilliseconds);
        const outcome = ledgerReplies.toBeginOutcome(reply);
        if (outcome.kind !== types.BeginKind.Started) {
            // Should the start be recorded after all, this process now reports it as never sent.
            this.activeStarts.delete(startId);
            return outcome;
        }
        if (!this.isSendAllowed(outcome.record)) {
            this.activeStarts.delete(startId);
            return { kind: types.BeginKind.Unavailable, text: "the start was recorded too late to be used" };
        }
        events.record(telemetry.events.CallStarted, { request: call.key, caller: call.caller });
        return outcome;
    }

    /** Queries the instance that started a call which appears to be running, since it may have abandoned the start. */
    private async resolveInFlight(
        call: types.CallRequest,
        outcome: Extract<types.BeginOutcome, { readonly kind: types.BeginKind.InFlight }>,
    ): Promise<types.BeginOutcome> {
        switch (await this.router.queryRunState(outcome.record)) {
            case requests.RunState.Running:
                return outcome;
            case requests.RunState.NeverSent:
                return this.tryBegin(call, outcome.record.startId);
            case requests.RunState.Lost:
                return { kind: types.BeginKind.Orphaned, record: outcome.record };
        }
    }

    private async recordUntilAccepted(record: types.CallRecord, result: types.CallResult): Promise<boolean> {
        const { clock, telemetry: events } = this.options;
        const name = encodeURIComponent(record.startId ?? record.key);
        let storedResult = await this.bodies.store(name, result);
        while (storedResult === undefined && !this.stopping.signal.aborted) {
            await clock.sleep(MaximumRetryMilliseconds, this.stopping.signal);
            storedResult = await this.bodies.store(name, result);
        }
        if (storedResult === undefined) {
            return false;
        }
        const kind = requests.LedgerRequestKind.Finish;
        const reply = await this.routeUntilAnswered(record, { kind, record: omitResult(record), result: storedResult });
        if (reply === undefined) {
            return false;
        }
        this.removeStart(record);
        events.record(telemetry.events.CallFinished, { request: record.key, caller: record.caller });
        return true;
    }

    private trackRecording(recording: Promise<void>): Promise<void> {
        this.recordings.add(recording);
        void recording.finally(() => this.recordings.delete(recording));
        return recording;
    }

    /** Repeats a request until a holder accepts it, however long an outage lasts. Undefined if the ledger stops. */
    private async routeUntilAnswered(
        identity: types.CallIdentity,
        request: requests.LedgerRequest,
    ): Promise<requests.LedgerReply | undefined> {
        let waitMilliseconds = InitialRetryMilliseconds;
        while (!this.stopping.signal.aborted) {
            const reply = await this.router.route(identity, request);
            if (reply.kind !== requests.LedgerReplyKind.Unavailable) {
                return reply;
            }
            await this.options.clock.sleep(waitMilliseconds, this.stopping.signal);
            waitMilliseconds = Math.min(MaximumRetryMilliseconds, waitMilliseconds * 2);
        }
        return undefined;
    }

    /** Writes a result to disk before the caller is answered, and marks it there once it is recorded in the ledger. */
    private async spoolUntilRecorded(
        spool: resultSpool.ResultSpool,
        spooled: resultSpool.SpooledResult,
        recording: Promise<void>,
        isRecorded: () => boolean,
    ): Promise<void> {
        const sequence = await spool.store(spooled);
        void recording.then(async () => {
            if (sequence !== undefined && isRecorded()) {
                await spool.markRecorded(sequence);
            }
        });
    }

    /** Records the results that earlier processes of this instance left on its disk. */
    private async replaySpool(): Promise<void> {
        await this.spool?.replay(({ record, result }) => this.recordUntilAccepted(record, result));
    }

    private async removeExpiredWhileRunning(): Promise<void> {
        const { clock, getRetentionMilliseconds } = this.options;
        const { signal } = this.stopping;
        for (await clock.sleep(RemovalIntervalMilliseconds, signal); !signal.aborted;) {
            const retention = getRetentionMilliseconds?.() ?? DefaultRetentionMilliseconds;
            for (const [shard, target] of this.shards.entries()) {
                if (this.router.holdsShard(shard)) {
                    target.removeExpired(clock.wallNow() - retention);
                }
            }
            await clock.sleep(RemovalIntervalMilliseconds, signal);
        }
    }

    private getRunState(startId: string): requests.RunState {
        if (!startId.startsWith(`${this.processId}/`)) {
            return requests.RunState.Lost;
        }
        return this.activeStarts.has(startId) ? requests.RunState.Running : requests.RunState.NeverSent;
    }

    private async isNoLongerRunning(record: types.CallRecord): Promise<boolean> {
        if (record.isOrphaned === true || this.options.membership.isRemoved(record.instance)) {
            return true;
        }
        return (await this.router.queryRunState(record)) !== requests.RunState.Running;
    }

    private createStart(): string {
        const startId = `${this.processId}/${this.nextStartNumber++}`;
        this.activeStarts.set(startId, this.options.clock.now());
        return startId;
    }

    private removeStart(record: types.CallRecord): void {
        this.activeStarts.delete(record.startId ?? "");
    }

    private async loadBody(record: types.CallRecord): Promise<types.CallRecord | undefined> {
        const result = record.result === undefined ? undefined : await this.bodies.load(record.result);
        return record.result !== undefined && result === undefined ? undefined : { ...record, result };
    }

    private async withTimeout<T>(operation: Promise<T>, milliseconds: number): Promise<T | undefined> {
        const controller = new AbortController();
        const timeout = this.options.clock.sleep(milliseconds, controller.signal).then(() => undefined);
        const result = await Promise.race([operation, timeout]);
        controller.abort();
        return result;
    }
}

function toIdentity(identity: types.CallIdentity): types.CallIdentity {
    return { caller: identity.caller, key: identity.key };
}

function omitResult(record: types.CallRecord): types.CallRecord {
    return { ...record, result: undefined };
}
