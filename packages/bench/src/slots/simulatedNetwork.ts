import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";

/** One-way delay between two instances; data centres are typically 0.5 to 1.4 ms apart. */
const OneWayMilliseconds = 1;
/** Header of a WebSocket frame under 126 bytes, with the mask that a client's frames have. */
const FrameHeaderBytes = 6;

/** Time until an instance detects that a linked one is silent, given heartbeats each second. */
const SilenceDetectionMilliseconds = 1_800;

type AnyHandler = (message: protocol.Message, from: core.InstanceId) => Promise<protocol.Message | undefined>;

/** Totals of what one instance has sent and received. */
export interface Traffic {
    messages: number;
    bytes: number;
}

/** Connects linked instances with a delay, and counts their messages and bytes as encoded on the wire. */
export class SimulatedHub {
    readonly networks = new Map<core.InstanceId, SimulatedNetwork>();

    /** The partition of each instance. Messages between partitions are lost, but the links stay open. */
    private readonly partitions = new Map<core.InstanceId, number>();
    private cutAt: core.MonotonicMilliseconds = 0;
    /** Instances whose outgoing messages are lost, while they still receive. */
    private readonly muted = new Set<core.InstanceId>();
    private mutedAt: core.MonotonicMilliseconds = 0;
    /** Additional delay of each message to or from an instance. */
    readonly delays = new Map<core.InstanceId, number>();
    /** Paused instances, each with the deliveries that wait until it resumes. */
    private readonly paused = new Map<core.InstanceId, (() => void)[]>();
    private pausedAt: core.MonotonicMilliseconds = 0;

    constructor(readonly clock: core.Clock) {}

    /** Partitions the given instances from all others; an empty list ends the partition. */
    cut(instances: readonly core.InstanceId[]): void {
        this.partitions.clear();
        this.cutAt = this.clock.now();
        instances.forEach(instance => this.partitions.set(instance, 1));
    }

    /** Removes an instance as a kill does: its links close. */
    remove(instance: core.InstanceId): void {
        this.networks.delete(instance);
        this.networks.forEach(network => network.linked.delete(instance));
    }

    /** Loses what the given instances send; an empty list ends this. */
    muteAll(instances: readonly core.InstanceId[]): void {
        this.muted.clear();
        this.mutedAt = this.clock.now();
        instances.forEach(instance => this.muted.add(instance));
    }

    /** Pauses instances; deliveries to them wait until `resume`. */
    pause(instances: readonly core.InstanceId[]): void {
        this.pausedAt = this.clock.now();
        instances.forEach(instance => this.paused.set(instance, []));
    }

    resume(): void {
        const waiting = [...this.paused.values()].flat();
        this.paused.clear();
        waiting.forEach(deliver => deliver());
    }

    isPaused(instance: core.InstanceId): boolean {
        return this.paused.has(instance);
    }

    /** Delivers to an instance now or, if it is paused, once it resumes. */
    deliverUnlessPaused(instance: core.InstanceId, deliver: () => void): void {
        const waiting = this.paused.get(instance);
        if (waiting === undefined) {
            deliver();
        }
        else {
            waiting.push(deliver);
        }
    }

    getDelay(from: core.InstanceId, to: core.InstanceId): number {
        return OneWayMilliseconds + (this.delays.get(from) ?? 0) + (this.delays.get(to) ?? 0);
    }

    /** Whether messages from one instance to another are lost. */
    isLost(from: core.InstanceId, to: core.InstanceId): boolean {
        return this.isCut(from, to) || this.muted.has(from);
    }

    /** Whether other instances have detected that a muted or paused peer is silent. */
    isSilent(peer: core.InstanceId): boolean {
        const now = this.clock.now();
        return (
            (this.muted.has(peer) && now - this.mutedAt > SilenceDetectionMilliseconds) ||
            (this.paused.has(peer) && now - this.pausedAt > SilenceDetectionMilliseconds)
        );
    }

    isCut(left: core.InstanceId, right: core.InstanceId): boolean {
        return this.partitions.get(left) !== this.partitions.get(right);
    }

    isDetectedCut(left: core.InstanceId, right: core.InstanceId): boolean {
        return this.isCut(left, right) && this.clock.now() - this.cutAt > SilenceDetectionMilliseconds;
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
            const finish = (reply: protocol.Message): void => {
                stop();
                resolve({ ok: true, message: reply });
            };
            this.hub.clock.schedule(this.hub.getDelay(this.instance, peer), () => {
                this.hub.deliverUnlessPaused(peer, () => {
                    void target.deliver(message, this.instance).then(reply => {
                        if (reply === undefined || this.hub.isLost(peer, this.instance)) {
                            return;
                        }
                        target.count({ correlation, isReply: true, message: reply }, options.lane, this);
                        const delay = this.hub.getDelay(peer, this.instance);
                        this.hub.clock.schedule(delay, () =>
                            this.hub.deliverUnlessPaused(this.instance, () => finish(reply)),
                        );
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
        this.hub.clock.schedule(this.hub.getDelay(this.instance, peer), () =>
            this.hub.deliverUnlessPaused(peer, () => void target.deliver(message, this.instance)),
        );
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
        return [...this.linked].filter(peer => this.hub.isDetectedCut(this.instance, peer) || this.hub.isSilent(peer));
    }

    /** Counts a message at both ends, since one encodes and sends it and the other receives and decodes it. */
    private count(frame: protocol.Frame, lane: protocol.Lane, target: SimulatedNetwork): void {
        const packed = protocol.encodeFrame(frame, lane, protocol.FrameForm.Packed);
        const bytes = (packed.ok ? packed.bytes.byteLength : 0) + FrameHeaderBytes;
        for (const traffic of [this.traffic, target.traffic]) {
            traffic.messages++;
            traffic.bytes += bytes;
        }
    }

    private async deliver(message: protocol.Message, from: core.InstanceId): Promise<protocol.Message | undefined> {
        if (this.hub.isLost(from, this.instance) || !this.hub.networks.has(this.instance)) {
            return undefined;
        }
        return this.handlers.get(message.kind)?.(message, from);
    }
}
