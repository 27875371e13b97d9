import type * as core from "@boragedale/core";
import type * as protocol from "@boragedale/protocol";
import type * as fleetView from "./fleetView.js";
import type * as types from "./types.js";
import * as watchAssignment from "./watchDuty.js";

/**
 * Minimum interval between requests for missing entries, since the update of a peer that is ahead may already be in
 * transit.
 */
const RequestIntervalMilliseconds = 900;
/** A peer whose answer did not bring this member up to date is not asked again for this time. */
const UnhelpfulPeerMilliseconds = 3_000;
/** Time after a change during which members' copies may be at different revisions. */
const RecentChangeMilliseconds = 10_000;

/** Result of a request for missing entries. */
export enum CatchUpOutcome {
    /** The copy matches the peer's heartbeat. */
    Level = "Level",
    /** The copy still differs from the peer's heartbeat. */
    Behind = "Behind",
    /** The peer did not answer. */
    Failed = "Failed",
}

/**
 * Decides when this member requests missing registry entries, and from which peer. Each change reaches hundreds of
 * members at nearly the same time; if all of them requested what is already in transit, peers would send hundreds of
 * answers. A member must also not stay behind because the peer that it asks cannot answer. Pure apart from reading the
 * view and the watch assignment.
 */
export class CatchUpPolicy {
    private requestedAt: core.MonotonicMilliseconds = -Infinity;
    /** Peers that were asked and have not brought this member up to date, with the time of the request. */
    private readonly unhelpfulPeers = new Map<core.InstanceId, core.MonotonicMilliseconds>();

    constructor(
        private readonly view: fleetView.FleetView,
        private readonly assignment: watchAssignment.WatchAssignment,
    ) {}

    /**
     * Whether the entries that a heartbeat announces may arrive without a request, so that it is worth waiting for
     * them.
     */
    mayArriveUnrequested(heartbeat: protocol.Heartbeat, now: core.MonotonicMilliseconds): boolean {
        this.forgetUnhelpfulPeers(now);
        return (
            this.assignment.isLargeFleet() &&
            heartbeat.isWatching === true &&
            this.view.isComplete() &&
            this.unhelpfulPeers.size === 0 &&
            this.assignment.receivesUpdates(now) &&
            // Changes of upstreams arrive in order, so a change in transit cannot cause a difference at the same
            // revision.
            !this.hasDifferentUpstreams(heartbeat)
        );
    }

    /** Whether the sender of a heartbeat has entries that this member lacks. */
    isBehind(heartbeat: protocol.Heartbeat, now: core.MonotonicMilliseconds): boolean {
        return this.tryGetMissingAfter(heartbeat, now) !== undefined;
    }

    /**
     * Starts a request to the sender of a heartbeat if one is due now. Returns the revision after which entries are
     * missing.
     */
    tryBegin(
        peer: core.InstanceId,
        heartbeat: protocol.Heartbeat,
        now: core.MonotonicMilliseconds,
    ): types.Revision | undefined {
        if (now - this.requestedAt < RequestIntervalMilliseconds || !this.mayRequest(peer, heartbeat, now)) {
            return undefined;
        }
        const missingAfter = this.tryGetMissingAfter(heartbeat, now);
        if (missingAfter !== undefined) {
            this.requestedAt = now;
            this.unhelpfulPeers.set(peer, now);
        }
        return missingAfter;
    }

    /** Records the outcome of a request that `tryBegin` started. */
    end(peer: core.InstanceId, outcome: CatchUpOutcome): void {
        if (outcome === CatchUpOutcome.Level) {
            this.unhelpfulPeers.delete(peer);
        }
        else if (outcome === CatchUpOutcome.Failed) {
            // Allows a request to another peer as soon as its next heartbeat arrives.
            this.requestedAt = -Infinity;
        }
    }

    /**
     * Watching members receive changes before the others, so asking every peer that is ahead would only multiply the
     * answers. After an unsuccessful request any other peer may be asked: heartbeats arrive over all links at the same
     * moment, so the peer whose heartbeat arrives first would remain the first choice in every round.
     */
    private mayRequest(peer: core.InstanceId, heartbeat: protocol.Heartbeat, now: core.MonotonicMilliseconds): boolean {
        if (this.unhelpfulPeers.has(peer)) {
            return false;
        }
        return (
            heartbeat.isWatching === true ||
            !this.assignment.isLargeFleet() ||
            this.unhelpfulPeers.size > 0 ||
            this.assignment.getMillisecondsSinceHeartbeat(now) > watchAssignment.WatcherAliveMilliseconds
        );
    }

    private forgetUnhelpfulPeers(now: core.MonotonicMilliseconds): void {
        for (const [peer, at] of this.unhelpfulPeers) {
            if (now - at > UnhelpfulPeerMilliseconds) {
                this.unhelpfulPeers.delete(peer);
            }
        }
    }

    /**
     * The revision after which the peer may have entries that this member lacks; undefined if it has none. Comparing
     * the highest revisions is not sufficient, because a peer's watches deliver changes out of order. A request that
     * starts at the settled revision also covers a late change.
     */
    private tryGetMissingAfter(
        heartbeat: protocol.Heartbeat,
        now: core.MonotonicMilliseconds,
    ): types.Revision | undefined {
        const { view } = this;
        if (!view.isComplete()) {
            return heartbeat.generation > 0 ? 0 : undefined;
        }
        const settled = view.getSettledRevision(now);
        const configuration = heartbeat.configurationRevision ?? 0;
        if (configuration > view.getConfigurationRevision()) {
            return Math.min(settled, configuration - 1);
        }
        const upstreams = view.getUpstreamsSummary();
        if ((heartbeat.upstreamsRevision ?? 0) > upstreams.revision) {
            return Math.min(settled, upstreams.revision);
        }
        const isAhead = heartbeat.generation > view.getRevision();
        return isAhead || this.hasDifferentEntries(heartbeat) ? settled : undefined;
    }

    private hasDifferentEntries(heartbeat: protocol.Heartbeat): boolean {
        const { view } = this;
        const all = { revision: view.getRevision(), digest: view.getDigest() };
        return hasDifferentDigest(heartbeat.generation, heartbeat.digest, all) || this.hasDifferentUpstreams(heartbeat);
    }

    private hasDifferentUpstreams(heartbeat: protocol.Heartbeat): boolean {
        const { upstreamsRevision, upstreamsDigest } = heartbeat;
        return hasDifferentDigest(upstreamsRevision, upstreamsDigest, this.view.getUpstreamsSummary());
    }
}

/**
 * The registry fields of a heartbeat. When nothing has changed recently, the digest over all entries carries the same
 * information as the separate revisions, which are then omitted.
 */
export function describeRegistry(
    view: fleetView.FleetView,
    isWatching: boolean,
    now: core.MonotonicMilliseconds,
): Omit<protocol.Heartbeat, "kind" | "logicalTime" | "state"> {
    const upstreams = view.getUpstreamsSummary();
    const recentFields = {
        configurationRevision: view.getConfigurationRevision(),
        upstreamsRevision: upstreams.revision,
        upstreamsDigest: upstreams.digest,
    };
    return {
        generation: view.getRevision(),
        digest: view.getDigest(),
        ...(isWatching ? { isWatching } : {}),
        ...(now - view.getChangedAt() < RecentChangeMilliseconds ? recentFields : {}),
    };
}

/** Whether a peer has the same highest revision as the summary, but different entries. */
function hasDifferentDigest(
    revision: types.Revision | undefined,
    digest: number | undefined,
    summary: fleetView.RegistrySummary,
): boolean {
    return revision === summary.revision && digest !== undefined && digest !== summary.digest;
}
