import type * as core from "@boragedale/core";
import * as estimates from "./estimates.js";

/** What one call to a plain service told. */
export enum CallSignal {
    Success = "Success",
    /** Overloaded by its own word (429 or 503), or timed out. */
    Overload = "Overload",
    /** Failed or was cancelled for a reason that says nothing about load. */
    Neutral = "Neutral",
}

export interface ConcurrencySettings {
    readonly initial: number;
    /** Our limit from the release note; never exceeded. */
    readonly maximum: number;
}

/** Times the usual latency at which a service counts as queueing inside. */
const SlowFactor = 2.5;
/** Calls before latencies are compared. */
const SamplesToJudge = 20;
/** Time in which the remembered usual latency doubles, in milliseconds: a new version may be slower for good. */
const UsualDoubling = 600_000;
/** What an overload leaves of the limit: low enough to drain a queue within a few calls, high enough to go on. */
const Decrease = 0.8;

/**
 * How many calls one server of a plain service gets at once from this instance.
 *
 * Load: letter-short calls to servers that are not engines: they don't batch, and past a point each further call only
 * queues inside. Harm prevented: a slow service would hold ever more calls until each fails by timeout, and calls that
 * may not be repeated end with an unknown outcome. The limit rises by one a round of successes while it is in use, and
 * falls by a fifth at overload or at 2.5 times the usual latency, at most once a round, since the calls of one round
 * all saw the same queue. At least one call may always run, or the limit could never learn that the service is back.
 */
export class ConcurrencyLimit {
    private limit: number;
    private running = 0;
    private lowered: core.MonotonicMilliseconds = -Infinity;
    private readonly recentLatency = new estimates.MovingAverage(0.05, 0);
    private usualLatency = Infinity;
    private usualAt: core.MonotonicMilliseconds = 0;

    constructor(private readonly settings: ConcurrencySettings) {
        this.limit = clamp(settings.initial, 1, settings.maximum);
    }

    tryAcquire(): boolean {
        if (this.running >= Math.floor(this.limit)) {
            return false;
        }
        this.running++;
        return true;
    }

    release(signal: CallSignal, latencyMilliseconds: number, now: core.MonotonicMilliseconds): void {
        const wasInUse = this.running >= Math.floor(this.limit) * 0.8;
        this.running = Math.max(0, this.running - 1);
        if (signal === CallSignal.Neutral) {
            return;
        }
        if (signal === CallSignal.Success) {
            this.learn(latencyMilliseconds, now);
        }
        if (signal === CallSignal.Overload || this.isSlow()) {
            this.lower(now);
            return;
        }
        if (wasInUse) {
            this.limit = clamp(this.limit + 1 / this.limit, 1, this.settings.maximum);
        }
    }

    getLimit(): number {
        return Math.floor(this.limit);
    }

    getRunning(): number {
        return this.running;
    }

    private isSlow(): boolean {
        return (
            this.recentLatency.getCount() >= SamplesToJudge && this.recentLatency.get() > SlowFactor * this.usualLatency
        );
    }

    /** The usual latency is the lowest mean of late: a mean of all would follow a queue that builds up slowly. */
    private learn(latencyMilliseconds: number, now: core.MonotonicMilliseconds): void {
        this.recentLatency.add(latencyMilliseconds);
        if (this.recentLatency.getCount() < SamplesToJudge) {
            return;
        }
        const forgotten = this.usualLatency * 2 ** (Math.max(0, now - this.usualAt) / UsualDoubling);
        this.usualLatency = Math.min(forgotten, this.recentLatency.get());
        this.usualAt = now;
    }

    private lower(now: core.MonotonicMilliseconds): void {
        const round = Math.max(10, this.recentLatency.get());
        if (now - this.lowered >= round) {
            this.lowered = now;
            this.limit = clamp(this.limit * Decrease, 1, this.settings.maximum);
        }
    }
}

function clamp(value: number, lowest: number, highest: number): number {
    return Math.max(lowest, Math.min(highest, value));
}
