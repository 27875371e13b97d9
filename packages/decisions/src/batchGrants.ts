import type * as core from "@boragedale/core";
import type * as slotTable from "./slotTable.js";

/**
 * How long a grant counts as an occupied slot unless the requester's own notification arrives first. Covers the way to
 * the requester, the start there, the delay of the notification and the way back.
 */
const GrantExpiryMilliseconds = 60;

interface Grant {
    readonly requester: core.InstanceId;
    readonly until: core.MonotonicMilliseconds;
}

/**
 * Grants free slots for batch items on the upstreams that this instance coordinates.
 *
 * When an online burst ends, all instances have items waiting and see the same slot become free at the same moment. If
 * each of them started an item there, the next online request would wait behind seven of them. So for each upstream one
 * instance decides who may start; online requests don't need a grant.
 */
export class BatchGrants {
    private readonly grants = new Map<core.UpstreamId, Grant[]>();

    /** Grants a slot for an item if `reserve` slots stay free for online work; returns whether it was granted. */
    tryGrant(
        requester: core.InstanceId,
        upstream: core.UpstreamId,
        total: slotTable.SlotUse,
        slots: number,
        reserve: number,
        now: core.MonotonicMilliseconds,
    ): boolean {
        const pending = (this.grants.get(upstream) ?? []).filter(grant => grant.until > now);
        const hasFreeSlot = total.online + total.batch + pending.length < slots - reserve;
        if (hasFreeSlot) {
            pending.push({ requester, until: now + GrantExpiryMilliseconds });
        }
        this.grants.set(upstream, pending);
        return hasFreeSlot;
    }

    /**
     * Removes the requester's oldest grant for the upstream: its own notification has arrived, so that the slot table
     * includes the item from now on.
     */
    confirm(requester: core.InstanceId, upstream: core.UpstreamId): void {
        const pending = this.grants.get(upstream);
        const index = pending?.findIndex(grant => grant.requester === requester) ?? -1;
        if (index >= 0) {
            pending?.splice(index, 1);
        }
    }
}
