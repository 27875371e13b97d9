import type * as core from "@boragedale/core";

/** Numbers of requests of each class that one instance has on an upstream. */
export interface SlotUse {
    readonly online: number;
    readonly batch: number;
}

/** An upstream as a candidate for a request. */
export interface SlotCandidate {
    readonly id: core.UpstreamId;
    readonly slots: number;
    readonly dataCentre: core.DataCentre;
    /** Whether this instance has an idle open connection to it. */
    readonly hasIdleConnection?: boolean;
    /** Speed relative to the service's other engines. Absent: 1. */
    readonly relativeSpeed?: number;
    /** Whether it has become slow and is used only if no other upstream has a free slot. */
    readonly isExcluded?: boolean;
    /** Fraction of its slots that online requests use while others have free slots. Absent: 1. */
    readonly usableShare?: number;
    /** Whether too little is known about its speed to use more than that fraction. */
    readonly isNew?: boolean;
}

/** Where a request should go. */
export interface SlotChoice {
    readonly id: core.UpstreamId;
    /** Requests that wait there before this one, over all instances. */
    readonly waiting: number;
    /** The instance whose batch work yields the slot that this request needs, if it needs one. */
    readonly yielder: core.InstanceId | undefined;
}

/** Tells how long batch items of this instance can wait. */
export interface SlackSource {
    readonly isActive: () => boolean;
    /** The largest slack of this instance's items on the upstream, in milliseconds; negative if one is late. */
    readonly tryGetSlack: (upstream: core.UpstreamId) => number | undefined;
}

interface UpstreamUse {
    own: { online: number; batch: number };
    readonly peers: Map<core.InstanceId, SlotUse>;
    /** The largest slack of each peer's batch items, for peers that report it. */
    readonly slacks: Map<core.InstanceId, number>;
    /** Batch slots that each peer was asked to free since its last report. */
    readonly yieldsRequested: Map<core.InstanceId, number>;
    /** Set when the upstream rejected a request as full or didn't answer: its known load is too low. */
    penaltyUntil: core.MonotonicMilliseconds;
}

/** Represents this instance as the yielding instance in a choice. */
export const SelfInstance = "";

/**
 * Tracks which instance uses which upstream: this instance's own requests exactly, those of its peers as last reported.
 * Engines admit requests in order of arrival and don't know request classes, so the instances have to share the slots
 * themselves.
 *
 * Online bursts arrive at one or several instances while batch work fills the idle slots. Without the table, a request
 * could queue behind batch work or behind a peer's burst on one engine while another engine is idle.
 */
export class SlotTable {
    private readonly uses = new Map<core.UpstreamId, UpstreamUse>();
    private slackSource: SlackSource | undefined;

    /** `preference` is this instance's own fixed order of upstreams; each has a value from 0 (first) to 1. */
    constructor(
        private readonly random: () => number,
        private readonly preference: (upstream: core.UpstreamId) => number,
    ) {}

    take(upstream: core.UpstreamId, isBatch: boolean): void {
        const use = this.getUse(upstream);
        if (isBatch) {
            use.own.batch++;
        }
        else {
            use.own.online++;
        }
    }

    release(upstream: core.UpstreamId, isBatch: boolean): void {
        const use = this.getUse(upstream);
        if (isBatch) {
            use.own.batch--;
        }
        else {
            use.own.online--;
        }
    }

    getOwn(upstream: core.UpstreamId): SlotUse {
        return this.getUse(upstream).own;
    }

    /** Sets the use reported by a peer, replacing its previous report. */
    setPeer(peer: core.InstanceId, upstream: core.UpstreamId, use: SlotUse): void {
        this.getUse(upstream).yieldsRequested.delete(peer);
        this.setPeerUse(peer, upstream, use);
    }

    /** Sets the largest slack of the peer's batch items on the upstream; undefined if it reports none. */
    setPeerSlack(peer: core.InstanceId, upstream: core.UpstreamId, milliseconds: number | undefined): void {
        const slacks = this.getUse(upstream).slacks;
        if (milliseconds === undefined) {
            slacks.delete(peer);
        }
        else {
            slacks.set(peer, milliseconds);
        }
    }

    /** Takes into account an item that the peer starts before it reports its slack. */
    raisePeerSlack(peer: core.InstanceId, upstream: core.UpstreamId, milliseconds: number): void {
        const slacks = this.getUse(upstream).slacks;
        const known = slacks.get(peer);
        if (known === undefined || rankSlack(milliseconds) > rankSlack(known)) {
            slacks.set(peer, milliseconds);
        }
    }

    /** Makes batch work yield in order of slack while the source is active. */
    setSlackSource(source: SlackSource): void {
        this.slackSource = source;
    }

    /** Adds slots that were granted to a peer; the peer's next notification replaces the sum. */
    addPeer(peer: core.InstanceId, upstream: core.UpstreamId, more: SlotUse): void {
        const known = this.getUse(upstream).peers.get(peer) ?? { online: 0, batch: 0 };
        this.setPeerUse(peer, upstream, { online: known.online + more.online, batch: known.batch + more.batch });
    }

    /** Removes a peer that was removed from the fleet; the connections of its requests are closed, too. */
    removePeer(peer: core.InstanceId): void {
        for (const use of this.uses.values()) {
            use.peers.delete(peer);
            use.slacks.delete(peer);
            use.yieldsRequested.delete(peer);
        }
    }

    /**
     * Records that the peer was asked to free a batch slot, so that the next request before its report goes to a peer
     * that has more batch slots than it was asked for.
     */
    recordYieldRequest(peer: core.InstanceId, upstream: core.UpstreamId): void {
        const { yieldsRequested } = this.getUse(upstream);
        yieldsRequested.set(peer, (yieldsRequested.get(peer) ?? 0) + 1);
    }

    /** Treats the upstream as full until the given time, because it rejected a request or didn't answer. */
    penalize(upstream: core.UpstreamId, until: core.MonotonicMilliseconds): void {
        const use = this.getUse(upstream);
        use.penaltyUntil = Math.max(use.penaltyUntil, until);
    }

    isPenalized(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): boolean {
        return this.getUse(upstream).penaltyUntil > now;
    }

    clearPenalty(upstream: core.UpstreamId): void {
        this.getUse(upstream).penaltyUntil = -Infinity;
    }

    getTotal(upstream: core.UpstreamId): SlotUse {
        const use = this.getUse(upstream);
        let online = use.own.online;
        let batch = use.own.batch;
        for (const peer of use.peers.values()) {
            online += peer.online;
            batch += peer.batch;
        }
        return { online, batch };
    }

    /**
     * Whether another upstream should be tried before a free slot of this one is used: it has become slow, or more of
     * its slots are in use than its speed and its return after a slowdown allow.
     */
    isDeferred(candidate: SlotCandidate): boolean {
        const { online, batch } = this.getTotal(candidate.id);
        const allowedShare = Math.min(candidate.relativeSpeed ?? 1, candidate.usableShare ?? 1);
        return (
            candidate.isExcluded === true ||
            (allowedShare < 1 && online + batch + 1 > Math.max(1, candidate.slots * allowedShare))
        );
    }

    /**
     * Chooses the upstream for an online request: the one with the most free slots; if there is none, one on which
     * batch work can yield a slot; otherwise the one with the shortest queue relative to its size. Among equal
     * upstreams each instance has its own order, so that instances which see the same table don't all send to the same
     * upstream before they are notified of each other's requests: at the peak of a burst, five requests arrive within
     * the delay of one notification. Batch work yields a slot as soon as fewer than `reserve` slots would stay free,
     * because a single free slot that all instances know of is the one that two of them take at once.
     */
    tryChooseOnline(
        candidates: readonly SlotCandidate[],
        dataCentre: core.DataCentre,
        reserve: number,
        now: core.MonotonicMilliseconds,
    ): SlotChoice | undefined {
        let best: SlotCandidate | undefined;
        let bestScore = Infinity;
        for (const candidate of candidates) {
            const score = this.scoreOnline(candidate, dataCentre, now);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        if (best === undefined) {
            return undefined;
        }
        const total = this.getTotal(best.id);
        const needsSlot = total.online + total.batch + 1 > best.slots - reserve && total.batch > 0;
        return {
            id: best.id,
            waiting: Math.max(0, total.online - best.slots + 1),
            yielder: needsSlot ? this.tryChooseYieldingInstance(best.id) : undefined,
        };
    }

    /** Chooses the upstream on which a batch item may start: one that keeps `reserve` slots free for online work. */
    tryChooseBatch(
        candidates: readonly SlotCandidate[],
        reserve: number,
        dataCentre: core.DataCentre,
        now: core.MonotonicMilliseconds,
    ): core.UpstreamId | undefined {
        let best: core.UpstreamId | undefined;
        let bestScore = 0;
        for (const candidate of candidates) {
            const total = this.getTotal(candidate.id);
            const free = candidate.slots - reserve - total.online - total.batch;
            if (free <= 0 || this.getUse(candidate.id).penaltyUntil > now) {
                continue;
            }
            // A batch item holds its slot for seconds, so that speed matters more than a few free slots.
            const speed = candidate.isExcluded === true ? 0 : (candidate.relativeSpeed ?? 1);
            const share = free / candidate.slots + (speed - 1) * BatchSpeedWeight;
            const score =
                Math.max(LowestBatchShare, share) +
                this.random() * TieBreakSpread +
                (candidate.dataCentre === dataCentre ? SameDataCentreBonus : 0) +
                (candidate.hasIdleConnection === true ? ConnectionBonus : 0);
            if (score > bestScore) {
                best = candidate.id;
                bestScore = score;
            }
        }
        return best;
    }

    private scoreOnline(
        candidate: SlotCandidate,
        dataCentre: core.DataCentre,
        now: core.MonotonicMilliseconds,
    ): number {
        const use = this.getUse(candidate.id);
        const total = this.getTotal(candidate.id);
        const occupied = (total.online + total.batch) / candidate.slots;
        const online = total.online / candidate.slots;
        // A free slot is better than one that batch work has to yield, which is better than a queue.
        const base =
            occupied < 1
                ? this.scoreFree(candidate, occupied)
                : online < 1
                  ? 1 + online
                  : scoreQueue(candidate, online);
        const penalty = use.penaltyUntil > now ? PenaltyScore : 0;
        const distance = candidate.dataCentre === dataCentre ? 0 : SameDataCentreBonus;
        const connection = candidate.hasIdleConnection === true ? 0 : ConnectionBonus;
        const order = this.preference(candidate.id) * PreferenceSpread + this.random() * TieBreakSpread;
        return base + penalty + distance + connection + order;
    }

    /**
     * Sets the occupied share against the speed: an engine at 1.6 with 4 of 8 slots in use is as loaded as one at 1 with
     * 2.5 of 8. The result is below 1, because a free slot of a slow engine is better than a queue.
     */
    private scoreFree(candidate: SlotCandidate, occupied: number): number {
        const speed = candidate.relativeSpeed ?? 1;
        const weighted = speed === 1 ? occupied : Math.min(HighestFreeScore, occupied / speed);
        if (!this.isDeferred(candidate)) {
            return weighted;
        }
        return candidate.isExcluded === true ? ExcludedScore + occupied : HighestFreeScore;
    }

    /** Chooses the instance whose batch work yields a slot on the upstream; undefined if there is no batch work. */
    tryChooseYieldingInstance(upstream: core.UpstreamId): core.InstanceId | undefined {
        const use = this.getUse(upstream);
        if (this.slackSource?.isActive() === true) {
            return chooseBySlack(use, this.slackSource.tryGetSlack(upstream));
        }
        if (use.own.batch > 0) {
            return SelfInstance;
        }
        let best: core.InstanceId | undefined;
        let most = 0;
        for (const [peer, peerUse] of use.peers) {
            if (peerUse.batch > most) {
                best = peer;
                most = peerUse.batch;
            }
        }
        return best;
    }

    private setPeerUse(peer: core.InstanceId, upstream: core.UpstreamId, use: SlotUse): void {
        const peers = this.getUse(upstream).peers;
        if (use.online === 0 && use.batch === 0) {
            peers.delete(peer);
        }
        else {
            peers.set(peer, use);
        }
    }

    private getUse(upstream: core.UpstreamId): UpstreamUse {
        let use = this.uses.get(upstream);
        if (use === undefined) {
            use = {
                own: { online: 0, batch: 0 },
                peers: new Map(),
                slacks: new Map(),
                yieldsRequested: new Map(),
                penaltyUntil: -Infinity,
            };
            this.uses.set(upstream, use);
        }
        return use;
    }
}

/** A queue is scored by the time that it takes: the queue of an engine at 1.6 moves 1.6 times as fast. */
function scoreQueue(candidate: SlotCandidate, online: number): number {
    const speed = candidate.relativeSpeed ?? 1;
    return speed === 1 ? 2 + online : 3 + (online - 1) / speed;
}

/**
 * Returns the instance with the most slack, or one with a late item: another delay costs their callers nothing.
 * Instances that were asked for all of their batch slots already are chosen only if there is no other one.
 */
function chooseBySlack(use: UpstreamUse, ownSlack: number | undefined): core.InstanceId | undefined {
    const isAskedForAll = (peer: core.InstanceId, batch: number): boolean =>
        batch <= (use.yieldsRequested.get(peer) ?? 0);
    const hasOther = use.own.batch > 0 || [...use.peers].some(([peer, { batch }]) => !isAskedForAll(peer, batch));
    const holders: [core.InstanceId, number][] = use.own.batch > 0 ? [[SelfInstance, ownSlack ?? UnknownSlack]] : [];
    for (const [peer, { batch }] of use.peers) {
        if (batch > 0 && !(hasOther && isAskedForAll(peer, batch))) {
            holders.push([peer, use.slacks.get(peer) ?? UnknownSlack]);
        }
    }
    let best: core.InstanceId | undefined;
    let most = -Infinity;
    for (const [instance, slack] of holders) {
        const rank = rankSlack(slack);
        if (rank > most) {
            best = instance;
            most = rank;
        }
    }
    return best;
}

/** Items that are late, with a negative slack, yield before all others. */
function rankSlack(slack: number): number {
    return slack < 0 ? Infinity : slack;
}

/** Slack assumed for the items of a peer that reports none, as an older version: about half of that of a new item. */
const UnknownSlack = 6_000;
/** One slot of eight: the preference decides among upstreams whose load differs by at most one request. */
const PreferenceSpread = 0.125;
/** A quarter of a slot, so that instances with similar preferences choose differently. */
const TieBreakSpread = 0.03;
/** Half a slot: reaching another data centre takes a millisecond or two, a queue takes tens of milliseconds. */
const SameDataCentreBonus = 0.06;
/**
 * Half a slot: a new connection costs the caller a round trip and the upstream a millisecond of its time, and a burst
 * opens hundreds. It decides among upstreams with about the same load, never between a free slot and a queue.
 */
const ConnectionBonus = 0.06;
/** Score of a free slot on an upstream that is otherwise as loaded as its speed allows. */
const HighestFreeScore = 0.99;
/** An excluded engine is used if batch work would have to yield on several others, but before a queue. */
const ExcludedScore = 1;
/** Weight of a relative speed against the share of free slots in the choice for a batch item. */
const BatchSpeedWeight = 0.5;
/** Lowest share of free slots in that choice: a free slot of a slow engine is used if there is no other. */
const LowestBatchShare = 0.001;
/** Higher than any queue. */
const PenaltyScore = 100;
