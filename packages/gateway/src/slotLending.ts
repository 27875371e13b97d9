import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as batchSlotGranting from "./batchSlotGranting.js";
import type * as demandReserve from "./demandReserve.js";
import type * as coordinatorDirectory from "./homeDirectory.js";
import type * as loadPolicy from "./loadPolicy.js";
import * as onlineGranting from "./onlineGranting.js";
import * as onlinePlacement from "./onlinePlacement.js";
import type * as onlineWaiting from "./onlineWaiting.js";

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
    /** Called when the wait of an online request at this coordinator has ended. */
    readonly onWaitEnded?: (outcome: onlineWaiting.WaitOutcomeKind) => void;
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
    private readonly online: onlineGranting.OnlineGranting;
    private readonly placement: onlinePlacement.OnlinePlacement;

    constructor(private readonly parts: SlotGrantingParts) {
        this.order = new decisions.CoordinatorOrder(parts.random);
        this.online = new onlineGranting.OnlineGranting({
            ...parts,
            getOnlineReserve: () => this.getOnlineReserve(),
        });
        this.placement = new onlinePlacement.OnlinePlacement({
            ...parts,
            waiting: this.online.waiting,
            avoidsYields: () => parts.reserve.isActive(),
            tryChooseLocally: candidates =>
                parts.slotTable.tryChooseOnline(
                    candidates,
                    parts.dataCentre,
                    this.getOnlineReserve(),
                    parts.clock.now(),
                ),
            rank: coordinators => this.rank(coordinators),
            ask: (coordinator, service, usable, options) => this.ask(coordinator, service, usable, options),
        });
        this.batch = new batchSlotGranting.BatchSlotGranting({
            ...parts,
            rank: coordinators => this.rank(coordinators),
            noteUnresponsive: (coordinator, reply) => this.noteUnresponsive(coordinator, reply),
        });
    }

    /**
     * Chooses a slot of an own engine, otherwise a neighbour's, otherwise the shortest known queue. Where batch work
     * follows the demand, a slot that it would have to yield comes after all free ones.
     */
    async chooseOnline(
        service: string,
        usable: readonly decisions.SlotCandidate[],
    ): Promise<onlinePlacement.GrantedSlotChoice | undefined> {
        const { slotTable, clock, dataCentre } = this.parts;
        const { all: candidates, own: ownEngines, byCoordinator } = this.group(usable);
        const reserve = this.getOnlineReserve();
        const avoidsYields = this.parts.reserve.isActive();
        const ownChoice = slotTable.tryChooseOnline(ownEngines, dataCentre, reserve, clock.now());
        if (ownChoice?.waiting === 0 && (!avoidsYields || ownChoice.yielder === undefined)) {
            return { ...ownChoice, isCounted: false };
        }
        let best: onlinePlacement.GrantedSlotChoice | undefined =
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

    /** Finds a slot for an online request by the order among customers. */
    async placeOnline(
        service: string,
        usable: readonly decisions.SlotCandidate[],
        request: onlinePlacement.OnlineRequest,
    ): Promise<onlinePlacement.OnlineOutcome> {
        return this.placement.place(service, this.group(usable), request);
    }

    getWaitingOnlineCount(): number {
        return this.online.waiting.getWaitingCount();
    }

    recordServiceTime(service: string, milliseconds: number): void {
        this.online.waiting.recordServiceTime(service, milliseconds);
    }

    /** Whether requests may wait at the upstream's coordinator, so that it should learn of a freed slot at once. */
    isContended(upstream: core.UpstreamId): boolean {
        const coordinator = this.parts.coordinators.tryGetCoordinator(upstream);
        return coordinator !== undefined && this.placement.isContended(coordinator);
    }

    /** Ends the count of a slot that was granted to a waiting request here, when the request takes or returns it. */
    settleOwnGrant(upstream: core.UpstreamId): boolean {
        return this.online.settleOwnGrant(upstream);
    }

    /** Grants slots that may have been freed here: first to waiting online requests, then to the waiting items of peers. */
    serveWaiting(): void {
        this.online.waiting.serve();
        this.batch.serveWaiting();
    }

    /** Drops what waits for removed members, and stops ranking these members as coordinators. */
    forget(removed: readonly core.InstanceId[]): void {
        removed.forEach(member => this.order.remove(member));
        this.placement.forget(removed);
        this.online.waiting.forget(removed);
        this.batch.forget(removed);
        this.online.waiting.serve();
    }

    /** `onYieldable` is called with the slots that batch work could yield there if that isn't allowed and none is free. */
    private async requestOnlineSlot(
        coordinator: core.InstanceId,
        service: string,
        usable: ReadonlySet<core.UpstreamId>,
        allowsYield: boolean,
        onYieldable?: (slots: number) => void,
    ): Promise<onlinePlacement.GrantedSlotChoice | undefined> {
        const reply = await this.ask(coordinator, service, usable, { allowsYield });
        if (reply === undefined) {
            return undefined;
        }
        const { upstream, waiting, free } = reply;
        if (upstream === undefined) {
            onYieldable?.(free);
            return undefined;
        }
        if (!usable.has(upstream)) {
            // The coordinator knows an engine that is not known here yet, or that has been removed here.
            this.parts.returnSlot(upstream);
            return undefined;
        }
        return { id: upstream, waiting, yielder: undefined, isCounted: waiting === 0 };
    }

    /**
     * Sends a request for an online slot. `usable`: the coordinator's engines that the request may use. Its other engines
     * are excluded by name in the message.
     */
    private async ask(
        coordinator: core.InstanceId,
        service: string,
        usable: ReadonlySet<core.UpstreamId>,
        { allowsYield, shared }: onlinePlacement.AskOptions,
    ): Promise<protocol.SlotReply | undefined> {
        const { network, clock, returnSlot, coordinators } = this.parts;
        const except = coordinators.getEnginesOf(coordinator, service).filter(upstream => !usable.has(upstream));
        const message = {
            kind: protocol.MessageKind.SlotRequest,
            service,
            ...(except.length === 0 ? {} : { except }),
            ...(shared === undefined ? {} : onlinePlacement.createShareFields(shared)),
            ...(allowsYield ? {} : { allowsYield }),
        } as const;
        const waitMilliseconds = shared?.waitMilliseconds ?? 0;
        const timeoutMilliseconds = waitMilliseconds + OnlineTimeoutMilliseconds;
        const reply = await network.request(coordinator, message, { lane: protocol.Lane.Control, timeoutMilliseconds });
        if (reply.ok && reply.message.kind === protocol.MessageKind.SlotReply) {
            const { upstream, free } = reply.message;
            this.order.recordFreeSlots(coordinator, upstream === undefined ? 0 : free, clock.now());
            return reply.message;
        }
        this.noteUnresponsive(coordinator, reply);
        // The coordinator may have counted a slot before it stopped answering.
        usable.forEach(returnSlot);
        if (waitMilliseconds > 0) {
            // If only the link was lost, the request waits there until this time and may still be granted a slot.
            clock.schedule(timeoutMilliseconds, () => usable.forEach(returnSlot));
        }
        return undefined;
    }

    private noteUnresponsive(coordinator: core.InstanceId, reply: protocol.PeerResult): void {
        this.order.recordNoAnswer(coordinator, this.parts.clock.now());
        this.parts.onCoordinatorUnresponsive(
            coordinator,
            reply.ok ? reply.message.kind : `${reply.kind}: ${reply.text}`,
        );
    }

    /**
     * Slots that an online request leaves free before it makes batch work yield. Where batch starts follow the demand,
     * the free slots are there for online requests, and batch work yields only if there is none.
     */
    private getOnlineReserve(): number {
        return this.parts.reserve.isActive() ? 0 : batchSlotGranting.ReservedSlots;
    }

    /** Groups the usable candidates that are not avoided by who grants their slots. */
    private group(usable: readonly decisions.SlotCandidate[]): onlinePlacement.GroupedCandidates {
        const { slotTable, coordinators, clock } = this.parts;
        // Otherwise an own engine that fails or rejects requests would be used as long as it is the only own one.
        const healthy = usable.filter(candidate => !slotTable.isPenalized(candidate.id, clock.now()));
        const all = healthy.length > 0 ? healthy : usable;
        const own = all.filter(({ id }) => coordinators.tryGetCoordinator(id) === decisions.SelfInstance);
        return { all, own, byCoordinator: this.groupByCoordinator(all) };
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
