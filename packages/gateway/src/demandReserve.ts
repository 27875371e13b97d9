import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as coordinatorDirectory from "./homeDirectory.js";
import * as loadPolicy from "./loadPolicy.js";
import type * as types from "./types.js";

/** Streams hold a slot for some 0.7 s, so that shorter intervals show nothing new. */
const SampleIntervalMilliseconds = 100;
/** Interval of samples without any change of slots. A timer for each sample would wake up an idle instance ten times a second. */
const IdleSampleIntervalMilliseconds = 500;
/** An item that can wait and that runs for longer than any low phase. */
const PatientItem: decisions.ItemEstimate = {
    dueInMilliseconds: Infinity,
    remainingMilliseconds: Number.MAX_SAFE_INTEGER,
    eventsSoFar: 0,
};

export interface DemandReserveParts {
    readonly slotTable: decisions.SlotTable;
    readonly coordinators: coordinatorDirectory.CoordinatorDirectory;
    readonly clock: core.Clock;
    readonly policy: loadPolicy.LoadPolicy;
}

/** Online use of the engines that this member coordinates, in slots, for operators. */
export interface OnlineUse {
    readonly level: number;
    readonly peak: number;
    /** Slots that the start of a batch item which can wait leaves free. */
    readonly keptFree: number;
}

/**
 * Samples the online use of the engines that this member coordinates, and decides on which of them a batch item may
 * start. The engines of each service are observed separately, since their demand differs.
 */
export class DemandReserve {
    private readonly demands = new Map<string, decisions.OnlineDemand>();
    private sampledAt: core.MonotonicMilliseconds = -Infinity;

    constructor(private readonly parts: DemandReserveParts) {}

    /** Whether batch work follows the online demand: if operators chose it, in fleets where coordinators grant slots. */
    isActive(): boolean {
        return (
            this.parts.policy.batchReserve === loadPolicy.BatchReserve.Demand &&
            this.parts.coordinators.areSlotsGranted()
        );
    }

    /** Samples the online use. Called when slots are taken or freed, and does nothing if the last sample is recent. */
    sample(): void {
        const now = this.parts.clock.now();
        if (now - this.sampledAt >= SampleIntervalMilliseconds && this.isActive()) {
            this.sampledAt = now;
            this.record();
        }
    }

    /** The background task that samples the online use while no slots are taken or freed. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted && this.parts.policy.batchReserve === loadPolicy.BatchReserve.Demand) {
            this.sample();
            await this.parts.clock.sleep(IdleSampleIntervalMilliseconds, signal);
        }
    }

    /** Returns the engines on which the item may start. `item` is undefined if nothing is known about it. */
    filterStarts<T extends decisions.SlotCandidate>(
        service: string,
        engines: readonly T[],
        item: decisions.ItemEstimate | undefined,
    ): readonly T[] {
        const demand = this.demands.get(service);
        if (demand === undefined) {
            return engines;
        }
        const now = this.parts.clock.now();
        return engines.filter(({ id, slots }) => {
            const { online, batch } = this.parts.slotTable.getTotal(id);
            return slots - online - batch > demand.getReserve(slots, online, item, now);
        });
    }

    /** Whether any of the engines has a slot for the most urgent item. */
    hasFreeSlot(engines: readonly decisions.SlotCandidate[]): boolean {
        return engines.some(({ id, slots }) => {
            const { online, batch } = this.parts.slotTable.getTotal(id);
            return slots - online - batch > decisions.MarginSlots;
        });
    }

    getOnlineUse(): OnlineUse {
        if (!this.isActive()) {
            return { level: 0, peak: 0, keptFree: 0 };
        }
        const now = this.parts.clock.now();
        let [level, peak, keptFree] = [0, 0, 0];
        for (const [service, engines] of this.groupOwnEngines()) {
            const demand = this.demands.get(service);
            for (const { id, slots } of demand === undefined ? [] : engines) {
                level += (demand?.getLevel() ?? 0) * slots;
                peak += (demand?.getPeak() ?? 0) * slots;
                keptFree += demand?.getReserve(slots, this.parts.slotTable.getTotal(id).online, PatientItem, now) ?? 0;
            }
        }
        return { level, peak, keptFree };
    }

    private record(): void {
        const now = this.parts.clock.now();
        for (const [service, engines] of this.groupOwnEngines()) {
            const demand = this.demands.get(service) ?? new decisions.OnlineDemand();
            this.demands.set(service, demand);
            // Requests that wait at an engine don't use more slots than it has.
            const online = engines.map(({ id, slots }) => Math.min(slots, this.parts.slotTable.getTotal(id).online));
            demand.record(sum(online), sum(engines.map(engine => engine.slots)), now);
        }
    }

    private groupOwnEngines(): Map<string, types.UpstreamEntry[]> {
        const groups = new Map<string, types.UpstreamEntry[]>();
        for (const engine of this.parts.coordinators.getAllOwnEngines()) {
            groups.set(engine.service, [...(groups.get(engine.service) ?? []), engine]);
        }
        return groups;
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
