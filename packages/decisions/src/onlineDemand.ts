import type * as core from "@boragedale/core";
import * as itemOrder from "./itemOrder.js";

/** Slots that a batch start leaves free on each engine in any case, so that an online request finds one without asking. */
export const MarginSlots = 1;
/**
 * Time over which the level is averaged. A stream holds its slot for some 0.7 s, and an engine has 8 slots, so that
 * single samples vary by one or two slots around the demand.
 */
const LevelMilliseconds = 600;
/** Time for which samples are kept: two and a half periods of the demand that was seen, so that one peak is always known. */
const HistoryMilliseconds = 15_000;
/** Observation time before any peak is assumed to be known: one whole period of the demand that was seen. */
export const WarmUpMilliseconds = 6_000;
/** Time without samples after which the observation starts anew, since the remaining samples may not contain a peak. */
const MaximumGapMilliseconds = WarmUpMilliseconds;
/** Changes of the level that are smaller, as a share of the slots, are noise of single engines. */
const MinimumRange = 0.25;
/** Distance from the middle of the range, as a share of it, that the level has to pass to count as high or low. */
const Hysteresis = 0.1;
/** Rises that are remembered for the period. */
const MaximumRises = 4;
/** Deviation from the median, as a share of it, up to which the time between two rises confirms the period. */
const PeriodTolerance = 0.25;
/** If a rise is overdue by this share of the period, the recurrence has ended. */
const OverdueShare = 0.5;
/** Period that is assumed for the urgency of items while no rises recur. */
const AssumedPeriodMilliseconds = 6_000;
/**
 * Periods of slack below which an item doesn't wait in a low phase for a slot that peaks leave free. With fewer, items
 * on slow engines, which run for more than a period, end late.
 */
const UrgentPeriods = 2.5;
/** Periods of slack below which an item takes any slot, even though it is likely to be preempted again. */
const CriticalPeriods = 1;
/** Shorter runs before a rise, a fifth of an item, aren't worth the connection and the prefill that a preemption repeats. */
const MinimumRunMilliseconds = 900;

interface Sample {
    readonly at: core.MonotonicMilliseconds;
    /** Online use as a share of the slots. */
    readonly use: number;
    /** Mean use of the last `LevelMilliseconds`. */
    readonly level: number;
}

/**
 * Online use of a set of engines over time, and the slots that batch starts have to leave free for it.
 *
 * Answers a demand that alternates between a low and a high phase every few seconds, while batch items run as long as a
 * whole period and are due after three. With a constant reserve, items fill all engines in the low phase, and most of
 * them are preempted, several times each, at the next rise. With a reserve for the whole peak, batch work would starve:
 * over a period it needs twice the slots that peaks leave free. So items use the slots that peaks leave free, and take
 * others only in low phases, if they end before the next rise or would be late otherwise.
 */
export class OnlineDemand {
    private readonly samples: Sample[] = [];
    private readonly rises: core.MonotonicMilliseconds[] = [];
    private firstAt: core.MonotonicMilliseconds | undefined;
    private isHigh = false;
    private peak = 0;

    /** Records the current online use of all engines of the set. */
    record(online: number, slots: number, now: core.MonotonicMilliseconds): void {
        if (slots <= 0) {
            return;
        }
        const lastAt = this.samples.at(-1)?.at;
        if (lastAt !== undefined && now - lastAt > MaximumGapMilliseconds) {
            this.forget();
        }
        this.firstAt ??= now;
        const use = online / slots;
        const recent = this.samples.filter(sample => sample.at > now - LevelMilliseconds).map(sample => sample.use);
        this.samples.push({ at: now, use, level: mean([...recent, use]) });
        while ((this.samples[0]?.at ?? now) <= now - HistoryMilliseconds) {
            this.samples.shift();
        }
        this.updatePhase(now);
    }

    /** Mean online use of the last moments as a share of the slots. */
    getLevel(): number {
        return this.samples.at(-1)?.level ?? 0;
    }

    /** Mean online use of the high phases of the last periods as a share of the slots. */
    getPeak(): number {
        return this.peak;
    }

    /** Whether the observation covers a whole period, so that its peak is known. */
    isPeakKnown(now: core.MonotonicMilliseconds): boolean {
        return this.firstAt !== undefined && now - this.firstAt >= WarmUpMilliseconds;
    }

    /** Time between two rises; undefined if rises don't recur. */
    tryGetPeriod(): number | undefined {
        const periods = this.rises.slice(1).map((at, index) => at - (this.rises[index] ?? at));
        const median = [...periods].sort((left, right) => left - right)[Math.floor(periods.length / 2)];
        const last = periods.at(-1);
        if (median === undefined || last === undefined || Math.abs(last - median) > PeriodTolerance * median) {
            return undefined;
        }
        return median;
    }

    /** Time until the next rise, at least 0; undefined if rises don't recur. */
    tryGetTimeToRise(now: core.MonotonicMilliseconds): number | undefined {
        const period = this.tryGetPeriod();
        const lastRise = this.rises.at(-1);
        if (period === undefined || lastRise === undefined || now - lastRise > period * (1 + OverdueShare)) {
            return undefined;
        }
        return Math.max(0, lastRise + period - now);
    }

    /**
     * Returns the slots that stay free on an engine when the item starts there. `online` are the engine's online requests;
     * `item` is undefined if nothing is known about it.
     */
    getReserve(
        slots: number,
        online: number,
        item: itemOrder.ItemEstimate | undefined,
        now: core.MonotonicMilliseconds,
    ): number {
        if (item === undefined || !this.isPeakKnown(now)) {
            return MarginSlots;
        }
        const peakReserve = MarginSlots + Math.max(0, Math.round(this.peak * slots) - online);
        const slack = item.dueInMilliseconds - item.remainingMilliseconds;
        const period = this.tryGetPeriod() ?? AssumedPeriodMilliseconds;
        const isLate = itemOrder.willBeLate(item);
        if (!isLate && slack < period * CriticalPeriods) {
            return MarginSlots;
        }
        if (this.isHigh) {
            return peakReserve;
        }
        const timeToRise = this.tryGetTimeToRise(now);
        const endsBeforeRise = timeToRise !== undefined && item.remainingMilliseconds <= timeToRise;
        const isUrgent = isLate || slack < period * UrgentPeriods;
        const isWorthwhile = timeToRise === undefined || timeToRise >= MinimumRunMilliseconds;
        return endsBeforeRise || (isUrgent && isWorthwhile) ? MarginSlots : peakReserve;
    }

    private forget(): void {
        this.samples.length = 0;
        this.rises.length = 0;
        this.firstAt = undefined;
        this.isHigh = false;
        this.peak = 0;
    }

    private updatePhase(now: core.MonotonicMilliseconds): void {
        const levels = this.samples.map(sample => sample.level);
        const lowest = Math.min(...levels);
        const range = Math.max(...levels) - lowest;
        const middle = lowest + range / 2;
        this.peak = mean(levels.filter(level => level >= middle));
        const level = this.getLevel();
        if (!this.isHigh && range >= MinimumRange && level > middle + Hysteresis * range) {
            this.isHigh = true;
            // The level passes the middle about half of its averaging time after the demand has risen.
            this.rises.push(now - LevelMilliseconds / 2);
            this.rises.splice(0, this.rises.length - MaximumRises);
        }
        else if (this.isHigh && (range < MinimumRange || level < middle - Hysteresis * range)) {
            this.isHigh = false;
        }
    }
}

function mean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
