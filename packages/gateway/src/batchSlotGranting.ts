import type * as core from "@boragedale/core";
import type * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
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
    readonly finish: (upstream: core.UpstreamId | undefined) => void;
}

/** Grants slots for batch items of peers on the engines that this member coordinates, and requests slots for its own. */
export class BatchSlotGranting {
    private readonly waiting = new Set<WaitingItem>();
    private readonly pendingBatchRequests = new Set<core.InstanceId>();

    constructor(private readonly parts: BatchSlotGrantingParts) {
        const { network } = parts;
        network.handle(protocol.MessageKind.BatchSlotRequest, async (message, from) => {
            const upstream = await this.grantBatch(message.service, from);
            const kind = protocol.MessageKind.BatchSlotReply;
            return upstream === undefined ? { kind } : { kind, upstream };
        });
    }

    /**
     * Requests slots from neighbours for the wanted number of items. `use` is called with each granted slot, and
     * returns whether it is used.
     */
    requestBatchSlots(service: string, wanted: number, use: (upstream: core.UpstreamId) => boolean): void {
        const coordinators = new Set(
            this.getLinkedCoordinators().filter(coordinator => !this.pendingBatchRequests.has(coordinator)),
        );
        const requestCount = Math.min(wanted, MaximumPendingBatchRequests) - this.pendingBatchRequests.size;
        for (const coordinator of this.parts.rank([...coordinators]).slice(0, Math.max(0, requestCount))) {
            void this.requestBatchSlot(coordinator, service, use);
        }
    }

    /** Grants slots that may have been freed here to the waiting items of peers, in the order in which they arrived. */
    serveWaiting(): void {
        for (const item of this.waiting) {
            const upstream = this.tryGrantBatch(item.service, item.from);
            if (upstream !== undefined) {
                item.finish(upstream);
            }
        }
    }

    /** Drops the waiting items of removed members. */
    forget(removed: readonly core.InstanceId[]): void {
        [...this.waiting].filter(item => removed.includes(item.from)).forEach(item => item.finish(undefined));
    }

    private async requestBatchSlot(
        coordinator: core.InstanceId,
        service: string,
        use: (upstream: core.UpstreamId) => boolean,
    ): Promise<void> {
        this.pendingBatchRequests.add(coordinator);
        const message = { kind: protocol.MessageKind.BatchSlotRequest, service } as const;
        const reply = await this.parts.network.request(coordinator, message, {
            lane: protocol.Lane.Control,
            timeoutMilliseconds: BatchTimeoutMilliseconds,
        });
        this.pendingBatchRequests.delete(coordinator);
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

    private async grantBatch(service: string, from: core.InstanceId): Promise<core.UpstreamId | undefined> {
        const upstream = this.tryGrantBatch(service, from);
        if (upstream !== undefined || this.waiting.size >= MaximumWaitingItems) {
            return upstream;
        }
        return new Promise(resolve => {
            const item: WaitingItem = {
                service,
                from,
                finish: granted => {
                    cancelTimeout();
                    this.waiting.delete(item);
                    resolve(granted);
                },
            };
            const cancelTimeout = this.parts.clock.schedule(BatchWaitMilliseconds, () => item.finish(undefined));
            this.waiting.add(item);
        });
    }

    private tryGrantBatch(service: string, from: core.InstanceId): core.UpstreamId | undefined {
        const { slotTable, coordinators, clock, dataCentre } = this.parts;
        const upstream = slotTable.tryChooseBatch(
            coordinators.getOwnEngines(service),
            ReservedSlots,
            dataCentre,
            clock.now(),
        );
        if (upstream !== undefined) {
            slotTable.addPeer(from, upstream, { online: 0, batch: 1 });
            this.parts.onGranted(from);
        }
        return upstream;
    }

    private getLinkedCoordinators(): readonly core.InstanceId[] {
        return this.parts.network.getConnectedPeers().filter(peer => this.parts.coordinators.isCoordinator(peer));
    }
}
