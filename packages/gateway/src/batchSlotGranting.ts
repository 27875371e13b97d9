import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import type * as demandReserve from "./demandReserve.js";
import type * as coordinatorDirectory from "./homeDirectory.js";

/** Slots that batch work leaves free on each upstream, so that an online request finds one without asking. */
export const ReservedSlots = 1;

/** A batch item's request waits at the coordinator until a slot is freed, so that members do not poll. */
const BatchWaitMilliseconds = 600;
const BatchTimeoutMilliseconds = BatchWaitMilliseconds + 200;
/** Coordinators at which this member's items wait at the same time. */
const MaximumPendingBatchRequests = 6;
/**
 * Requests of peers that wait here. More than all neighbours together send indicates a defect, and further ones are
 * rejected.
 */
const MaximumWaitingItems = 400;

export interface BatchSlotGrantingParts {
    readonly slotTable: decisions.SlotTable;
    readonly coordinators: coordinatorDirectory.CoordinatorDirectory;
    readonly network: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly dataCentre: core.DataCentre;
    readonly reserve: demandReserve.DemandReserve;
    /** The most urgent item of this member that waits for a slot; undefined if none does. */
    readonly tryGetMostUrgent: (service: string) => decisions.ItemEstimate | undefined;
    /** Adds the measured speeds of engines to candidates. */
    readonly annotate: (
        service: string,
        candidates: readonly decisions.SlotCandidate[],
    ) => readonly decisions.SlotCandidate[];
    /** Called with the member that was granted a slot. */
    readonly onGranted: (requester: core.InstanceId) => void;
    /** Notifies the coordinator of the actual use of a slot that it counts for this member. */
    readonly returnSlot: (upstream: core.UpstreamId) => void;
    /** Returns the coordinators worth asking, best first. */
    readonly rank: (coordinators: readonly core.InstanceId[]) => readonly core.InstanceId[];
    readonly noteUnresponsive: (coordinator: core.InstanceId, reply: protocol.PeerResult) => void;
}

/** A batch item of a peer that waits here for a slot. */
interface WaitingItem {
    readonly service: string;
    readonly from: core.InstanceId;
    readonly arrivedAt: core.MonotonicMilliseconds;
    /** As stated when the request arrived; undefined if the requester states none. */
    readonly estimate: decisions.ItemEstimate | undefined;
    readonly finish: (upstream: core.UpstreamId | undefined) => void;
}

/** Place of an item whose urgency is unknown, as of an older version, among the others: half of its time has passed. */
const UnknownEstimate: decisions.ItemEstimate = {
    dueInMilliseconds: 9_000,
    remainingMilliseconds: 0,
    eventsSoFar: 0,
};

function tryReadEstimate(message: protocol.BatchSlotRequest): decisions.ItemEstimate | undefined {
    const { dueInMilliseconds, remainingMilliseconds } = message;
    return dueInMilliseconds === undefined
        ? undefined
        : { dueInMilliseconds, remainingMilliseconds: remainingMilliseconds ?? 0, eventsSoFar: 0 };
}

function createUrgency(
    item: decisions.ItemEstimate,
): Pick<protocol.BatchSlotRequest, "dueInMilliseconds" | "remainingMilliseconds"> {
    return {
        dueInMilliseconds: Math.round(item.dueInMilliseconds),
        remainingMilliseconds: Math.round(item.remainingMilliseconds),
    };
}

/** Grants slots for batch items of peers on the engines that this member coordinates, and requests slots for its own. */
export class BatchSlotGranting {
    private readonly waiting = new Set<WaitingItem>();
    /** By service: the coordinators that have been asked for a slot and have not replied. */
    private readonly pendingBatchRequests = new Map<string, Set<core.InstanceId>>();

    constructor(private readonly parts: BatchSlotGrantingParts) {
        const { network } = parts;
        network.handle(protocol.MessageKind.BatchSlotRequest, async (message, from) => {
            const upstream = await this.grantBatch(message.service, from, tryReadEstimate(message));
            const kind = protocol.MessageKind.BatchSlotReply;
            return upstream === undefined ? { kind } : { kind, upstream };
        });
    }

    /**
     * Requests slots from coordinators of the service's engines for the wanted number of items. `use` is called with each granted slot, and
     * returns whether it is used. `items` are the waiting items, most urgent first, as far as they are known.
     */
    requestBatchSlots(
        service: string,
        wanted: number,
        use: (upstream: core.UpstreamId) => boolean,
        items: readonly decisions.ItemEstimate[] = [],
    ): void {
        const pending = this.getPending(service);
        const coordinators = this.getReachableCoordinators(service).filter(coordinator => !pending.has(coordinator));
        const requestCount = Math.min(wanted, MaximumPendingBatchRequests) - pending.size;
        const asked = this.parts.rank(coordinators).slice(0, Math.max(0, requestCount));
        asked.forEach((coordinator, index) => void this.requestBatchSlot(coordinator, service, items[index], use));
    }

    /**
     * Grants slots that may have been freed here to the waiting items of peers: in the order in which they arrived, or,
     * where batch work follows the demand, most urgent first. `isOwnServed`: this member's own items have taken the slots
     * that they can use; otherwise slots are left to those that are more urgent.
     */
    serveWaiting(isOwnServed = false): void {
        if (this.parts.reserve.isActive()) {
            this.serveMostUrgent(isOwnServed);
            return;
        }
        for (const item of this.waiting) {
            const upstream = this.tryGrantBatch(item.service, item.from, item.estimate);
            if (upstream !== undefined) {
                item.finish(upstream);
            }
        }
    }

    private serveMostUrgent(isOwnServed: boolean): void {
        const services = new Set([...this.waiting].map(item => item.service));
        for (const service of services) {
            const engines = this.parts.coordinators.getOwnEngines(service);
            if (!this.parts.reserve.hasFreeSlot(engines)) {
                continue;
            }
            const own = isOwnServed ? undefined : this.parts.tryGetMostUrgent(service);
            const waiting = [...this.waiting]
                .filter(item => item.service === service)
                .map(item => ({ item, estimate: this.getCurrentEstimate(item) }))
                .sort((left, right) => decisions.compareItems(left.estimate, right.estimate));
            for (const { item, estimate } of waiting) {
                if (own !== undefined && decisions.compareItems(own, estimate) < 0) {
                    break;
                }
                const stated = item.estimate === undefined ? undefined : estimate;
                const upstream = this.tryGrantBatch(service, item.from, stated, engines);
                if (upstream !== undefined) {
                    item.finish(upstream);
                }
                else if (!this.parts.reserve.hasFreeSlot(engines)) {
                    break;
                }
            }
        }
    }

    private getCurrentEstimate({ estimate, arrivedAt }: WaitingItem): decisions.ItemEstimate {
        const waited = this.parts.clock.now() - arrivedAt;
        const stated = estimate ?? UnknownEstimate;
        return { ...stated, dueInMilliseconds: stated.dueInMilliseconds - waited };
    }

    /** Drops the waiting items of removed members. */
    forget(removed: readonly core.InstanceId[]): void {
        [...this.waiting].filter(item => removed.includes(item.from)).forEach(item => item.finish(undefined));
    }

    private async requestBatchSlot(
        coordinator: core.InstanceId,
        service: string,
        item: decisions.ItemEstimate | undefined,
        use: (upstream: core.UpstreamId) => boolean,
    ): Promise<void> {
        const pending = this.getPending(service);
        pending.add(coordinator);
        const message = {
            kind: protocol.MessageKind.BatchSlotRequest,
            service,
            ...(this.parts.reserve.isActive() && item !== undefined ? createUrgency(item) : {}),
        } as const;
        const reply = await this.parts.network.request(coordinator, message, {
            lane: protocol.Lane.Control,
            timeoutMilliseconds: BatchTimeoutMilliseconds,
        });
        pending.delete(coordinator);
        if (!reply.ok || reply.message.kind !== protocol.MessageKind.BatchSlotReply) {
            this.parts.noteUnresponsive(coordinator, reply);
            // The coordinator may have granted a slot as the wait ended.
            this.parts.coordinators.getEnginesOf(coordinator, service).forEach(this.parts.returnSlot);
            return;
        }
        const { upstream } = reply.message;
        if (upstream !== undefined && !use(upstream)) {
            this.parts.returnSlot(upstream);
        }
    }

    private async grantBatch(
        service: string,
        from: core.InstanceId,
        estimate: decisions.ItemEstimate | undefined,
    ): Promise<core.UpstreamId | undefined> {
        const followsDemand = this.parts.reserve.isActive();
        const upstream = followsDemand ? undefined : this.tryGrantBatch(service, from, estimate);
        if (upstream !== undefined || this.waiting.size >= MaximumWaitingItems) {
            return upstream;
        }
        return new Promise(resolve => {
            const item: WaitingItem = {
                service,
                from,
                arrivedAt: this.parts.clock.now(),
                estimate,
                finish: granted => {
                    cancelTimeout();
                    this.waiting.delete(item);
                    resolve(granted);
                },
            };
            const cancelTimeout = this.parts.clock.schedule(BatchWaitMilliseconds, () => item.finish(undefined));
            this.waiting.add(item);
            if (followsDemand) {
                // Items that are more urgent than this one may wait, also this member's own.
                this.serveWaiting();
            }
        });
    }

    private tryGrantBatch(
        service: string,
        from: core.InstanceId,
        estimate: decisions.ItemEstimate | undefined,
        engines = this.parts.coordinators.getOwnEngines(service),
    ): core.UpstreamId | undefined {
        const { slotTable, clock, dataCentre, reserve } = this.parts;
        const isActive = reserve.isActive();
        const usable = isActive ? reserve.filterStarts(service, engines, estimate) : engines;
        const upstream = slotTable.tryChooseBatch(
            // A single engine is chosen whatever its speed. This runs for each waiting item whenever a slot may be free.
            usable.length > 1 ? this.parts.annotate(service, usable) : usable,
            ReservedSlots,
            dataCentre,
            clock.now(),
        );
        if (upstream !== undefined) {
            slotTable.addPeer(from, upstream, { online: 0, batch: 1 });
            if (isActive && estimate !== undefined) {
                // A granted slot is not reported before the next notice.
                slotTable.raisePeerSlack(from, upstream, decisions.getReportedSlack(estimate));
            }
            this.parts.onGranted(from);
        }
        return upstream;
    }

    private getPending(service: string): Set<core.InstanceId> {
        const pending = this.pendingBatchRequests.get(service) ?? new Set();
        this.pendingBatchRequests.set(service, pending);
        return pending;
    }

    /**
     * The other coordinators of the service's engines that this member is linked to. A service with few engines may have
     * none of them; a link is then opened on request.
     */
    private getReachableCoordinators(service: string): readonly core.InstanceId[] {
        const coordinators = this.parts.coordinators.getOtherCoordinators(service);
        const linked = this.parts.network.getConnectedPeers().filter(peer => coordinators.has(peer));
        return linked.length > 0 ? linked : [...coordinators];
    }
}
