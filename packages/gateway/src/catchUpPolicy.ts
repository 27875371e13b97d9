import type * as core from "@boragedale/core";
import type * as protocol from "@boragedale/protocol";
import type * as fleetView from "./fleetView.js";
import type * as types from "./types.js";
import * as watchDuty from "./watchDuty.js";

/** A peer that is ahead is asked at most this often: its update may be on its way. */
const PauseMilliseconds = 900;
/** A peer that was asked in vain is left aside for this long. */
const UnhelpfulMilliseconds = 3_000;
/** Time after a change during which copies of members may be at different revisions. */
const ChangingMilliseconds = 10_000;

/** What a question for lacking entries led to. */
export enum CatchUpOutcome {
    /** The copy is as the peer's heartbeat told. */
    Level = "Level",
    /** A difference remains. */
    Behind = "Behind",
    /** There was no answer. */
    Failed = "Failed",
}

/**
 * Decides when a member asks which peer for registry entries that it lacks. Load: hundreds of members to which each change comes at
 * nearly the same time, and which would all ask for what is on its way. Harm prevented: answers by the hundred, and a member that
 * stays behind because the peer it asks can't answer. Pure but for the view and the duty that it reads.
 */
export class CatchUpPolicy {
    private askedAt: core.MonotonicMilliseconds = -Infinity;
    /** Peers that were asked and have not brought this member level, and when they were asked. */
    private readonly unhelpful = new Map<core.InstanceId, core.MonotonicMilliseconds>();

    constructor(
        private readonly view: fleetView.FleetView,
        private readonly duty: watchDuty.WatchDuty,
    ) {}

    /** Whether what a heartbeat announces may come without a question, so that it is worth a wait. */
    mayComeByItself(heartbeat: protocol.Heartbeat, now: core.MonotonicMilliseconds): boolean {
        this.forgetUnhelpful(now);
        return (
            this.duty.isLargeFleet() &&
            heartbeat.isWatching === true &&
            this.view.isWhole() &&
            this.unhelpful.size === 0 &&
            this.duty.isUpdated(now) &&
            // Changes of upstreams come in their order: none that is on its way makes a difference at the same revision.
            !this.lacksUpstream(heartbeat)
        );
    }

    /** Whether the sender of a heartbeat knows entries that this member lacks. */
    isBehind(heartbeat: protocol.Heartbeat, now: core.MonotonicMilliseconds): boolean {
        return this.tryGetLackedAfter(heartbeat, now) !== undefined;
    }

    /** Begins a question to the sender of a heartbeat, where it is to be asked now; returns the revision after which entries are lacking. */
    tryBegin(
        peer: core.InstanceId,
        heartbeat: protocol.Heartbeat,
        now: core.MonotonicMilliseconds,
    ): types.Revision | undefined {
        if (now - this.askedAt < PauseMilliseconds || !this.mayAsk(peer, heartbeat, now)) {
            return undefined;
        }
        const lacked = this.tryGetLackedAfter(heartbeat, now);
        if (lacked !== undefined) {
            this.askedAt = now;
            this.unhelpful.set(peer, now);
        }
        return lacked;
    }

    /** Notes what a question that was begun led to. */
    end(peer: core.InstanceId, outcome: CatchUpOutcome): void {
        if (outcome === CatchUpOutcome.Level) {
            this.unhelpful.delete(peer);
        }
        else if (outcome === CatchUpOutcome.Failed) {
            // The next heartbeat of another peer may be followed by a question at once.
            this.askedAt = -Infinity;
        }
    }

    /**
     * A watching member has what the others have, earlier; asking each peer that is ahead would be an answer for each. Where one was
     * asked in vain, any other peer will do: the links of a member all carry its heartbeats at the same moment, so the one that is heard
     * first stays the first.
     */
    private mayAsk(peer: core.InstanceId, heartbeat: protocol.Heartbeat, now: core.MonotonicMilliseconds): boolean {
        if (this.unhelpful.has(peer)) {
            return false;
        }
        return (
            heartbeat.isWatching === true ||
            !this.duty.isLargeFleet() ||
            this.unhelpful.size > 0 ||
            this.duty.getUnheardMilliseconds(now) > watchDuty.HeardMilliseconds
        );
    }

    private forgetUnhelpful(now: core.MonotonicMilliseconds): void {
        for (const [peer, at] of this.unhelpful) {
            if (now - at > UnhelpfulMilliseconds) {
                this.unhelpful.delete(peer);
            }
        }
    }

    /**
     * The revision after which the peer may know entries that this member lacks; undefined where it knows none. The highest
     * revision alone doesn't tell: a peer's watches bring changes out of their order. Asked for from the settled revision on, a
     * late one comes along.
     */
    private tryGetLackedAfter(
        heartbeat: protocol.Heartbeat,
        now: core.MonotonicMilliseconds,
    ): types.Revision | undefined {
        const { view } = this;
        if (!view.isWhole()) {
            return heartbeat.generation > 0 ? 0 : undefined;
        }
        const settled = view.getSettledRevision(now);
        const configuration = heartbeat.configurationRevision ?? 0;
        if (configuration > view.getConfigurationRevision()) {
            return Math.min(settled, configuration - 1);
        }
        const upstreams = view.getUpstreamsMark();
        if ((heartbeat.upstreamsRevision ?? 0) > upstreams.revision) {
            return Math.min(settled, upstreams.revision);
        }
        const isAhead = heartbeat.generation > view.getRevision();
        return isAhead || this.differs(heartbeat) ? settled : undefined;
    }

    private differs(heartbeat: protocol.Heartbeat): boolean {
        const { view } = this;
        const whole = { revision: view.getRevision(), digest: view.getDigest() };
        return isOther(heartbeat.generation, heartbeat.digest, whole) || this.lacksUpstream(heartbeat);
    }

    private lacksUpstream(heartbeat: protocol.Heartbeat): boolean {
        const { upstreamsRevision, upstreamsDigest } = heartbeat;
        return isOther(upstreamsRevision, upstreamsDigest, this.view.getUpstreamsMark());
    }
}

/** What a heartbeat tells of the sender's registry entries. Once nothing changes any more, one digest of all tells the same. */
export function describeRegistry(
    view: fleetView.FleetView,
    isWatching: boolean,
    now: core.MonotonicMilliseconds,
): Omit<protocol.Heartbeat, "kind" | "logicalTime" | "state"> {
    const upstreams = view.getUpstreamsMark();
    const marks = {
        configurationRevision: view.getConfigurationRevision(),
        upstreamsRevision: upstreams.revision,
        upstreamsDigest: upstreams.digest,
    };
    return {
        generation: view.getRevision(),
        digest: view.getDigest(),
        ...(isWatching ? { isWatching } : {}),
        ...(now - view.getChangedAt() < ChangingMilliseconds ? marks : {}),
    };
}

/** Whether a peer's entries of the same highest revision are others than those that the mark stands for. */
function isOther(
    revision: types.Revision | undefined,
    digest: number | undefined,
    mark: fleetView.RegistryMark,
): boolean {
    return revision === mark.revision && digest !== undefined && digest !== mark.digest;
}
