import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as coordinatorDirectory from "./homeDirectory.js";

/** Why batch work was asked to give up a slot. */
export enum YieldReason {
    /** An online request found no free slot. */
    NoFreeSlot = "NoFreeSlot",
    /** Fewer than the reserved slots would have stayed free. */
    Reserve = "Reserve",
    /** A previous request had no effect. */
    Repeated = "Repeated",
}

/**
 * Time after which a slot that was asked for must be free: a trip each way, the stop of the run, and the delay of the
 * notice of released slots.
 */
const RepeatAfterMilliseconds = 80;
const MaximumRepeats = 3;

export interface YieldRequestsParts {
    readonly slotTable: decisions.SlotTable;
    readonly coordinators: coordinatorDirectory.CoordinatorDirectory;
    readonly clock: core.Clock;
    readonly send: (upstream: core.UpstreamId, yielder: core.InstanceId) => void;
    /** Aborted when the member stops: nothing is sent any more. */
    readonly signal: AbortSignal;
    readonly onRequested: (reason: YieldReason) => void;
}

/**
 * Asks batch work to give up slots, and asks again if that has no effect: the notice may be lost, or its receiver may
 * have ended. Otherwise an online request would wait at the engine until an item ends there.
 */
export class YieldRequests {
    /** Requests that may still take effect, by upstream. */
    private readonly pending = new Map<core.UpstreamId, number>();

    constructor(private readonly parts: YieldRequestsParts) {}

    request(upstream: core.UpstreamId, yielder: core.InstanceId, reason: YieldReason): void {
        this.parts.onRequested(reason);
        this.parts.send(upstream, yielder);
    }

    /**
     * As `request`, and asks again while the engine, which this member coordinates, has more requests than slots for
     * which requests to yield are pending.
     */
    requestUntilFree(upstream: core.UpstreamId, yielder: core.InstanceId, reason: YieldReason, repeats = 0): void {
        if (yielder !== decisions.SelfInstance) {
            this.parts.slotTable.recordYieldRequest(yielder, upstream);
        }
        this.request(upstream, yielder, reason);
        if (repeats >= MaximumRepeats) {
            return;
        }
        this.pending.set(upstream, this.getPending(upstream) + 1);
        this.parts.clock.schedule(RepeatAfterMilliseconds, () => {
            this.removePending(upstream);
            const next = this.parts.slotTable.tryChooseYieldingInstance(upstream);
            if (next !== undefined && !this.parts.signal.aborted && this.isYieldMissing(upstream)) {
                this.requestUntilFree(upstream, next, YieldReason.Repeated, repeats + 1);
            }
        });
    }

    /** Whether more batch slots have to be freed than were asked for recently. */
    private isYieldMissing(upstream: core.UpstreamId): boolean {
        const engine = this.parts.coordinators.getAllOwnEngines().find(({ id }) => id === upstream);
        if (engine === undefined) {
            return false;
        }
        const { online, batch } = this.parts.slotTable.getTotal(upstream);
        return Math.min(batch, online + batch - engine.slots) > this.getPending(upstream);
    }

    private getPending(upstream: core.UpstreamId): number {
        return this.pending.get(upstream) ?? 0;
    }

    private removePending(upstream: core.UpstreamId): void {
        const remaining = this.getPending(upstream) - 1;
        if (remaining > 0) {
            this.pending.set(upstream, remaining);
        }
        else {
            this.pending.delete(upstream);
        }
    }
}
