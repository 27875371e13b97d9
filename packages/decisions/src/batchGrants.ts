import type * as core from "@boragedale/core";
import type * as slotBoard from "./slotBoard.js";

/**
 * A grant counts as a place taken until the asker's own notice has come: its way to the asker, the start there, the delay
 * of the notice and the way back.
 */
const GrantMilliseconds = 60;

interface Grant {
    readonly asker: core.InstanceId;
    readonly until: core.MonotonicMilliseconds;
}

/**
 * Hands out the free places of the upstreams that this instance is home of to batch items.
 *
 * Load: all instances have items waiting when an online burst ebbs, and see the same place come free at the same moment.
 * Harm prevented: each starts an item there, and the next online request waits behind seven of them. One instance an
 * upstream says who may; online requests never ask.
 */
export class BatchGrants {
    private readonly grants = new Map<core.UpstreamId, Grant[]>();

    /** Whether an item may start, with `reserve` places kept free for online work. */
    tryGrant(
        asker: core.InstanceId,
        upstream: core.UpstreamId,
        total: slotBoard.SlotUse,
        slots: number,
        reserve: number,
        now: core.MonotonicMilliseconds,
    ): boolean {
        const open = (this.grants.get(upstream) ?? []).filter(grant => grant.until > now);
        const isRoom = total.online + total.batch + open.length < slots - reserve;
        if (isRoom) {
            open.push({ asker, until: now + GrantMilliseconds });
        }
        this.grants.set(upstream, open);
        return isRoom;
    }

    /** The asker's own notice of the upstream came: its oldest grant is in the board from now on. */
    settle(asker: core.InstanceId, upstream: core.UpstreamId): void {
        const open = this.grants.get(upstream);
        const index = open?.findIndex(grant => grant.asker === asker) ?? -1;
        if (index >= 0) {
            open?.splice(index, 1);
        }
    }
}
