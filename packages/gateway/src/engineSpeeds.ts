import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as protocol from "@boragedale/protocol";
import * as engineMeter from "./engineMeter.js";
import type * as coordinatorDirectory from "./homeDirectory.js";

/** Interval at which measured times are added up to the estimates. Streams have an event each 40 to 60 ms. */
const CollectIntervalMilliseconds = 100;
/** Age up to which a mean at another engine shows whether this sender itself is slow. */
const RatioExpiryMilliseconds = 200;
/** Factor by which uncollected times for a notice lose weight at each collection, so that a late notice reports recent times. */
const PendingDecay = 0.8;
/** Factor between two times per event above which the engine, and not only its load, has changed. */
const SuddenChange = 1.5;
/** A time that has changed by more than this is reported with the next notice or reply. */
const ReportedChange = 1.25;
/** Shortest interval between two rows about an engine whose time has not changed but is unusual for that engine. */
const UnusualRowIntervalMilliseconds = 1_000;
/**
 * The same if it is usual: the first interval, and the longest one after each row has doubled it. A new coordinator
 * learns from the first rows; later it has times of its own, and a row nearly doubles the size of a notice.
 */
const FirstRowIntervalMilliseconds = 1_000;
const LongestRowIntervalMilliseconds = 8_000;
/** Shortest interval between two replies with speeds to the same requester, unless an engine is excluded or returns. */
const ReplyIntervalMilliseconds = 1_000;
/** Interval at which unchanged speeds are repeated, before the requester's estimate has decayed by half. */
const RepeatIntervalMilliseconds = 5_000;
/** How long it is known whether all engines of a service are of usual speed, and how fast a coordinator's are. */
const SpreadExpiryMilliseconds = 250;
/** Interval at which the engines of each service are listed again. */
const RetainIntervalMilliseconds = 1_000;

export interface EngineSpeedSharingParts {
    readonly clock: core.Clock;
    readonly slotTable: decisions.SlotTable;
    readonly coordinators: coordinatorDirectory.CoordinatorDirectory;
    /** Called if an engine that this member coordinates is excluded or returns. */
    readonly onExclusion: (change: decisions.ExclusionChange) => void;
    /** Called once for each engine that this member coordinates and whose speed it has measured. */
    readonly onOwnEngine: (upstream: core.UpstreamId) => void;
}

/** What a requester was last told. */
interface SentSpeeds {
    sentAt: core.MonotonicMilliseconds;
    /** Exclusions and returns that were considered. */
    exclusionChanges: number;
    readonly byEngine: Map<core.UpstreamId, SentSpeed>;
}

interface SentSpeed {
    readonly milliseconds: number;
    readonly at: core.MonotonicMilliseconds;
    readonly standing: decisions.EngineStanding;
}

/** Whether all engines of a service are of usual speed. */
interface Spread {
    readonly isUniform: boolean;
    readonly until: core.MonotonicMilliseconds;
}

/**
 * Measures the speeds of engines on the streams that this member relays, exchanges them with the engines' coordinators
 * in messages that are sent anyway, and adds them to the candidates for a request.
 *
 * One member sees an engine too rarely to notice that it has become slow for half a second. The engine's coordinator
 * receives the times of all members that use it, and returns its estimate with the slots that it grants.
 */
export class EngineSpeedSharing {
    private readonly meters = new Map<core.UpstreamId, engineMeter.EngineMeter>();
    private readonly estimates = new Map<string, decisions.EngineSpeed>();
    private readonly sent = new Map<core.InstanceId, SentSpeeds>();
    private readonly coordinatorSpeeds = new Map<core.InstanceId, number>();
    private coordinatorSpeedsAt: core.MonotonicMilliseconds = -Infinity;
    private readonly spreads = new Map<string, Spread>();
    /** Meters with times that the engine's coordinator should know. */
    private readonly reportable = new Set<engineMeter.EngineMeter>();
    private measured: engineMeter.EngineMeter[] = [];
    /** Meters whose ratios may show that this member itself is slow. */
    private recent: readonly engineMeter.EngineMeter[] = [];
    /** Exclusions and returns of this member's engines so far. */
    private exclusionChanges = 0;
    private collectedAt: core.MonotonicMilliseconds = -Infinity;
    private retainedAt: core.MonotonicMilliseconds = -Infinity;

    constructor(private readonly parts: EngineSpeedSharingParts) {}

    /** Starts measuring a stream of an engine. Returns undefined for an upstream that is not an engine. */
    startStream(upstream: core.UpstreamId, service: string): engineMeter.StreamMeter | undefined {
        if (!this.parts.coordinators.isEngineService(service)) {
            return undefined;
        }
        let meter = this.meters.get(upstream);
        if (meter === undefined) {
            meter = new engineMeter.EngineMeter(upstream, service);
            this.meters.set(upstream, meter);
        }
        return new engineMeter.StreamMeter(this, meter, this.parts.clock.now());
    }

    /** Adds the known speeds to candidates. Candidates of usual speed stay as they are. */
    annotate<T extends decisions.SlotCandidate>(service: string, candidates: readonly T[]): readonly T[] {
        const now = this.parts.clock.now();
        if (this.isUniform(service, now)) {
            return candidates;
        }
        const estimate = this.getEstimate(service);
        return candidates.map(candidate => {
            const standing = estimate.getStanding(candidate.id, now);
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
        if (now - this.coordinatorSpeedsAt >= SpreadExpiryMilliseconds) {
            this.coordinatorSpeedsAt = now;
            this.coordinatorSpeeds.clear();
        }
        const known = this.coordinatorSpeeds.get(coordinator) ?? this.computeCoordinatorSpeed(coordinator);
        this.coordinatorSpeeds.set(coordinator, known);
        return known;
    }

    /** Whether any service has engines of unusual speed. */
    hasUnevenEngines(): boolean {
        const now = this.parts.clock.now();
        for (const service of this.estimates.keys()) {
            if (!this.isUniform(service, now)) {
                return true;
            }
        }
        return false;
    }

    /** Whether all engines of a service have the usual standing, as far as is known. Then there is nothing to consider or to send. */
    private isUniform(service: string, now: core.MonotonicMilliseconds): boolean {
        const spread = this.spreads.get(service);
        if (spread !== undefined && now < spread.until) {
            return spread.isUniform;
        }
        const own = this.parts.coordinators.getOwnEngines(service).map(entry => entry.id);
        const isUniform = this.estimates.get(service)?.isUniform(own, now) ?? true;
        this.spreads.set(service, { isUniform, until: now + SpreadExpiryMilliseconds });
        return isUniform;
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
        this.collectIfDue(now);
        const rows: protocol.EngineSpeedRow[] = [];
        for (const meter of this.reportable) {
            if (this.parts.coordinators.tryGetCoordinator(meter.upstream) === coordinator) {
                const sample = meter.pending.toSample();
                rows.push(toRow(meter.upstream, sample));
                meter.pending.scale(0);
                meter.sentMilliseconds = sample.eventMilliseconds;
                meter.sentAt = now;
                meter.rowIntervalMilliseconds = Math.min(
                    LongestRowIntervalMilliseconds,
                    Math.max(FirstRowIntervalMilliseconds, meter.rowIntervalMilliseconds * 2),
                );
                this.reportable.delete(meter);
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
     * Returns the estimates of this member's engines that the requester does not know yet. Unchanged ones are repeated
     * only so often that the requester does not forget them, and those of engines of usual speed are left out.
     */
    createReplyRows(service: string, requester: core.InstanceId): readonly protocol.EngineSpeedRow[] | undefined {
        const now = this.parts.clock.now();
        const known = this.sent.get(requester);
        if (known === undefined && this.isUniform(service, now)) {
            return undefined;
        }
        const estimate = this.estimates.get(service);
        const sent = known ?? {
            sentAt: -Infinity,
            exclusionChanges: 0,
            byEngine: new Map<core.UpstreamId, SentSpeed>(),
        };
        const isDue = now - sent.sentAt >= ReplyIntervalMilliseconds;
        if (!isDue && sent.exclusionChanges === this.exclusionChanges) {
            return undefined;
        }
        sent.exclusionChanges = this.exclusionChanges;
        const rows: protocol.EngineSpeedRow[] = [];
        for (const { id } of estimate === undefined ? [] : this.parts.coordinators.getOwnEngines(service)) {
            const standing = estimate?.getStanding(id, now) ?? decisions.UsualStanding;
            const last = sent.byEngine.get(id);
            if (!isDue && standing.isExcluded === (last?.standing.isExcluded ?? false)) {
                continue;
            }
            const sample = estimate?.tryGetEstimate(id, now);
            if (sample !== undefined && isWorthSending(sample, standing, last, now)) {
                rows.push(toRow(id, sample));
                sent.byEngine.set(id, { milliseconds: sample.eventMilliseconds, at: now, standing });
            }
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
                this.spreads.delete(service);
            }
        }
    }

    forget(removed: readonly core.InstanceId[]): void {
        removed.forEach(member => this.sent.delete(member));
    }

    noteMeasured(meter: engineMeter.EngineMeter): void {
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
        const mayBeRecent = [...new Set([...this.recent, ...measured])];
        this.recent = mayBeRecent.filter(meter => now - meter.ratioAt <= RatioExpiryMilliseconds);
        const isUsual = decisions.isSenderUsual(this.recent);
        for (const meter of measured) {
            this.collectMeter(meter, isUsual ? 1 : decisions.getSenderFactor(this.recent, meter.upstream), now);
        }
    }

    private collectMeter(meter: engineMeter.EngineMeter, factor: number, now: core.MonotonicMilliseconds): void {
        const { upstream, sums, pending } = meter;
        const coordinator = this.parts.coordinators.tryGetCoordinator(upstream);
        const isOwn = coordinator === decisions.SelfInstance;
        if (meter.coordinator !== coordinator) {
            meter.coordinator = coordinator;
            this.reportable.delete(meter);
            meter.rowIntervalMilliseconds = 0;
        }
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
            if (this.isWorthReporting(meter, now)) {
                this.reportable.add(meter);
            }
            else {
                this.reportable.delete(meter);
            }
        }
        sums.scale(0);
    }

    /** Whether a notice reports what was measured at an engine of another coordinator. */
    private isWorthReporting(meter: engineMeter.EngineMeter, now: core.MonotonicMilliseconds): boolean {
        const { eventMilliseconds } = meter.pending.toSample();
        const usual = this.getEstimate(meter.service).tryGetUsualMilliseconds(meter.upstream);
        if (eventMilliseconds === 0 || usual === undefined) {
            return false;
        }
        const sinceSent = now - meter.sentAt;
        const isUnusual = hasChanged(eventMilliseconds, usual);
        if (!isUnusual && this.isUniform(meter.service, now)) {
            return false;
        }
        return (
            sinceSent >= (isUnusual ? UnusualRowIntervalMilliseconds : meter.rowIntervalMilliseconds) ||
            (isUnusual && hasChanged(eventMilliseconds, meter.sentMilliseconds))
        );
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
                this.reportable.delete(meter);
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
                this.spreads.delete(service);
                if (this.isOwn(change.upstream)) {
                    this.exclusionChanges++;
                    this.parts.onExclusion(change);
                }
            });
            estimate.retain(new Set(this.parts.coordinators.getEngines(service)));
            this.estimates.set(service, estimate);
        }
        return estimate;
    }
}

/** Whether a requester is told of an estimate, after it was told `last`. */
function isWorthSending(
    sample: decisions.SpeedSample,
    standing: decisions.EngineStanding,
    last: SentSpeed | undefined,
    now: core.MonotonicMilliseconds,
): boolean {
    const isUsual = isUsualStanding(standing);
    if (last === undefined) {
        return !isUsual;
    }
    return (
        isUsual !== isUsualStanding(last.standing) ||
        hasChanged(sample.eventMilliseconds, last.milliseconds) ||
        (!isUsual && now - last.at >= RepeatIntervalMilliseconds)
    );
}

function isUsualStanding({ relativeSpeed, isExcluded }: decisions.EngineStanding): boolean {
    return relativeSpeed === 1 && !isExcluded;
}

function hasChanged(milliseconds: number, before: number): boolean {
    return milliseconds > before * ReportedChange || milliseconds * ReportedChange < before;
}

function toRow(upstream: core.UpstreamId, sample: decisions.SpeedSample): protocol.EngineSpeedRow {
    // Whole numbers are shorter on the wire; a few milliseconds need a decimal.
    const round = (value: number): number => (value < 20 ? Math.round(value * 10) / 10 : Math.round(value));
    return [upstream, round(sample.eventMilliseconds), round(sample.firstEventMilliseconds), Math.round(sample.events)];
}
