import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as homeDirectory from "./homeDirectory.js";
import type * as memberDirectory from "./memberDirectory.js";

/** Members for each keeper in a large fleet: all members stay linked to every keeper. */
const MembersPerKeeper = 16;
const FewestKeepers = 3;
/** Keepers that are tried for one customer: the one that has the duty, and those that have it next. */
const MostKeepersTried = 3;
/** Ranks the members; all of them compute the same order. */
const RankKey = "quota";

/** Which member keeps the limit of which customer. */
export class QuotaKeepers {
    /** Computed when first asked for after a change of the members. */
    private keepers: readonly core.InstanceId[] | undefined;
    private memberCount: number | undefined;

    constructor(private readonly members: memberDirectory.MemberDirectory) {
        members.onChange(() => {
            this.keepers = undefined;
            this.memberCount = undefined;
        });
    }

    getAll(): readonly core.InstanceId[] {
        this.keepers ??= this.choose();
        return this.keepers;
    }

    /** The keeper of a customer's limit first, then who keeps it when that one is gone. `except`: those out of reach. */
    rank(customer: string, except: ReadonlySet<core.InstanceId> = new Set()): readonly core.InstanceId[] {
        const all = this.getAll();
        const reachable = except.size === 0 ? all : all.filter(id => !except.has(id));
        return decisions.chooseSubset(customer, reachable, MostKeepersTried);
    }

    /**
     * Instances of the fleet, this one included. A member that has not seen itself listed may know few of them: it doesn't take itself for
     * one of a small fleet.
     */
    getMemberCount(): number {
        this.memberCount ??= Math.max(
            this.members.countOtherInstances() + 1,
            this.members.isListed() ? 1 : homeDirectory.NeighbourCount + 1,
        );
        return this.memberCount;
    }

    /** Whether this member keeps limits. */
    isKeeper(): boolean {
        return this.getAll().includes(this.members.self.id);
    }

    pickListed(ids: readonly core.InstanceId[]): readonly core.InstanceId[] {
        return ids.filter(id => this.members.tryGet(id) !== undefined);
    }

    private choose(): readonly core.InstanceId[] {
        const { members } = this;
        const ids = members.getCurrentLives();
        if (ids.length <= homeDirectory.NeighbourCount + 1) {
            return ids;
        }
        return decisions.chooseSubset(RankKey, ids, Math.max(FewestKeepers, Math.ceil(ids.length / MembersPerKeeper)));
    }
}
