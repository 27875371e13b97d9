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
    /** Shards of the whole fleet; every instance must be given the same number. */
    readonly shards?: number;
    /** Commits that the whole fleet's ledger may make in a second. */
    readonly commitsPerSecond?: number;
    /** How long calls stay readable, from the release note in force. */
    readonly getRetentionMilliseconds?: () => number;
    /** The instance's small disk, where it has one: keeps results that wait for the key-value service. */
    readonly spool?: resultSpool.SpoolFiles;
    /** Gives names that no other process gives; tests pass a counter. */
    readonly createId?: () => string;
}

export const DefaultLedgerShards = 4;
export const DefaultLedgerCommitsPerSecond = 160;

const DefaultRetentionMilliseconds = 7 * 86_400_000;
const RemovalMilliseconds = 60_000;
/** A begin that takes longer than this is given up: nothing was sent, and its start is declared so. */
const BeginBoundMilliseconds = 4_000;
/**
 * A start is good for sending only so long. A process that was paused with a start in its hands would otherwise wake
 * after another instance had taken the call over, asked the service, heard "did not run", and sent it. Instances are
 * taken as gone only after a longer silence than this.
 */
const SendWindowMilliseconds = 5_000;
/** A caller is told that the outcome is not known after this time, whether or not that is recorded yet. */
const MarkBoundMilliseconds = 1_000;
const FirstRetryMilliseconds = 100;
const LongestRetryMilliseconds = 2_000;

export function createShardedCallLedger(options: ShardedCallLedgerOptions): ShardedCallLedger {
    return new ShardedCallLedger(options);
}

/**
 * The ledger over all instances: requests go to the holder of the call's shard, which commits many of them in one
 * write. Without that, each call would cost two writes of its own, and the service takes several hundred a second.
 */
export class ShardedCallLedger extends services.CallLedger {
    private readonly shards: readonly ledgerShard.LedgerShard[];
    private readonly router: ledgerRouter.LedgerRouter;
    private readonly bodies: resultBodies.ResultBodies;
    /** Names this process: a start by an earlier process of the same instance name may have been sent. */
    private readonly process: string;
    private nextStart = 0;
    /** Starts of this process that may be sent, from before they are asked for until their outcome is kept. */
    private readonly running = new Map<string, core.MonotonicMilliseconds>();
    private readonly recordings = new Set<Promise<void>>();
    private readonly stopping = new AbortController();
    private readonly spool: resultSpool.ResultSpool | undefined;
    private readonly tasks: readonly Promise<void>[];

    constructor(private readonly options: ShardedCallLedgerOptions) {
        super();
        const { createId = crypto.randomUUID, shards = DefaultLedgerShards, membership } = options;
        this.process = createId();
        const commitsPerSecond = (options.commitsPerSecond ?? DefaultLedgerCommitsPerSecond) / shards;
        const isGone = (instance: core.InstanceId): boolean => membership.isGone(instance);
        const shared = { ...options, commitsPerSecond, createId, isGone };
        this.shards = [...Array(shards).keys()].map(shard => new ledgerShard.LedgerShard({ ...shared, shard }));
        this.router = new ledgerRouter.LedgerRouter({
            ...options,
            shards: this.shards,
            getRunState: startId => this.getRunState(startId),
        });
        this.bodies = new resultBodies.ResultBodies(new files.FileVault(options));
        this.spool = options.spool === undefined ? undefined : new resultSpool.ResultSpool(options.spool);
        this.tasks = [this.removeOldWhileRunning(), this.recordSpooled()];
    }

    override async begin(call: types.CallRequest): Promise<types.BeginOutcome> {
        const outcome = await this.tryBegin(call, undefined);
        switch (outcome.kind) {
            case types.BeginKind.InFlight:
                return this.examineInFlight(call, outcome);
            case types.BeginKind.Finished: {
                const result = await this.bodies.moveIn(outcome.result);
                return result === undefined ? ledgerReplies.createUnreadable() : { ...outcome, result };
            }
            default:
                return outcome;
        }
    }

    override isSendAllowed(record: types.CallRecord): boolean {
        const startedAt = this.running.get(record.startId ?? "");
        return startedAt !== undefined && this.options.clock.now() - startedAt < SendWindowMilliseconds;
    }

    override async finish(
        record: types.CallRecord,
        result: types.CallResult,
        boundMilliseconds: number,
    ): Promise<boolean> {
        let isKept = false;
        const recording = this.recordUntilKept(record, result).then(kept => {
            isKept = kept;
        });
        await this.withinBound(this.keepRecording(recording), boundMilliseconds);
        if (!isKept && this.spool !== undefined) {
            await this.spoolUntilKept(this.spool, { record: toBare(record), result }, recording, () => isKept);
        }
        return isKept;
    }

    override async release(record: types.CallRecord): Promise<void> {
        // Where the request below is lost, whoever meets the record asks this process and hears "never sent".
        this.forget(record);
        const request: requests.LedgerRequest = { kind: requests.LedgerRequestKind.Release, record: toBare(record) };
        await this.router.ask(record, request);
    }

    override async takeOver(record: types.CallRecord): Promise<types.CallRecord | undefined> {
        const { instance } = this.options;
        const startId = this.addStart();
        const kind = requests.LedgerRequestKind.TakeOver;
        const asked = this.router.ask(record, { kind, record: toBare(record), instance, startId });
        const reply = await this.withinBound(asked, BeginBoundMilliseconds);
        if (reply?.kind === requests.LedgerReplyKind.Recorded && reply.record?.startId === startId) {
            return reply.record;
        }
        this.running.delete(startId);
        return undefined;
    }

    override async markOutcomeUnknown(record: types.CallRecord): Promise<void> {
        const subject = { request: record.key, caller: record.caller, text: record.service };
        this.options.telemetry.record(telemetry.events.CallOutcomeUnknown, subject);
        const kind = requests.LedgerRequestKind.MarkUnknown;
        const marking = this.askUntilAnswered(record, { kind, record: toBare(record) }).then(reply => {
            if (reply !== undefined) {
                this.forget(record);
            }
        });
        await this.withinBound(this.keepRecording(marking), MarkBoundMilliseconds);
    }

    override async read(identity: types.CallIdentity): Promise<core.Outcome<types.CallRecord | undefined>> {
        const request: requests.LedgerRequest = { kind: requests.LedgerRequestKind.Read, identity: pick(identity) };
        const reply = await this.router.ask(identity, request);
        if (reply.kind !== requests.LedgerReplyKind.Found) {
            return core.createFailure(ledgerReplies.createUnavailable());
        }
        if (reply.record === undefined) {
            return core.createSuccess(undefined);
        }
        const record = await this.complete(reply.record);
        return record === undefined
            ? core.createFailure(ledgerReplies.createUnavailable())
            : core.createSuccess(record);
    }

    override async waitForResult(
        identity: types.CallIdentity,
        signal: AbortSignal,
    ): Promise<types.CallRecord | undefined> {
        const request: requests.LedgerRequest = { kind: requests.LedgerRequestKind.Wait, identity: pick(identity) };
        const aborted = new Promise<undefined>(resolve => {
            signal.addEventListener("abort", () => resolve(undefined), { once: true });
        });
        while (!signal.aborted) {
            const reply = await Promise.race([this.router.ask(identity, request), aborted]);
            if (reply?.kind === requests.LedgerReplyKind.Found) {
                const { record } = reply;
                if (record === undefined) {
                    return undefined;
                }
                const isOver = record.state !== types.CallState.Started || (await this.hasLostRunner(record));
                const completed = isOver ? await this.complete(record) : undefined;
                if (completed !== undefined) {
                    return completed;
                }
            }
            else if (reply !== undefined) {
                await this.options.clock.sleep(FirstRetryMilliseconds, signal);
            }
        }
        return undefined;
    }

    override async listOutcomesUnknown(): Promise<core.Outcome<readonly types.CallRecord[]>> {
        return ledgerReplies.collectRecords(await this.router.askAll({ kind: requests.LedgerRequestKind.ListUnknown }));
    }

    override async listOrphaned(): Promise<core.Outcome<readonly types.CallRecord[]>> {
        return ledgerReplies.collectRecords(
            await this.router.askAll({ kind: requests.LedgerRequestKind.ListOrphaned }),
        );
    }

    /** Waits a bounded time for results that are still being recorded, then stops. */
    override async [Symbol.asyncDispose](): Promise<void> {
        await this.withinBound(Promise.all(this.recordings), BeginBoundMilliseconds);
        this.stopping.abort();
        await Promise.all(this.tasks);
    }

    private async tryBegin(call: types.CallRequest, neverSent: string | undefined): Promise<types.BeginOutcome> {
        const { instance, telemetry: events } = this.options;
        const startId = this.addStart();
        const kind = requests.LedgerRequestKind.Begin;
        const asked = this.router.ask(call, { kind, call, instance, startId, neverSent });
        const reply = await this.withinBound(asked, BeginBoundMilliseconds);
        const outcome = ledgerReplies.toBeginOutcome(reply);
        if (outcome.kind !== types.BeginKind.Started) {
            // From here on this process answers for the start that it was never sent, should it be recorded after all.
            this.running.delete(startId);
            return outcome;
        }
        if (!this.isSendAllowed(outcome.record)) {
            this.running.delete(startId);
            return { kind: types.BeginKind.Unavailable, text: "the start came too late to be used" };
        }
        events.record(telemetry.events.CallStarted, { request: call.key, caller: call.caller });
        return outcome;
    }

    /** A call that seems to run: the instance that started it is asked, since a start may have been given up there. */
    private async examineInFlight(
        call: types.CallRequest,
        outcome: Extract<types.BeginOutcome, { readonly kind: types.BeginKind.InFlight }>,
    ): Promise<types.BeginOutcome> {
        switch (await this.router.askRunState(outcome.record)) {
            case requests.RunState.Running:
                return outcome;
            case requests.RunState.NeverSent:
                return this.tryBegin(call, outcome.record.startId);
            case requests.RunState.Lost:
                return { kind: types.BeginKind.Orphaned, record: outcome.record };
        }
    }

    private async recordUntilKept(record: types.CallRecord, result: types.CallResult): Promise<boolean> {
        const { clock, telemetry: events } = this.options;
        const name = encodeURIComponent(record.startId ?? record.key);
        let kept = await this.bodies.moveOut(name, result);
        while (kept === undefined && !this.stopping.signal.aborted) {
            await clock.sleep(LongestRetryMilliseconds, this.stopping.signal);
            kept = await this.bodies.moveOut(name, result);
        }
        if (kept === undefined) {
            return false;
        }
        const kind = requests.LedgerRequestKind.Finish;
        const reply = await this.askUntilAnswered(record, { kind, record: toBare(record), result: kept });
        if (reply === undefined) {
            return false;
        }
        this.forget(record);
        events.record(telemetry.events.CallFinished, { request: record.key, caller: record.caller });
        return true;
    }

    private keepRecording(recording: Promise<void>): Promise<void> {
        this.recordings.add(recording);
        void recording.finally(() => this.recordings.delete(recording));
        return recording;
    }

    /** Asks again until a holder has answered, however long the key-value service is down; undefined when stopped. */
    private async askUntilAnswered(
        identity: types.CallIdentity,
        request: requests.LedgerRequest,
    ): Promise<requests.LedgerReply | undefined> {
        let wait = FirstRetryMilliseconds;
        while (!this.stopping.signal.aborted) {
            const reply = await this.router.ask(identity, request);
            if (reply.kind !== requests.LedgerReplyKind.Unavailable) {
                return reply;
            }
            await this.options.clock.sleep(wait, this.stopping.signal);
            wait = Math.min(LongestRetryMilliseconds, wait * 2);
        }
        return undefined;
    }

    /** Puts a result on disk before its answer goes out, and takes it away once the service has it. */
    private async spoolUntilKept(
        spool: resultSpool.ResultSpool,
        spooled: resultSpool.SpooledResult,
        recording: Promise<void>,
        isKept: () => boolean,
    ): Promise<void> {
        const sequence = await spool.keep(spooled);
        void recording.then(async () => {
            if (sequence !== undefined && isKept()) {
                await spool.markRecorded(sequence);
            }
        });
    }

    /** Records what earlier processes of this instance have left on its disk. */
    private async recordSpooled(): Promise<void> {
        await this.spool?.replay(({ record, result }) => this.recordUntilKept(record, result));
    }

    private async removeOldWhileRunning(): Promise<void> {
        const { clock, getRetentionMilliseconds } = this.options;
        const { signal } = this.stopping;
        for (await clock.sleep(RemovalMilliseconds, signal); !signal.aborted;) {
            const retention = getRetentionMilliseconds?.() ?? DefaultRetentionMilliseconds;
            for (const [shard, target] of this.shards.entries()) {
                if (this.router.holdsShard(shard)) {
                    target.removeOld(clock.wallNow() - retention);
                }
            }
            await clock.sleep(RemovalMilliseconds, signal);
        }
    }

    private getRunState(startId: string): requests.RunState {
        if (!startId.startsWith(`${this.process}/`)) {
            return requests.RunState.Lost;
        }
        return this.running.has(startId) ? requests.RunState.Running : requests.RunState.NeverSent;
    }

    private async hasLostRunner(record: types.CallRecord): Promise<boolean> {
        if (record.isOrphaned === true || this.options.membership.isGone(record.instance)) {
            return true;
        }
        return (await this.router.askRunState(record)) !== requests.RunState.Running;
    }

    private addStart(): string {
        const startId = `${this.process}/${this.nextStart++}`;
        this.running.set(startId, this.options.clock.now());
        return startId;
    }

    private forget(record: types.CallRecord): void {
        this.running.delete(record.startId ?? "");
    }

    private async complete(record: types.CallRecord): Promise<types.CallRecord | undefined> {
        const result = record.result === undefined ? undefined : await this.bodies.moveIn(record.result);
        return record.result !== undefined && result === undefined ? undefined : { ...record, result };
    }

    private async withinBound<T>(work: Promise<T>, milliseconds: number): Promise<T | undefined> {
        const controller = new AbortController();
        const timeout = this.options.clock.sleep(milliseconds, controller.signal).then(() => undefined);
        const result = await Promise.race([work, timeout]);
        controller.abort();
        return result;
    }
}

function pick(identity: types.CallIdentity): types.CallIdentity {
    return { caller: identity.caller, key: identity.key };
}

function toBare(record: types.CallRecord): types.CallRecord {
    return { ...record, result: undefined };
}
