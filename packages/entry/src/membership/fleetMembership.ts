import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";

export interface MembershipOptions {
    readonly self: core.InstanceDescription;
    readonly instanceList: backing.InstanceList;
    readonly clock: core.Clock;
    readonly readIntervalMilliseconds?: number;
}

const ReadIntervalMilliseconds = 2_000;

/**
 * Number of peers that an instance connects to permanently. About as many connect to it. With eight links for each
 * instance, a message reaches 400 instances in three steps, and heartbeats take about 1 KB/s including headers, of the
 * 2 KB/s that control traffic may use.
 */
const NeighbourCount = 4;

/**
 * How long an unreachable peer counts as not live. The instance list lags by seconds. After this time, either the list
 * has dropped the peer, or the peer is alive and only the connection to it was broken.
 */
const SuspectMilliseconds = 10_000;

/** Time without heartbeats after which an instance that the list has dropped counts as removed. */
const RemovalMilliseconds = 10_000;

interface PeerRecord {
    /** The last description in the list. Kept after the list drops the instance. */
    description: core.InstanceDescription;
    isListed: boolean;
    /** When `isListed` last changed. */
    listingChangedAt: core.MonotonicMilliseconds;
    lastHeartbeatAt: core.MonotonicMilliseconds | undefined;
    unreachableAt: core.MonotonicMilliseconds | undefined;
    isLeaving: boolean;
    generation: core.Generation;
}

/**
 * Determines the live instances of the fleet from the platform's instance list and from messages of the peers. The list
 * lags, so a `Leaving` message or a heartbeat in state `Leaving` takes effect at once, and a peer that can't be reached
 * counts as not live for a while. Two instances may disagree for seconds, so assignments are fenced elsewhere.
 */
export class FleetMembership extends protocol.Membership implements AsyncDisposable {
    private readonly peers = new Map<core.InstanceId, PeerRecord>();
    private readonly changeListeners = new Set<() => void>();
    private readonly heartbeatListeners = new Set<(from: core.InstanceId, heartbeat: protocol.Heartbeat) => void>();
    private readonly stopController = new AbortController();
    private state = core.LifecycleState.Live;
    private live: readonly core.InstanceDescription[];
    private task: Promise<void> = Promise.resolve();

    private constructor(private readonly options: MembershipOptions) {
        super();
        this.live = [options.self];
    }

    /** Reads the list once. An instance that can't read it starts with itself as the only member and keeps trying. */
    static async start(options: MembershipOptions): Promise<FleetMembership> {
        const membership = new FleetMembership(options);
        await membership.readList();
        membership.task = membership.run();
        return membership;
    }

    /** Handles the heartbeats and leaving messages of peers. */
    attach(network: protocol.PeerNetwork): void {
        network.handle(protocol.MessageKind.Heartbeat, async (heartbeat, from) => {
            this.recordHeartbeat(from, heartbeat);
            return undefined;
        });
        network.handle(protocol.MessageKind.Leaving, async leaving => {
            this.recordLeaving(leaving.instance);
            return undefined;
        });
    }

    override getSelf(): core.InstanceId {
        return this.options.self.id;
    }

    override getLiveInstances(): readonly core.InstanceDescription[] {
        return this.live;
    }

    override tryGetHolder(assignment: string): core.InstanceId | undefined {
        return decisions.rendezvous(assignment, getIds(this.live));
    }

    override tryGetHolderIn(dataCentre: core.DataCentre, assignment: string): core.InstanceId | undefined {
        const near = this.live.filter(instance => instance.dataCentre === dataCentre);
        return decisions.rendezvous(assignment, getIds(near.length > 0 ? near : this.live));
    }

    override isRemoved(instance: core.InstanceId): boolean {
        if (instance === this.options.self.id) {
            return false;
        }
        const record = this.peers.get(instance);
        if (record === undefined) {
            return true;
        }
        const now = this.options.clock.now();
        const silentSince = Math.max(record.lastHeartbeatAt ?? 0, record.listingChangedAt);
        return !record.isListed && now - silentSince > RemovalMilliseconds;
    }

    override onChange(listener: () => void): () => void {
        this.changeListeners.add(listener);
        return () => this.changeListeners.delete(listener);
    }

    /** Calls `listener` for each heartbeat of a peer. The returned function removes the listener. */
    onHeartbeat(listener: (from: core.InstanceId, heartbeat: protocol.Heartbeat) => void): () => void {
        this.heartbeatListeners.add(listener);
        return () => this.heartbeatListeners.delete(listener);
    }

    /** The state that this instance sends in its heartbeats. */
    getState(): core.LifecycleState {
        return this.state;
    }

    /** Marks this instance as leaving. It no longer gets assignments. */
    leave(): void {
        this.state = core.LifecycleState.Leaving;
        this.refresh();
    }

    /** The peers to stay connected to. The choice is stable while they live, and differs between instances. */
    getNeighbours(): readonly protocol.PeerAddress[] {
        const others = this.live.filter(instance => instance.id !== this.options.self.id);
        const chosen = decisions.chooseSubset(`neighbour/${this.options.self.id}`, getIds(others), NeighbourCount);
        return chosen.flatMap(id => this.tryGetAddress(id) ?? []);
    }

    tryGetAddress(peer: core.InstanceId): protocol.PeerAddress | undefined {
        const record = this.peers.get(peer);
        return record === undefined ? undefined : { id: peer, url: record.description.peerUrl };
    }

    /** The highest release note generation that each peer has reported. */
    getGenerations(): ReadonlyMap<core.InstanceId, core.Generation> {
        return new Map([...this.peers].map(([id, record]) => [id, record.generation]));
    }

    /** Records that the network could not reach the peer or that its connection went silent. */
    recordUnreachable(peer: core.InstanceId): void {
        const record = this.peers.get(peer);
        if (record !== undefined) {
            record.unreachableAt = this.options.clock.now();
            this.refresh();
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopController.abort();
        await this.task;
    }

    private async run(): Promise<void> {
        const signal = this.stopController.signal;
        while (!signal.aborted) {
            await this.options.clock.sleep(this.options.readIntervalMilliseconds ?? ReadIntervalMilliseconds, signal);
            if (!signal.aborted) {
                await this.readList();
            }
        }
    }

    /** Reads the list. If that fails, the known members stay, since an outage of the list must not empty the fleet. */
    private async readList(): Promise<void> {
        const list = await this.options.instanceList.tryRead();
        if (list !== undefined) {
            this.applyList(list.filter(instance => instance.id !== this.options.self.id));
        }
        this.refresh();
    }

    private applyList(list: readonly core.InstanceDescription[]): void {
        const now = this.options.clock.now();
        const listed = new Map(list.map(instance => [instance.id, instance]));
        for (const [id, record] of this.peers) {
            if (record.isListed !== listed.has(id)) {
                record.isListed = !record.isListed;
                record.listingChangedAt = now;
            }
        }
        for (const description of listed.values()) {
            const record = this.peers.get(description.id);
            if (record !== undefined) {
                record.description = description;
                continue;
            }
            this.peers.set(description.id, {
                description,
                isListed: true,
                listingChangedAt: now,
                lastHeartbeatAt: undefined,
                unreachableAt: undefined,
                isLeaving: false,
                generation: 0,
            });
        }
        for (const id of [...this.peers.keys()].filter(peer => this.canDelete(peer))) {
            this.peers.delete(id);
        }
    }

    /** Whether a removed instance can be deleted. Records are deleted because instances are replaced all the time. */
    private canDelete(peer: core.InstanceId): boolean {
        const record = this.peers.get(peer);
        const now = this.options.clock.now();
        return this.isRemoved(peer) && record !== undefined && now - record.listingChangedAt > 10 * RemovalMilliseconds;
    }

    private recordHeartbeat(from: core.InstanceId, heartbeat: protocol.Heartbeat): void {
        const record = this.peers.get(from);
        if (record !== undefined) {
            record.lastHeartbeatAt = this.options.clock.now();
            record.unreachableAt = undefined;
            record.isLeaving = record.isLeaving || heartbeat.state !== core.LifecycleState.Live;
            record.generation = Math.max(record.generation, heartbeat.generation);
            this.refresh();
        }
        for (const listener of this.heartbeatListeners) {
            listener(from, heartbeat);
        }
    }

    /** Records that a peer is leaving. This is final, since a replacement has a new name. */
    private recordLeaving(instance: core.InstanceId): void {
        const record = this.peers.get(instance);
        if (record !== undefined) {
            record.isLeaving = true;
            this.refresh();
        }
    }

    private refresh(): void {
        const now = this.options.clock.now();
        const peers = [...this.peers.values()].filter(record => isLive(record, now)).map(record => record.description);
        const self = this.state === core.LifecycleState.Live ? [this.options.self] : [];
        const live = [...self, ...peers].sort((left, right) => (left.id < right.id ? -1 : 1));
        const hasChanged = getIds(live).join() !== getIds(this.live).join();
        this.live = live;
        if (hasChanged) {
            for (const listener of this.changeListeners) {
                listener();
            }
        }
    }
}

function isLive(record: PeerRecord, now: core.MonotonicMilliseconds): boolean {
    const isSuspect = record.unreachableAt !== undefined && now - record.unreachableAt <= SuspectMilliseconds;
    return record.isListed && record.description.state === core.LifecycleState.Live && !record.isLeaving && !isSuspect;
}

function getIds(instances: readonly core.InstanceDescription[]): readonly core.InstanceId[] {
    return instances.map(instance => instance.id);
}
