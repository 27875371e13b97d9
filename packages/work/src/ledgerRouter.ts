import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as callTable from "./callTable.js";
import * as codec from "./codec.js";
import type * as ledgerShard from "./ledgerShard.js";
import * as requests from "./ledgerRequests.js";
import type * as types from "./types.js";

export interface LedgerRouterOptions {
    readonly peers: protocol.PeerNetwork;
    readonly membership: protocol.Membership;
    readonly instance: core.InstanceId;
    readonly shards: readonly ledgerShard.LedgerShard[];
    /** What this process says of a start that bears its instance's name. */
    readonly getRunState: (startId: string) => requests.RunState;
}

/** Longer than a peer holds a `Wait`, shorter than a caller's patience. */
const PeerTimeoutMilliseconds = 3_000;
/** Stand-by holders tried when a shard's holder doesn't answer; all instances try the same ones in the same order. */
const StandbyHolders = 2;

/** Brings requests to the holders of their shards, and serves those that peers bring here. */
export class LedgerRouter {
    constructor(private readonly options: LedgerRouterOptions) {
        this.handlePeers();
    }

    ask(identity: types.CallIdentity, request: requests.LedgerRequest): Promise<requests.LedgerReply> {
        return this.askShard(this.getShard(identity), request);
    }

    /**
     * Asks the shard's holder; when it doesn't answer, the stand-by holders, and at last this instance itself. Asking
     * a second one is safe: the request carries the name of its start, and the shard's revision decides.
     */
    async askShard(shard: number, request: requests.LedgerRequest): Promise<requests.LedgerReply> {
        for (const holder of this.getHolders(shard)) {
            if (holder === this.options.instance) {
                break;
            }
            const reply = await this.askPeer(holder, shard, request);
            if (reply !== undefined) {
                return reply;
            }
        }
        return core.Debug.checkDefined(this.options.shards[shard], "shard").ask(request);
    }

    /** Asks every shard's holder. */
    askAll(request: requests.LedgerRequest): Promise<readonly requests.LedgerReply[]> {
        return Promise.all([...this.options.shards.keys()].map(shard => this.askShard(shard, request)));
    }

    /** What the instance that started a call says of it; one that doesn't answer is taken to run it still. */
    async askRunState(record: types.CallRecord): Promise<requests.RunState> {
        const startId = record.startId ?? "";
        if (record.instance === this.options.instance) {
            return this.options.getRunState(startId);
        }
        const request: requests.LedgerRequest = { kind: requests.LedgerRequestKind.IsRunning, startId };
        const reply = await this.askPeer(record.instance, 0, request);
        return reply?.kind === requests.LedgerReplyKind.RunState ? reply.state : requests.RunState.Running;
    }

    holdsShard(shard: number): boolean {
        return this.options.membership.tryGetHolder(getLedgerDuty(shard)) === this.options.instance;
    }

    private getHolders(shard: number): ReadonlySet<core.InstanceId> {
        const duties = [getLedgerDuty(shard)];
        for (let standby = 1; standby <= StandbyHolders; standby++) {
            duties.push(`${getLedgerDuty(shard)}/standby/${standby}`);
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
            const state = this.options.getRunState(request.startId);
            return codec.encode({ kind: requests.LedgerReplyKind.RunState, state } satisfies requests.LedgerReply);
        }
        const reply = await this.options.shards[shard]?.ask(request);
        const unknown = { kind: requests.LedgerReplyKind.Unavailable, text: `there is no shard ${shard}` } as const;
        return codec.encode(reply ?? unknown);
    }

    private getShard(identity: types.CallIdentity): number {
        const hash = crypto.createHash("sha256").update(callTable.getCallName(identity)).digest();
        return hash.readUInt32BE(0) % this.options.shards.length;
    }
}

/** Name of the duty to hold a shard, for `Membership.tryGetHolder`. */
export function getLedgerDuty(shard: number): string {
    return `ledger/${shard}`;
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
        case requests.LedgerRequestKind.ListOrphaned:
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
