import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import type * as demandReserve from "./demandReserve.js";
import type * as engineSpeeds from "./engineSpeeds.js";
import type * as coordinatorDirectory from "./homeDirectory.js";
import * as loadPolicy from "./loadPolicy.js";
import * as onlinePlacement from "./onlinePlacement.js";
import * as onlineWaiting from "./onlineWaiting.js";

export interface OnlineGrantingParts {
    readonly slotTable: decisions.SlotTable;
    readonly coordinators: coordinatorDirectory.CoordinatorDirectory;
    readonly network: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly random: () => number;
    readonly dataCentre: core.DataCentre;
    readonly policy: loadPolicy.LoadPolicy;
    readonly reserve: demandReserve.DemandReserve;
    /** Undefined if the speeds of engines are ignored. */
    readonly speeds?: engineSpeeds.EngineSpeedSharing | undefined;
    /** Adds the known speeds to candidates. */
    readonly annotate: (
        service: string,
        candidates: readonly decisions.SlotCandidate[],
    ) => readonly decisions.SlotCandidate[];
    /** Whether the choice is the part of a new engine that is kept free until its speed is known. */
    readonly isHeldBack: (candidates: readonly decisions.SlotCandidate[], choice: decisions.SlotChoice) => boolean;
    readonly requestYield: (upstream: core.UpstreamId, yielder: core.InstanceId) => void;
    /**
     * Called with the member that was granted a slot. If that member never sends a notice again, it must not keep the
     * slot for ever.
     */
    readonly onGranted: (requester: core.InstanceId) => void;
    /** Called when the wait of an online request at this coordinator has ended. */
    readonly onWaitEnded?: (outcome: onlineWaiting.WaitOutcomeKind) => void;
    /** Slots that an online request leaves free before it makes batch work yield. */
    readonly getOnlineReserve: () => number;
}

/** Grants slots of the engines that this member coordinates to online requests, its own and those of its neighbours. */
export class OnlineGranting {
    readonly waiting: onlineWaiting.OnlineWaiting;
    /** Slots of own engines that were granted to a waiting request here which has not taken them yet. */
    private readonly ownGrants = new Map<core.UpstreamId, number>();

    constructor(private readonly parts: OnlineGrantingParts) {
        this.waiting = new onlineWaiting.OnlineWaiting({
            ...parts,
            getEngines: service => this.getUsableOwnEngines(service, new Set()),
            tryChooseFree: (service, except) => this.tryChooseFree(service, except),
            grant: (choice, from) => this.countGranted(choice, from),
            onWaitEnded: parts.onWaitEnded ?? (() => undefined),
        });
        parts.network.handle(protocol.MessageKind.SlotRequest, async (message, from) => {
            const reply = await this.grant(message, from);
            const speeds = parts.speeds?.createReplyRows(message.service, from);
            return speeds === undefined ? reply : { ...reply, speeds };
        });
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
     * Answers as coordinator. The slot is counted as the requester's before the answer is sent, so that no other member
     * is granted it.
     */
    private async grant(message: protocol.SlotRequest, from: core.InstanceId): Promise<protocol.SlotReply> {
        const { slotTable, reserve } = this.parts;
        const { service } = message;
        const except = new Set(message.except);
        const candidates = this.getUsableOwnEngines(service, except);
        const choice = this.tryChoose(candidates);
        const kind = protocol.MessageKind.SlotReply;
        if (choice === undefined) {
            return { kind, waiting: 0, free: 0 };
        }
        const isFree = choice.waiting === 0 && !this.waiting.hasWaiting(service);
        if (!isFree && this.ordersOnline() && message.remainingMilliseconds !== undefined) {
            return this.grantInOrder(message, from, except);
        }
        if (!isFree) {
            return { kind, upstream: choice.id, waiting: Math.max(1, choice.waiting), free: 0 };
        }
        if (this.parts.isHeldBack(candidates, choice)) {
            // The requester comes back to this engine if the others that it asks are full.
            return { kind, upstream: choice.id, waiting: 1, free: 0 };
        }
        const avoidsYields = reserve.isActive();
        if (choice.yielder !== undefined && avoidsYields && message.allowsYield === false) {
            const yieldable = candidates.map(entry => slotTable.getTotal(entry.id).batch);
            return { kind, waiting: 0, free: yieldable.reduce((sum, batch) => sum + batch, 0) };
        }
        this.countGranted(choice, from);
        const free = candidates.reduce((sum, entry) => {
            const { online, batch } = slotTable.getTotal(entry.id);
            return sum + entry.slots - online - (avoidsYields ? batch : 0);
        }, 0);
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
            expected = this.waiting.estimateWait(service, request);
        }
        else {
            const asking = { ...request, service, from, except, isWanted: () => true };
            const outcome = await this.waiting.wait(asking);
            if (outcome.kind === onlineWaiting.WaitOutcomeKind.Granted) {
                return { kind, upstream: outcome.choice.id, waiting: 0, free: 0 };
            }
            expected = outcome.expectedWaitMilliseconds;
        }
        const waiting = this.waiting.getWaitingCount();
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
        const { slotTable, coordinators, clock, annotate } = this.parts;
        const usable = coordinators
            .getOwnEngines(service)
            .filter(entry => !except.has(entry.id) && !slotTable.isPenalized(entry.id, clock.now()));
        return annotate(service, usable);
    }

    private tryChooseFree(service: string, except: ReadonlySet<core.UpstreamId>): decisions.SlotChoice | undefined {
        const choice = this.tryChoose(this.getUsableOwnEngines(service, except));
        return choice?.waiting === 0 ? choice : undefined;
    }

    private tryChoose(candidates: readonly decisions.SlotCandidate[]): decisions.SlotChoice | undefined {
        const { slotTable, dataCentre, clock, getOnlineReserve } = this.parts;
        return slotTable.tryChooseOnline(candidates, dataCentre, getOnlineReserve(), clock.now());
    }
}
