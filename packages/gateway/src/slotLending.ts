import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import type * as coordinatorDirectory from "./homeDirectory.js";
import * as loadPolicy from "./loadPolicy.js";
import * as onlinePlacement from "./onlinePlacement.js";
import * as onlineWaiting from "./onlineWaiting.js";

/** Slots that batch work leaves free on each upstream, so that an online request finds one without asking. */
export const ReservedSlots = 1;

/**
 * Coordinators that an online request asks before it joins the shortest known queue. With half of the coordinators
 * full, six find a free slot in 98 of 100 cases and cost at most a dozen milliseconds.
 */
const MaximumCoordinatorsAsked = 6;
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
    /** Slots of own engines that were granted to a waiting request here which has not taken them yet. */
    private readonly ownGrants = new Map<core.UpstreamId, number>();
    private readonly onlineWaiting: onlineWaiting.OnlineWaiting;
    private readonly placement: onlinePlacement.OnlinePlacement;

    constructor(private readonly parts: SlotGrantingParts) {
        this.order = new decisions.CoordinatorOrder(parts.random);
        this.onlineWaiting = new onlineWaiting.OnlineWaiting({
            ...parts,
            getEngines: service => this.getUsableOwnEngines(service, new Set()),
            tryChooseFree: (service, except) => this.tryChooseFree(service, except),
            grant: (choice, from) => this.countGranted(choice, from),
            onWaitEnded: parts.onWaitEnded ?? (() => undefined),
        });
        this.placement = new onlinePlacement.OnlinePlacement({
            ...parts,
            waiting: this.onlineWaiting,
            tryChooseLocally: candidates =>
                parts.slotTable.tryChooseOnline(candidates, parts.dataCentre, ReservedSlots, parts.clock.now()),
            rank: coordinators => this.rank(coordinators),
            ask: (coordinator, service, usable, request) => this.askOnline(coordinator, service, usable, request),
        });
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
    ): Promise<onlinePlacement.GrantedSlotChoice | undefined> {
        const { slotTable, clock, dataCentre } = this.parts;
        const { all: candidates, own: ownEngines, byCoordinator } = this.group(usable);
        const ownChoice = slotTable.tryChooseOnline(ownEngines, dataCentre, ReservedSlots, clock.now());
        if (ownChoice !== undefined && ownChoice.waiting === 0) {
            return { ...ownChoice, isCounted: false };
        }
        let best: onlinePlacement.GrantedSlotChoice | undefined =
            ownChoice === undefined ? undefined : { ...ownChoice, isCounted: false };
        const askedCoordinators = this.rank([...byCoordinator.keys()]).slice(0, MaximumCoordinatorsAsked);
        for (const coordinator of askedCoordinators) {
            const choice = await this.requestOnlineSlot(
                coordinator,
                service,
                byCoordinator.get(coordinator) ?? new Set(),
            );
            if (choice?.isCounted === true) {
                return choice;
            }
            if (choice !== undefined && choice.waiting < (best?.waiting ?? Infinity)) {
                best = choice;
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
        const fallback = slotTable.tryChooseOnline(unreachable, dataCentre, ReservedSlots, clock.now());
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
        return this.onlineWaiting.getWaitingCount();
    }

    recordServiceTime(service: string, milliseconds: number): void {
        this.onlineWaiting.recordServiceTime(service, milliseconds);
    }

    /** Whether requests may wait at the upstream's coordinator, so that it should learn of a freed slot at once. */
    isContended(upstream: core.UpstreamId): boolean {
        const coordinator = this.parts.coordinators.tryGetCoordinator(upstream);
        return coordinator !== undefined && this.placement.isContended(coordinator);
    }

    /** Ends the count of a slot that was granted to a waiting request here, when the request takes or returns it. */
    settleOwnGrant(upstream: core.UpstreamId): boolean {
        const count = this.ownGrants.get(upstream) ?? 0;
        if (count === 0) {
            return false;
        }
        this.setOwnGrants(upstream, count - 1);
        return true;
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
        for (const coordinator of this.rank([...coordinators]).slice(0, Math.max(0, requestCount))) {
            void this.requestBatchSlot(coordinator, service, use);
        }
    }

    /**
     * Grants slots that may have been freed here: first to waiting online requests, then to the waiting items of peers,
     * in the order in which they arrived.
     */
    serveWaiting(): void {
        this.onlineWaiting.serve();
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
        this.placement.forget(removed);
        this.onlineWaiting.forget(removed);
        [...this.waiting].filter(item => removed.includes(item.from)).forEach(item => item.finish(undefined));
        this.onlineWaiting.serve();
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
    ): Promise<onlinePlacement.GrantedSlotChoice | undefined> {
        const reply = await this.askOnline(coordinator, service, usable);
        if (reply === undefined) {
            return undefined;
        }
        const { upstream, waiting } = reply;
        if (upstream === undefined) {
            return undefined;
        }
        if (!usable.has(upstream)) {
            // The coordinator knows an engine that is not known here yet, or that has been removed here.
            this.parts.returnSlot(upstream);
            return undefined;
        }
        return { id: upstream, waiting, yielder: undefined, isCounted: waiting === 0 };
    }

    /** Sends a request for an online slot. `request` is given if the order among customers matters. */
    private async askOnline(
        coordinator: core.InstanceId,
        service: string,
        usable: ReadonlySet<core.UpstreamId>,
        request?: onlineWaiting.SharedRequest,
    ): Promise<protocol.SlotReply | undefined> {
        const { network, clock, returnSlot, coordinators } = this.parts;
        const except = coordinators.getEnginesOf(coordinator, service).filter(upstream => !usable.has(upstream));
        const kind = protocol.MessageKind.SlotRequest;
        const shareFields = request === undefined ? {} : onlinePlacement.createShareFields(request);
        const message = { kind, service, ...(except.length === 0 ? {} : { except }), ...shareFields } as const;
        const waitMilliseconds = request?.waitMilliseconds ?? 0;
        const timeoutMilliseconds = waitMilliseconds + OnlineTimeoutMilliseconds;
        const reply = await network.request(coordinator, message, { lane: protocol.Lane.Control, timeoutMilliseconds });
        if (reply.ok && reply.message.kind === protocol.MessageKind.SlotReply) {
            this.order.recordFreeSlots(coordinator, reply.message.free, clock.now());
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
     * Answers as coordinator. The slot is counted as the requester's before the answer is sent, so that no other member
     * is granted it.
     */
    private async grantOnline(message: protocol.SlotRequest, from: core.InstanceId): Promise<protocol.SlotReply> {
        const { slotTable, dataCentre, clock } = this.parts;
        const { service } = message;
        const except = new Set(message.except);
        const candidates = this.getUsableOwnEngines(service, except);
        const choice = slotTable.tryChooseOnline(candidates, dataCentre, ReservedSlots, clock.now());
        const kind = protocol.MessageKind.SlotReply;
        if (choice === undefined) {
            return { kind, waiting: 0, free: 0 };
        }
        const isFree = choice.waiting === 0 && !this.onlineWaiting.hasWaiting(service);
        if (!isFree && this.ordersOnline() && message.remainingMilliseconds !== undefined) {
            return this.grantInOrder(message, from, except);
        }
        if (!isFree) {
            return { kind, upstream: choice.id, waiting: Math.max(1, choice.waiting), free: 0 };
        }
        this.countGranted(choice, from);
        const free = candidates.reduce((sum, entry) => sum + entry.slots - slotTable.getTotal(entry.id).online, 0);
        return { kind, upstream: choice.id, waiting: 0, free: Math.max(0, free) };
    }

    /** Answers a request that found no free slot: when it is granted one in its turn, or with the expected wait. */
    private async grantInOrder(
        message: protocol.SlotRequest,
        from: core.InstanceId,
        except: ReadonlySet<core.UpstreamId>,
    ): Promise<protocol.SlotReply> {
        const { service } = message;
        const kind = protocol.MessageKind.SlotReply;
        const request = onlinePlacement.readShareFields(message);
        let expected: number;
        if (request.waitMilliseconds === 0) {
            expected = this.onlineWaiting.estimateWait(service, request);
        }
        else {
            const asking = { ...request, service, from, except, isWanted: () => true };
            const outcome = await this.onlineWaiting.wait(asking);
            if (outcome.kind === onlineWaiting.WaitOutcomeKind.Granted) {
                return { kind, upstream: outcome.choice.id, waiting: 0, free: 0 };
            }
            expected = outcome.expectedWaitMilliseconds;
        }
        const waiting = this.onlineWaiting.getWaitingCount();
        return { kind, waiting, free: 0, expectedWaitMilliseconds: Math.round(expected) };
    }

    /** Counts a slot as the requester's, and asks the batch item that holds it to yield. */
    private countGranted(choice: decisions.SlotChoice, from: core.InstanceId): void {
        const { slotTable, requestYield, onGranted } = this.parts;
        if (choice.yielder !== undefined) {
            requestYield(choice.id, choice.yielder);
        }
        if (from === decisions.SelfInstance) {
            this.setOwnGrants(choice.id, (this.ownGrants.get(choice.id) ?? 0) + 1);
            return;
        }
        slotTable.addPeer(from, choice.id, { online: 1, batch: 0 });
        onGranted(from);
    }

    private setOwnGrants(upstream: core.UpstreamId, online: number): void {
        this.ownGrants.set(upstream, online);
        this.parts.slotTable.setPeer(decisions.SelfInstance, upstream, { online, batch: 0 });
    }

    private ordersOnline(): boolean {
        return this.parts.policy.onlineOrder === loadPolicy.OnlineOrder.Shares;
    }

    /** The engines coordinated here that a request may use. */
    private getUsableOwnEngines(
        service: string,
        except: ReadonlySet<core.UpstreamId>,
    ): readonly decisions.SlotCandidate[] {
        const { slotTable, coordinators, clock } = this.parts;
        return coordinators
            .getOwnEngines(service)
            .filter(entry => !except.has(entry.id) && !slotTable.isPenalized(entry.id, clock.now()));
    }

    private tryChooseFree(service: string, except: ReadonlySet<core.UpstreamId>): decisions.SlotChoice | undefined {
        const { slotTable, dataCentre, clock } = this.parts;
        const candidates = this.getUsableOwnEngines(service, except);
        const choice = slotTable.tryChooseOnline(candidates, dataCentre, ReservedSlots, clock.now());
        return choice?.waiting === 0 ? choice : undefined;
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

    private getLinkedCoordinators(): readonly core.InstanceId[] {
        return this.parts.network.getConnectedPeers().filter(peer => this.parts.coordinators.isCoordinator(peer));
    }

    private rank(coordinators: readonly core.InstanceId[]): readonly core.InstanceId[] {
        const choices = coordinators.map(id => ({ id, isNear: this.parts.coordinators.isInSameDataCentre(id) }));
        return this.order.rank(choices, this.parts.clock.now());
    }
}
