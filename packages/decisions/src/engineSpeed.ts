import type * as core from "@boragedale/core";
import * as estimates from "./estimates.js";

/** Relative speeds between these bounds count as usual. Engines of equal speed differ by less, because of prompts and noise. */
const LowestUsual = 0.85;
const HighestUsual = 1.18;
/** Bounds of a relative speed, also for values from peers. */
const LowestRelativeSpeed = 0.2;
const HighestRelativeSpeed = 5;
/** Number of events after which the recent time per event has moved half of the way: some 50 ms with six streams. */
const RecentHalfEvents = 4;
/** The same for the usual time of an engine, which a slowdown of half a second must not change much. */
const UsualHalfEvents = 150;
/** Weight of events in the usual time while the engine is excluded. */
const ExcludedWeight = 0.25;
/** An engine whose recent time per event is this multiple of its usual time is excluded. Prefills explain less. */
const SlowdownFactor = 1.7;
/** It returns below this multiple, which is lower so that it does not alternate. */
const RecoveredFactor = 1.3;
/** Events needed before an engine can be excluded, and before its speed is used at full weight. */
const EventsToExclude = 20;
const EventsToTrust = 60;
/** An excluded engine without events returns after this time: about the longest slowdown that passes by itself. */
const ExcludedSilenceMilliseconds = 600;
/** Steps of a return, and the time between them: the load of one step must be measured before the next. */
const ReturnSteps = 4;
const ReturnStepMilliseconds = 250;
/** Largest fraction of a service's engines that are excluded at a time. */
const MaximumExcludedFraction = 0.3;
/** An estimate is used fully up to the first age, and not at all from the second. */
const FreshMilliseconds = 3_000;
const ExpiredMilliseconds = 12_000;
/** How long the median over the engines is used before it is computed again. */
const MedianExpiryMilliseconds = 250;
/** Fraction of its slots that a new engine offers to online requests. */
const NewEngineShare = 0.5;
/** Bounds of the relative increase of the time per event with each further request on an engine. */
const MaximumLoadSlope = 0.3;
const InitialLoadSlope = 0.03;
const LoadSmoothing = 0.02;

/** Times that one sender measured at an engine, in milliseconds. */
export interface SpeedSample {
    readonly eventMilliseconds: number;
    /** 0 if no first event was measured. */
    readonly firstEventMilliseconds: number;
    /** Number of events from which they were measured. */
    readonly events: number;
}

/** What the speed of an engine means for placement. */
export interface EngineStanding {
    /** 1 for the usual speed of the service's engines, 2 for twice that speed. */
    readonly relativeSpeed: number;
    /** Whether the engine has become slow and receives requests only if all others are full. */
    readonly isExcluded: boolean;
    /**
     * Fraction of the slots that online requests use while other engines have free slots. Below 1 for a new engine and
     * for one that returns after an exclusion.
     */
    readonly usableShare: number;
    /** Whether there are too few samples of this engine, while others are known. */
    readonly isNew: boolean;
}

/** Reported if an engine is excluded or returns. */
export interface ExclusionChange {
    readonly upstream: core.UpstreamId;
    readonly isExcluded: boolean;
    /** Recent time per event as a multiple of the engine's usual time. */
    readonly slowdown: number;
}

export const UsualStanding: EngineStanding = { relativeSpeed: 1, isExcluded: false, usableShare: 1, isNew: false };

/** All times are in milliseconds; times per event are converted to the mean load. */
class EngineRecord {
    recent = 0;
    usual = 0;
    firstEvent = 0;
    events = 0;
    sampledAt: core.MonotonicMilliseconds = -Infinity;
    isExcluded = false;
    /** Start of the return after an exclusion. */
    returnedAt: core.MonotonicMilliseconds = -Infinity;
    /** Mean number of requests on the engine, and the raw time at that load. */
    meanRequests = 0;
    meanRaw = 0;
}

/**
 * Estimates how fast each engine of one service is, relative to the median of the service's engines, from requests that
 * were served.
 *
 * Engines may be built differently (0.6 to 1.6 times the usual speed) and may slow down for half a second (a noisy
 * neighbour, a throttled accelerator). At a peak all slots are needed, so that requests wait for slots that slow engines
 * hold for longer, while fast engines have free ones between peaks. Two values are kept for each engine: the usual time
 * per event, which determines its relative speed, and the recent one, which excludes an engine that has become slower
 * than it usually is. An engine that returns regains its share in steps; otherwise all instances would fill it at once.
 *
 * The time per event grows with the number of requests on an engine. The growth is learned from the engines themselves,
 * each compared with its own mean, and times are converted to the mean load before they are compared.
 */
export class EngineSpeed {
    private readonly records = new Map<core.UpstreamId, EngineRecord>();
    private loadCovariance = InitialLoadSlope;
    private loadVariance = 1;
    private meanRequests = 0;
    private median: number | undefined;
    private medianFirstEvent: number | undefined;
    private medianAt: core.MonotonicMilliseconds = -Infinity;
    private engineCount = 0;

    constructor(private readonly onExclusion: (change: ExclusionChange) => void = () => undefined) {}

    /** Sets the service's engines, and removes all others. */
    retain(engines: ReadonlySet<core.UpstreamId>): void {
        this.engineCount = engines.size;
        [...this.records.keys()].filter(id => !engines.has(id)).forEach(id => this.records.delete(id));
    }

    /**
     * Adds measured times. `requests` is the number of requests on the engine at that time, or undefined if it is not
     * known.
     */
    add(
        upstream: core.UpstreamId,
        sample: SpeedSample,
        requests: number | undefined,
        now: core.MonotonicMilliseconds,
    ): void {
        if (!isPositive(sample.events) || !isPositive(sample.eventMilliseconds + sample.firstEventMilliseconds)) {
            return;
        }
        const record = this.getRecord(upstream);
        if (isPositive(sample.firstEventMilliseconds)) {
            record.firstEvent +=
                (sample.firstEventMilliseconds - record.firstEvent) * getWeight(record.firstEvent, 8, 1);
        }
        if (!isPositive(sample.eventMilliseconds)) {
            record.sampledAt = now;
            return;
        }
        const events = Math.min(sample.events, EventsToTrust);
        const bounded = this.clamp(record, sample.eventMilliseconds, now);
        const milliseconds = requests === undefined ? bounded : this.convertToMeanLoad(record, bounded, requests);
        const isOutdated = now - record.sampledAt > ExcludedSilenceMilliseconds;
        record.sampledAt = now;
        record.events = Math.min(record.events + events, EventsToTrust);
        const recentWeight = isOutdated
            ? getWeight(record.recent, 1, events)
            : getWeight(record.recent, RecentHalfEvents, events);
        record.recent += (milliseconds - record.recent) * recentWeight;
        // The first events have a higher weight, so that an unusual first one does not persist.
        const usualWeight = Math.max(
            getWeight(record.usual, UsualHalfEvents, events),
            events / Math.max(1, record.events) / 3,
        );
        const isUsable = record.events < EventsToTrust || !record.isExcluded;
        record.usual += (milliseconds - record.usual) * usualWeight * (isUsable ? 1 : ExcludedWeight);
        this.updateExclusion(upstream, record, now);
    }

    /** Takes over a coordinator's estimate of its engine. It knows the samples of all senders. */
    takeOver(upstream: core.UpstreamId, sample: SpeedSample, now: core.MonotonicMilliseconds): void {
        if (!isPositive(sample.eventMilliseconds)) {
            return;
        }
        const record = this.getRecord(upstream);
        const milliseconds = this.clamp(record, sample.eventMilliseconds, now);
        record.usual = milliseconds;
        record.recent = milliseconds;
        record.firstEvent = isPositive(sample.firstEventMilliseconds)
            ? sample.firstEventMilliseconds
            : record.firstEvent;
        record.events = Math.min(EventsToTrust, Math.max(record.events, sample.events));
        record.sampledAt = now;
        record.isExcluded = false;
    }

    /**
     * The estimate for other members: the usual time, or the recent one while the engine is excluded. They aren't told of
     * the steps of a return, since each change of an estimate costs them all a row.
     */
    tryGetEstimate(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): SpeedSample | undefined {
        const record = this.records.get(upstream);
        if (record === undefined || record.usual === 0 || now - record.sampledAt > FreshMilliseconds) {
            return undefined;
        }
        return {
            eventMilliseconds: record.isExcluded ? Math.max(record.usual, record.recent) : record.usual,
            firstEventMilliseconds: record.firstEvent,
            events: record.events,
        };
    }

    /** The usual time per event of the engine, or undefined if it is not known. */
    tryGetUsualMilliseconds(upstream: core.UpstreamId): number | undefined {
        const usual = this.records.get(upstream)?.usual ?? 0;
        return usual === 0 ? undefined : usual;
    }

    getStanding(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): EngineStanding {
        const record = this.records.get(upstream);
        // After a restart of all instances no engine is known, and none needs to be treated with more care than others.
        const isNew = (record?.events ?? 0) < EventsToTrust && this.getMedian(now) !== undefined;
        if (record === undefined) {
            return isNew ? { ...UsualStanding, usableShare: NewEngineShare, isNew } : UsualStanding;
        }
        this.endSilentExclusion(upstream, record, now);
        const relativeSpeed = this.getRelativeSpeed(record, now);
        const learnedShare = NewEngineShare + (1 - NewEngineShare) * (record.events / EventsToTrust);
        const usableShare = Math.min(isNew ? learnedShare : 1, this.getReturnShare(record, now));
        return { relativeSpeed, isExcluded: record.isExcluded, usableShare, isNew };
    }

    /**
     * Whether all engines have the usual standing. Only the `own` engines count as new while they have few samples: a
     * member that does not coordinate an engine has few of it in any case.
     */
    isUniform(own: readonly core.UpstreamId[], now: core.MonotonicMilliseconds): boolean {
        const isKnown = this.getMedian(now) !== undefined;
        if (isKnown && own.some(upstream => (this.records.get(upstream)?.events ?? 0) < EventsToTrust)) {
            return false;
        }
        for (const [upstream, record] of this.records) {
            this.endSilentExclusion(upstream, record, now);
            const isUsual = !record.isExcluded && this.getReturnShare(record, now) === 1;
            if (!isUsual || this.getRelativeSpeed(record, now) !== 1) {
                return false;
            }
        }
        return true;
    }

    private getRelativeSpeed(record: EngineRecord, now: core.MonotonicMilliseconds): number {
        const reference = this.getMedian(now);
        const age = now - record.sampledAt;
        const freshness = clampTo((ExpiredMilliseconds - age) / (ExpiredMilliseconds - FreshMilliseconds), 0, 1);
        const trust = freshness * Math.min(1, record.events / EventsToTrust);
        let speed = 1;
        if (reference !== undefined && record.usual > 0) {
            const milliseconds = record.isExcluded ? record.recent : record.usual;
            speed = clampTo(reference / milliseconds, LowestRelativeSpeed, HighestRelativeSpeed) ** trust;
        }
        else if (this.medianFirstEvent !== undefined && record.firstEvent > 0) {
            // Streams of a single event have no times between events.
            const ratio = this.medianFirstEvent / record.firstEvent;
            speed = clampTo(ratio, LowestRelativeSpeed, HighestRelativeSpeed) ** freshness;
        }
        return isUsualSpeed(speed) ? 1 : speed;
    }

    /** The fraction of its share that an engine receives after an exclusion. */
    private getReturnShare(record: EngineRecord, now: core.MonotonicMilliseconds): number {
        const step = 1 + Math.floor((now - record.returnedAt) / ReturnStepMilliseconds);
        return Math.min(1, step / ReturnSteps);
    }

    private updateExclusion(upstream: core.UpstreamId, record: EngineRecord, now: core.MonotonicMilliseconds): void {
        const slowdown = record.recent / record.usual;
        if (record.isExcluded) {
            if (slowdown < RecoveredFactor) {
                this.readmit(upstream, record, now);
            }
            return;
        }
        if (slowdown > SlowdownFactor && record.events >= EventsToExclude && this.mayExcludeAnother()) {
            record.isExcluded = true;
            this.onExclusion({ upstream, isExcluded: true, slowdown });
        }
    }

    /** Without requests there are no events that could show a recovery. */
    private endSilentExclusion(upstream: core.UpstreamId, record: EngineRecord, now: core.MonotonicMilliseconds): void {
        if (record.isExcluded && now - record.sampledAt > ExcludedSilenceMilliseconds) {
            this.readmit(upstream, record, now);
        }
    }

    private readmit(upstream: core.UpstreamId, record: EngineRecord, now: core.MonotonicMilliseconds): void {
        const slowdown = record.recent / record.usual;
        record.isExcluded = false;
        record.returnedAt = now;
        record.recent = Math.min(record.recent, record.usual);
        this.onExclusion({ upstream, isExcluded: false, slowdown });
    }

    private mayExcludeAnother(): boolean {
        let excluded = 0;
        this.records.forEach(record => (excluded += record.isExcluded ? 1 : 0));
        return excluded + 1 <= Math.max(this.engineCount, this.records.size) * MaximumExcludedFraction;
    }

    /** Converts a time per event at the given load to the mean load, and learns how the time grows with the load. */
    private convertToMeanLoad(record: EngineRecord, milliseconds: number, requests: number): number {
        if (record.meanRaw === 0) {
            record.meanRaw = milliseconds;
            record.meanRequests = requests;
        }
        this.meanRequests += (requests - this.meanRequests) * (this.meanRequests === 0 ? 1 : LoadSmoothing);
        const difference = requests - record.meanRequests;
        const growth = clampTo(milliseconds / record.meanRaw - 1, -0.5, 0.5);
        this.loadCovariance += (difference * growth - this.loadCovariance) * LoadSmoothing;
        this.loadVariance += (difference * difference - this.loadVariance) * LoadSmoothing;
        record.meanRequests += difference * LoadSmoothing;
        record.meanRaw += (milliseconds - record.meanRaw) * LoadSmoothing;
        const slope = clampTo(this.loadCovariance / Math.max(0.5, this.loadVariance), 0, MaximumLoadSlope);
        return milliseconds / Math.max(0.4, 1 + slope * (requests - this.meanRequests));
    }

    /** Bounds a time by the median and the engine's usual time, so that an absurd value from a peer has a bounded effect. */
    private clamp(record: EngineRecord, milliseconds: number, now: core.MonotonicMilliseconds): number {
        const median = this.getMedian(now);
        const bounded = median === undefined ? milliseconds : clampToFactor(milliseconds, median);
        return record.usual === 0 ? bounded : clampToFactor(bounded, record.usual);
    }

    private getMedian(now: core.MonotonicMilliseconds): number | undefined {
        if (now - this.medianAt >= MedianExpiryMilliseconds) {
            this.medianAt = now;
            const known = [...this.records.values()].filter(record => now - record.sampledAt < ExpiredMilliseconds);
            this.median = getMedianOf(known.map(record => record.usual));
            this.medianFirstEvent = getMedianOf(known.map(record => record.firstEvent));
        }
        return this.median;
    }

    private getRecord(upstream: core.UpstreamId): EngineRecord {
        let record = this.records.get(upstream);
        if (record === undefined) {
            record = new EngineRecord();
            this.records.set(upstream, record);
        }
        return record;
    }
}

/** Whether a ratio of two speeds or times is within the dead band. */
export function isUsualSpeed(ratio: number): boolean {
    return ratio > LowestUsual && ratio < HighestUsual;
}

/** A mean time that one sender measured at an engine, as a multiple of what is usual there. */
export interface SenderRatio {
    readonly upstream: core.UpstreamId;
    readonly ratio: number;
}

/** Ratios of a sender up to this distance from 1 are not attributed to the sender. */
const SenderTolerance = 1.25;
/**
 * Part of the sender's ratio that is taken out of its times. Less than the whole, so that times follow if all engines
 * have really become slower.
 */
const SenderExponent = 0.85;

/** Whether `getSenderFactor` is 1 for all engines, because most of the sender's times are usual. */
export function isSenderUsual(ratios: readonly SenderRatio[]): boolean {
    let unusual = 0;
    for (const { ratio } of ratios) {
        unusual += ratio > SenderTolerance || ratio < 1 / SenderTolerance ? 1 : 0;
    }
    return unusual === 0 || 2 * unusual < ratios.length - 1;
}

/**
 * The factor by which the sender itself lengthened a time that it measured at an engine: the median of its ratios at its
 * other engines. A sender whose event loop stalls measures long times everywhere, and must not mark its engines slow.
 */
export function getSenderFactor(ratios: readonly SenderRatio[], upstream: core.UpstreamId): number {
    const others = ratios.filter(entry => entry.upstream !== upstream).map(entry => entry.ratio);
    const median = estimates.getMedian(others) ?? 1;
    return median > SenderTolerance || median < 1 / SenderTolerance ? median ** SenderExponent : 1;
}

/** Weight of `events` events in a mean of which `halfEvents` replace one half; 1 for the first ones. */
function getWeight(known: number, halfEvents: number, events: number): number {
    return known === 0 ? 1 : 1 - 0.5 ** (events / halfEvents);
}

function getMedianOf(values: readonly number[]): number | undefined {
    return estimates.getMedian(values.filter(value => value > 0));
}

function isPositive(value: number): boolean {
    return Number.isFinite(value) && value > 0;
}

function clampToFactor(value: number, usual: number): number {
    return clampTo(value, usual / HighestRelativeSpeed, usual / LowestRelativeSpeed);
}

function clampTo(value: number, lowest: number, highest: number): number {
    return Math.min(highest, Math.max(lowest, value));
}
