import type * as core from "@boragedale/core";
import type * as types from "./types.js";
import * as upstreamExchange from "./upstreamExchange.js";

/** Connecting takes a few milliseconds. A lost SYN packet is retransmitted after a second. */
const ConnectTimeoutMilliseconds = 400;
/**
 * Connections of one instance to one upstream: far above the upstream's slots, and below its limit, which all instances
 * share.
 */
const ConnectionsPerUpstream = 40;
/** A channel that is no longer requested is given up after this time, and closes when its last streams have ended. */
const UnusedChannelMilliseconds = 30_000;

interface CachedChannel {
    readonly channel: upstreamExchange.UpstreamChannel;
    readonly address: string;
    readonly bornMilliseconds: number;
    lastUsed: core.MonotonicMilliseconds;
}

/** Provides the connections to an upstream. */
export abstract class Channels {
    abstract get(upstream: types.UpstreamEntry): upstreamExchange.Channel;
    /** Whether an open connection to the upstream is idle. Never opens one. */
    abstract hasIdleConnection(upstream: types.UpstreamEntry): boolean;
}

/**
 * Creates the channels to upstreams on first use. An upstream that restarted at the same address gets a new channel.
 */
export class ChannelDirectory extends Channels implements AsyncDisposable {
    private readonly channels = new Map<core.UpstreamId, CachedChannel>();

    constructor(private readonly clock: core.Clock) {
        super();
    }

    override get(upstream: types.UpstreamEntry): upstreamExchange.Channel {
        const now = this.clock.now();
        const known = this.channels.get(upstream.id);
        if (known !== undefined && isFor(known, upstream)) {
            known.lastUsed = now;
            return known.channel;
        }
        known?.channel.replaceConnections();
        this.closeUnused(now);
        const { address, bornMilliseconds } = upstream;
        const channel = new upstreamExchange.UpstreamChannel({
            address,
            connectTimeoutMilliseconds: ConnectTimeoutMilliseconds,
            maximumConnections: ConnectionsPerUpstream,
            clock: this.clock,
        });
        this.channels.set(upstream.id, { channel, address, bornMilliseconds, lastUsed: now });
        return channel;
    }

    override hasIdleConnection(upstream: types.UpstreamEntry): boolean {
        const known = this.channels.get(upstream.id);
        return known !== undefined && isFor(known, upstream) && known.channel.hasIdleConnection();
    }

    /** Whether the upstream's process is certainly the one that it was a while ago. */
    hasSteadyConnection(upstream: types.UpstreamEntry): boolean {
        const known = this.channels.get(upstream.id);
        return known !== undefined && isFor(known, upstream) && known.channel.hasSteadyConnection();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const channels = [...this.channels.values()];
        this.channels.clear();
        await Promise.all(channels.map(known => known.channel[Symbol.asyncDispose]()));
    }

    private closeUnused(now: core.MonotonicMilliseconds): void {
        for (const [id, known] of this.channels) {
            if (now - known.lastUsed > UnusedChannelMilliseconds) {
                this.channels.delete(id);
                known.channel.replaceConnections();
            }
        }
    }
}

function isFor(known: CachedChannel, upstream: types.UpstreamEntry): boolean {
    return known.address === upstream.address && known.bornMilliseconds === upstream.bornMilliseconds;
}
