import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import type * as engineSpeeds from "./engineSpeeds.js";
import type * as coordinatorDirectory from "./homeDirectory.js";
import type * as loadPolicy from "./loadPolicy.js";

/** Slots that batch work leaves free on each upstream, so that an online request finds one without asking. */
export const ReservedSlots = 1;

/**
 * Coordinators that an online request asks before it joins the shortest known queue. With half of the coordinators
 * full, six find a free slot in 98 of 100 cases and cost at most a dozen milliseconds.
 */
const MaximumCoordinatorsAsked = 6;
/** Coordinators with free slots that are asked before a free slot of an own engine that is slow is used. */
const MaximumCoordinatorsAskedFirst = 2;
/**
 * A coordinator answers within a few milliseconds. One that does not is slow or cut off, and must not delay the callers
 * of others.
 */
const OnlineTimeoutMilliseconds = 25;
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

export interface SlotGrantingParts {
    readonly slotTable: decisions.SlotTable;
    readonly coordinators: coordinatorDirectory.CoordinatorDirectory;
    readonly network: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly random: () => number;
    readonly dataCentre: core.DataCentre;
    readonly policy: loadPolicy.LoadPolicy;
    /** Undefined if speeds are ignored. */
    readonly speeds?: engineSpeeds.EngineSpeedSharing | undefined;
    readonly requestYield: (upstream: core.UpstreamId, yielder: core.InstanceId) => void;
    /**
     * Called with the member that was granted a slot. If that member never sends a notice again, it must not keep the
     * slot for ever.
     */
    readonly onGranted: (requester: core.InstanceId) => void;
    /** Called with a coordinator that gave no answer, and the result of the request. */
    readonly onCoordinatorUnresponsive: (coordinator: core.InstanceId, text: string) => void;
    /**
     * Called if the coordinator counts a slot for this member that it does not use. Notifies the coordinator of the
     * actual use.
     */
    readonly returnSlot: (upstream: core.UpstreamId) => void;
}

/** A slot for an online request. */
export interface GrantedSlotChoice extends decisions.SlotChoice {
    /** Whether the coordinator already counts the slot as used by this member. */
    readonly isCounted: boolean;
}

/** A batch item of a peer that waits here for a slot. */
interface WaitingItem {
    readonly service: string;
    readonly from: core.InstanceId;
    readonly finish: (upstream: core.UpstreamId | undefined) => void;
}

/**
 * Grants slots of the engines that this member coordinates, and requests slots from its linked neighbours.
 *
 * Every use of an engine's slots is counted by its coordinator, which therefore knows exactly which are free. A member
 * uses its own engines first, which needs no message, and asks neighbours when these are full, so that a request costs
 * at most a few network trips of a millisecond each. Members with some thirty links each reach enough coordinators for
 * the load to spread over the whole fleet.
 */
export class SlotGranting {
    private readonly order: decisions.CoordinatorOrder;
    private readonly waiting = new Set<WaitingItem>();
    private readonly pendingBatchRequests = new Set<core.InstanceId>();

    constructor(private readonly parts: SlotGrantingParts) {
        this.order = new decisions.CoordinatorOrder(parts.random);
        const { network } = parts;
        network.handle(protocol.MessageKind.SlotRequest, async (message, from) => this.grantOnline(message, from));
        network.handle(protocol.MessageKind.BatchSlotRequest, async (message, from) => {
            const upstream = await this.grantBatch(message.service, from);
            const kind = protocol.MessageKind.BatchSlotReply;
            return upstream === undefined ? { kind } : { kind, upstream };
        });
    }

    /** Chooses a slot of an own engine, otherwise a neighbour's, otherwise the shortest known queue. */
    async chooseOnline(
        service: string,
        usable: readonly decisions.SlotCandidate[],
    ): Promise<GrantedSlotChoice | undefined> {
        const { slotTable, coordinators, clock, dataCentre } = this.parts;
        // Otherwise an own engine that fails or rejects requests would be used as long as it is the only own one.
        const healthy = usable.filter(candidate => !slotTable.isPenalized(candidate.id, clock.now()));
        const candidates = healthy.length > 0 ? healthy : usable;
        const isOwn = (candidate: decisions.SlotCandidate): boolean =>
            coordinators.tryGetCoordinator(candidate.id) === decisions.SelfInstance;
        const ownEngines = this.annotate(service, candidates.filter(isOwn));
        const ownChoice = slotTable.tryChooseOnline(ownEngines, dataCentre, ReservedSlots, clock.now());
        const isOwnFree = ownChoice !== undefined && ownChoice.waiting === 0;
        if (ownChoice !== undefined && isOwnFree && !this.isDeferred(ownEngines, ownChoice.id)) {
            return { ...ownChoice, isCounted: false };
        }
        const byCoordinator = this.groupByCoordinator(candidates);
        let best: GrantedSlotChoice | undefined =
            ownChoice === undefined ? undefined : { ...ownChoice, isCounted: false };
        const ranked = this.rank([...byCoordinator.keys()], true);
        const askedCoordinators = isOwnFree
            ? ranked
                  .filter(coordinator => this.order.hasFreeSlots(coordinator, clock.now()))
                  .slice(0, MaximumCoordinatorsAskedFirst)
            : ranked.slice(0, MaximumCoordinatorsAsked);
        for (const coordinator of askedCoordinators) {
            const choice = await this.requestOnlineSlot(
                coordinator,
                service,
                byCoordinator.get(coordinator) ?? new Set(),
            );
            if (choice?.isCounted === true) {
                return choice;
            }
            if (choice !== undefined && this.getWait(service, choice) < this.getWait(service, best)) {
                best = choice;
            }
        }
        if (isOwnFree || askedCoordinators.length === MaximumCoordinatorsAsked) {
            return best;
        }
        // If there are few links, as right after a start, engines of coordinators that cannot be asked are chosen by
        // the local slot table.
        const linked = new Set([...byCoordinator.values()].flatMap(ids => [...ids]));
        const unreachable = candidates.filter(candidate => !linked.has(candidate.id) && !isOwn(candidate));
        const annotated = this.annotate(service, unreachable);
        const fallback = slotTable.tryChooseOnline(annotated, dataCentre, ReservedSlots, clock.now());
        return fallback !== undefined && fallback.waiting < (best?.waiting ?? Infinity)
            ? { ...fallback, isCounted: false }
            : best;
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
        for (const coordinator of this.rank([...coordinators], false).slice(0, Math.max(0, requestCount))) {
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

    /** Drops the waiting items of removed members, and stops ranking these members as coordinators. */
    forget(removed: readonly core.InstanceId[]): void {
        removed.forEach(member => this.order.remove(member));
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
            this.noteUnresponsive(coordinator, reply);
            // The coordinator may have granted a slot as the wait ended.
            this.parts.coordinators.getEnginesOf(coordinator, service).forEach(this.parts.returnSlot);
            return;
        }
        const { upstream } = reply.message;
        if (upstream !== undefined && !use(upstream)) {
            this.parts.returnSlot(upstream);
        }
    }

    /**
     * `usable`: the coordinator's engines that the request may use. Its other engines are excluded by name in the
     * message.
     */
    private async requestOnlineSlot(
        coordinator: core.InstanceId,
        service: string,
        usable: ReadonlySet<core.UpstreamId>,
    ): Promise<GrantedSlotChoice | undefined> {
        const { network, clock, returnSlot, coordinators } = this.parts;
        const except = coordinators.getEnginesOf(coordinator, service).filter(upstream => !usable.has(upstream));
        const kind = protocol.MessageKind.SlotRequest;
        const message = except.length === 0 ? ({ kind, service } as const) : ({ kind, service, except } as const);
        const options = { lane: protocol.Lane.Control, timeoutMilliseconds: OnlineTimeoutMilliseconds };
        const reply = await network.request(coordinator, message, options);
        if (!reply.ok || reply.message.kind !== protocol.MessageKind.SlotReply) {
            this.noteUnresponsive(coordinator, reply);
            // The coordinator may have counted a slot before it stopped answering.
            usable.forEach(returnSlot);
            return undefined;
        }
        const { upstream, waiting, free, speeds } = reply.message;
        this.parts.speeds?.takeOverRows(speeds, coordinator);
        this.order.recordFreeSlots(coordinator, free, clock.now());
        if (upstream === undefined) {
            return undefined;
        }
        if (!usable.has(upstream)) {
            // The coordinator knows an engine that is not known here yet, or that has been removed here.
            returnSlot(upstream);
            return undefined;
        }
        return { id: upstream, waiting, yielder: undefined, isCounted: waiting === 0 };
    }

    private noteUnresponsive(coordinator: core.InstanceId, reply: protocol.PeerResult): void {
        this.order.recordNoAnswer(coordinator, this.parts.clock.now());
        this.parts.onCoordinatorUnresponsive(
            coordinator,
            reply.ok ? reply.message.kind : `${reply.kind}: ${reply.text}`,
        );
    }

    /**
     * Answers as coordinator. The slot is counted as the requester's before the answer is sent, so that no other member
     * is granted it.
     */
    private grantOnline(message: protocol.SlotRequest, from: core.InstanceId): protocol.SlotReply {
        const reply = this.chooseGrant(message, from);
        const speeds = this.parts.speeds?.createReplyRows(message.service, from);
        return speeds === undefined ? reply : { ...reply, speeds };
    }

    private chooseGrant(message: protocol.SlotRequest, from: core.InstanceId): protocol.SlotReply {
        const { slotTable, coordinators, clock, dataCentre, requestYield, onGranted } = this.parts;
        const except = new Set(message.except);
        const usable = coordinators
            .getOwnEngines(message.service)
            .filter(entry => !except.has(entry.id) && !slotTable.isPenalized(entry.id, clock.now()));
        const candidates: readonly decisions.SlotCandidate[] = this.annotate(message.service, usable);
        const choice = slotTable.tryChooseOnline(candidates, dataCentre, ReservedSlots, clock.now());
        const kind = protocol.MessageKind.SlotReply;
        if (choice === undefined) {
            return { kind, waiting: 0, free: 0 };
        }
        if (choice.waiting > 0) {
            return { kind, upstream: choice.id, waiting: choice.waiting, free: 0 };
        }
        const chosen = candidates.find(candidate => candidate.id === choice.id);
        if (chosen?.isNew === true && slotTable.isDeferred(chosen)) {
            // The requester comes back to this engine if the others that it asks are full.
            return { kind, upstream: choice.id, waiting: 1, free: 0 };
        }
        if (choice.yielder !== undefined) {
            requestYield(choice.id, choice.yielder);
        }
        slotTable.addPeer(from, choice.id, { online: 1, batch: 0 });
        onGranted(from);
        const free = candidates.reduce((sum, entry) => sum + entry.slots - slotTable.getTotal(entry.id).online, 0);
        return { kind, upstream: choice.id, waiting: 0, free: Math.max(0, free) };
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
        const engines = coordinators.getOwnEngines(service);
        const upstream = slotTable.tryChooseBatch(
            // A single engine is chosen whatever its speed. This runs for each waiting item whenever a slot may be free.
            engines.length > 1 ? this.annotate(service, engines) : engines,
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

    private annotate<T extends decisions.SlotCandidate>(service: string, candidates: readonly T[]): readonly T[] {
        return this.parts.speeds?.annotate(service, candidates) ?? candidates;
    }

    /** The requests that wait before a choice, set against the speed at which they are served. */
    private getWait(service: string, choice: decisions.SlotChoice | undefined): number {
        return choice === undefined
            ? Infinity
            : choice.waiting / (this.parts.speeds?.getRelativeSpeed(service, choice.id) ?? 1);
    }

    private isDeferred(candidates: readonly decisions.SlotCandidate[], id: core.UpstreamId): boolean {
        const chosen = candidates.find(candidate => candidate.id === id);
        return chosen !== undefined && this.parts.slotTable.isDeferred(chosen);
    }

    /** The candidates of each linked coordinator other than this member. */
    private groupByCoordinator(
        candidates: readonly decisions.SlotCandidate[],
    ): Map<core.InstanceId, Set<core.UpstreamId>> {
        const linked = new Set(this.parts.network.getConnectedPeers());
        const byCoordinator = new Map<core.InstanceId, Set<core.UpstreamId>>();
        for (const { id } of candidates) {
            const coordinator = this.parts.coordinators.tryGetCoordinator(id);
            if (coordinator !== undefined && linked.has(coordinator)) {
                byCoordinator.set(coordinator, (byCoordinator.get(coordinator) ?? new Set()).add(id));
            }
        }
        return byCoordinator;
    }

    private getLinkedCoordinators(): readonly core.InstanceId[] {
        return this.parts.network.getConnectedPeers().filter(peer => this.parts.coordinators.isCoordinator(peer));
    }

    private rank(coordinators: readonly core.InstanceId[], usesSpeeds: boolean): readonly core.InstanceId[] {
        const speeds = usesSpeeds ? this.parts.speeds : undefined;
        const choices = coordinators.map(id => ({
            id,
            isNear: this.parts.coordinators.isInSameDataCentre(id),
            relativeSpeed: speeds?.getCoordinatorSpeed(id) ?? 1,
        }));
        return this.order.rank(choices, this.parts.clock.now());
    }
}
