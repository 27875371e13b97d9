import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as coordinatorDirectory from "./homeDirectory.js";
import type * as memberDirectory from "./memberDirectory.js";

/** Members for each owner in a large fleet. Where customers have limits, all members stay linked to every owner. */
const MembersPerOwner = 16;
const MinimumOwners = 3;
/** Owners that are tried for one key: the current one and its successors. */
const MaximumOwnersTried = 3;
/** Hash key for ranking the members. All of them compute the same order. */
const RankKey = "quota";

/** Determines which member keeps the shared state of a key: the quota of a customer, the origin of a stream, crashes. */
export class StateOwners {
    /** Computed on first use after a change of the members. */
    private owners: readonly core.InstanceId[] | undefined;
    private memberCount: number | undefined;

    constructor(private readonly members: memberDirectory.MemberDirectory) {
        members.onChange(() => {
            this.owners = undefined;
            this.memberCount = undefined;
        });
    }

    /** Calls the listener with the members that have been removed, including previous incarnations of listed ones. */
    onMembersRemoved(listener: (removed: readonly core.InstanceId[]) => void): void {
        this.members.onChange(listener);
    }

    getAll(): readonly core.InstanceId[] {
        this.owners ??= this.choose();
        return this.owners;
    }

    /** The owner of a key's state, followed by its successors, without those that are unreachable. */
    rank(key: string, unreachable: ReadonlySet<core.InstanceId> = new Set()): readonly core.InstanceId[] {
        const all = this.getAll();
        const reachable = unreachable.size === 0 ? all : all.filter(id => !unreachable.has(id));
        return decisions.chooseSubset(key, reachable, MaximumOwnersTried);
    }

    /**
     * Number of instances in the fleet, including this one. A member that has not seen its own entry listed may know
     * only a few of them, and must not assume a small fleet.
     */
    getMemberCount(): number {
        this.memberCount ??= Math.max(
            this.members.countOtherInstances() + 1,
            this.members.isListed() ? 1 : coordinatorDirectory.NeighbourCount + 1,
        );
        return this.memberCount;
    }

    /** Whether this member is an owner. */
    isOwner(): boolean {
        return this.getAll().includes(this.members.self.id);
    }

    pickListed(ids: readonly core.InstanceId[]): readonly core.InstanceId[] {
        return ids.filter(id => this.members.tryGet(id) !== undefined);
    }

    private choose(): readonly core.InstanceId[] {
        const { members } = this;
        const ids = members.getCurrentIncarnations();
        if (ids.length <= coordinatorDirectory.NeighbourCount + 1) {
            return ids;
        }
        return decisions.chooseSubset(RankKey, ids, Math.max(MinimumOwners, Math.ceil(ids.length / MembersPerOwner)));
    }
}
