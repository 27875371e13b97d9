import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";

export interface MembershipOptions {
    readonly self: core.InstanceDescription;
    readonly instanceList: backing.InstanceList;
    readonly clock: core.Clock;
    readonly readMilliseconds?: number;
}

const ReadMilliseconds = 2_000;

/**
 * Peers that an instance links all the time; as many link it. Eight links each reach 400 instances in three steps,
 * and their heartbeats, headers counted, stay near 1 KB a second of the 2 that control may cost.
 */
const Neighbours = 4;

/**
 * How long a peer that could not be reached holds no duties here. The list lags by seconds; longer than that and the
 * list itself must have dropped it, or the peer is back and only the way to it was broken.
 */
const SuspectMilliseconds = 10_000;

/** Silence after which an instance that the list has dropped counts as gone, and not as one that the list forgot. */
const GoneMilliseconds = 10_000;

interface PeerRecord {
    /** The last line of the list about it, kept after the list drops it. */
    description: core.InstanceDescription;
    isListed: boolean;
    /** The list dropped it, or a read showed it first, at this time. */
    listedSince: core.MonotonicMilliseconds;
    heardAt: core.MonotonicMilliseconds | undefined;
    unreachableAt: core.MonotonicMilliseconds | undefined;
    isLeaving: boolean;
    generation: core.Generation;
}

/**
 * Who is in the fleet: the platform's list, corrected by what peers say themselves. The list lags, so a leaving
 * notice or a heartbeat in state `Leaving` counts at once, and a peer that can't be reached loses its duties for a
 * while. All of it is soft: two instances may disagree for seconds, and duties are fenced elsewhere.
 */
export class FleetMembership extends protocol.Membership implements AsyncDisposable {
    private readonly peers = new Map<core.InstanceId, PeerRecord>();
    private readonly changeListeners = new Set<() => void>();
    private readonly heartbeatListeners = new Set<(from: core.InstanceId, heartbeat: protocol.Heartbeat) => void>();
    private readonly stopper = new AbortController();
    private state = core.LifecycleState.Live;
    private live: readonly core.InstanceDescription[];
    private task: Promise<void> = Promise.resolve();

    private constructor(private readonly options: MembershipOptions) {
        super();
        this.live = [options.self];
    }

    /** Starts with one read of the list; an instance that can't read it begins alone and keeps trying. */
    static async start(options: MembershipOptions): Promise<FleetMembership> {
        const membership = new FleetMembership(options);
        await membership.readList();
        membership.task = membership.run();
        return membership;
    }

    /** Takes notice of what peers tell. */
    attach(network: protocol.PeerNetwork): void {
        network.handle(protocol.MessageKind.Heartbeat, async (heartbeat, from) => {
            this.noteHeartbeat(from, heartbeat);
            return undefined;
        });
        network.handle(protocol.MessageKind.Leaving, async leaving => {
            this.noteLeaving(leaving.instance);
            return undefined;
        });
    }

    override getSelf(): core.InstanceId {
        return this.options.self.id;
    }

    override getLiveInstances(): readonly core.InstanceDescription[] {
        return this.live;
    }

    override tryGetHolder(duty: string): core.InstanceId | undefined {
        return decisions.rendezvous(duty, getIds(this.live));
    }

    override tryGetHolderIn(dataCentre: core.DataCentre, duty: string): core.InstanceId | undefined {
        const near = this.live.filter(instance => instance.dataCentre === dataCentre);
        return decisions.rendezvous(duty, getIds(near.length > 0 ? near : this.live));
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
        const silentSince = Math.max(record.heardAt ?? 0, record.listedSince);
        return !record.isListed && now - silentSince > GoneMilliseconds;
    }

    override onChange(listener: () => void): () => void {
        this.changeListeners.add(listener);
        return () => this.changeListeners.delete(listener);
    }

    /** Calls `listener` for each heartbeat of a peer; the returned function stops it. */
    onHeartbeat(listener: (from: core.InstanceId, heartbeat: protocol.Heartbeat) => void): () => void {
        this.heartbeatListeners.add(listener);
        return () => this.heartbeatListeners.delete(listener);
    }

    /** What this instance tells of itself in its heartbeats. */
    getState(): core.LifecycleState {
        return this.state;
    }

    /** From now on this instance holds no duties. */
    leave(): void {
        this.state = core.LifecycleState.Leaving;
        this.refresh();
    }

    /** The peers to stay linked with: the same few for as long as they live, and different ones for each instance. */
    getNeighbours(): readonly protocol.PeerAddress[] {
        const others = this.live.filter(instance => instance.id !== this.options.self.id);
        const chosen = decisions.chooseSubset(`neighbour/${this.options.self.id}`, getIds(others), Neighbours);
        return chosen.flatMap(id => this.tryGetAddress(id) ?? []);
    }

    tryGetAddress(peer: core.InstanceId): protocol.PeerAddress | undefined {
        const record = this.peers.get(peer);
        return record === undefined ? undefined : { id: peer, url: record.description.peerUrl };
    }

    /** Highest generation that each peer has told. */
    getGenerations(): ReadonlyMap<core.InstanceId, core.Generation> {
        return new Map([...this.peers].map(([id, record]) => [id, record.generation]));
    }

    /** The network could not reach the peer, or its link went silent. */
    noteUnreachable(peer: core.InstanceId): void {
        const record = this.peers.get(peer);
        if (record !== undefined) {
            record.unreachableAt = this.options.clock.now();
            this.refresh();
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
        await this.task;
    }

    private async run(): Promise<void> {
        const signal = this.stopper.signal;
        while (!signal.aborted) {
            await this.options.clock.sleep(this.options.readMilliseconds ?? ReadMilliseconds, signal);
            if (!signal.aborted) {
                await this.readList();
            }
        }
    }

    /** A list that can't be read leaves what is known as it is: losing the list must not empty the fleet. */
    private async readList(): Promise<void> {
        const list = await this.options.instanceList.tryRead();
        if (list !== undefined) {
            this.takeList(list.filter(instance => instance.id !== this.options.self.id));
        }
        this.refresh();
    }

    private takeList(list: readonly core.InstanceDescription[]): void {
        const now = this.options.clock.now();
        const listed = new Map(list.map(instance => [instance.id, instance]));
        for (const [id, record] of this.peers) {
            if (record.isListed !== listed.has(id)) {
                record.isListed = !record.isListed;
                record.listedSince = now;
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
                listedSince: now,
                heardAt: undefined,
                unreachableAt: undefined,
                isLeaving: false,
                generation: 0,
            });
        }
        for (const id of [...this.peers.keys()].filter(peer => this.isForgettable(peer))) {
            this.peers.delete(id);
        }
    }

    /** Long gone: kept a while beyond `isGone`, then dropped, since instances are replaced all the time. */
    private isForgettable(peer: core.InstanceId): boolean {
        const record = this.peers.get(peer);
        const now = this.options.clock.now();
        return this.isRemoved(peer) && record !== undefined && now - record.listedSince > 10 * GoneMilliseconds;
    }

    private noteHeartbeat(from: core.InstanceId, heartbeat: protocol.Heartbeat): void {
        const record = this.peers.get(from);
        if (record !== undefined) {
            record.heardAt = this.options.clock.now();
            record.unreachableAt = undefined;
            record.isLeaving = record.isLeaving || heartbeat.state !== core.LifecycleState.Live;
            record.generation = Math.max(record.generation, heartbeat.generation);
            this.refresh();
        }
        for (const listener of this.heartbeatListeners) {
            listener(from, heartbeat);
        }
    }

    /** Leaving is final: a replacement comes under a name of its own. */
    private noteLeaving(instance: core.InstanceId): void {
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
