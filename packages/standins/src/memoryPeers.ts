import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";

type AnyHandler = (message: protocol.Message, from: core.InstanceId) => Promise<protocol.Message | undefined>;

/** Connects peer networks in memory; tests simulate network faults by adding instances to its sets. */
export class MemoryPeerHub {
    readonly networks = new Map<core.InstanceId, MemoryPeerNetwork>();
    /** Instances without any connection to their peers. */
    readonly offline = new Set<core.InstanceId>();
    /** Instances that receive no notifications or replies; what they send still arrives. */
    readonly inboundBlocked = new Set<core.InstanceId>();
    /** Instances to which requests fail; notifications still reach them, and what they send arrives. */
    readonly requestsBlocked = new Set<core.InstanceId>();
    /** Called for each message that is sent, including replies. */
    onSent: (message: protocol.Message, from: core.InstanceId, to: core.InstanceId) => void = () => undefined;

    createNetwork(instance: core.InstanceId): MemoryPeerNetwork {
        const network = new MemoryPeerNetwork(this, instance);
        this.networks.set(instance, network);
        return network;
    }

    /** Removes an instance permanently. */
    remove(instance: core.InstanceId): void {
        this.networks.delete(instance);
    }

    isReachable(from: core.InstanceId, to: core.InstanceId): boolean {
        return this.networks.has(from) && this.networks.has(to) && !this.offline.has(from) && !this.offline.has(to);
    }
}

export class MemoryPeerNetwork extends protocol.PeerNetwork {
    private readonly handlers = new Map<protocol.MessageKind, AnyHandler>();

    constructor(
        private readonly hub: MemoryPeerHub,
        private readonly instance: core.InstanceId,
    ) {
        super();
    }

    override async request(peer: core.InstanceId, message: protocol.Message): Promise<protocol.PeerResult> {
        if (!this.hub.isReachable(this.instance, peer) || this.hub.requestsBlocked.has(peer)) {
            return { ok: false, kind: protocol.PeerFailureKind.NotConnected, text: "no link" };
        }
        this.hub.onSent(message, this.instance, peer);
        const reply = await this.hub.networks.get(peer)?.deliver(message, this.instance);
        if (reply !== undefined) {
            this.hub.onSent(reply, peer, this.instance);
        }
        const isLost = this.hub.inboundBlocked.has(this.instance);
        if (!this.hub.isReachable(this.instance, peer) || reply === undefined || isLost) {
            return { ok: false, kind: protocol.PeerFailureKind.TimedOut, text: "no reply" };
        }
        return { ok: true, message: reply };
    }

    override notify(peer: core.InstanceId, message: protocol.Message): boolean {
        if (!this.hub.isReachable(this.instance, peer)) {
            return false;
        }
        this.hub.onSent(message, this.instance, peer);
        if (!this.hub.inboundBlocked.has(peer)) {
            void this.hub.networks.get(peer)?.deliver(message, this.instance);
        }
        return true;
    }

    override notifyAll(message: protocol.Message): void {
        this.getConnectedPeers().forEach(peer => this.notify(peer, message));
    }

    override handle<K extends protocol.MessageKind>(kind: K, handler: protocol.MessageHandler<K>): void {
        this.handlers.set(kind, handler as AnyHandler);
    }

    override getConnectedPeers(): readonly core.InstanceId[] {
        const others = [...this.hub.networks.keys()].filter(peer => peer !== this.instance);
        return others.filter(peer => this.hub.isReachable(this.instance, peer));
    }

    override getSilentPeers(): readonly core.InstanceId[] {
        return [...this.hub.networks.keys()].filter(peer => this.hub.offline.has(peer) && peer !== this.instance);
    }

    private async deliver(message: protocol.Message, from: core.InstanceId): Promise<protocol.Message | undefined> {
        return this.handlers.get(message.kind)?.(message, from);
    }
}
