import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as batchSlotGranting from "./batchSlotGranting.js";
import type * as demandReserve from "./demandReserve.js";
import type * as coordinatorDirectory from "./homeDirectory.js";
import type * as loadPolicy from "./loadPolicy.js";

/**
 * Coordinators that an online request asks before it joins the shortest known queue. With half of the coordinators
 * full, six find a free slot in 98 of 100 cases and cost at most a dozen milliseconds.
 */
const MaximumCoordinatorsAsked = 6;
/**
 * Coordinators among them that are asked for a free slot before batch work yields one, where that is avoided. Each
 * further one finds a slot less often, and costs a message each way and a trip.
 */
const FreeSlotAttempts = 3;
/**
 * A coordinator answers within a few milliseconds. One that does not is slow or cut off, and must not delay the callers
 * of others.
 */
const OnlineTimeoutMilliseconds = 25;
export interface SlotGrantingParts {
    readonly slotTable: decisions.SlotTable;
    readonly coordinators: coordinatorDirectory.CoordinatorDirectory;
    readonly network: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly random: () => number;
    readonly dataCentre: core.DataCentre;
    readonly policy: loadPolicy.LoadPolicy;
    readonly reserve: demandReserve.DemandReserve;
    /** The most urgent item of this member that waits for a slot; undefined if none does. */
    readonly tryGetMostUrgent: (service: string) => decisions.ItemEstimate | undefined;
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
    /** The part that grants and requests slots for batch items. */
    readonly batch: batchSlotGranting.BatchSlotGranting;

    constructor(private readonly parts: SlotGrantingParts) {
        this.order = new decisions.CoordinatorOrder(parts.random);
        const { network } = parts;
        network.handle(protocol.MessageKind.SlotRequest, async (message, from) => this.grantOnline(message, from));
        this.batch = new batchSlotGranting.BatchSlotGranting({
            ...parts,
            rank: coordinators => this.rank(coordinators),
            noteUnresponsive: (coordinator, reply) => this.noteUnresponsive(coordinator, reply),
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
        const ownEngines = candidates.filter(
            candidate => coordinators.tryGetCoordinator(candidate.id) === decisions.SelfInstance,
        );
        const reserve = this.getOnlineReserve();
        const avoidsYields = this.parts.reserve.isActive();
        const ownChoice = slotTable.tryChooseOnline(ownEngines, dataCentre, reserve, clock.now());
        if (ownChoice?.waiting === 0 && (!avoidsYields || ownChoice.yielder === undefined)) {
            return { ...ownChoice, isCounted: false };
        }
        const byCoordinator = this.groupByCoordinator(candidates);
        let best: GrantedSlotChoice | undefined =
            ownChoice === undefined ? undefined : { ...ownChoice, isCounted: false };
        const askedCoordinators = this.rank([...byCoordinator.keys()]).slice(0, MaximumCoordinatorsAsked);
        let yieldable: { readonly coordinator: core.InstanceId; readonly slots: number } | undefined;
        for (const [index, coordinator] of askedCoordinators.entries()) {
            const isYieldKnown = yieldable !== undefined || best?.waiting === 0;
            if (avoidsYields && index >= FreeSlotAttempts && isYieldKnown) {
                break;
            }
            const choice = await this.requestOnlineSlot(
                coordinator,
                service,
                byCoordinator.get(coordinator) ?? new Set(),
                !avoidsYields || index >= FreeSlotAttempts,
                slots => (yieldable = slots > (yieldable?.slots ?? 0) ? { coordinator, slots } : yieldable),
            );
            if (choice?.isCounted === true) {
                return choice;
            }
            if (choice !== undefined && choice.waiting < (best?.waiting ?? Infinity)) {
                best = choice;
            }
        }
        if (yieldable !== undefined && best?.waiting !== 0) {
            const usableThere = byCoordinator.get(yieldable.coordinator) ?? new Set();
            const choice = await this.requestOnlineSlot(yieldable.coordinator, service, usableThere, true);
            if (choice?.isCounted === true) {
                return choice;
            }
        }
        if (askedCoordinators.length === MaximumCoordinatorsAsked) {
            return best;
        }
        // If there are few links, as right after a start, engines of coordinators that cannot be asked are chosen by
        // the local slot table.
        const linked = new Set([...byCoordinator.values()].flatMap(ids => [...ids]));
        const unreachable = candidates.filter(
            candidate => !linked.has(candidate.id) && !ownEngines.includes(candidate),
        );
        const fallback = slotTable.tryChooseOnline(unreachable, dataCentre, reserve, clock.now());
        return fallback !== undefined && fallback.waiting < (best?.waiting ?? Infinity)
            ? { ...fallback, isCounted: false }
            : best;
    }

    /** Drops the waiting items of removed members, and stops ranking these members as coordinators. */
    forget(removed: readonly core.InstanceId[]): void {
        removed.forEach(member => this.order.remove(member));
        this.batch.forget(removed);
    }

    /**
     * `usable`: the coordinator's engines that the request may use. Its other engines are excluded by name in the
     * message. `onYieldable` is called with the slots that batch work could yield there if that isn't allowed and no slot
     * is free.
     */
    private async requestOnlineSlot(
        coordinator: core.InstanceId,
        service: string,
        usable: ReadonlySet<core.UpstreamId>,
        allowsYield: boolean,
        onYieldable?: (slots: number) => void,
    ): Promise<GrantedSlotChoice | undefined> {
        const { network, clock, returnSlot, coordinators } = this.parts;
        const except = coordinators.getEnginesOf(coordinator, service).filter(upstream => !usable.has(upstream));
        const kind = protocol.MessageKind.SlotRequest;
        const message = {
            kind,
            service,
            ...(except.length === 0 ? {} : { except }),
            ...(allowsYield ? {} : { allowsYield }),
        } as const;
        const options = { lane: protocol.Lane.Control, timeoutMilliseconds: OnlineTimeoutMilliseconds };
        const reply = await network.request(coordinator, message, options);
        if (!reply.ok || reply.message.kind !== protocol.MessageKind.SlotReply) {
            this.noteUnresponsive(coordinator, reply);
            // The coordinator may have counted a slot before it stopped answering.
            usable.forEach(returnSlot);
            return undefined;
        }
        const { upstream, waiting, free } = reply.message;
        this.order.recordFreeSlots(coordinator, upstream === undefined ? 0 : free, clock.now());
        if (upstream === undefined) {
            onYieldable?.(free);
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
        const { slotTable, coordinators, clock, dataCentre, requestYield, reserve, onGranted } = this.parts;
        const except = new Set(message.except);
        const candidates = coordinators
            .getOwnEngines(message.service)
            .filter(entry => !except.has(entry.id) && !slotTable.isPenalized(entry.id, clock.now()));
        const choice = slotTable.tryChooseOnline(candidates, dataCentre, this.getOnlineReserve(), clock.now());
        const kind = protocol.MessageKind.SlotReply;
        if (choice === undefined) {
            return { kind, waiting: 0, free: 0 };
        }
        if (choice.waiting > 0) {
            return { kind, upstream: choice.id, waiting: choice.waiting, free: 0 };
        }
        const avoidsYields = reserve.isActive();
        if (choice.yielder !== undefined && avoidsYields && message.allowsYield === false) {
            const yieldable = candidates.map(entry => slotTable.getTotal(entry.id).batch);
            return { kind, waiting: 0, free: yieldable.reduce((sum, batch) => sum + batch, 0) };
        }
        if (choice.yielder !== undefined) {
            requestYield(choice.id, choice.yielder);
        }
        slotTable.addPeer(from, choice.id, { online: 1, batch: 0 });
        onGranted(from);
        const free = candidates.reduce((sum, entry) => {
            const { online, batch } = slotTable.getTotal(entry.id);
            return sum + entry.slots - online - (avoidsYields ? batch : 0);
        }, 0);
        return { kind, upstream: choice.id, waiting: 0, free: Math.max(0, free) };
    }

    /**
     * Slots that an online request leaves free before it makes batch work yield. Where batch starts follow the demand,
     * the free slots are there for online requests, and batch work yields only if there is none.
     */
    private getOnlineReserve(): number {
        return this.parts.reserve.isActive() ? 0 : batchSlotGranting.ReservedSlots;
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

    private rank(coordinators: readonly core.InstanceId[]): readonly core.InstanceId[] {
        const choices = coordinators.map(id => ({ id, isNear: this.parts.coordinators.isInSameDataCentre(id) }));
        return this.order.rank(choices, this.parts.clock.now());
    }
}
