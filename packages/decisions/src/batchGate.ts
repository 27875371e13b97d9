import type * as core from "@boragedale/core";
import * as estimates from "./estimates.js";
import * as stepCost from "./stepCost.js";

export interface BatchGateSettings {
    /** Requests of both classes that the upstream may run at once. */
    readonly concurrency: number;
    /**
     * 0: batch uses only capacity whose use online requests can't notice; 1: batch throughput counts as much as online
     * latency.
     */
    readonly batchWeight: number;
    /** When this instance became the upstream's coordinator. */
    readonly startedAt: core.MonotonicMilliseconds;
}

/** One instance's report of its online work on the upstream. */
export interface OnlinePressure {
    readonly instance: core.InstanceId;
    readonly inFlight: number;
    readonly queued: number;
    /** Shortest time between two tokens that the instance observed there in the last second, in milliseconds. */
    readonly fastestGap?: number;
}

export interface GateDecision {
    /** Number of batch streams that may be started now. */
    readonly mayStart: number;
    /** Streams to cancel now, those that lose least first; their tokens are kept and they resume later. */
    readonly streamsToCancel: readonly string[];
}

interface BatchStream {
    readonly id: string;
    /** Tokens that the engine would have to prefill again on resume. */
    heldTokens: number;
    hasFirstToken: boolean;
    isCancelling: boolean;
}

/** How long a report of online work counts without being renewed; its instance may have stopped. */
const PressureExpiryMilliseconds = 5_000;
/** Window in which an increase of online work is measured: two steps of an engine, one message and one poll. */
const ReactionMilliseconds = 250;
/**
 * Half-life of the remembered increase. Demand peaks at fixed times, such as the hour and the quarter hour, so an
 * increase is likely to recur within this time.
 */
const ReserveHalfLifeMilliseconds = 600_000;
/** Half-life of the latest peak of online work; see `getStartLimit`. */
const PeakHalfLifeMilliseconds = 2_000;
/** Slots kept free for online work even if no burst has been seen. */
const MinimumReserve = 1;
/**
 * Fractions of the engine's memory in use from which no batch prompt is sent, and from which streams are cancelled. The
 * rest caches the prefixes of online requests, and an engine whose memory is full admits no request however many slots
 * are free.
 */
const StartMemoryThreshold = 0.6;
const CancelMemoryThreshold = 0.75;
/** Older reports of memory usage are ignored. */
const MemoryReportExpiryMilliseconds = 5_000;
/** A new coordinator has no information yet: it starts with a few streams and doubles their number with each step. */
const SlowStartStepMilliseconds = 100;
const SlowStartInitialStreams = 2;
/** How long no batch prompt is sent after online work was queued, or after streams had to be cancelled. */
const HoldAfterQueueMilliseconds = 200;
const HoldAfterCancelMilliseconds = 1_000;
/**
 * How long no batch prompt is sent after an online request was sent to the upstream, about two steps: that request's
 * prompt is being prefilled, and a batch prompt beside it lengthens the very step that produces its first token.
 */
const HoldAfterArrivalMilliseconds = 60;
/** Batch prompts that an upstream prefills at a time: each additional one delays the first token of online requests. */
const MaximumConcurrentPrompts = 1;

/**
 * Decides how many batch streams one upstream may run. Used by the upstream's coordinator.
 *
 * Batch work is unlimited, while online work is idle for seconds and then bursts. Engines have no priorities and admit
 * requests in order of arrival, so a running batch stream slows each online token, holds a slot and memory that a burst
 * needs, and can't be overtaken. Four limits address this:
 *
 * - Slots: the concurrency, less the online requests in flight, less a reserve that covers the largest recent increase
 *   within the time it takes to notice a burst and to cancel streams. Without the reserve, a burst waits inside the
 *   engine behind streams that last seconds. While a burst uses up the reserve, streams are cancelled, cheapest first,
 *   until half of the reserve is free again. Restoring the whole reserve would cancel a stream for each single request;
 *   restoring none of it would cancel too late.
 * - Step time: as many streams as lengthen the engine's step, which is the time between tokens of online requests, by
 *   no more than the weight set by the operators allows. The slope is learned from the streams themselves.
 * - Memory: long streams grow until the engine can't admit any request, even if slots are free. The engine's load
 *   report shows its memory usage.
 * - Prompts: one batch prompt is prefilled at a time, because a prefill pauses all streams of the engine for a step.
 */
export class BatchGate {
    private readonly pressures = new Map<
        core.InstanceId,
        { readonly pressure: OnlinePressure; readonly receivedAt: core.MonotonicMilliseconds }
    >();
    private readonly streams = new Map<string, BatchStream>();
    private readonly increase = new estimates.DecayingMaximum(ReserveHalfLifeMilliseconds);
    private readonly peak = new estimates.DecayingMaximum(PeakHalfLifeMilliseconds);
    private readonly gap = new estimates.RecentMinimum(2);
    private readonly cost = new stepCost.StepCost();
    private recentOnlineCounts: { readonly at: core.MonotonicMilliseconds; readonly online: number }[] = [];
    private memoryUsage = 0;
    private heldTokensAtReport = 0;
    private memoryReportedAt: core.MonotonicMilliseconds = -Infinity;
    private queuedAt: core.MonotonicMilliseconds = -Infinity;
    private arrivedAt: core.MonotonicMilliseconds = -Infinity;
    private cancelledAt: core.MonotonicMilliseconds = -Infinity;
    private concurrency: number;
    private batchWeight: number;
    private coordinatorCount = 1;
    private instances: readonly core.InstanceId[] = [];

    constructor(private readonly settings: BatchGateSettings) {
        this.concurrency = settings.concurrency;
        this.batchWeight = settings.batchWeight;
    }

    /** Applies the settings of a new release note. */
    configure(concurrency: number, batchWeight: number): void {
        this.concurrency = concurrency;
        this.batchWeight = batchWeight;
    }

    /**
     * Sets how many instances may consider themselves the coordinator: 2 while a lagging instance list moves the
     * assignment. Each of them then uses half of the slots, so that together they hold no more than one would.
     */
    setCoordinatorCount(count: number): void {
        this.coordinatorCount = Math.max(1, count);
    }

    /**
     * Sets the live instances. Those that haven't reported yet are assumed to have as much online work as the average
     * of the others.
     */
    setInstances(instances: readonly core.InstanceId[]): void {
        this.instances = instances;
    }

    onOnlinePressure(pressure: OnlinePressure, now: core.MonotonicMilliseconds): void {
        const before = this.pressures.get(pressure.instance)?.pressure.inFlight ?? 0;
        if (pressure.inFlight > before) {
            this.arrivedAt = now;
        }
        this.pressures.set(pressure.instance, { pressure, receivedAt: now });
        if (pressure.fastestGap !== undefined) {
            this.gap.add(pressure.fastestGap, now);
        }
        if (pressure.queued > 0) {
            this.queuedAt = now;
        }
        this.recordIncrease(now);
    }

    onStarted(id: string, promptTokens: number): void {
        this.streams.set(id, { id, heldTokens: promptTokens, hasFirstToken: false, isCancelling: false });
    }

    onFirstToken(id: string): void {
        const stream = this.streams.get(id);
        if (stream !== undefined) {
            stream.hasFirstToken = true;
        }
    }

    /**
     * Records that a stream received `tokens` within `milliseconds`, both since the previous call; call it once per
     * several tokens.
     */
    onProgress(id: string, tokens: number, milliseconds: number, now: core.MonotonicMilliseconds): void {
        const stream = this.streams.get(id);
        if (stream === undefined || tokens <= 0) {
            return;
        }
        stream.heldTokens += tokens;
        if (milliseconds <= 0) {
            // No time precedes the first token; used as a gap it would make any upstream look fast.
            return;
        }
        this.gap.add(milliseconds / tokens, now);
        this.cost.add(this.streams.size + this.getOnline(now), milliseconds / tokens);
    }

    /** Takes the engine's own load report. Only its memory usage is used, because it can't be observed from outside. */
    onLoadReport(
        report: { readonly cacheUsage: number; readonly ageMilliseconds: number },
        now: core.MonotonicMilliseconds,
    ): void {
        this.memoryUsage = report.cacheUsage;
        this.memoryReportedAt = now - report.ageMilliseconds;
        this.heldTokensAtReport = this.getHeldTokens();
    }

    onEnded(id: string): void {
        this.streams.delete(id);
    }

    decide(now: core.MonotonicMilliseconds): GateDecision {
        const reserve = this.getReserve(now);
        const slotLimit = this.getSlotLimit(this.getOnline(now), Math.floor(reserve / 2));
        const streamsToCancel = this.chooseStreamsToCancel(slotLimit, this.getExcessTokens(now));
        if (streamsToCancel.length > 0) {
            this.cancelledAt = now;
        }
        const free = this.getStartLimit(reserve, now) - this.streams.size;
        return { mayStart: Math.max(0, Math.min(free, this.getAvailablePrompts(now))), streamsToCancel };
    }

    /** Online requests on the upstream, over all instances. The coordinator sends this total to the instances. */
    getOnline(now: core.MonotonicMilliseconds): number {
        let sum = 0;
        let reportingInstances = 0;
        for (const { pressure, receivedAt } of this.pressures.values()) {
            if (now - receivedAt <= PressureExpiryMilliseconds) {
                sum += pressure.inFlight + pressure.queued;
                reportingInstances++;
            }
        }
        // An instance reports to a new coordinator only once its own list names that coordinator, so a missing report
        // doesn't mean that the instance is idle.
        return reportingInstances === 0
            ? 0
            : Math.ceil((sum * Math.max(reportingInstances, this.instances.length)) / reportingInstances);
    }

    /**
     * The shortest time between two tokens that any instance observed on the upstream in the last second; sent with the
     * total.
     */
    getFastestGap(now: core.MonotonicMilliseconds): number | undefined {
        return this.gap.getRecent(now);
    }

    /** Batch streams that are running, including those being cancelled. */
    getStreamCount(): number {
        return this.streams.size;
    }

    /** Slots kept free for bursts. */
    getReserve(now: core.MonotonicMilliseconds): number {
        const learned = this.increase.get(now) * (1 - this.batchWeight);
        return Math.max(MinimumReserve, Math.ceil(learned));
    }

    /** Batch streams that may run beside `online` requests. */
    private getSlotLimit(online: number, reserve: number): number {
        return Math.max(0, Math.floor((this.concurrency - online - reserve) / this.coordinatorCount));
    }

    /**
     * Number of streams up to which new ones are started. Streams beyond the step time's limit aren't cancelled: that
     * limit moves a little with each sample, and cancelling and resuming streams costs more steps than it saves. Slots
     * are counted beside the latest peak of online work: close to saturation slots are constantly freed for an instant,
     * and a stream started there is cancelled before it has paid for its prompt.
     */
    private getStartLimit(reserve: number, now: core.MonotonicMilliseconds): number {
        const byStep =
            this.cost.getMaximumStreams(this.getOnline(now), getTolerance(this.batchWeight)) / this.coordinatorCount;
        return Math.floor(
            Math.min(this.getSlotLimit(this.peak.get(now), reserve), byStep, this.getSlowStartLimit(now)),
        );
    }

    private getSlowStartLimit(now: core.MonotonicMilliseconds): number {
        return SlowStartInitialStreams * 2 ** Math.min(30, (now - this.settings.startedAt) / SlowStartStepMilliseconds);
    }

    /** Number of batch prompts that may be sent now. */
    private getAvailablePrompts(now: core.MonotonicMilliseconds): number {
        const isHeld =
            now - this.arrivedAt < HoldAfterArrivalMilliseconds ||
            now - this.queuedAt < HoldAfterQueueMilliseconds ||
            now - this.cancelledAt < HoldAfterCancelMilliseconds;
        if (isHeld || this.getMemoryUsage(now) >= StartMemoryThreshold) {
            return 0;
        }
        let prefilling = 0;
        for (const stream of this.streams.values()) {
            prefilling += stream.hasFirstToken ? 0 : 1;
        }
        return MaximumConcurrentPrompts - prefilling;
    }

    /**
     * Chooses the streams that lose least: a resumed stream has to prefill its prompt and all generated tokens again.
     */
    private chooseStreamsToCancel(slotLimit: number, excessTokens: number): readonly string[] {
        const running = [...this.streams.values()].filter(stream => !stream.isCancelling);
        running.sort((left, right) => left.heldTokens - right.heldTokens);
        const chosen: string[] = [];
        let tokens = excessTokens;
        for (const stream of running) {
            if (running.length - chosen.length <= slotLimit && tokens <= 0) {
                break;
            }
            stream.isCancelling = true;
            tokens -= stream.heldTokens;
            chosen.push(stream.id);
        }
        return chosen;
    }

    /** Fraction of the engine's memory in use: the reported usage plus what batch streams have added since. */
    private getMemoryUsage(now: core.MonotonicMilliseconds): number {
        if (now - this.memoryReportedAt > MemoryReportExpiryMilliseconds) {
            return 0;
        }
        const held = this.getHeldTokens();
        const grown = this.heldTokensAtReport > 0 ? held / this.heldTokensAtReport : 1;
        return this.memoryUsage * Math.max(1, grown);
    }

    /** Tokens that batch streams must release so that online requests find memory. */
    private getExcessTokens(now: core.MonotonicMilliseconds): number {
        const usage = this.getMemoryUsage(now);
        return usage < CancelMemoryThreshold ? 0 : this.getHeldTokens() * (1 - StartMemoryThreshold / usage);
    }

    private getHeldTokens(): number {
        let sum = 0;
        for (const stream of this.streams.values()) {
            sum += stream.isCancelling ? 0 : stream.heldTokens;
        }
        return sum;
    }

    private recordIncrease(now: core.MonotonicMilliseconds): void {
        const online = this.getOnline(now);
        this.recentOnlineCounts = this.recentOnlineCounts.filter(sample => now - sample.at <= ReactionMilliseconds);
        const lowest = Math.min(online, ...this.recentOnlineCounts.map(sample => sample.online));
        this.recentOnlineCounts.push({ at: now, online });
        this.increase.add(online - lowest, now);
        this.peak.add(online, now);
    }
}

/**
 * Part by which the step may be longer at weight 0, and the further part at weight 1, where the limit is removed
 * altogether.
 */
const MinimumStepTolerance = 0.05;
const StepTolerancePerWeight = 0.8;

/** How much longer batch work may make an engine's step, as a fraction of the step without it. */
function getTolerance(batchWeight: number): number {
    return batchWeight >= 1 ? Infinity : MinimumStepTolerance + StepTolerancePerWeight * batchWeight;
}
