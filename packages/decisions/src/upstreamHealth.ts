import type * as core from "@boragedale/core";
import * as estimates from "./estimates.js";

/** How much one upstream is used because of its speed. */
export enum SpeedState {
    Usual = "Usual",
    /** Gets probes only. */
    Slow = "Slow",
    /** Was slow, answers as fast as its peers again, gets a rising part of its share. */
    Returning = "Returning",
}

/** Times the peers' median between tokens at which an upstream counts as slow; under it, reading prompts explains it. */
const SlowFactor = 2.5;
/**
 * The same for the first token, and the least difference in milliseconds. Both are higher, since at saturation the
 * requests that queue in a healthy engine alone make its first tokens twice as late as those of its peers.
 */
const SlowFirstTokenFactor = 4;
const SlowFirstTokenDifference = 500;
/** An upstream returns once it is under this, apart from `SlowFactor` so that it doesn't flap. */
const ReturnFactor = 1.6;
/** Seconds with samples that a verdict rests on: in a burst an engine reads prompts without a pause for a second. */
const SecondsToJudge = 3;
/**
 * How long an upstream must look slow before the verdict, in milliseconds. When the whole fleet gets slower, the first
 * upstream to be heard of in a new second is compared with what the others were in the old one.
 */
const VerdictDelay = 1_100;
/** A first token that takes this many times the usual time is overdue: new requests go elsewhere until it comes. */
const OverdueFactor = 4;
/** Below this no first token counts as overdue, in milliseconds: a long prompt takes as much. */
const OverdueFloor = 250;
/** How long the peers' usual times are used before they are worked out again, in milliseconds. */
const UsualLife = 100;
/** First part of its share that a returning upstream gets; it doubles with each step. */
const FirstReturnShare = 1 / 16;
/** Shortest time between two steps of a return, in milliseconds: the load of one step must show before the next. */
const ReturnStep = 500;

/** What this instance has seen of one upstream's speed. */
class SpeedRecord {
    readonly firstToken = new estimates.RecentMinimum(SecondsToJudge);
    readonly gap = new estimates.RecentMinimum(SecondsToJudge);
    /** Of `gap` only what was seen here: what others told must not be told on as news. */
    readonly ownGap = new estimates.RecentMinimum(1);
    readonly meanFirstToken = new estimates.MovingAverage(0.1, 0);
    readonly awaiting = new Map<string, core.MonotonicMilliseconds>();
    state = SpeedState.Usual;
    share = 1;
    steppedAt: core.MonotonicMilliseconds = 0;
    suspectedAt: core.MonotonicMilliseconds | undefined;
}

/** Medians over the upstreams, in milliseconds; undefined where too few samples are known. */
interface UsualTimes {
    readonly fastestFirstToken?: number;
    readonly fastestGap?: number;
    readonly meanFirstToken?: number;
}

/**
 * Tells slow upstreams by own observations: times to the first token and between tokens, against the median of the
 * peers.
 *
 * Load: one upstream that runs several times slower than its peers (a throttled accelerator, a noisy neighbour). Harm
 * prevented: least-loaded placement finds out only after requests have piled up there, and each of them is in the
 * tail. Engines' own load reports don't show it. The fastest of the last seconds is what counts: a long prompt, a cold
 * prefix or a burst makes single answers slow on a healthy upstream, and taking that one out of use in a burst is worse
 * than the fault; an upstream that is slow itself has no fast answers at all. Against the peers, since a fleet that is slow as a whole must not be
 * taken out of use one by one; the median, since one slow upstream can't move it. An overdue first token keeps
 * new requests off at once, without a verdict: waiting for three slow answers would cost three tail requests an instance.
 *
 * In a large fleet one instance has too few requests on an upstream to tell. So each tells the upstream's home the
 * shortest gap it saw, along with its online work, and the home (whose batch streams see the most) tells all.
 *
 * Return: by probes and then a share that doubles at most every half second, since an upstream that gets its whole share
 * back at once from all instances is overrun in the same second (its prefix cache is cold) and called slow again.
 */
export class UpstreamHealth {
    private readonly records = new Map<core.UpstreamId, SpeedRecord>();
    private usual: UsualTimes = {};
    private usualAt: core.MonotonicMilliseconds = -Infinity;

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
        this.judge(record, now);
    }

    /** `tokens` came within `milliseconds`. */
    onProgress(upstream: core.UpstreamId, tokens: number, milliseconds: number, now: core.MonotonicMilliseconds): void {
        if (tokens > 0 && milliseconds > 0) {
            const record = this.getRecord(upstream);
            record.gap.add(milliseconds / tokens, now);
            record.ownGap.add(milliseconds / tokens, now);
            this.judge(record, now);
        }
    }

    /** The upstream's home told the shortest time between two tokens that anybody saw there in the last second. */
    onGapTold(upstream: core.UpstreamId, milliseconds: number, now: core.MonotonicMilliseconds): void {
        const record = this.getRecord(upstream);
        record.gap.add(milliseconds, now);
        this.judge(record, now);
    }

    /** The shortest time between two tokens that was seen here in the last second, to tell the home. */
    getFreshGap(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): number | undefined {
        return this.records.get(upstream)?.ownGap.getFresh(now);
    }

    onEnded(upstream: core.UpstreamId, request: string): void {
        this.records.get(upstream)?.awaiting.delete(request);
    }

    getState(upstream: core.UpstreamId): SpeedState {
        return this.records.get(upstream)?.state ?? SpeedState.Usual;
    }

    /** The part of its usual share that the upstream gets, 0 to 1. */
    getShare(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): number {
        const record = this.records.get(upstream);
        return record === undefined ? 1 : this.isOverdue(record, now) ? 0 : record.share;
    }

    /** Whether a request sent to find out about the upstream is still without its first token. */
    isAwaiting(upstream: core.UpstreamId): boolean {
        return (this.records.get(upstream)?.awaiting.size ?? 0) > 0;
    }

    /** Forgets upstreams that the release note no longer lists. */
    retain(upstreams: ReadonlySet<core.UpstreamId>): void {
        for (const upstream of this.records.keys()) {
            if (!upstreams.has(upstream)) {
                this.records.delete(upstream);
            }
        }
    }

    private judge(record: SpeedRecord, now: core.MonotonicMilliseconds): void {
        if (record.state === SpeedState.Slow) {
            if (this.hasRecovered(record, now)) {
                record.state = SpeedState.Returning;
                record.share = FirstReturnShare;
                record.steppedAt = now;
            }
        }
        else if (this.isSlow(record, now)) {
            record.suspectedAt ??= now;
            if (now - record.suspectedAt >= VerdictDelay) {
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
        if (now - record.steppedAt < ReturnStep) {
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
        const usual = this.getUsual(now);
        const isFirstTokenLate = record.firstToken.get() - (usual.fastestFirstToken ?? 0) > SlowFirstTokenDifference;
        return (
            getRatioTo(record.gap, usual.fastestGap) > SlowFactor ||
            (isFirstTokenLate && getRatioTo(record.firstToken, usual.fastestFirstToken) > SlowFirstTokenFactor)
        );
    }

    /** Both measures are near the peers' again. */
    private hasRecovered(record: SpeedRecord, now: core.MonotonicMilliseconds): boolean {
        const usual = this.getUsual(now);
        return (
            getRatioTo(record.gap, usual.fastestGap) < ReturnFactor &&
            getRatioTo(record.firstToken, usual.fastestFirstToken) < SlowFirstTokenFactor
        );
    }

    private isOverdue(record: SpeedRecord, now: core.MonotonicMilliseconds): boolean {
        const oldest = record.awaiting.values().next();
        const usual = this.getUsual(now).meanFirstToken;
        return (
            oldest.done !== true &&
            usual !== undefined &&
            now - oldest.value > Math.max(OverdueFloor, OverdueFactor * usual)
        );
    }

    private getUsual(now: core.MonotonicMilliseconds): UsualTimes {
        if (now - this.usualAt >= UsualLife) {
            const records = [...this.records.values()];
            this.usualAt = now;
            this.usual = {
                fastestFirstToken: getMedianOf(records, record => record.firstToken),
                fastestGap: getMedianOf(records, record => record.gap),
                meanFirstToken: getMedianOf(records, record => record.meanFirstToken),
            };
        }
        return this.usual;
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

function getRatioTo(own: estimates.RecentMinimum, usual: number | undefined): number {
    return own.getCount() < SecondsToJudge || usual === undefined || usual === 0 ? 1 : own.get() / usual;
}

function getMedianOf(
    records: readonly SpeedRecord[],
    getEstimate: (record: SpeedRecord) => estimates.Estimate,
): number | undefined {
    const known = records.map(getEstimate).filter(estimate => estimate.getCount() >= SecondsToJudge);
    return estimates.getMedian(known.map(estimate => estimate.get()));
}
