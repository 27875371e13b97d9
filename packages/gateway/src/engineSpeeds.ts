import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as protocol from "@boragedale/protocol";
import type * as coordinatorDirectory from "./homeDirectory.js";

/** Interval at which measured times are added up to the estimates. Streams have an event each 40 to 60 ms. */
const CollectIntervalMilliseconds = 50;
/** Age up to which a mean at another engine shows whether this sender itself is slow. */
const RatioExpiryMilliseconds = 200;
/** Factor by which uncollected times for a notice lose weight at each collection, so that a late notice reports recent times. */
const PendingDecay = 0.9;
/** Factor between two times per event above which the engine, and not only its load, has changed. */
const SuddenChange = 1.5;
/** A time per event that is this multiple of the usual one is reported at once. */
const SlowdownToReport = 1.7;
const ReportIntervalMilliseconds = 250;
/** Interval at which a notice repeats a time per event that has not changed. Most notices need no row, which doubles their size. */
const UnchangedRowIntervalMilliseconds = 400;
/** Time for which each notice repeats a time per event that has changed: the coordinator needs several samples. */
const ChangeReportedMilliseconds = 300;
/** Shortest interval between two replies with speeds to the same requester, and interval at which unchanged ones are repeated. */
const ReplyIntervalMilliseconds = 250;
const RepeatIntervalMilliseconds = 2_500;
/** Interval at which the engines of each service are listed again. */
const RetainIntervalMilliseconds = 1_000;

export interface EngineSpeedSharingParts {
    readonly clock: core.Clock;
    readonly slotTable: decisions.SlotTable;
    readonly coordinators: coordinatorDirectory.CoordinatorDirectory;
    /** Called with an engine that has become slow, to send its coordinator a notice soon. */
    readonly onSlowdown: (upstream: core.UpstreamId) => void;
    /** Called if an engine that this member coordinates is excluded or returns. */
    readonly onExclusion: (change: decisions.ExclusionChange) => void;
    /** Called once for each engine that this member coordinates and whose speed it has measured. */
    readonly onOwnEngine: (upstream: core.UpstreamId) => void;
}

/** Sums of the times that were measured at one engine. */
class TimeSums {
    eventMilliseconds = 0;
    events = 0;
    firstEventMilliseconds = 0;
    firstEvents = 0;

    add(other: TimeSums, factor: number): void {
        this.eventMilliseconds += other.eventMilliseconds / factor;
        this.events += other.events;
        this.firstEventMilliseconds += other.firstEventMilliseconds / factor;
        this.firstEvents += other.firstEvents;
    }

    scale(factor: number): void {
        this.eventMilliseconds *= factor;
        this.events *= factor;
        this.firstEventMilliseconds *= factor;
        this.firstEvents *= factor;
    }

    /** The means, divided by a factor. */
    toSample(factor = 1): decisions.SpeedSample {
        return {
            eventMilliseconds: this.events === 0 ? 0 : this.eventMilliseconds / this.events / factor,
            firstEventMilliseconds:
                this.firstEvents === 0 ? 0 : this.firstEventMilliseconds / this.firstEvents / factor,
            events: Math.max(this.events, this.firstEvents),
        };
    }
}

/** What this member measures at one engine. */
class EngineMeter {
    /** Since the last collection. */
    readonly sums = new TimeSums();
    /** Since the last notice, without the part that is attributed to this member itself. */
    readonly pending = new TimeSums();
    /** Mean time per event of the last collection as a multiple of the engine's usual time. */
    ratio = 1;
    ratioAt: core.MonotonicMilliseconds = -Infinity;
    reportedAt: core.MonotonicMilliseconds = -Infinity;
    /** Time per event in the last notice. */
    sentMilliseconds = 0;
    sentAt: core.MonotonicMilliseconds = -Infinity;
    changedAt: core.MonotonicMilliseconds = -Infinity;
    isOwnReported = false;

    constructor(
        readonly upstream: core.UpstreamId,
        readonly service: string,
    ) {}
}

/** Measures the times between the events of one stream. */
export class StreamMeter {
    private lastAt: core.MonotonicMilliseconds | undefined;

    constructor(
        private readonly speeds: EngineSpeedSharing,
        private readonly meter: EngineMeter,
        private readonly startedAt: core.MonotonicMilliseconds,
    ) {}

    /**
     * Records that `count` events arrived together. Their mean is right even if this process was stopped while they
     * arrived.
     */
    onEvents(count: number, now: core.MonotonicMilliseconds): void {
        const { sums } = this.meter;
        if (sums.events === 0 && sums.firstEvents === 0) {
            this.speeds.noteMeasured(this.meter);
        }
        if (this.lastAt === undefined) {
            sums.firstEventMilliseconds += now - this.startedAt;
            sums.firstEvents++;
        }
        else {
            sums.eventMilliseconds += now - this.lastAt;
            sums.events += count;
        }
        this.lastAt = now;
        this.speeds.collectIfDue(now);
    }

    /** Excludes the time since the last event, because the caller read slowly and the stream was paused. */
    onResumed(now: core.MonotonicMilliseconds): void {
        this.lastAt = now;
    }
}

/** What a requester was last told. */
interface SentSpeeds {
    sentAt: core.MonotonicMilliseconds;
    readonly byEngine: Map<core.UpstreamId, { readonly milliseconds: number; readonly at: core.MonotonicMilliseconds }>;
}

/**
 * Measures the speeds of engines on the streams that this member relays, exchanges them with the engines' coordinators
 * in messages that are sent anyway, and adds them to the candidates for a request.
 *
 * One member sees an engine too rarely to notice that it has become slow for half a second. The engine's coordinator
 * receives the times of all members that use it, and returns its estimate with the slots that it grants.
 */
export class EngineSpeedSharing {
    private readonly meters = new Map<core.UpstreamId, EngineMeter>();
    private readonly estimates = new Map<string, decisions.EngineSpeed>();
    private readonly sent = new Map<core.InstanceId, SentSpeeds>();
    private readonly coordinatorSpeeds = new Map<core.InstanceId, number>();
    private coordinatorSpeedsAt: core.MonotonicMilliseconds = -Infinity;
    private measured: EngineMeter[] = [];
    private collectedAt: core.MonotonicMilliseconds = -Infinity;
    private retainedAt: core.MonotonicMilliseconds = -Infinity;

    constructor(private readonly parts: EngineSpeedSharingParts) {}

    /** Starts measuring a stream of an engine. Returns undefined for an upstream that is not an engine. */
    startStream(upstream: core.UpstreamId, service: string): StreamMeter | undefined {
        if (!this.parts.coordinators.isEngineService(service)) {
            return undefined;
        }
        let meter = this.meters.get(upstream);
        if (meter === undefined) {
            meter = new EngineMeter(upstream, service);
            this.meters.set(upstream, meter);
        }
        return new StreamMeter(this, meter, this.parts.clock.now());
    }

    /** Adds the known speeds to candidates. Candidates of usual speed stay as they are. */
    annotate<T extends decisions.SlotCandidate>(service: string, candidates: readonly T[]): readonly T[] {
        const estimate = this.estimates.get(service);
        if (estimate === undefined && !this.parts.coordinators.isEngineService(service)) {
            return candidates;
        }
        const now = this.parts.clock.now();
        return candidates.map(candidate => {
            const standing = this.getEstimate(service).getStanding(candidate.id, now);
            // Only the coordinator knows enough about an engine to find that it is new.
            const isKnown = !standing.isNew || this.isOwn(candidate.id);
            const usableShare = isKnown ? standing.usableShare : 1;
            return standing.relativeSpeed === 1 && !standing.isExcluded && usableShare === 1
                ? candidate
                : { ...candidate, ...standing, usableShare };
        });
    }

    getRelativeSpeed(service: string, upstream: core.UpstreamId): number {
        return this.estimates.get(service)?.getStanding(upstream, this.parts.clock.now()).relativeSpeed ?? 1;
    }

    /** The speed of the fastest engine that a member coordinates, computed a few times in a second. */
    getCoordinatorSpeed(coordinator: core.InstanceId): number {
        const now = this.parts.clock.now();
        if (now - this.coordinatorSpeedsAt >= CollectIntervalMilliseconds) {
            this.coordinatorSpeedsAt = now;
            this.coordinatorSpeeds.clear();
        }
        const known = this.coordinatorSpeeds.get(coordinator) ?? this.computeCoordinatorSpeed(coordinator);
        this.coordinatorSpeeds.set(coordinator, known);
        return known;
    }

    private computeCoordinatorSpeed(coordinator: core.InstanceId): number {
        let fastest = 0;
        for (const service of this.estimates.keys()) {
            for (const upstream of this.parts.coordinators.getEnginesOf(coordinator, service)) {
                fastest = Math.max(fastest, this.getRelativeSpeed(service, upstream));
            }
        }
        return fastest === 0 ? 1 : fastest;
    }

    /**
     * Returns what was measured at a coordinator's engines since its last notice. Times that are about the same as in
     * that notice are sent less often.
     */
    takeRows(coordinator: core.InstanceId): readonly protocol.EngineSpeedRow[] | undefined {
        const now = this.parts.clock.now();
        this.collect(now);
        const rows: protocol.EngineSpeedRow[] = [];
        for (const meter of this.meters.values()) {
            const { pending } = meter;
            const sample = pending.events + pending.firstEvents < 1 ? undefined : pending.toSample();
            if (sample === undefined || !isWorthReporting(meter, sample, now)) {
                continue;
            }
            if (this.parts.coordinators.tryGetCoordinator(meter.upstream) === coordinator) {
                rows.push(toRow(meter.upstream, sample));
                pending.scale(0);
                meter.sentMilliseconds = sample.eventMilliseconds;
                meter.sentAt = now;
            }
        }
        return rows.length === 0 ? undefined : rows;
    }

    /** Adds what a peer measured at engines that this member coordinates. */
    addRows(rows: readonly protocol.EngineSpeedRow[] | undefined): void {
        const now = this.parts.clock.now();
        for (const [upstream, eventMilliseconds, firstEventMilliseconds, events] of rows ?? []) {
            const service = this.parts.coordinators.tryGetService(upstream);
            if (service !== undefined && this.isOwn(upstream)) {
                const sample = { eventMilliseconds, firstEventMilliseconds, events };
                this.getEstimate(service).add(upstream, sample, this.countRequests(upstream), now);
            }
        }
    }

    /**
     * Returns the estimates of this member's engines that the requester does not know yet. Estimates that have changed
     * by less than the dead band are repeated only so often that the requester does not forget them.
     */
    createReplyRows(service: string, requester: core.InstanceId): readonly protocol.EngineSpeedRow[] | undefined {
        const now = this.parts.clock.now();
        const sent = this.sent.get(requester) ?? { sentAt: -Infinity, byEngine: new Map() };
        if (now - sent.sentAt < ReplyIntervalMilliseconds) {
            return undefined;
        }
        const rows: protocol.EngineSpeedRow[] = [];
        for (const { id } of this.parts.coordinators.getOwnEngines(service)) {
            const sample = this.estimates.get(service)?.tryGetEstimate(id, now);
            const last = sent.byEngine.get(id);
            if (sample === undefined || (last !== undefined && !isWorthSending(sample, last, now))) {
                continue;
            }
            rows.push(toRow(id, sample));
            sent.byEngine.set(id, { milliseconds: sample.eventMilliseconds, at: now });
        }
        if (rows.length === 0) {
            return undefined;
        }
        sent.sentAt = now;
        this.sent.set(requester, sent);
        return rows;
    }

    /** Takes over a coordinator's estimates of its own engines. */
    takeOverRows(rows: readonly protocol.EngineSpeedRow[] | undefined, coordinator: core.InstanceId): void {
        const now = this.parts.clock.now();
        for (const [upstream, eventMilliseconds, firstEventMilliseconds, events] of rows ?? []) {
            const service = this.parts.coordinators.tryGetService(upstream);
            if (service !== undefined && this.parts.coordinators.tryGetCoordinator(upstream) === coordinator) {
                const sample = { eventMilliseconds, firstEventMilliseconds, events };
                this.getEstimate(service).takeOver(upstream, sample, now);
            }
        }
    }

    forget(removed: readonly core.InstanceId[]): void {
        removed.forEach(member => this.sent.delete(member));
    }

    noteMeasured(meter: EngineMeter): void {
        this.measured.push(meter);
    }

    collectIfDue(now: core.MonotonicMilliseconds): void {
        if (now - this.collectedAt >= CollectIntervalMilliseconds) {
            this.collect(now);
        }
    }

    /** Adds the measured times to the estimates, without the part that is attributed to this member itself. */
    private collect(now: core.MonotonicMilliseconds): void {
        this.collectedAt = now;
        if (this.measured.length === 0) {
            return;
        }
        this.retainEngines(now);
        const { measured } = this;
        this.measured = [];
        for (const meter of measured) {
            const usual = this.getEstimate(meter.service).tryGetUsualMilliseconds(meter.upstream);
            if (meter.sums.events > 0 && usual !== undefined) {
                meter.ratio = meter.sums.eventMilliseconds / meter.sums.events / usual;
                meter.ratioAt = now;
            }
        }
        const recent = [...this.meters.values()].filter(meter => now - meter.ratioAt <= RatioExpiryMilliseconds);
        for (const meter of measured) {
            this.collectMeter(meter, decisions.getSenderFactor(recent, meter.upstream), now);
        }
    }

    private collectMeter(meter: EngineMeter, factor: number, now: core.MonotonicMilliseconds): void {
        const { upstream, sums, pending } = meter;
        const isOwn = this.isOwn(upstream);
        const requests = isOwn ? this.countRequests(upstream) : undefined;
        this.getEstimate(meter.service).add(upstream, sums.toSample(factor), requests, now);
        if (isOwn) {
            pending.scale(0);
            if (!meter.isOwnReported) {
                meter.isOwnReported = true;
                this.parts.onOwnEngine(upstream);
            }
        }
        else {
            const sample = sums.toSample(factor);
            const change = sample.eventMilliseconds / pending.toSample().eventMilliseconds;
            // Times from before a change would hide it.
            const hasChanged = change > SuddenChange || (change > 0 && change < 1 / SuddenChange);
            pending.scale(hasChanged ? 0 : PendingDecay);
            pending.add(sums, factor);
            const isSlow = sums.events > 0 && meter.ratio / factor > SlowdownToReport;
            if (isSlow && now - meter.reportedAt >= ReportIntervalMilliseconds) {
                meter.reportedAt = now;
                this.parts.onSlowdown(upstream);
            }
        }
        sums.scale(0);
    }

    /** Forgets engines that are no longer usable. */
    private retainEngines(now: core.MonotonicMilliseconds): void {
        if (now - this.retainedAt < RetainIntervalMilliseconds) {
            return;
        }
        this.retainedAt = now;
        for (const [service, estimate] of this.estimates) {
            estimate.retain(new Set(this.parts.coordinators.getEngines(service)));
        }
        for (const meter of this.meters.values()) {
            if (this.parts.coordinators.tryGetService(meter.upstream) === undefined) {
                this.meters.delete(meter.upstream);
            }
        }
    }

    private countRequests(upstream: core.UpstreamId): number {
        const { online, batch } = this.parts.slotTable.getTotal(upstream);
        return online + batch;
    }

    private isOwn(upstream: core.UpstreamId): boolean {
        return this.parts.coordinators.tryGetCoordinator(upstream) === decisions.SelfInstance;
    }

    private getEstimate(service: string): decisions.EngineSpeed {
        let estimate = this.estimates.get(service);
        if (estimate === undefined) {
            estimate = new decisions.EngineSpeed(change => {
                if (this.isOwn(change.upstream)) {
                    this.parts.onExclusion(change);
                }
            });
            estimate.retain(new Set(this.parts.coordinators.getEngines(service)));
            this.estimates.set(service, estimate);
        }
        return estimate;
    }
}

function isWorthReporting(meter: EngineMeter, sample: decisions.SpeedSample, now: core.MonotonicMilliseconds): boolean {
    if (!decisions.isUsualSpeed(sample.eventMilliseconds / Math.max(0.1, meter.sentMilliseconds))) {
        meter.changedAt = now;
    }
    return (
        now - meter.changedAt <= ChangeReportedMilliseconds || now - meter.sentAt >= UnchangedRowIntervalMilliseconds
    );
}

function isWorthSending(
    sample: decisions.SpeedSample,
    last: { readonly milliseconds: number; readonly at: core.MonotonicMilliseconds },
    now: core.MonotonicMilliseconds,
): boolean {
    return (
        now - last.at >= RepeatIntervalMilliseconds ||
        !decisions.isUsualSpeed(sample.eventMilliseconds / Math.max(0.1, last.milliseconds))
    );
}

function toRow(upstream: core.UpstreamId, sample: decisions.SpeedSample): protocol.EngineSpeedRow {
    // Whole numbers are shorter on the wire; a few milliseconds need a decimal.
    const round = (value: number): number => (value < 20 ? Math.round(value * 10) / 10 : Math.round(value));
    return [upstream, round(sample.eventMilliseconds), round(sample.firstEventMilliseconds), Math.round(sample.events)];
}
