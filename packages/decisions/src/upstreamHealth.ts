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

/** Times the peers' median at which an upstream counts as slow; under it a hot prefix or a long prompt explains it. */
const SlowFactor = 2;
/** An upstream returns once it is under this, apart from `SlowFactor` so that it doesn't flap. */
const ReturnFactor = 1.4;
/** Samples before an upstream can be called slow, and how many are kept. */
const SamplesToJudge = 3;
const SamplesKept = 8;
/** A first token that is this many times overdue is evidence before it has come. */
const OverdueFactor = 4;
/** Below this no first token counts as overdue, in milliseconds: pauses of a collector are shorter. */
const OverdueFloor = 150;
/** First part of its share that a returning upstream gets; it doubles with each step. */
const FirstReturnShare = 1 / 16;
/** Shortest time between two steps of a return, in milliseconds: the load of one step must show before the next. */
const ReturnStep = 500;

/** What this instance has seen of one upstream's speed. */
class SpeedRecord {
    readonly firstToken = new estimates.RecentMinimum(SamplesKept);
    readonly gap = new estimates.RecentMinimum(SamplesKept);
    readonly awaiting = new Map<string, core.MonotonicMilliseconds>();
    state = SpeedState.Usual;
    share = 1;
    steppedAt: core.MonotonicMilliseconds = 0;
}

/**
 * Tells slow upstreams by own observations: times to the first token and between tokens, against the median of the
 * peers.
 *
 * Load: one upstream that runs several times slower than its peers (a throttled accelerator, a noisy neighbour). Harm
 * prevented: least-loaded placement finds out only after requests have piled up there, and each of them is in the
 * tail. Engines' own load reports don't show it. The fastest of the last samples is what counts: a long prompt, a cold
 * prefix or a burst makes single answers slow on a healthy upstream, and taking that one out of use in a burst is worse
 * than the fault; an upstream that is slow itself has no fast answers at all. Against the peers, since a fleet that is slow as a whole must not be
 * taken out of use one by one; the median, since one slow upstream can't move it. An overdue first token counts at
 * once: waiting for three slow answers would cost three tail requests an instance.
 *
 * Return: by probes and then a share that doubles at most every half second, since an upstream that gets its whole share
 * back at once from all instances is overrun in the same second (its prefix cache is cold) and called slow again.
 */
export class UpstreamHealth {
    private readonly records = new Map<core.UpstreamId, SpeedRecord>();

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
        record.firstToken.add(now - sentAt);
        this.judge(upstream, record, now);
    }

    /** `tokens` came within `milliseconds`. */
    onProgress(upstream: core.UpstreamId, tokens: number, milliseconds: number, now: core.MonotonicMilliseconds): void {
        if (tokens > 0) {
            const record = this.getRecord(upstream);
            record.gap.add(milliseconds / tokens);
            this.judge(upstream, record, now);
        }
    }

    onEnded(upstream: core.UpstreamId, request: string): void {
        this.records.get(upstream)?.awaiting.delete(request);
    }

    getState(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): SpeedState {
        const record = this.records.get(upstream);
        if (record === undefined) {
            return SpeedState.Usual;
        }
        if (record.state !== SpeedState.Slow && this.isOverdue(upstream, record, now)) {
            this.setSlow(record);
        }
        return record.state;
    }

    /** The part of its usual share that the upstream gets, 0 to 1. */
    getShare(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): number {
        return this.getState(upstream, now) === SpeedState.Slow ? 0 : (this.records.get(upstream)?.share ?? 1);
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

    private judge(upstream: core.UpstreamId, record: SpeedRecord, now: core.MonotonicMilliseconds): void {
        const ratio = this.getRatio(upstream, record);
        if (record.state === SpeedState.Usual || record.state === SpeedState.Returning) {
            if (ratio > SlowFactor) {
                this.setSlow(record);
            }
            else if (record.state === SpeedState.Returning) {
                this.stepReturn(record, now);
            }
        }
        else if (ratio < ReturnFactor) {
            record.state = SpeedState.Returning;
            record.share = FirstReturnShare;
            record.steppedAt = now;
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
    }

    /** How many times slower than its peers, by the worse of the two measures; 1 while that can't be told. */
    private getRatio(upstream: core.UpstreamId, record: SpeedRecord): number {
        return Math.max(
            this.getRatioOf(upstream, record, other => other.firstToken),
            this.getRatioOf(upstream, record, other => other.gap),
        );
    }

    private getRatioOf(
        upstream: core.UpstreamId,
        record: SpeedRecord,
        getMinimum: (record: SpeedRecord) => estimates.RecentMinimum,
    ): number {
        const own = getMinimum(record);
        const usual = this.getPeerMedian(upstream, getMinimum);
        return own.getCount() < SamplesToJudge || usual === undefined || usual === 0 ? 1 : own.get() / usual;
    }

    private getPeerMedian(
        upstream: core.UpstreamId,
        getMinimum: (record: SpeedRecord) => estimates.RecentMinimum,
    ): number | undefined {
        const means: number[] = [];
        for (const [id, record] of this.records) {
            const minimum = getMinimum(record);
            if (id !== upstream && minimum.getCount() >= SamplesToJudge) {
                means.push(minimum.get());
            }
        }
        return estimates.getMedian(means);
    }

    private isOverdue(upstream: core.UpstreamId, record: SpeedRecord, now: core.MonotonicMilliseconds): boolean {
        const oldest = record.awaiting.values().next();
        if (oldest.done === true) {
            return false;
        }
        const usual = this.getPeerMedian(upstream, other => other.firstToken);
        return usual !== undefined && now - oldest.value > Math.max(OverdueFloor, OverdueFactor * usual);
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
