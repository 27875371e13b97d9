import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import type * as platform from "@boragedale/platform";
import * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import * as callTable from "./callTable.js";
import * as codec from "./codec.js";
import * as ledgerShard from "./ledgerShard.js";
import * as requests from "./ledgerRequests.js";
import * as services from "./services.js";
import * as types from "./types.js";

export interface ShardedCallLedgerOptions {
    readonly keyValue: platform.KeyValueService;
    readonly peers: protocol.PeerNetwork;
    readonly membership: protocol.Membership;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly instance: core.InstanceId;
    /** Shards of the whole fleet; every instance must be given the same number. */
    readonly shards?: number;
    /** Commits that the whole fleet's ledger may make in a second. */
    readonly commitsPerSecond?: number;
    /** Gives names that no other process gives; tests pass a counter. */
    readonly createId?: () => string;
}

export const DefaultLedgerShards = 4;
export const DefaultLedgerCommitsPerSecond = 80;

/** Longer than a peer holds a `Wait`, shorter than a caller's patience. */
const PeerTimeoutMilliseconds = 3_000;
/** A begin that takes longer than this is given up: nothing was sent, and its start is declared so. */
const BeginBoundMilliseconds = 4_000;
const FirstRetryMilliseconds = 100;
const LongestRetryMilliseconds = 2_000;
/** Stand-by holders tried when a shard's holder doesn't answer; all instances try the same ones in the same order. */
const StandbyHolders = 2;

export function createShardedCallLedger(options: ShardedCallLedgerOptions): ShardedCallLedger {
    return new ShardedCallLedger(options);
}

/**
 * The ledger over all instances: requests go to the holder of the call's shard, which commits many of them in one
 * write. Without that, each call would cost two writes of its own, and the service takes several hundred a second.
 */
export class ShardedCallLedger extends services.CallLedger {
    private readonly shards: readonly ledgerShard.LedgerShard[];
    private readonly createId: () => string;
    /** Names this process: a start by an earlier process of the same instance name may have been sent. */
    private readonly process: string;
    private nextStart = 0;
    /** Starts of this process that may be sent, from before they are asked for until their outcome is kept. */
    private readonly running = new Set<string>();
    private readonly recordings = new Set<Promise<void>>();
    private readonly stopping = new AbortController();

    constructor(private readonly options: ShardedCallLedgerOptions) {
        super();
        this.createId = options.createId ?? crypto.randomUUID;
        this.process = this.createId();
        const shards = options.shards ?? DefaultLedgerShards;
        const commitsPerSecond = (options.commitsPerSecond ?? DefaultLedgerCommitsPerSecond) / shards;
        const isGone = (instance: core.InstanceId): boolean => options.membership.isGone(instance);
        const shared = { ...options, commitsPerSecond, createId: this.createId, isGone };
        this.shards = [...Array(shards).keys()].map(shard => new ledgerShard.LedgerShard({ ...shared, shard }));
        this.handlePeers();
    }

    override async begin(call: types.CallRequest): Promise<types.BeginOutcome> {
        const outcome = await this.tryBegin(call, undefined);
        if (outcome.kind !== types.BeginKind.InFlight) {
            return outcome;
        }
        const { startId } = outcome.record;
        switch (await this.askRunState(outcome.record)) {
            case requests.RunState.Running:
                return outcome;
            case requests.RunState.NeverSent:
                return this.tryBegin(call, startId);
            case requests.RunState.Lost:
                return { kind: types.BeginKind.Orphaned, record: outcome.record };
        }
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
        this.recordings.add(recording);
        void recording.finally(() => this.recordings.delete(recording));
        await this.withinBound(recording, boundMilliseconds);
        return isKept;
    }

    override async release(record: types.CallRecord): Promise<void> {
        this.forget(record);
        await this.ask(record, { kind: requests.LedgerRequestKind.Release, record });
    }

    override async takeOver(record: types.CallRecord): Promise<types.CallRecord | undefined> {
        const startId = this.createStartId();
        this.running.add(startId);
        const { instance } = this.options;
        const reply = await this.ask(record, {
            kind: requests.LedgerRequestKind.TakeOver,
            record: withoutResult(record),
            instance,
            startId,
        });
        if (reply.kind === requests.LedgerReplyKind.Recorded && reply.record?.startId === startId) {
            return reply.record;
        }
        this.running.delete(startId);
        return undefined;
    }

    override async markOutcomeUnknown(record: types.CallRecord): Promise<void> {
        this.options.telemetry.record(telemetry.events.CallOutcomeUnknown, {
            request: record.key,
            text: record.service,
        });
        this.forget(record);
        await this.askUntilAnswered(record, { kind: requests.LedgerRequestKind.MarkUnknown, record });
    }

    override async read(identity: types.CallIdentity): Promise<core.Outcome<types.CallRecord | undefined>> {
        const reply = await this.ask(identity, { kind: requests.LedgerRequestKind.Read, identity: pick(identity) });
        return reply.kind === requests.LedgerReplyKind.Found
            ? core.createSuccess(reply.record)
            : core.createFailure(createUnavailable());
    }

    override async waitForResult(
        identity: types.CallIdentity,
        signal: AbortSignal,
    ): Promise<types.CallRecord | undefined> {
        const aborted = new Promise<undefined>(resolve => {
            signal.addEventListener("abort", () => resolve(undefined), { once: true });
        });
        while (!signal.aborted) {
            const waiting = this.ask(identity, { kind: requests.LedgerRequestKind.Wait, identity: pick(identity) });
            const reply = await Promise.race([waiting, aborted]);
            if (reply?.kind === requests.LedgerReplyKind.Found && reply.record?.state !== types.CallState.Started) {
                return reply.record;
            }
            if (reply?.kind === requests.LedgerReplyKind.Unavailable) {
                await this.options.clock.sleep(FirstRetryMilliseconds, signal);
            }
        }
        return undefined;
    }

    override async listOutcomesUnknown(): Promise<core.Outcome<readonly types.CallRecord[]>> {
        const request: requests.LedgerRequest = { kind: requests.LedgerRequestKind.ListUnknown };
        const replies = await Promise.all([...this.shards.keys()].map(shard => this.askShard(shard, request)));
        const records: types.CallRecord[] = [];
        for (const reply of replies) {
            if (reply.kind !== requests.LedgerReplyKind.Listed) {
                return core.createFailure(createUnavailable());
            }
            records.push(...reply.records);
        }
        return core.createSuccess(records);
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        await this.withinBound(Promise.all(this.recordings), BeginBoundMilliseconds);
        this.stopping.abort();
    }

    private async tryBegin(call: types.CallRequest, neverSent: string | undefined): Promise<types.BeginOutcome> {
        const startId = this.createStartId();
        this.running.add(startId);
        const { instance } = this.options;
        const request: requests.LedgerRequest = {
            kind: requests.LedgerRequestKind.Begin,
            call,
            instance,
            startId,
            neverSent,
        };
        const reply = await this.withinBound(this.ask(call, request), BeginBoundMilliseconds);
        const outcome = toBeginOutcome(reply);
        if (outcome.kind === types.BeginKind.Started) {
            this.options.telemetry.record(telemetry.events.CallStarted, { request: call.key, caller: call.caller });
            return outcome;
        }
        // From here on this process answers for the start that it was never sent, should it be recorded after all.
        this.running.delete(startId);
        return outcome;
    }

    private async recordUntilKept(record: types.CallRecord, result: types.CallResult): Promise<boolean> {
        const request: requests.LedgerRequest = {
            kind: requests.LedgerRequestKind.Finish,
            record: withoutResult(record),
            result,
        };
        const isKept = (await this.askUntilAnswered(record, request)) !== undefined;
        if (isKept) {
            this.forget(record);
            this.options.telemetry.record(telemetry.events.CallFinished, {
                request: record.key,
                caller: record.caller,
            });
        }
        return isKept;
    }

    /** Asks again until a holder has answered, however long the key-value service is down; undefined when stopped. */
    private async askUntilAnswered(
        identity: types.CallIdentity,
        request: requests.LedgerRequest,
    ): Promise<requests.LedgerReply | undefined> {
        let wait = FirstRetryMilliseconds;
        while (!this.stopping.signal.aborted) {
            const reply = await this.ask(identity, request);
            if (reply.kind !== requests.LedgerReplyKind.Unavailable) {
                return reply;
            }
            await this.options.clock.sleep(wait, this.stopping.signal);
            wait = Math.min(LongestRetryMilliseconds, wait * 2);
        }
        return undefined;
    }

    private ask(identity: types.CallIdentity, request: requests.LedgerRequest): Promise<requests.LedgerReply> {
        return this.askShard(this.getShard(identity), request);
    }

    /**
     * Asks the shard's holder; when it doesn't answer, the stand-by holders, and at last this instance itself. Asking
     * a second one is safe: the request carries the name of its start, and the shard's revision decides.
     */
    private async askShard(shard: number, request: requests.LedgerRequest): Promise<requests.LedgerReply> {
        for (const holder of this.getHolders(shard)) {
            if (holder === this.options.instance) {
                break;
            }
            const reply = await this.askPeer(holder, shard, request);
            if (reply !== undefined) {
                return reply;
            }
        }
        return core.Debug.checkDefined(this.shards[shard], "shard").ask(request);
    }

    private getHolders(shard: number): ReadonlySet<core.InstanceId> {
        const duties = [`ledger/${shard}`];
        for (let standby = 1; standby <= StandbyHolders; standby++) {
            duties.push(`ledger/${shard}/standby/${standby}`);
        }
        const holders = duties.map(duty => this.options.membership.tryGetHolder(duty));
        return new Set(holders.filter(holder => holder !== undefined));
    }

    private async askPeer(
        peer: core.InstanceId,
        shard: number,
        request: requests.LedgerRequest,
    ): Promise<requests.LedgerReply | undefined> {
        const result = await this.options.peers.request(peer, toMessage(shard, request), {
            lane: protocol.Lane.Online,
            timeoutMilliseconds: PeerTimeoutMilliseconds,
        });
        return result.ok ? tryGetReply(result.message) : undefined;
    }

    private async askRunState(record: types.CallRecord): Promise<requests.RunState> {
        const startId = record.startId ?? "";
        if (record.instance === this.options.instance) {
            return this.getRunState(startId);
        }
        const request: requests.LedgerRequest = { kind: requests.LedgerRequestKind.IsRunning, startId };
        const reply = await this.askPeer(record.instance, 0, request);
        return reply?.kind === requests.LedgerReplyKind.RunState ? reply.state : requests.RunState.Running;
    }

    private getRunState(startId: string): requests.RunState {
        if (!startId.startsWith(this.process)) {
            return requests.RunState.Lost;
        }
        return this.running.has(startId) ? requests.RunState.Running : requests.RunState.NeverSent;
    }

    private handlePeers(): void {
        const { peers } = this.options;
        peers.handle(protocol.MessageKind.LedgerBegin, async message => ({
            kind: protocol.MessageKind.LedgerBegun,
            payload: await this.serve(message.shard, message.payload),
        }));
        peers.handle(protocol.MessageKind.LedgerFinish, async message => ({
            kind: protocol.MessageKind.LedgerFinished,
            payload: await this.serve(message.shard, message.payload),
        }));
        peers.handle(protocol.MessageKind.LedgerRead, async message => ({
            kind: protocol.MessageKind.LedgerRecord,
            payload: await this.serve(message.shard, message.payload),
        }));
    }

    private async serve(shard: number, payload: Uint8Array): Promise<Uint8Array> {
        const request = codec.decode<requests.LedgerRequest>(payload);
        if (request.kind === requests.LedgerRequestKind.IsRunning) {
            const state = this.getRunState(request.startId);
            return codec.encode({ kind: requests.LedgerReplyKind.RunState, state } satisfies requests.LedgerReply);
        }
        const reply = await this.shards[shard]?.ask(request);
        const unknown = { kind: requests.LedgerReplyKind.Unavailable, text: `there is no shard ${shard}` } as const;
        return codec.encode(reply ?? unknown);
    }

    private getShard(identity: types.CallIdentity): number {
        const hash = crypto.createHash("sha256").update(callTable.getCallName(identity)).digest();
        return hash.readUInt32BE(0) % this.shards.length;
    }

    private createStartId(): string {
        return `${this.process}/${this.nextStart++}`;
    }

    private forget(record: types.CallRecord): void {
        this.running.delete(record.startId ?? "");
    }

    private async withinBound<T>(work: Promise<T>, milliseconds: number): Promise<T | undefined> {
        const controller = new AbortController();
        const timeout = this.options.clock.sleep(milliseconds, controller.signal).then(() => undefined);
        const result = await Promise.race([work, timeout]);
        controller.abort();
        return result;
    }
}

function toBeginOutcome(reply: requests.LedgerReply | undefined): types.BeginOutcome {
    if (reply?.kind === requests.LedgerReplyKind.Begun) {
        return reply.outcome;
    }
    const text = reply?.kind === requests.LedgerReplyKind.Unavailable ? reply.text : "no answer within the bound";
    return { kind: types.BeginKind.Unavailable, text };
}

function toMessage(shard: number, request: requests.LedgerRequest): protocol.Message {
    const payload = codec.encode(request);
    switch (request.kind) {
        case requests.LedgerRequestKind.Begin:
        case requests.LedgerRequestKind.TakeOver:
            return { kind: protocol.MessageKind.LedgerBegin, shard, payload };
        case requests.LedgerRequestKind.Finish:
        case requests.LedgerRequestKind.Release:
        case requests.LedgerRequestKind.MarkUnknown:
            return { kind: protocol.MessageKind.LedgerFinish, shard, payload };
        case requests.LedgerRequestKind.Read:
        case requests.LedgerRequestKind.Wait:
        case requests.LedgerRequestKind.ListUnknown:
        case requests.LedgerRequestKind.IsRunning:
            return { kind: protocol.MessageKind.LedgerRead, shard, payload };
    }
}

function tryGetReply(message: protocol.Message): requests.LedgerReply | undefined {
    switch (message.kind) {
        case protocol.MessageKind.LedgerBegun:
        case protocol.MessageKind.LedgerFinished:
        case protocol.MessageKind.LedgerRecord:
            return codec.decode<requests.LedgerReply>(message.payload);
        default:
            return undefined;
    }
}

function createUnavailable(): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.KeyValueDown,
        message: core.messages.KeyValueDown,
        certainty: core.RunCertainty.NotRun,
        retryAfterMilliseconds: LongestRetryMilliseconds,
    });
}

function pick(identity: types.CallIdentity): types.CallIdentity {
    return { caller: identity.caller, key: identity.key };
}

function withoutResult(record: types.CallRecord): types.CallRecord {
    return { ...record, result: undefined };
}
