import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";

/** One way between two instances, in milliseconds; the users' data centres are 0.5 to 1.4 apart. */
const WayMilliseconds = 1;
/** Header of a WebSocket frame under 126 bytes, and the mask of a client's. */
const FrameHeaderBytes = 6;

/** Time after which an instance notices that a linked one is silent: heartbeats come each second. */
const UnheardMilliseconds = 1_800;

type AnyHandler = (message: protocol.Message, from: core.InstanceId) => Promise<protocol.Message | undefined>;

/** What one instance has sent and received. */
export interface Traffic {
    messages: number;
    bytes: number;
}

/** Joins instances over linked pairs with a delay, and counts what they say as it is packed on the wire. */
export class SimulatedHub {
    readonly networks = new Map<core.InstanceId, SimulatedNetwork>();

    /** The side of a cut on which an instance is; nothing passes between two sides, and no link closes. */
    private readonly sides = new Map<core.InstanceId, number>();
    private cutAt: core.MonotonicMilliseconds = 0;

    constructor(readonly clock: core.Clock) {}

    /** Cuts the named instances off from all others; an empty list heals the cut. */
    cut(instances: readonly core.InstanceId[]): void {
        this.sides.clear();
        this.cutAt = this.clock.now();
        instances.forEach(instance => this.sides.set(instance, 1));
    }

    /** Ends an instance as a kill does: its links close. */
    remove(instance: core.InstanceId): void {
        this.networks.delete(instance);
        this.networks.forEach(network => network.linked.delete(instance));
    }

    isCut(left: core.InstanceId, right: core.InstanceId): boolean {
        return this.sides.get(left) !== this.sides.get(right);
    }

    isKnownCut(left: core.InstanceId, right: core.InstanceId): boolean {
        return this.isCut(left, right) && this.clock.now() - this.cutAt > UnheardMilliseconds;
    }

    createNetwork(instance: core.InstanceId): SimulatedNetwork {
        const network = new SimulatedNetwork(this, instance);
        this.networks.set(instance, network);
        return network;
    }

    link(left: core.InstanceId, right: core.InstanceId): void {
        this.networks.get(left)?.linked.add(right);
        this.networks.get(right)?.linked.add(left);
    }
}

export class SimulatedNetwork extends protocol.PeerNetwork {
    readonly linked = new Set<core.InstanceId>();
    readonly traffic: Traffic = { messages: 0, bytes: 0 };
    private readonly handlers = new Map<protocol.MessageKind, AnyHandler>();
    private nextCorrelation = 0;

    constructor(
        private readonly hub: SimulatedHub,
        private readonly instance: core.InstanceId,
    ) {
        super();
    }

    override async request(
        peer: core.InstanceId,
        message: protocol.Message,
        options: protocol.RequestOptions,
    ): Promise<protocol.PeerResult> {
        const target = this.linked.has(peer) ? this.hub.networks.get(peer) : undefined;
        if (target === undefined) {
            return { ok: false, kind: protocol.PeerFailureKind.NotConnected, text: "no link" };
        }
        const correlation = this.nextCorrelation++;
        this.count({ correlation, message }, options.lane, target);
        return new Promise(resolve => {
            const stop = this.hub.clock.schedule(options.timeoutMilliseconds, () =>
                resolve({ ok: false, kind: protocol.PeerFailureKind.TimedOut, text: "no reply" }),
            );
            this.hub.clock.schedule(WayMilliseconds, () => {
                void target.deliver(message, this.instance).then(reply => {
                    if (reply === undefined) {
                        return;
                    }
                    target.count({ correlation, isReply: true, message: reply }, options.lane, this);
                    this.hub.clock.schedule(WayMilliseconds, () => {
                        stop();
                        resolve({ ok: true, message: reply });
                    });
                });
            });
        });
    }

    override notify(peer: core.InstanceId, message: protocol.Message, lane: protocol.Lane): boolean {
        const target = this.linked.has(peer) ? this.hub.networks.get(peer) : undefined;
        if (target === undefined) {
            return false;
        }
        this.count({ message }, lane, target);
        this.hub.clock.schedule(WayMilliseconds, () => void target.deliver(message, this.instance));
        return true;
    }

    override notifyAll(message: protocol.Message, lane: protocol.Lane): void {
        this.linked.forEach(peer => this.notify(peer, message, lane));
    }

    override handle<K extends protocol.MessageKind>(kind: K, handler: protocol.MessageHandler<K>): void {
        this.handlers.set(kind, handler as AnyHandler);
    }

    override getConnectedPeers(): readonly core.InstanceId[] {
        return [...this.linked];
    }

    override getSilentPeers(): readonly core.InstanceId[] {
        return [...this.linked].filter(peer => this.hub.isKnownCut(this.instance, peer));
    }

    /** Both ends pay for a message: one packs and sends it, the other receives and reads it. */
    private count(frame: protocol.Frame, lane: protocol.Lane, target: SimulatedNetwork): void {
        const packed = protocol.encodeFrame(frame, lane, protocol.FrameForm.Packed);
        const bytes = (packed.ok ? packed.bytes.byteLength : 0) + FrameHeaderBytes;
        for (const traffic of [this.traffic, target.traffic]) {
            traffic.messages++;
            traffic.bytes += bytes;
        }
    }

    private async deliver(message: protocol.Message, from: core.InstanceId): Promise<protocol.Message | undefined> {
        if (this.hub.isCut(this.instance, from) || !this.hub.networks.has(this.instance)) {
            return undefined;
        }
        return this.handlers.get(message.kind)?.(message, from);
    }
}
