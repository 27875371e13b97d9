import type * as core from "@boragedale/core";
import type * as types from "./types.js";
import * as upstreamExchange from "./upstreamExchange.js";

/** Time to connect: a new connection takes some milliseconds, a lost opening packet is sent again after a second. */
const ConnectTimeoutMilliseconds = 400;
/** Connections one instance holds to one upstream: far over its slots, under its limit shared by all instances. */
const ConnectionsToUpstream = 40;
/** A channel that no entry names any more is given up after this, when its last streams have ended. */
const UnusedMilliseconds = 30_000;

interface KnownChannel {
    readonly channel: upstreamExchange.UpstreamChannel;
    readonly identity: string;
    lastUsed: core.MonotonicMilliseconds;
}

/** Finds the connections to an upstream. */
export abstract class Channels {
    abstract get(upstream: types.UpstreamEntry): upstreamExchange.Channel;
    /** Whether a kept connection to the upstream is free; makes none. */
    abstract hasIdleConnection(upstream: types.UpstreamEntry): boolean;
}

/** The channels to upstreams, made when first needed. An address that another life of an upstream has is another channel. */
export class ChannelDirectory extends Channels implements AsyncDisposable {
    private readonly channels = new Map<core.UpstreamId, KnownChannel>();

    constructor(private readonly clock: core.Clock) {
        super();
    }

    override get(upstream: types.UpstreamEntry): upstreamExchange.Channel {
        const identity = getIdentity(upstream);
        const now = this.clock.now();
        const known = this.channels.get(upstream.id);
        if (known !== undefined && known.identity === identity) {
            known.lastUsed = now;
            return known.channel;
        }
        known?.channel.renew();
        this.closeUnused(now);
        const channel = new upstreamExchange.UpstreamChannel({
            address: upstream.address,
            connectTimeoutMilliseconds: ConnectTimeoutMilliseconds,
            connections: ConnectionsToUpstream,
        });
        this.channels.set(upstream.id, { channel, identity, lastUsed: now });
        return channel;
    }

    override hasIdleConnection(upstream: types.UpstreamEntry): boolean {
        const known = this.channels.get(upstream.id);
        return known?.identity === getIdentity(upstream) && known.channel.hasIdleConnection();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const channels = [...this.channels.values()];
        this.channels.clear();
        await Promise.all(channels.map(known => known.channel[Symbol.asyncDispose]()));
    }

    private closeUnused(now: core.MonotonicMilliseconds): void {
        for (const [id, known] of this.channels) {
            if (now - known.lastUsed > UnusedMilliseconds) {
                this.channels.delete(id);
                known.channel.renew();
            }
        }
    }
}

function getIdentity(upstream: types.UpstreamEntry): string {
    return `${upstream.address}/${upstream.bornMilliseconds}`;
}
