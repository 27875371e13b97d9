import type * as core from "@boragedale/core";
import * as estimates from "./estimates.js";

/** What the outcome of one call says about the load of a plain service. */
export enum CallSignal {
    Success = "Success",
    /** Reported overload (429 or 503), or timed out. */
    Overload = "Overload",
    /** Failed or was cancelled for a reason that says nothing about load. */
    Neutral = "Neutral",
}

export interface ConcurrencySettings {
    readonly initial: number;
    /** The limit from the release note; never exceeded. */
    readonly maximum: number;
}

/** Ratio to the baseline latency above which a service is considered to be queueing calls internally. */
const SlowFactor = 2.5;
/** Number of calls before latencies are compared. */
const MinimumSamples = 20;
/**
 * Time in which the baseline latency doubles unless a lower one is observed: a new version may be slower permanently.
 */
const BaselineDoublingMilliseconds = 600_000;
/** Factor applied to the limit at overload: low enough to drain a queue within a few calls, high enough to continue. */
const DecreaseFactor = 0.8;

/**
 * Limits how many calls this instance sends to one server of a plain service at once.
 *
 * Servers that are not engines receive short calls and don't batch them: beyond a certain number, each further call
 * only queues inside the server. A slow service would hold more and more calls until each of them times out, and calls
 * that must not be repeated would end with an unknown outcome. The limit grows by one per round of successes while it
 * is mostly in use. It falls by a fifth at overload or at 2.5 times the baseline latency, at most once per round,
 * because the calls of one round all experienced the same queue. At least one call may always run; otherwise the limit
 * could never detect that the service has recovered.
 */
export class ConcurrencyLimit {
    private limit: number;
    private running = 0;
    private loweredAt: core.MonotonicMilliseconds = -Infinity;
    private readonly recentLatency = new estimates.MovingAverage(0.05, 0);
    private baselineLatency = Infinity;
    private baselineUpdatedAt: core.MonotonicMilliseconds = 0;

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
            this.updateBaseline(latencyMilliseconds, now);
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
            this.recentLatency.getCount() >= MinimumSamples &&
            this.recentLatency.get() > SlowFactor * this.baselineLatency
        );
    }

    /** The baseline is the lowest recent mean: a mean of all latencies would follow a queue that builds up slowly. */
    private updateBaseline(latencyMilliseconds: number, now: core.MonotonicMilliseconds): void {
        this.recentLatency.add(latencyMilliseconds);
        if (this.recentLatency.getCount() < MinimumSamples) {
            return;
        }
        const raisedBaseline =
            this.baselineLatency * 2 ** (Math.max(0, now - this.baselineUpdatedAt) / BaselineDoublingMilliseconds);
        this.baselineLatency = Math.min(raisedBaseline, this.recentLatency.get());
        this.baselineUpdatedAt = now;
    }

    private lower(now: core.MonotonicMilliseconds): void {
        const roundMilliseconds = Math.max(10, this.recentLatency.get());
        if (now - this.loweredAt >= roundMilliseconds) {
            this.loweredAt = now;
            this.limit = clamp(this.limit * DecreaseFactor, 1, this.settings.maximum);
        }
    }
}

function clamp(value: number, lowest: number, highest: number): number {
    return Math.max(lowest, Math.min(highest, value));
}
