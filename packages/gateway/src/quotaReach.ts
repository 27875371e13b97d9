import type * as core from "@boragedale/core";
import type * as customers from "@boragedale/customers";
import type * as protocol from "@boragedale/protocol";
import type * as quotaKeepers from "./quotaKeepers.js";

export interface QuotaReachParts {
    readonly keepers: quotaKeepers.QuotaKeepers;
    readonly network: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly terms: customers.QuotaTerms;
}

/** How much of the fleet this member hears. */
export interface Reach {
    /** Peers that may be at work out of reach. */
    readonly silent: ReadonlySet<core.InstanceId>;
    /** Share of the members that are not among them. */
    readonly share: number;
    /** Share of the members that can report what they ran in the last window. */
    readonly known: number;
}

const LookMilliseconds = 250;
/**
 * A process that has just started can't tell how much of the fleet was killed with it. A start takes a good part of a window, so that
 * at most about half of a window's requests are unknown.
 */
const KnownAtStart = 0.5;

/**
 * Peers that went silent used the whole limit together with their own keeper until they were known to be silent: this part of a window.
 */
const UnknownSilentShare = 0.36;

/** Follows which members can be heard, as far as the limits of customers depend on it. */
export class QuotaReach {
    private lookedAt: core.MonotonicMilliseconds = -Infinity;
    private reach: Reach = { silent: new Set(), share: 1, known: 1 };
    /** The lowest share of linked members of the last window, and when it was seen. */
    private low: { readonly share: number; readonly at: core.MonotonicMilliseconds };
    private readonly startedAt: core.MonotonicMilliseconds;

    constructor(private readonly parts: QuotaReachParts) {
        this.startedAt = parts.clock.now();
        this.low = { share: KnownAtStart, at: this.startedAt };
    }

    /** `isFresh`: as it is at this moment, not as it was a little before. */
    get(isFresh: boolean): Reach {
        const now = this.parts.clock.now();
        if (isFresh || now - this.lookedAt >= LookMilliseconds) {
            this.lookedAt = now;
            this.look(now);
        }
        return this.reach;
    }

    private look(now: core.MonotonicMilliseconds): void {
        const { keepers, network, terms } = this.parts;
        const count = keepers.getMemberCount();
        const silent = keepers.pickListed(network.getSilentPeers());
        const linked = Math.min(count, keepers.pickListed(network.getConnectedPeers()).length + 1);
        // Only keepers are linked to all; the others learn nothing of who was lost.
        const lost = keepers.isKeeper() ? count - linked : 0;
        const heard = 1 - Math.min(count, lost + UnknownSilentShare * silent.length) / count;
        // Links are still being opened: members without one aren't lost.
        const isStarting = now - this.startedAt <= terms.windowMilliseconds;
        const share = isStarting ? Math.max(KnownAtStart, heard) : heard;
        if (share <= this.low.share || now - this.low.at > terms.windowMilliseconds) {
            this.low = { share, at: now };
        }
        this.reach = {
            silent: new Set(silent),
            share: 1 - Math.min(count - 1, silent.length) / count,
            known: this.low.share,
        };
    }
}
