import type * as core from "@boragedale/core";
import * as estimates from "./estimates.js";

/** How much an upstream is used, depending on its speed. */
export enum SpeedState {
    Usual = "Usual",
    /** Receives probes only. */
    Slow = "Slow",
    /** Was slow and is as fast as its peers again; receives a growing part of its share. */
    Returning = "Returning",
}

/**
 * Ratio to the peers' median time between tokens above which an upstream counts as slow; prefills explain lower ratios.
 */
const SlowFactor = 2.5;
/**
 * The same for the first token, with the minimum difference. Both are higher, because at saturation the requests that
 * queue in a healthy engine can by themselves make its first tokens twice as late as those of its peers.
 */
const SlowFirstTokenFactor = 4;
const SlowFirstTokenDifferenceMilliseconds = 500;
/** An upstream recovers below this ratio; it is lower than `SlowFactor` to prevent flapping. */
const RecoveryFactor = 1.6;
/**
 * Seconds with samples needed to classify an upstream: in a burst an engine may prefill prompts for a second without
 * pause.
 */
const MinimumSampleSeconds = 3;
/**
 * How long an upstream must look slow before it is classified as slow. When the whole fleet slows down, the first
 * upstream with samples in a new second is compared with samples of the others from the second before.
 */
const SlowConfirmationMilliseconds = 1_100;
/** A first token that takes this many times the usual time is overdue: new requests go elsewhere until it arrives. */
const OverdueFactor = 4;
/** No first token is overdue before this time: a long prompt takes as long. */
const MinimumOverdueMilliseconds = 250;
/** How long the peers' medians are used before they are computed again. */
const MediansExpiryMilliseconds = 100;
/** Fraction of its share that a returning upstream receives at first; it doubles with each step. */
const InitialReturnShare = 1 / 16;
/** Shortest time between two steps of a return: the load of one step must become visible before the next. */
const ReturnStepMilliseconds = 500;

/** What this instance has observed of one upstream's speed. */
class SpeedRecord {
    /** Times to the first token and between two tokens, in milliseconds. */
    readonly firstToken = new estimates.RecentMinimum(MinimumSampleSeconds);
    readonly gap = new estimates.RecentMinimum(MinimumSampleSeconds);
    /**
     * The samples of `gap` that this instance observed itself. Only these are reported; samples from other instances
     * must not be reported again as new ones.
     */
    readonly ownGap = new estimates.RecentMinimum(1);
    readonly meanFirstToken = new estimates.MovingAverage(0.1, 0);
    readonly awaiting = new Map<string, core.MonotonicMilliseconds>();
    state = SpeedState.Usual;
    share = 1;
    steppedAt: core.MonotonicMilliseconds = 0;
    suspectedAt: core.MonotonicMilliseconds | undefined;
}

/** Medians over the upstreams, in milliseconds; undefined if there are too few samples. */
interface PeerMedians {
    readonly fastestFirstToken?: number;
    readonly fastestGap?: number;
    readonly meanFirstToken?: number;
}

/**
 * Detects slow upstreams from this instance's own observations: it compares the times to the first token and between
 * tokens with the median of the peers.
 *
 * An upstream may run several times slower than its peers (a throttled accelerator, a noisy neighbour). Least-loaded
 * placement notices only after requests have piled up there, each of which is in the latency tail, and the engines' own
 * load reports don't show it. The fastest sample of the last seconds is used: a long prompt, an uncached prefix or a
 * burst makes single answers slow on a healthy upstream, and taking that one out of use during a burst does more damage
 * than the fault itself, while a slow upstream has no fast answers at all. The comparison is with the peers, because a
 * fleet that is slow as a whole must not be taken out of use one upstream after the other; and with their median,
 * because a single slow upstream can't change it. An overdue first token diverts new requests at once, without a
 * classification: waiting for three slow answers would cost three tail requests per instance.
 *
 * In a large fleet one instance has too few requests on an upstream to detect this. Each instance therefore reports the
 * shortest gap that it observed to the upstream's coordinator, along with its online work, and the coordinator (whose
 * batch streams observe the most) reports the minimum to all instances.
 *
 * An upstream returns by probes, then by a share that doubles at most every half second. If all instances gave it its
 * whole share at once, it would be overloaded within the same second (its prefix cache is empty) and classified as slow
 * again.
 */
export class UpstreamHealth {
    private readonly records = new Map<core.UpstreamId, SpeedRecord>();
    private medians: PeerMedians = {};
    private mediansComputedAt: core.MonotonicMilliseconds = -Infinity;

    onSent(upstream: core.UpstreamId, request: string, now: core.MonotonicMilliseconds): void {
        this.getRecord(upstream).awaiting.set(request, now);
    }

    onFirstToken(upstream: core.UpstreamId, request: string, now: core.MonotonicMilliseconds): void {
        const record = this.getRecord(upstream);
        const sentAt = record.awaiting.get(request);
        if (sentAt === undefined) {
            return;
        }
        record.awaiting.delete(request);
        record.firstToken.add(now - sentAt, now);
        record.meanFirstToken.add(now - sentAt);
        this.updateState(record, now);
    }

    /** Records that `tokens` arrived within `milliseconds`. */
    onProgress(upstream: core.UpstreamId, tokens: number, milliseconds: number, now: core.MonotonicMilliseconds): void {
        if (tokens > 0 && milliseconds > 0) {
            const record = this.getRecord(upstream);
            record.gap.add(milliseconds / tokens, now);
            record.ownGap.add(milliseconds / tokens, now);
            this.updateState(record, now);
        }
    }

    /**
     * Takes the shortest time between two tokens that any instance observed in the last second, as reported by the
     * coordinator.
     */
    onGapReported(upstream: core.UpstreamId, milliseconds: number, now: core.MonotonicMilliseconds): void {
        const record = this.getRecord(upstream);
        record.gap.add(milliseconds, now);
        this.updateState(record, now);
    }

    /**
     * The shortest time between two tokens that this instance observed in the last second, for the report to the
     * coordinator.
     */
    getRecentOwnGap(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): number | undefined {
        return this.records.get(upstream)?.ownGap.getRecent(now);
    }

    onEnded(upstream: core.UpstreamId, request: string): void {
        this.records.get(upstream)?.awaiting.delete(request);
    }

    getState(upstream: core.UpstreamId): SpeedState {
        return this.records.get(upstream)?.state ?? SpeedState.Usual;
    }

    /** The fraction of its usual share that the upstream receives, from 0 to 1. */
    getShare(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): number {
        const record = this.records.get(upstream);
        return record === undefined ? 1 : this.isOverdue(record, now) ? 0 : record.share;
    }

    /** Whether a request sent to probe the upstream is still waiting for its first token. */
    isAwaiting(upstream: core.UpstreamId): boolean {
        return (this.records.get(upstream)?.awaiting.size ?? 0) > 0;
    }

    /** Removes upstreams that the release note no longer lists. */
    retain(upstreams: ReadonlySet<core.UpstreamId>): void {
        for (const upstream of this.records.keys()) {
            if (!upstreams.has(upstream)) {
                this.records.delete(upstream);
            }
        }
    }

    private updateState(record: SpeedRecord, now: core.MonotonicMilliseconds): void {
        if (record.state === SpeedState.Slow) {
            if (this.hasRecovered(record, now)) {
                record.state = SpeedState.Returning;
                record.share = InitialReturnShare;
                record.steppedAt = now;
            }
        }
        else if (this.isSlow(record, now)) {
            record.suspectedAt ??= now;
            if (now - record.suspectedAt >= SlowConfirmationMilliseconds) {
                this.setSlow(record);
            }
        }
        else {
            record.suspectedAt = undefined;
            if (record.state === SpeedState.Returning) {
                this.stepReturn(record, now);
            }
        }
    }

    private stepReturn(record: SpeedRecord, now: core.MonotonicMilliseconds): void {
        if (now - record.steppedAt < ReturnStepMilliseconds) {
            return;
        }
        record.steppedAt = now;
        record.share = Math.min(1, record.share * 2);
        if (record.share === 1) {
            record.state = SpeedState.Usual;
        }
    }

    private setSlow(record: SpeedRecord): void {
        record.state = SpeedState.Slow;
        record.share = 0;
        record.suspectedAt = undefined;
    }

    private isSlow(record: SpeedRecord, now: core.MonotonicMilliseconds): boolean {
        const medians = this.getPeerMedians(now);
        const isFirstTokenLate =
            record.firstToken.get() - (medians.fastestFirstToken ?? 0) > SlowFirstTokenDifferenceMilliseconds;
        return (
            getRatioTo(record.gap, medians.fastestGap) > SlowFactor ||
            (isFirstTokenLate && getRatioTo(record.firstToken, medians.fastestFirstToken) > SlowFirstTokenFactor)
        );
    }

    /** Whether both times are close to the peers' again. */
    private hasRecovered(record: SpeedRecord, now: core.MonotonicMilliseconds): boolean {
        const medians = this.getPeerMedians(now);
        return (
            getRatioTo(record.gap, medians.fastestGap) < RecoveryFactor &&
            getRatioTo(record.firstToken, medians.fastestFirstToken) < SlowFirstTokenFactor
        );
    }

    private isOverdue(record: SpeedRecord, now: core.MonotonicMilliseconds): boolean {
        const oldest = record.awaiting.values().next();
        const median = this.getPeerMedians(now).meanFirstToken;
        return (
            oldest.done !== true &&
            median !== undefined &&
            now - oldest.value > Math.max(MinimumOverdueMilliseconds, OverdueFactor * median)
        );
    }

    private getPeerMedians(now: core.MonotonicMilliseconds): PeerMedians {
        if (now - this.mediansComputedAt >= MediansExpiryMilliseconds) {
            const records = [...this.records.values()];
            this.mediansComputedAt = now;
            this.medians = {
                fastestFirstToken: getMedianOf(records, record => record.firstToken),
                fastestGap: getMedianOf(records, record => record.gap),
                meanFirstToken: getMedianOf(records, record => record.meanFirstToken),
            };
        }
        return this.medians;
    }

    private getRecord(upstream: core.UpstreamId): SpeedRecord {
        let record = this.records.get(upstream);
        if (record === undefined) {
            record = new SpeedRecord();
            this.records.set(upstream, record);
        }
        return record;
    }
}

function getRatioTo(own: estimates.RecentMinimum, median: number | undefined): number {
    return own.getCount() < MinimumSampleSeconds || median === undefined || median === 0 ? 1 : own.get() / median;
}

function getMedianOf(
    records: readonly SpeedRecord[],
    getEstimate: (record: SpeedRecord) => estimates.Estimate,
): number | undefined {
    const known = records.map(getEstimate).filter(estimate => estimate.getCount() >= MinimumSampleSeconds);
    return estimates.getMedian(known.map(estimate => estimate.get()));
}
