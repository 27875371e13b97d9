import type * as core from "@boragedale/core";
import type * as customers from "@boragedale/customers";
import type * as protocol from "@boragedale/protocol";
import type * as stateOwners from "./stateOwners.js";

export interface QuotaReachParts {
    readonly owners: stateOwners.StateOwners;
    readonly network: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly terms: customers.QuotaTerms;
}

/** The part of the fleet that this member can reach. */
export interface Reach {
    /** Peers that may be running but cannot be reached. */
    readonly unresponsive: ReadonlySet<core.InstanceId>;
    /** Share of the members that are not unresponsive. */
    readonly reachableShare: number;
    /** Share of the members that can report the requests that they ran in the last window. */
    readonly knownShare: number;
    /** Time since the counts of the others were lost. */
    readonly lostMilliseconds: number;
}

const RefreshMilliseconds = 250;
/** A process that has just started cannot tell how much of the fleet was killed with it, or shortly before or after. */
const KnownShareAtStart = 0;

/**
 * Fraction of a window until peers are known to be unresponsive. Until then, they use the whole limit with an owner of
 * their own.
 */
const UndetectedWindowFraction = 0.36;

/** Tracks which members can be reached, as far as the limits of customers depend on it. */
export class QuotaReach {
    private refreshedAt: core.MonotonicMilliseconds = -Infinity;
    private reach: Reach = { unresponsive: new Set(), reachableShare: 1, knownShare: 1, lostMilliseconds: 0 };
    /** The lowest share of linked members in the last window, and when it was seen. */
    private lowest: { readonly share: number; readonly at: core.MonotonicMilliseconds };
    private readonly startedAt: core.MonotonicMilliseconds;
    /** When members without a link were removed in the last window. Those that were restarted since then don't know what they ran before. */
    private readonly removedAt: core.MonotonicMilliseconds[] = [];

    constructor(private readonly parts: QuotaReachParts) {
        this.startedAt = parts.clock.now();
        this.lowest = { share: KnownShareAtStart, at: this.startedAt };
        parts.owners.onMembersRemoved(removed => {
            // A member whose lease ended while the store was away still runs, and reports.
            const connected = new Set(parts.network.getConnectedPeers());
            removed.filter(id => !connected.has(id)).forEach(() => this.removedAt.push(parts.clock.now()));
        });
    }

    /** `isFresh`: computes the current state instead of using a recent one. */
    get(isFresh: boolean): Reach {
        const now = this.parts.clock.now();
        if (isFresh || now - this.refreshedAt >= RefreshMilliseconds) {
            this.refreshedAt = now;
            this.refresh(now);
        }
        return this.reach;
    }

    private refresh(now: core.MonotonicMilliseconds): void {
        const { owners, network, terms } = this.parts;
        const count = owners.getMemberCount();
        const unresponsive = owners.pickListed(network.getSilentPeers());
        const linked = Math.min(count, owners.pickListed(network.getConnectedPeers()).length + 1);
        // Only owners are linked to all members. The others cannot tell which members are disconnected.
        const disconnected = owners.isOwner() ? count - linked : 0;
        const firstRecent = this.removedAt.findIndex(at => now - at < terms.windowMilliseconds);
        this.removedAt.splice(0, firstRecent < 0 ? this.removedAt.length : firstRecent);
        const unknown = disconnected + this.removedAt.length + UndetectedWindowFraction * unresponsive.length;
        const reachable = 1 - Math.min(count, unknown) / count;
        // Links are still being opened, so members without one are not disconnected.
        const isStarting = now - this.startedAt <= terms.windowMilliseconds;
        const share = isStarting ? Math.max(KnownShareAtStart, reachable) : reachable;
        if (share <= this.lowest.share || now - this.lowest.at > terms.windowMilliseconds) {
            this.lowest = { share, at: now };
        }
        this.reach = {
            unresponsive: new Set(unresponsive),
            reachableShare: 1 - Math.min(count - 1, unresponsive.length) / count,
            knownShare: this.lowest.share,
            lostMilliseconds: now - this.lowest.at,
        };
    }
}
