import type * as core from "@boragedale/core";
import type * as decisions from "@boragedale/decisions";
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
    readonly onRequested: (reason: YieldReason) => void;
}

/**
 * Asks batch work to give up slots, and asks again if that has no effect: the notice may be lost, or its receiver may
 * have ended. Otherwise an online request would wait at the engine until an item ends there.
 */
export class YieldRequests {
    constructor(private readonly parts: YieldRequestsParts) {}

    request(upstream: core.UpstreamId, yielder: core.InstanceId, reason: YieldReason): void {
        this.parts.onRequested(reason);
        this.parts.send(upstream, yielder);
    }

    /** As `request`, and asks again while the engine, which this member coordinates, has more requests than slots. */
    requestUntilFree(upstream: core.UpstreamId, yielder: core.InstanceId, reason: YieldReason, repeats = 0): void {
        this.request(upstream, yielder, reason);
        if (repeats >= MaximumRepeats) {
            return;
        }
        this.parts.clock.schedule(RepeatAfterMilliseconds, () => {
            const engine = this.parts.coordinators.getAllOwnEngines().find(({ id }) => id === upstream);
            const { online, batch } = this.parts.slotTable.getTotal(upstream);
            const next = this.parts.slotTable.tryChooseYieldingInstance(upstream);
            if (engine !== undefined && next !== undefined && batch > 0 && online + batch > engine.slots) {
                this.requestUntilFree(upstream, next, YieldReason.Repeated, repeats + 1);
            }
        });
    }
}
