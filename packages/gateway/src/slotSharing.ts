import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as batchSlotGranting from "./batchSlotGranting.js";
import * as demandReserve from "./demandReserve.js";
import * as engineSpeeds from "./engineSpeeds.js";
import type * as coordinatorDirectory from "./homeDirectory.js";
import * as loadPolicy from "./loadPolicy.js";
import type * as onlinePlacement from "./onlinePlacement.js";
import type * as onlineWaiting from "./onlineWaiting.js";
import * as slotGranting from "./slotLending.js";
import * as yieldRequests from "./yieldRequests.js";

/** Delay of the notice that a slot was taken. Short, since others may take the same slot until it arrives. */
const TakenNoticeDelayMilliseconds = 2;
/**
 * Delay of the notice that a slot was freed, so that it is sent together with others. Separate notices would be most of
 * the messages, and no queue forms because a free slot becomes known a little later.
 */
const ReleasedNoticeDelayMilliseconds = 25;
/**
 * Interval at which a member's complete slot use is sent, so that lost notices are corrected and silent peers are
 * detected.
 */
const FullNoticeIntervalMilliseconds = 1_000;
/**
 * The same where coordinators grant slots. They count granted slots themselves, and only the effects of lost messages
 * have to be corrected.
 */
const CoordinatedFullNoticeIntervalMilliseconds = 3_000;
/**
 * Time for a coordinator to answer: a few milliseconds of network latency. An item has seconds, but an unavailable
 * coordinator must not delay it.
 */
const CoordinatorTimeoutMilliseconds = 80;
/** A peer that sent no notice for this long has ended, has stopped or is cut off, and its requests no longer count. */
const PeerExpiryMilliseconds = 3_500;
const CoordinatedPeerExpiryMilliseconds = 3 * CoordinatedFullNoticeIntervalMilliseconds;

export interface SlotSharingParts {
    readonly slotTable: decisions.SlotTable;
    readonly network: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly coordinators: coordinatorDirectory.CoordinatorDirectory;
    readonly dataCentre: core.DataCentre;
    readonly random: () => number;
    readonly onCoordinatorUnresponsive: (coordinator: core.InstanceId, text: string) => void;
    /** `DefaultLoadPolicy` if absent. */
    readonly policy?: loadPolicy.LoadPolicy;
    /** Called if an engine that this member coordinates is excluded for being slow, or returns. */
    readonly onEngineExclusion?: (change: decisions.ExclusionChange) => void;
    /** Called once for each engine that this member coordinates, with a function that returns its relative speed. */
    readonly onEngineMeasured?: (upstream: core.UpstreamId, getSpeed: () => number) => void;
    /** Called when the wait of an online request at this coordinator has ended. */
    readonly onWaitEnded?: (outcome: onlineWaiting.WaitOutcomeKind) => void;
    /** Called when batch work is asked to give up a slot. */
    readonly onYieldRequested?: (reason: yieldRequests.YieldReason) => void;
}

/** What other members have to know of this member's batch items. */
export interface ItemOutlook {
    /** The largest slack of the running items on the upstream; undefined if there is none. */
    readonly tryGetSlack: (upstream: core.UpstreamId) => number | undefined;
    /** The most urgent item that waits for a slot of the service. */
    readonly tryGetMostUrgent: (service: string) => decisions.ItemEstimate | undefined;
}

/**
 * Keeps the slot table up to date: sends notices of this member's requests, and applies those of peers. In a small
 * fleet every member notifies all others. In a large one each use is reported only to the engine's coordinator, which
 * grants the slots.
 */
export class SlotSharing implements AsyncDisposable {
    private readonly changedUpstreams = new Set<core.UpstreamId>();
    private readonly lastNoticeAt = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    private readonly usedUpstreams = new Set<core.UpstreamId>();
    private readonly stopper = new AbortController();
    private noticeDueAt: core.MonotonicMilliseconds = Infinity;
    private stopNotice: (() => void) | undefined;
    private onYield: (upstream: core.UpstreamId) => void = () => undefined;
    private onSlotFreed: () => void = () => undefined;
    private outlook: ItemOutlook | undefined;

    private readonly grants = new decisions.BatchGrants();
    private readonly granting: slotGranting.SlotGranting;
    /** Decides where batch items may start, if batch work follows the online demand. */
    readonly reserve: demandReserve.DemandReserve;
    private readonly yields: yieldRequests.YieldRequests;
    private readonly network: protocol.PeerNetwork;
    private readonly clock: core.Clock;
    readonly slotTable: decisions.SlotTable;
    /** Undefined if the policy ignores the speeds of engines. */
    readonly speeds: engineSpeeds.EngineSpeedSharing | undefined;

    constructor(private readonly parts: SlotSharingParts) {
        const { network, clock, slotTable } = parts;
        this.network = network;
        this.clock = clock;
        this.slotTable = slotTable;
        const policy = parts.policy ?? loadPolicy.DefaultLoadPolicy;
        this.speeds = policy.engineSpeeds === loadPolicy.EngineSpeeds.Measured ? this.createSpeeds() : undefined;
        this.reserve = new demandReserve.DemandReserve({ ...parts, policy });
        this.yields = new yieldRequests.YieldRequests({
            ...parts,
            signal: this.stopper.signal,
            send: (upstream, yielder) => this.sendYield(upstream, yielder),
            onRequested: reason => parts.onYieldRequested?.(reason),
        });
        slotTable.setSlackSource({
            isActive: () => this.reserve.isActive(),
            tryGetSlack: upstream => this.outlook?.tryGetSlack(upstream),
        });
        this.granting = new slotGranting.SlotGranting({
            ...parts,
            speeds: this.speeds,
            policy,
            reserve: this.reserve,
            tryGetMostUrgent: service => this.outlook?.tryGetMostUrgent(service),
            requestYield: (upstream, yielder) => this.requestYield(upstream, yielder),
            returnSlot: upstream => this.returnSlot(upstream),
            onGranted: requester => this.lastNoticeAt.set(requester, clock.now()),
        });
        network.handle(protocol.MessageKind.BatchStart, async (message, from) => ({
            kind: protocol.MessageKind.BatchStartReply,
            isGranted: this.grant(from, { id: message.upstream, slots: message.slots }, message.reserve),
        }));
        network.handle(protocol.MessageKind.SlotUses, async (message, from) => {
            this.applyNotice(message, from);
            return undefined;
        });
        network.handle(protocol.MessageKind.YieldSlot, async message => {
            this.onYield(message.upstream);
            return undefined;
        });
    }

    /** Sets the callbacks that give up a batch item's slot, and that handle slots which may have been freed. */
    connect(onYield: (upstream: core.UpstreamId) => void, onSlotFreed: () => void, outlook?: ItemOutlook): void {
        this.onYield = onYield;
        this.onSlotFreed = onSlotFreed;
        this.outlook = outlook;
    }

    /** Whether this member's items may only start on its own engines and on slots that neighbours grant. */
    requiresGrant(service: string): boolean {
        return this.parts.coordinators.areSlotsGranted() && this.parts.coordinators.isEngineService(service);
    }

    isOwnEngine(upstream: core.UpstreamId): boolean {
        return this.parts.coordinators.tryGetCoordinator(upstream) === decisions.SelfInstance;
    }

    /** Chooses the upstream for an online request. The caller decides whether to join its queue. */
    async chooseOnline(
        service: string,
        candidates: readonly decisions.SlotCandidate[],
    ): Promise<onlinePlacement.GrantedSlotChoice | undefined> {
        if (this.requiresGrant(service)) {
            return this.granting.chooseOnline(service, candidates);
        }
        const { dataCentre } = this.parts;
        const choice = this.slotTable.tryChooseOnline(
            this.annotate(service, candidates),
            dataCentre,
            batchSlotGranting.ReservedSlots,
            this.clock.now(),
        );
        return choice === undefined ? undefined : { ...choice, isCounted: false };
    }

    /** Whether waiting online requests of the service are ordered by customers' shares. */
    ordersOnline(service: string): boolean {
        return this.parts.policy?.onlineOrder === loadPolicy.OnlineOrder.Shares && this.requiresGrant(service);
    }

    /** Finds a slot for an online request. It may wait for one, and is refused if the wait would be too long. */
    async placeOnline(
        service: string,
        candidates: readonly decisions.SlotCandidate[],
        request: onlinePlacement.OnlineRequest,
    ): Promise<onlinePlacement.OnlineOutcome> {
        return this.granting.placeOnline(service, candidates, request);
    }

    /** Online requests of all members that wait at this coordinator. */
    getWaitingOnlineCount(): number {
        return this.granting.getWaitingOnlineCount();
    }

    /** Records for how long a request of this member held a slot of the service. */
    recordServiceTime(service: string, milliseconds: number): void {
        if (this.ordersOnline(service)) {
            this.granting.recordServiceTime(service, milliseconds);
        }
    }

    /**
     * Requests slots from neighbours for the wanted number of items. `use` is called with each granted slot, and
     * returns whether it is used. `items` are the waiting items, most urgent first, as far as they are known.
     */
    requestBatchSlots(
        service: string,
        wanted: number,
        use: (upstream: core.UpstreamId) => boolean,
        items: readonly decisions.ItemEstimate[] = [],
    ): void {
        this.granting.batch.requestBatchSlots(service, wanted, use, items);
    }

    /** Grants slots that this member's own items have left to the items of peers that wait for them. */
    servePeers(): void {
        if (this.reserve.isActive()) {
            this.granting.batch.serveWaiting(true);
        }
    }

    /** Adds the measured speeds of engines to candidates. A single candidate is chosen whatever its speed. */
    annotate<T extends decisions.SlotCandidate>(service: string, candidates: readonly T[]): readonly T[] {
        return candidates.length > 1 ? (this.speeds?.annotate(service, candidates) ?? candidates) : candidates;
    }

    /** Frees the slots of removed members. */
    forget(removed: readonly core.InstanceId[]): void {
        this.speeds?.forget(removed);
        removed.forEach(member => this.forgetPeer(member));
        this.granting.forget(removed);
    }

    /** `isCounted`: the upstream's coordinator granted the slot and needs no notice of it. */
    take(upstream: core.UpstreamId, isBatch: boolean, isCounted = false): void {
        if (isCounted && !isBatch) {
            this.granting.settleOwnGrant(upstream);
        }
        this.slotTable.take(upstream, isBatch);
        this.usedUpstreams.add(upstream);
        if (!isCounted) {
            this.noteChange(upstream, TakenNoticeDelayMilliseconds);
        }
    }

    /**
     * Notifies the upstream's coordinator of the actual use, after it counted a slot for this member that is not used.
     */
    returnSlot(upstream: core.UpstreamId): void {
        if (this.granting.settleOwnGrant(upstream)) {
            this.notifySlotFreed();
            return;
        }
        this.noteFreed(upstream);
    }

    release(upstream: core.UpstreamId, isBatch: boolean): void {
        this.slotTable.release(upstream, isBatch);
        this.noteFreed(upstream);
        this.notifySlotFreed();
    }

    /**
     * Asks the holder of a batch item on the upstream to give up its slot. Sent immediately, since an online request is
     * waiting.
     */
    requestYield(upstream: core.UpstreamId, yielder: core.InstanceId): void {
        if (this.reserve.isActive()) {
            this.yields.requestUntilFree(upstream, yielder, yieldRequests.YieldReason.NoFreeSlot);
        }
        else {
            this.yields.request(upstream, yielder, yieldRequests.YieldReason.Reserve);
        }
    }

    private sendYield(upstream: core.UpstreamId, yielder: core.InstanceId): void {
        if (yielder === decisions.SelfInstance) {
            this.onYield(upstream);
            return;
        }
        this.network.notify(yielder, { kind: protocol.MessageKind.YieldSlot, upstream }, protocol.Lane.Control);
    }

    /**
     * Whether a batch item may start on the upstream, as decided by its coordinator. A coordinator that does not answer
     * is stopped or cut off. The local slot table decides then, as it does at the other members.
     */
    async mayStartBatch(upstream: decisions.SlotCandidate, reserve: number): Promise<boolean> {
        const coordinator = this.parts.coordinators.tryGetCoordinator(upstream.id);
        if (coordinator === undefined || coordinator === decisions.SelfInstance) {
            return this.grant(decisions.SelfInstance, upstream, reserve);
        }
        const message = {
            kind: protocol.MessageKind.BatchStart,
            upstream: upstream.id,
            slots: upstream.slots,
            reserve,
        } as const;
        const reply = await this.network.request(coordinator, message, {
            lane: protocol.Lane.Control,
            timeoutMilliseconds: CoordinatorTimeoutMilliseconds,
        });
        if (reply.ok && reply.message.kind === protocol.MessageKind.BatchStartReply) {
            return reply.message.isGranted;
        }
        return this.grant(decisions.SelfInstance, upstream, reserve);
    }

    /** The background task that repeats the notice of the complete slot use, and drops silent peers. */
    async run(): Promise<void> {
        void this.reserve.run(this.stopper.signal);
        while (!this.stopper.signal.aborted) {
            this.forgetSilentPeers();
            this.sendNotices([...this.usedUpstreams], true);
            this.forgetUnused();
            const areGranted = this.parts.coordinators.areSlotsGranted();
            const interval = areGranted ? CoordinatedFullNoticeIntervalMilliseconds : FullNoticeIntervalMilliseconds;
            await this.clock.sleep(interval, this.stopper.signal);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
    }

    private createSpeeds(): engineSpeeds.EngineSpeedSharing {
        const { coordinators, onEngineExclusion, onEngineMeasured } = this.parts;
        const speeds: engineSpeeds.EngineSpeedSharing = new engineSpeeds.EngineSpeedSharing({
            clock: this.clock,
            slotTable: this.slotTable,
            coordinators,
            onExclusion: change => onEngineExclusion?.(change),
            onOwnEngine: upstream => {
                const service = coordinators.tryGetService(upstream) ?? "";
                onEngineMeasured?.(upstream, () => speeds.getRelativeSpeed(service, upstream));
            },
        });
        return speeds;
    }

    private grant(
        requester: core.InstanceId,
        upstream: { id: core.UpstreamId; slots: number },
        reserve: number,
    ): boolean {
        const total = this.slotTable.getTotal(upstream.id);
        return this.grants.tryGrant(requester, upstream.id, total, upstream.slots, reserve, this.clock.now());
    }

    private noteFreed(upstream: core.UpstreamId): void {
        // Requests that wait at the coordinator would leave the slot unused for the time of the delay.
        const isContended = this.granting.isContended(upstream);
        this.noteChange(upstream, isContended ? TakenNoticeDelayMilliseconds : ReleasedNoticeDelayMilliseconds);
    }

    private noteChange(upstream: core.UpstreamId, delay: number): void {
        this.usedUpstreams.add(upstream);
        this.changedUpstreams.add(upstream);
        const dueAt = this.clock.now() + delay;
        if (dueAt >= this.noticeDueAt) {
            return;
        }
        this.stopNotice?.();
        this.noticeDueAt = dueAt;
        this.stopNotice = this.clock.schedule(delay, () => {
            this.noticeDueAt = Infinity;
            const changed = [...this.changedUpstreams];
            this.changedUpstreams.clear();
            this.sendNotices(changed, false);
        });
    }

    private sendNotices(upstreams: readonly core.UpstreamId[], isWhole: boolean): void {
        if (!this.parts.coordinators.areSlotsGranted()) {
            this.network.notifyAll(this.createNotice(upstreams, isWhole), protocol.Lane.Control);
            return;
        }
        for (const [coordinator, coordinated] of this.groupByCoordinator(upstreams)) {
            this.network.notify(
                coordinator,
                this.createNotice(coordinated, isWhole, coordinator),
                protocol.Lane.Control,
            );
        }
    }

    /**
     * Groups upstreams by the peer that coordinates them. Own engines need no notice, and slots of plain services are
     * not granted.
     */
    private groupByCoordinator(upstreams: readonly core.UpstreamId[]): Map<core.InstanceId, core.UpstreamId[]> {
        const byCoordinator = new Map<core.InstanceId, core.UpstreamId[]>();
        for (const upstream of upstreams) {
            const coordinator = this.parts.coordinators.tryGetCoordinator(upstream);
            if (coordinator !== undefined && coordinator !== decisions.SelfInstance) {
                byCoordinator.set(coordinator, [...(byCoordinator.get(coordinator) ?? []), upstream]);
            }
        }
        return byCoordinator;
    }

    /** `coordinator`: the only receiver, which is also sent the speeds measured at its engines. */
    private createNotice(
        upstreams: readonly core.UpstreamId[],
        isWhole: boolean,
        coordinator?: core.InstanceId,
    ): protocol.SlotUses {
        const uses = upstreams.map((upstream): readonly [string, number, number] => {
            const own = this.slotTable.getOwn(upstream);
            return [upstream, own.online, own.batch];
        });
        const listed = isWhole ? uses.filter(([, online, batch]) => online > 0 || batch > 0) : uses;
        const slacks = this.reserve.isActive() ? this.listSlacks(listed) : [];
        const speeds = coordinator === undefined ? undefined : this.speeds?.takeRows(coordinator);
        return {
            kind: protocol.MessageKind.SlotUses,
            isWhole,
            uses: listed,
            // Most notices report online requests only, and an empty list would be sent with a placeholder before it.
            ...(slacks.length === 0 ? {} : { slacks }),
            ...(speeds === undefined ? {} : { speeds }),
        };
    }

    private listSlacks(uses: protocol.SlotUses["uses"]): [core.UpstreamId, number][] {
        return uses.flatMap(([upstream, , batch]): [core.UpstreamId, number][] => {
            const slack = batch > 0 ? this.outlook?.tryGetSlack(upstream) : undefined;
            return slack === undefined ? [] : [[upstream, slack]];
        });
    }

    private applyNotice(message: protocol.SlotUses, from: core.InstanceId): void {
        this.speeds?.addRows(message.speeds);
        this.lastNoticeAt.set(from, this.clock.now());
        if (message.isWhole) {
            this.slotTable.removePeer(from);
        }
        const slacks = new Map(message.slacks);
        for (const [upstream, online, batch] of message.uses) {
            this.grants.confirm(from, upstream);
            this.slotTable.setPeer(from, upstream, { online, batch });
            this.slotTable.setPeerSlack(from, upstream, slacks.get(upstream));
        }
        this.notifySlotFreed();
    }

    private notifySlotFreed(): void {
        this.reserve.sample();
        this.granting.serveWaiting();
        this.onSlotFreed();
    }

    /** Forgets upstreams without requests of this member, about which there is nothing to report. */
    private forgetUnused(): void {
        for (const upstream of this.usedUpstreams) {
            const own = this.slotTable.getOwn(upstream);
            if (own.online === 0 && own.batch === 0) {
                this.usedUpstreams.delete(upstream);
            }
        }
    }

    private forgetSilentPeers(): void {
        const now = this.clock.now();
        const limit = this.parts.coordinators.areSlotsGranted()
            ? CoordinatedPeerExpiryMilliseconds
            : PeerExpiryMilliseconds;
        for (const [peer, at] of this.lastNoticeAt) {
            if (now - at > limit) {
                this.forgetPeer(peer);
            }
        }
    }

    private forgetPeer(peer: core.InstanceId): void {
        this.lastNoticeAt.delete(peer);
        this.slotTable.removePeer(peer);
    }
}
