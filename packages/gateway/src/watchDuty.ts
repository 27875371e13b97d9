import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as fleetView from "./fleetView.js";
import * as homeDirectory from "./homeDirectory.js";
import type * as memberDirectory from "./memberDirectory.js";

/** Members of each data centre that watch the store in a large fleet; the others hear of changes from them. */
const WatchersPerDataCentre = 3;
/** Ranks the members of a data centre; all of them compute the same order. */
const RankKey = "watch";
/** A watching member that was heard of within this time passes changes on: heartbeats come each second. */
export const HeardMilliseconds = 1_100;
/** Time without a heartbeat of any watching member after which a member watches the store itself. */
const UnheardMilliseconds = 1_400;
/** Once begun, a watch of a member's own lasts at least this long: links that flap must not cost a listing each time. */
const OwnWatchMilliseconds = 10_000;
/**
 * The store must have answered this member for so long, and a random time more, before it watches by itself. After an outage the
 * watching members are heard of again first, and hundreds of others don't list at its end.
 */
const StoreSettledMilliseconds = 1_500;
const SpreadMilliseconds = 1_000;

/** Why a member watches the store, or does not. */
export enum WatchReason {
    /** Every member watches. */
    SmallFleet = "SmallFleet",
    /** One of the watching members of its data centre. */
    Assigned = "Assigned",
    /** No watching member is heard of. */
    Unheard = "Unheard",
    /** It hears of changes from the watching members. */
    Following = "Following",
}

/**
 * Decides which members watch the store. Load: hundreds of members, each change of which would wake the watches of all others, a
 * call for each pair. Pure but for the members and the view that it reads.
 */
export class WatchDuty {
    private heardAt: core.MonotonicMilliseconds;
    /** When each watching member was last heard of. */
    private readonly watching = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    /** Computed when first asked for after a change of the members. */
    private watchers: readonly core.InstanceId[] | undefined;
    private isLarge: boolean | undefined;
    private ownWatchUntil: core.MonotonicMilliseconds = -Infinity;
    private readonly spread: number;

    constructor(
        private readonly members: memberDirectory.MemberDirectory,
        private readonly view: fleetView.FleetView,
        startedAt: core.MonotonicMilliseconds,
        random: () => number,
    ) {
        this.heardAt = startedAt;
        this.spread = random() * SpreadMilliseconds;
        members.onChange(gone => {
            gone.forEach(id => this.watching.delete(id));
            this.watchers = undefined;
            this.isLarge = undefined;
        });
    }

    isLargeFleet(): boolean {
        this.isLarge ??= this.members.countOtherInstances() > homeDirectory.NeighbourCount;
        return this.isLarge;
    }

    /** A watching member's heartbeat has arrived. */
    recordHeard(peer: core.InstanceId, now: core.MonotonicMilliseconds): void {
        this.heardAt = now;
        this.watching.set(peer, now);
    }

    /** Time since a watching member was heard of, in milliseconds. */
    getUnheardMilliseconds(now: core.MonotonicMilliseconds): number {
        return now - this.heardAt;
    }

    decide(now: core.MonotonicMilliseconds): WatchReason {
        if (!this.isLargeFleet()) {
            return WatchReason.SmallFleet;
        }
        if (this.getWatchers().includes(this.members.self.id)) {
            return WatchReason.Assigned;
        }
        if (this.getUnheardMilliseconds(now) > UnheardMilliseconds && this.isStoreSettled(now)) {
            this.ownWatchUntil = now + OwnWatchMilliseconds;
        }
        return now < this.ownWatchUntil ? WatchReason.Unheard : WatchReason.Following;
    }

    /** The watching members of this member's data centre. */
    getWatchers(): readonly core.InstanceId[] {
        this.watchers ??= this.chooseWatchers();
        return this.watchers;
    }

    /** Whether a change comes to this member by itself: it watches, or a watching member knows of it and is heard of. */
    isUpdated(now: core.MonotonicMilliseconds): boolean {
        const watchers = this.getWatchers();
        return (
            watchers.includes(this.members.self.id) ||
            (this.members.isListed() && watchers.some(id => this.isHeard(id, now)))
        );
    }

    /** Members that this one passes changes on to: each follower has one of those watching members that are heard of. */
    getFollowers(now: core.MonotonicMilliseconds): readonly core.InstanceId[] {
        const { self } = this.members;
        const watchers = this.getWatchers();
        if (!watchers.includes(self.id)) {
            return [];
        }
        const active = watchers.filter(id => id === self.id || this.isHeard(id, now));
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

    private isHeard(watcher: core.InstanceId, now: core.MonotonicMilliseconds): boolean {
        return now - (this.watching.get(watcher) ?? -Infinity) <= HeardMilliseconds;
    }

    private isStoreSettled(now: core.MonotonicMilliseconds): boolean {
        const returnedAt = this.view.tryGetStoreReturn();
        return returnedAt !== undefined && now - returnedAt > StoreSettledMilliseconds + this.spread;
    }
}
