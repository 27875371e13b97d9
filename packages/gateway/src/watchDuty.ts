import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as fleetView from "./fleetView.js";
import * as coordinatorDirectory from "./homeDirectory.js";
import type * as memberDirectory from "./memberDirectory.js";

/** Members of each data centre that watch the store in a large fleet. The others receive changes from them. */
const WatchersPerDataCentre = 3;
/** Hash key for ranking the members of a data centre. All of them compute the same order. */
const RankKey = "watch";
/**
 * A watching member whose heartbeat arrived within this time is taken to pass changes on. Heartbeats are sent every
 * second.
 */
export const WatcherAliveMilliseconds = 1_100;
/** Time without a heartbeat of any watching member after which a member watches the store itself. */
const WatchersLostMilliseconds = 1_400;
/**
 * Minimum duration of a watch that a member begins because no watching member reaches it: unstable links must not cost
 * a listing each time.
 */
const MinimumOwnWatchMilliseconds = 10_000;
/**
 * The store must have answered this member for this time, plus a random one, before the member watches without being
 * assigned. After an outage the heartbeats of the watching members arrive first, so that hundreds of other members do
 * not list the store at its end.
 */
const StoreStableMilliseconds = 1_500;
const JitterMilliseconds = 1_000;

/** Why a member watches the store, or does not. */
export enum WatchReason {
    /** Every member watches. */
    SmallFleet = "SmallFleet",
    /** One of the watching members of its data centre. */
    Assigned = "Assigned",
    /** No heartbeat of a watching member arrives. */
    Unheard = "Unheard",
    /** It receives changes from the watching members. */
    Following = "Following",
}

/**
 * Decides which members watch the store. With hundreds of watching members, each change would wake the watches of all
 * others, which costs a call for each pair of members. Pure apart from reading the members and the view.
 */
export class WatchAssignment {
    private heartbeatAt: core.MonotonicMilliseconds;
    /** When the last heartbeat of each watching member arrived. */
    private readonly heartbeats = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    /** Computed on first use after a change of the members. */
    private watchers: readonly core.InstanceId[] | undefined;
    private isLarge: boolean | undefined;
    private ownWatchUntil: core.MonotonicMilliseconds = -Infinity;
    private readonly jitterMilliseconds: number;

    constructor(
        private readonly members: memberDirectory.MemberDirectory,
        private readonly view: fleetView.FleetView,
        startedAt: core.MonotonicMilliseconds,
        random: () => number,
    ) {
        this.heartbeatAt = startedAt;
        this.jitterMilliseconds = random() * JitterMilliseconds;
        members.onChange(removed => {
            removed.forEach(id => this.heartbeats.delete(id));
            this.watchers = undefined;
            this.isLarge = undefined;
        });
    }

    isLargeFleet(): boolean {
        this.isLarge ??= this.members.countOtherInstances() > coordinatorDirectory.NeighbourCount;
        return this.isLarge;
    }

    /** Records the heartbeat of a watching member. */
    recordHeartbeat(peer: core.InstanceId, now: core.MonotonicMilliseconds): void {
        this.heartbeatAt = now;
        this.heartbeats.set(peer, now);
    }

    /** Time since the last heartbeat of a watching member. */
    getMillisecondsSinceHeartbeat(now: core.MonotonicMilliseconds): number {
        return now - this.heartbeatAt;
    }

    decide(now: core.MonotonicMilliseconds): WatchReason {
        if (!this.isLargeFleet()) {
            return WatchReason.SmallFleet;
        }
        if (this.getWatchers().includes(this.members.self.id)) {
            return WatchReason.Assigned;
        }
        if (this.getMillisecondsSinceHeartbeat(now) > WatchersLostMilliseconds && this.isStoreStable(now)) {
            this.ownWatchUntil = now + MinimumOwnWatchMilliseconds;
        }
        return now < this.ownWatchUntil ? WatchReason.Unheard : WatchReason.Following;
    }

    /** The watching members of this member's data centre. */
    getWatchers(): readonly core.InstanceId[] {
        this.watchers ??= this.chooseWatchers();
        return this.watchers;
    }

    /**
     * Whether changes reach this member without a request: it watches, or it is listed and receives heartbeats of a
     * watching member.
     */
    receivesUpdates(now: core.MonotonicMilliseconds): boolean {
        const watchers = this.getWatchers();
        return (
            watchers.includes(this.members.self.id) ||
            (this.members.isListed() && watchers.some(id => this.isWatcherAlive(id, now)))
        );
    }

    /**
     * Members that this one passes changes on to. Each follower is assigned to one of the watching members with recent
     * heartbeats.
     */
    getFollowers(now: core.MonotonicMilliseconds): readonly core.InstanceId[] {
        const { self } = this.members;
        const watchers = this.getWatchers();
        if (!watchers.includes(self.id)) {
            return [];
        }
        const active = watchers.filter(id => id === self.id || this.isWatcherAlive(id, now));
        return this.members
            .getOthers()
            .filter(member => member.dataCentre === self.dataCentre && !watchers.includes(member.id))
            .filter(member => decisions.rendezvous(member.id, active) === self.id)
            .map(member => member.id);
    }

    private chooseWatchers(): readonly core.InstanceId[] {
        const near = this.members
            .getMembers()
            .filter(member => member.dataCentre === this.members.self.dataCentre)
            .map(member => member.id);
        return decisions.chooseSubset(RankKey, near, WatchersPerDataCentre);
    }

    private isWatcherAlive(watcher: core.InstanceId, now: core.MonotonicMilliseconds): boolean {
        return now - (this.heartbeats.get(watcher) ?? -Infinity) <= WatcherAliveMilliseconds;
    }

    private isStoreStable(now: core.MonotonicMilliseconds): boolean {
        const returnedAt = this.view.tryGetStoreRecoveredAt();
        return returnedAt !== undefined && now - returnedAt > StoreStableMilliseconds + this.jitterMilliseconds;
    }
}
