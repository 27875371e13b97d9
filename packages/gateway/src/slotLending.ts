import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as batchSlotGranting from "./batchSlotGranting.js";
import type * as demandReserve from "./demandReserve.js";
import type * as engineSpeeds from "./engineSpeeds.js";
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
/** Coordinators with free slots that are asked before a free slot of an own engine that is slow is used. */
const MaximumCoordinatorsAskedFirst = 2;
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
    /** Undefined if speeds are ignored. */
    readonly speeds?: engineSpeeds.EngineSpeedSharing | undefined;
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
            annotate: (service, candidates) => this.annotate(service, candidates),
            isHeldBack: (candidates, choice) => this.isHeldBack(candidates, choice),
            getOnlineReserve: () => this.getOnlineReserve(),
        });
        this.placement = new onlinePlacement.OnlinePlacement({
            ...parts,
            waiting: this.online.waiting,
            avoidsYields: () => parts.reserve.isActive(),
            tryChooseLocally: (service, candidates) => this.tryChooseLocally(service, candidates),
            isDeferred: (service, candidates, choice) => this.isDeferred(this.annotate(service, candidates), choice),
            rank: coordinators => this.rank(coordinators, true),
            ask: (coordinator, service, usable, options) => this.ask(coordinator, service, usable, options),
        });
        this.batch = new batchSlotGranting.BatchSlotGranting({
            ...parts,
            annotate: (service, candidates) => this.annotate(service, candidates),
            rank: coordinators => this.rank(coordinators, false),
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
        const grouped = this.group(usable);
        const ownEngines = this.annotate(service, grouped.own);
        const reserve = this.getOnlineReserve();
        const avoidsYields = this.parts.reserve.isActive();
        const ownChoice = slotTable.tryChooseOnline(ownEngines, dataCentre, reserve, clock.now());
        const isSlow = this.isDeferred(ownEngines, ownChoice);
        if (ownChoice?.waiting === 0 && !isSlow && (!avoidsYields || ownChoice.yielder === undefined)) {
            return { ...ownChoice, isCounted: false };
        }
        let best: onlinePlacement.GrantedSlotChoice | undefined =
            ownChoice === undefined ? undefined : { ...ownChoice, isCounted: false };
        const { byCoordinator } = grouped;
        const askedCoordinators = this.listCoordinatorsToAsk([...byCoordinator.keys()], isSlow);
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
            if (choice !== undefined && this.getWait(service, choice) < this.getWait(service, best)) {
                best = choice;
            }
        }
        if (yieldable !== undefined && best?.waiting !== 0) {
            const usableThere = byCoordinator.get(yieldable.coordinator) ?? new Set();
            const choice = await this.requestOnlineSlot(yieldable.coordinator, service, usableThere, true);
            if (choice !== undefined && choice.waiting < (best?.waiting ?? Infinity)) {
                return choice;
            }
        }
        if (best?.waiting === 0 || askedCoordinators.length === MaximumCoordinatorsAsked) {
            return best;
        }
        // If there are few links, as right after a start, engines of coordinators that cannot be asked are chosen by
        // the local slot table.
        const linked = new Set([...byCoordinator.values()].flatMap(ids => [...ids]));
        const unreachable = grouped.all.filter(({ id }) => !linked.has(id) && ownEngines.every(own => own.id !== id));
        const annotated = this.annotate(service, unreachable);
        const fallback = slotTable.tryChooseOnline(annotated, dataCentre, reserve, clock.now());
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
            const { upstream, free, speeds } = reply.message;
            this.parts.speeds?.takeOverRows(speeds, coordinator);
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

    private tryChooseLocally(
        service: string,
        candidates: readonly decisions.SlotCandidate[],
    ): decisions.SlotChoice | undefined {
        const { slotTable, dataCentre, clock } = this.parts;
        const annotated = this.annotate(service, candidates);
        return slotTable.tryChooseOnline(annotated, dataCentre, this.getOnlineReserve(), clock.now());
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

    /** Whether the choice is a free slot of an engine that is used only if no other is free: excluded, or returning. */
    private isDeferred(
        candidates: readonly decisions.SlotCandidate[],
        choice: decisions.SlotChoice | undefined,
    ): boolean {
        const isYieldAvoided = this.parts.reserve.isActive();
        const chosen =
            this.parts.speeds === undefined || choice?.waiting !== 0 || (isYieldAvoided && choice.yielder !== undefined)
                ? undefined
                : candidates.find(candidate => candidate.id === choice.id);
        return chosen !== undefined && this.parts.slotTable.isDeferred(chosen);
    }

    /** Whether the choice is the part of a new engine that is kept free until its speed is known. */
    private isHeldBack(candidates: readonly decisions.SlotCandidate[], choice: decisions.SlotChoice): boolean {
        const isNew = candidates.some(candidate => candidate.id === choice.id && candidate.isNew === true);
        return isNew && this.isDeferred(candidates, choice);
    }

    /** Groups the usable candidates that are not avoided by who grants their slots. */
    private group(usable: readonly decisions.SlotCandidate[]): onlinePlacement.GroupedCandidates {
        const { slotTable, coordinators, clock } = this.parts;
        // Otherwise an own engine that fails or rejects requests would be used as long as it is the only own one.
        const healthy = usable.filter(candidate => !slotTable.isPenalized(candidate.id, clock.now()));
        const all = healthy.length > 0 ? healthy : usable;
        const own = all.filter(({ id }) => coordinators.tryGetCoordinator(id) === decisions.SelfInstance);
        let byCoordinator: onlinePlacement.GroupedCandidates["byCoordinator"] | undefined;
        const getByCoordinator = (): onlinePlacement.GroupedCandidates["byCoordinator"] =>
            (byCoordinator ??= this.groupByCoordinator(all));
        return {
            all,
            own,
            // Most requests find a free slot of an own engine and don't need it.
            get byCoordinator() {
                return getByCoordinator();
            },
        };
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

    /** The coordinators that are asked in turn. If an own engine has a free slot but is slow, few are worth the trip. */
    private listCoordinatorsToAsk(
        coordinators: readonly core.InstanceId[],
        isOwnEngineSlow: boolean,
    ): readonly core.InstanceId[] {
        const ranked = this.rank(coordinators, true);
        return isOwnEngineSlow
            ? ranked
                  .filter(coordinator => this.order.hasFreeSlots(coordinator, this.parts.clock.now()))
                  .slice(0, MaximumCoordinatorsAskedFirst)
            : ranked.slice(0, MaximumCoordinatorsAsked);
    }

    private rank(coordinators: readonly core.InstanceId[], usesSpeeds: boolean): readonly core.InstanceId[] {
        const speeds = usesSpeeds && this.parts.speeds?.hasUnevenEngines() === true ? this.parts.speeds : undefined;
        const choices = coordinators.map(id => ({
            id,
            isNear: this.parts.coordinators.isInSameDataCentre(id),
            relativeSpeed: speeds?.getCoordinatorSpeed(id) ?? 1,
        }));
        return this.order.rank(choices, this.parts.clock.now());
    }
}
