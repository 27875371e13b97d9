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
    /** The largest slack of this instance's items on the upstream, in milliseconds; negative if all are late. */
    readonly tryGetSlack: (upstream: core.UpstreamId) => number | undefined;
}

interface UpstreamUse {
    own: { online: number; batch: number };
    readonly peers: Map<core.InstanceId, SlotUse>;
    /** The largest slack of each peer's batch items, for peers that report it. */
    readonly slacks: Map<core.InstanceId, number>;
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
        const peers = this.getUse(upstream).peers;
        if (use.online === 0 && use.batch === 0) {
            peers.delete(peer);
        }
        else {
            peers.set(peer, use);
        }
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
        slacks.set(peer, Math.max(milliseconds, slacks.get(peer) ?? -Infinity));
    }

    /** Makes batch work yield in order of slack while the source is active. */
    setSlackSource(source: SlackSource): void {
        this.slackSource = source;
    }

    /** Adds slots that were granted to a peer; the peer's next notification replaces the sum. */
    addPeer(peer: core.InstanceId, upstream: core.UpstreamId, more: SlotUse): void {
        const known = this.getUse(upstream).peers.get(peer) ?? { online: 0, batch: 0 };
        this.setPeer(peer, upstream, { online: known.online + more.online, batch: known.batch + more.batch });
    }

    /** Removes a peer that was removed from the fleet; the connections of its requests are closed, too. */
    removePeer(peer: core.InstanceId): void {
        for (const use of this.uses.values()) {
            use.peers.delete(peer);
            use.slacks.delete(peer);
        }
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
            const score =
                free / candidate.slots +
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
        const base = occupied < 1 ? occupied : online < 1 ? 1 + online : 2 + online;
        const penalty = use.penaltyUntil > now ? PenaltyScore : 0;
        const distance = candidate.dataCentre === dataCentre ? 0 : SameDataCentreBonus;
        const connection = candidate.hasIdleConnection === true ? 0 : ConnectionBonus;
        const order = this.preference(candidate.id) * PreferenceSpread + this.random() * TieBreakSpread;
        return base + penalty + distance + connection + order;
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

    private getUse(upstream: core.UpstreamId): UpstreamUse {
        let use = this.uses.get(upstream);
        if (use === undefined) {
            use = { own: { online: 0, batch: 0 }, peers: new Map(), slacks: new Map(), penaltyUntil: -Infinity };
            this.uses.set(upstream, use);
        }
        return use;
    }
}

/** Returns the instance with the most slack, or one whose items are all late: another delay costs their callers nothing. */
function chooseBySlack(use: UpstreamUse, ownSlack: number | undefined): core.InstanceId | undefined {
    const holders: [core.InstanceId, number][] = use.own.batch > 0 ? [[SelfInstance, ownSlack ?? UnknownSlack]] : [];
    for (const [peer, { batch }] of use.peers) {
        if (batch > 0) {
            holders.push([peer, use.slacks.get(peer) ?? UnknownSlack]);
        }
    }
    let best: core.InstanceId | undefined;
    let most = -Infinity;
    for (const [instance, slack] of holders) {
        const rank = slack < 0 ? Infinity : slack;
        if (rank > most) {
            best = instance;
            most = rank;
        }
    }
    return best;
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
/** Higher than any queue. */
const PenaltyScore = 100;
