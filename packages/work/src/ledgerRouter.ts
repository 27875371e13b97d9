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
    /** Returns the state of a start that was made by this instance. */
    readonly getRunState: (startId: string) => requests.RunState;
}

/** Longer than a peer delays the reply to a `Wait`, shorter than callers wait for an answer. */
const PeerReplyTimeoutMilliseconds = 3_000;
/** Standby holders tried when a shard's holder doesn't reply; all instances try the same ones in the same order. */
const MaximumStandbyHolders = 2;

/** Routes requests to the holders of their shards, and serves the requests that peers send to this instance. */
export class LedgerRouter {
    constructor(private readonly options: LedgerRouterOptions) {
        this.registerPeerHandlers();
    }

    route(identity: types.CallIdentity, request: requests.LedgerRequest): Promise<requests.LedgerReply> {
        return this.routeToShard(this.getShard(identity), request);
    }

    /**
     * Sends a request to the shard's holder. If it doesn't reply, tries the standby holders and finally this instance
     * itself. Trying several is safe: requests are idempotent, and the revision of the shard's head prevents
     * conflicting commits.
     */
    async routeToShard(shard: number, request: requests.LedgerRequest): Promise<requests.LedgerReply> {
        for (const holder of this.getHolders(shard)) {
            if (holder === this.options.instance) {
                break;
            }
            const reply = await this.requestFromPeer(holder, shard, request);
            if (reply !== undefined) {
                return reply;
            }
        }
        return core.Debug.checkDefined(this.options.shards[shard], "shard").handle(request);
    }

    /** Sends a request to the holder of every shard. */
    routeToAllShards(request: requests.LedgerRequest): Promise<readonly requests.LedgerReply[]> {
        return Promise.all([...this.options.shards.keys()].map(shard => this.routeToShard(shard, request)));
    }

    /** Queries the instance that started a call. An instance that doesn't reply is assumed to be running the call. */
    async queryRunState(record: types.CallRecord): Promise<requests.RunState> {
        const startId = record.startId ?? "";
        if (record.instance === this.options.instance) {
            return this.options.getRunState(startId);
        }
        const request: requests.LedgerRequest = { kind: requests.LedgerRequestKind.IsRunning, startId };
        const reply = await this.requestFromPeer(record.instance, 0, request);
        return reply?.kind === requests.LedgerReplyKind.RunState ? reply.state : requests.RunState.Running;
    }

    holdsShard(shard: number): boolean {
        return this.options.membership.tryGetHolder(getLedgerAssignment(shard)) === this.options.instance;
    }

    private getHolders(shard: number): ReadonlySet<core.InstanceId> {
        const assignments = [getLedgerAssignment(shard)];
        for (let standby = 1; standby <= MaximumStandbyHolders; standby++) {
            assignments.push(`${getLedgerAssignment(shard)}/standby/${standby}`);
        }
        const holders = assignments.map(assignment => this.options.membership.tryGetHolder(assignment));
        return new Set(holders.filter(holder => holder !== undefined));
    }

    private async requestFromPeer(
        peer: core.InstanceId,
        shard: number,
        request: requests.LedgerRequest,
    ): Promise<requests.LedgerReply | undefined> {
        const result = await this.options.peers.request(peer, toMessage(shard, request), {
            lane: protocol.Lane.Online,
            timeoutMilliseconds: PeerReplyTimeoutMilliseconds,
        });
        return result.ok ? tryGetReply(result.message) : undefined;
    }

    private registerPeerHandlers(): void {
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
        const reply = await this.options.shards[shard]?.handle(request);
        const unknown = { kind: requests.LedgerReplyKind.Unavailable, text: `there is no shard ${shard}` } as const;
        return codec.encode(reply ?? unknown);
    }

    private getShard(identity: types.CallIdentity): number {
        const hash = crypto.createHash("sha256").update(callTable.getCallName(identity)).digest();
        return hash.readUInt32BE(0) % this.options.shards.length;
    }
}

/** Returns the name of the assignment to hold a shard, for `Membership.tryGetHolder`. */
export function getLedgerAssignment(shard: number): string {
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
