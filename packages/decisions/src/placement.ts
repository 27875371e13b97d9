import * as core from "@boragedale/core";
import type * as batchGate from "./batchGate.js";
import * as breaker from "./breaker.js";
import * as estimates from "./estimates.js";
import * as prefixShares from "./prefixShares.js";
import * as rankCache from "./rankCache.js";
import * as types from "./placementTypes.js";
import * as upstreamHealth from "./upstreamHealth.js";

/** An upstream's load may exceed the mean by this factor before a prefix's request is sent elsewhere. */
const MaximumLoadFactor = 1.25;
/**
 * Fraction of an upstream's concurrency that is tolerated above the mean: at low load, chance alone puts one upstream a
 * quarter above the mean, and prefilling a prefix again costs more than a few more streams beside it.
 */
const LoadSlackFraction = 0.1;
/**
 * Upstreams for a prefix, relative to its share of the traffic: a frequent prefix needs spare room to be spread over.
 */
const ReplicaFactor = 1.5;
/** One request in this many may probe a slow upstream: 0.2% stays outside the p99 even if every probe is slow. */
const RequestsPerProbe = 500;
/** How long the reported load of other instances is used: twice the interval between two reports. */
const ReportExpiryMilliseconds = 1_000;
/** Requests that may queue in the engine: a few, so that a freed slot is taken within the same step. */
const MaximumEngineQueue = 2;
/** Retry time when nothing better is known: about the duration of a short answer. */
const DefaultRetryAfterMilliseconds = 250;

/** What this instance knows about the load of one upstream. */
class LoadRecord {
    readonly breaker: breaker.Breaker;
    /** Requests of each class that this instance has in flight there. */
    online = 0;
    batch = 0;
    /** Online requests of other instances, as of `totalReceivedAt`. */
    remoteOnline = 0;
    totalReceivedAt: core.MonotonicMilliseconds = -Infinity;
    waiting = 0;
    reportedAt: core.MonotonicMilliseconds = -Infinity;

    constructor(random: () => number) {
        this.breaker = new breaker.Breaker(random);
    }
}

interface SentRequest {
    readonly upstream: core.UpstreamId;
    readonly requestClass: core.RequestClass;
}

/**
 * Chooses the upstream of a request.
 *
 * Prompts share prefixes, one of which may make up half of the traffic; upstreams differ in speed; and 3 to 400
 * instances each see a part of the traffic. Placing by load alone would prefill every prompt again; placing by prefix
 * alone would overload one upstream with the most frequent prefix; placing by load reports alone would send all
 * instances to the same stale minimum.
 *
 * Therefore the prefix ranks the upstreams by rendezvous hashing. A prefix with a share of the traffic gets as many of
 * the first ranks as its share needs (every instance computes the same ones). Among these the least loaded upstream is
 * chosen, and none may be more than a quarter above the mean. The load is based on what this instance has in flight,
 * which is never stale. Totals from the coordinators are added while they are fresh, and the engines' reports count
 * only if they show a queue.
 */
export class Placement {
    private readonly records = new Map<core.UpstreamId, LoadRecord>();
    private readonly sent = new Map<string, SentRequest>();
    private readonly health = new upstreamHealth.UpstreamHealth();
    private readonly shares = new prefixShares.PrefixShares();
    private readonly ranks = new rankCache.RankCache();
    private requestsSinceProbe = 0;
    private sharingInstanceCount = 1;

    constructor(private readonly settings: types.PlacementSettings) {}

    /**
     * Sets how many instances send to each upstream: the number of instances times the fraction of the upstreams that
     * each of them uses.
     */
    setSharingInstanceCount(instances: number): void {
        this.sharingInstanceCount = Math.max(1, instances);
    }

    choose(
        request: types.PlacementRequest,
        candidates: readonly types.PlacementCandidate[],
        now: core.MonotonicMilliseconds,
    ): types.PlacementDecision {
        const eligible = candidates.filter(candidate => types.isEligible(candidate, request));
        const usable = eligible.filter(candidate => this.isUsable(candidate, request, now));
        const fast = usable.filter(candidate => this.isFast(candidate, now));
        const probe = this.tryChooseProbe(usable, fast);
        if (probe !== undefined) {
            return { kind: types.PlacementKind.Placed, upstream: probe.id };
        }
        const chosen = this.tryChooseByPrefix(request, candidates, fast.length > 0 ? fast : usable, now);
        return chosen === undefined
            ? { kind: types.PlacementKind.None, retryAfterMilliseconds: this.getRetryAfter(eligible, now) }
            : { kind: types.PlacementKind.Placed, upstream: chosen.id };
    }

    /** Online requests that this instance may have in flight for a model. Used as the limit of its admission queue. */
    getCapacity(
        model: core.ModelId,
        requestClass: core.RequestClass,
        candidates: readonly types.PlacementCandidate[],
        now: core.MonotonicMilliseconds,
    ): number {
        const request = { model, requestClass, prefixHash: "" };
        const available = candidates
            .filter(candidate => types.isEligible(candidate, request))
            .filter(candidate => this.getRecord(candidate.id).breaker.isAvailable(now));
        const fast = available.filter(
            candidate => this.health.getState(candidate.id) !== upstreamHealth.SpeedState.Slow,
        );
        // If all are slow, they are used, as in `choose`. A capacity of 0 would admit nothing, and without requests
        // none of them could ever show that it is fast again.
        return (fast.length > 0 ? fast : available).reduce((sum, candidate) => {
            const freeSlots = Math.max(0, this.getFreeSlots(candidate, now));
            return sum + this.getOnlineInFlight(candidate.id) + freeSlots;
        }, 0);
    }

    /**
     * Whether an upstream that is likely to have the request's prefix cached has a free slot. Used to choose among
     * waiting requests: see `AdmissionQueue.take`.
     */
    hasPrefixReplicaAvailable(
        request: types.PlacementRequest,
        candidates: readonly types.PlacementCandidate[],
        now: core.MonotonicMilliseconds,
    ): boolean {
        const ranked = this.ranks.get(`${request.model}/${request.prefixHash}`, candidates);
        const share = this.shares.get(request.prefixHash, now);
        const preferred = new Set(ranked.slice(0, getReplicaCount(share, candidates.length)));
        return candidates.some(
            candidate =>
                preferred.has(candidate.id) &&
                types.isEligible(candidate, request) &&
                this.isUsable(candidate, request, now) &&
                this.health.getShare(candidate.id, now) > 0,
        );
    }

    onSent(
        id: string,
        upstream: core.UpstreamId,
        requestClass: core.RequestClass,
        now: core.MonotonicMilliseconds,
    ): void {
        this.sent.set(id, { upstream, requestClass });
        const record = this.getRecord(upstream);
        record.breaker.onSent();
        if (requestClass === core.RequestClass.Online) {
            record.online++;
            this.health.onSent(upstream, id, now);
        }
        else {
            record.batch++;
        }
    }

    onFirstToken(id: string, now: core.MonotonicMilliseconds): void {
        const sent = this.sent.get(id);
        if (sent !== undefined) {
            this.health.onFirstToken(sent.upstream, id, now);
        }
    }

    /**
     * Records that tokens arrived `milliseconds` after the previous ones; call it once per several tokens, not for
     * each.
     */
    onProgress(id: string, tokens: number, milliseconds: number, now: core.MonotonicMilliseconds): void {
        const sent = this.sent.get(id);
        if (sent !== undefined) {
            this.health.onProgress(sent.upstream, tokens, milliseconds, now);
        }
    }

    onFinished(id: string): void {
        const sent = this.removeSent(id);
        if (sent !== undefined) {
            this.getRecord(sent.upstream).breaker.onSuccess();
        }
    }

    onFailed(id: string, failure: types.SendFailure, now: core.MonotonicMilliseconds): void {
        const sent = this.removeSent(id);
        if (sent === undefined) {
            return;
        }
        const upstreamBreaker = this.getRecord(sent.upstream).breaker;
        switch (failure) {
            case types.SendFailure.Died:
                upstreamBreaker.onDeath(now);
                break;
            case types.SendFailure.Failed:
            case types.SendFailure.Busy:
                upstreamBreaker.onFailure(now);
                break;
            case types.SendFailure.Abandoned:
                upstreamBreaker.onAbandoned();
                break;
        }
    }

    /**
     * Takes a report of the upstream's coordinator: the number of online requests that all instances have there, and
     * the shortest time between two tokens that any instance observed there in the last second, in milliseconds.
     */
    onOnlineTotal(
        upstream: core.UpstreamId,
        inFlight: number,
        now: core.MonotonicMilliseconds,
        fastestGap?: number,
    ): void {
        const record = this.getRecord(upstream);
        record.remoteOnline = Math.max(0, inFlight - record.online);
        record.totalReceivedAt = now;
        if (fastestGap !== undefined) {
            this.health.onGapReported(upstream, fastestGap, now);
        }
    }

    /** Creates this instance's report to the upstream's coordinator. */
    createPressure(
        instance: core.InstanceId,
        upstream: core.UpstreamId,
        now: core.MonotonicMilliseconds,
    ): batchGate.OnlinePressure {
        return {
            instance,
            inFlight: this.getOnlineInFlight(upstream),
            queued: 0,
            fastestGap: this.health.getRecentOwnGap(upstream, now),
        };
    }

    /**
     * Takes the engine's own load report. It is only a hint, because it lags and counts batch work that can be
     * cancelled.
     */
    onLoadReport(
        upstream: core.UpstreamId,
        report: { readonly waiting: number; readonly ageMilliseconds: number },
        now: core.MonotonicMilliseconds,
    ): void {
        const record = this.getRecord(upstream);
        record.waiting = report.waiting;
        record.reportedAt = now - report.ageMilliseconds;
    }

    /** Online requests that this instance has on the upstream; reported to the coordinator. */
    getOnlineInFlight(upstream: core.UpstreamId): number {
        return this.records.get(upstream)?.online ?? 0;
    }

    getSpeedState(upstream: core.UpstreamId): upstreamHealth.SpeedState {
        return this.health.getState(upstream);
    }

    /** Removes upstreams that the release note no longer lists, once nothing runs there. */
    retain(upstreams: ReadonlySet<core.UpstreamId>): void {
        this.health.retain(upstreams);
        for (const [id, record] of this.records) {
            if (!upstreams.has(id) && record.online + record.batch === 0) {
                this.records.delete(id);
            }
        }
    }

    private tryChooseByPrefix(
        request: types.PlacementRequest,
        candidates: readonly types.PlacementCandidate[],
        usable: readonly types.PlacementCandidate[],
        now: core.MonotonicMilliseconds,
    ): types.PlacementCandidate | undefined {
        const byId = new Map(usable.map(candidate => [candidate.id, candidate]));
        const loads = this.getLoads(usable, now);
        const share = this.shares.add(request.prefixHash, now);
        // All candidates are ranked: an upstream that is temporarily out of use must not move the other upstreams'
        // prefixes.
        const ranked = this.ranks
            .get(`${request.model}/${request.prefixHash}`, candidates)
            .map(id => byId.get(id))
            .filter(candidate => candidate !== undefined);
        const replicas = getReplicaCount(share, candidates.length);
        const mean = estimates.getMean([...loads.values()]);
        const loadOf = (candidate: types.PlacementCandidate): number => loads.get(candidate.id) ?? 0;
        const isWithinBound = (candidate: types.PlacementCandidate): boolean =>
            loadOf(candidate) <= MaximumLoadFactor * mean + Math.max(2, LoadSlackFraction * candidate.concurrency);
        const preferred = estimates.getMinimumBy(ranked.slice(0, replicas), loadOf);
        if (preferred !== undefined && isWithinBound(preferred)) {
            return preferred;
        }
        return ranked.slice(replicas).find(isWithinBound) ?? estimates.getMinimumBy(ranked, loadOf);
    }

    /**
     * Online requests on each upstream: those of this instance, and those of the other instances as reported by the
     * coordinators. Where no fresh total is known, the mean of the known ones is used: zero would make the least known
     * upstream look the least loaded.
     */
    private getLoads(
        usable: readonly types.PlacementCandidate[],
        now: core.MonotonicMilliseconds,
    ): ReadonlyMap<core.UpstreamId, number> {
        const known = usable.filter(candidate => this.isTotalFresh(candidate, now));
        const sum = known.reduce((total, candidate) => total + this.getRecord(candidate.id).remoteOnline, 0);
        const meanRemoteOnline = known.length === 0 ? 0 : sum / known.length;
        return new Map(
            usable.map(candidate => {
                const record = this.getRecord(candidate.id);
                const remoteOnline = this.isTotalFresh(candidate, now) ? record.remoteOnline : meanRemoteOnline;
                return [candidate.id, record.online + remoteOnline];
            }),
        );
    }

    private isTotalFresh(candidate: types.PlacementCandidate, now: core.MonotonicMilliseconds): boolean {
        return now - this.getRecord(candidate.id).totalReceivedAt <= ReportExpiryMilliseconds;
    }

    private isUsable(
        candidate: types.PlacementCandidate,
        request: types.PlacementRequest,
        now: core.MonotonicMilliseconds,
    ): boolean {
        if (!this.getRecord(candidate.id).breaker.isAvailable(now)) {
            return false;
        }
        // The upstream's coordinator limits batch work, and batch work never takes a slot from online work here.
        return request.requestClass === core.RequestClass.Batch || this.hasFreeSlot(candidate, now);
    }

    private hasFreeSlot(candidate: types.PlacementCandidate, now: core.MonotonicMilliseconds): boolean {
        return this.getFreeSlots(candidate, now) > 0;
    }

    /**
     * Online requests that may be added. An instance may always use its even share of the upstream's slots, and beyond
     * that the slots that the others leave free, while the coordinator's total is fresh. Without totals the bound is
     * the even share plus its square root, by which the instances' numbers differ by chance. A lower bound leaves slots
     * empty while requests queue here; a higher one lets a queue build up in the engine, which serves requests in order
     * of arrival.
     */
    private getFreeSlots(candidate: types.PlacementCandidate, now: core.MonotonicMilliseconds): number {
        const record = this.getRecord(candidate.id);
        const evenShare = this.getEvenShare(candidate);
        const ownFree = evenShare - record.online;
        if (record.waiting > MaximumEngineQueue && now - record.reportedAt < ReportExpiryMilliseconds) {
            return ownFree;
        }
        if (this.isTotalFresh(candidate, now)) {
            const free = candidate.concurrency + MaximumEngineQueue - record.remoteOnline - record.online;
            return Math.max(ownFree, Math.min(free, candidate.concurrency - record.online));
        }
        return Math.min(candidate.concurrency, evenShare + Math.ceil(Math.sqrt(evenShare))) - record.online;
    }

    private getEvenShare(candidate: types.PlacementCandidate): number {
        return Math.max(1, Math.round(candidate.concurrency / this.sharingInstanceCount));
    }

    private isFast(candidate: types.PlacementCandidate, now: core.MonotonicMilliseconds): boolean {
        const share = this.health.getShare(candidate.id, now);
        return share >= 1 || (share > 0 && this.settings.random() < share);
    }

    private tryChooseProbe(
        usable: readonly types.PlacementCandidate[],
        fast: readonly types.PlacementCandidate[],
    ): types.PlacementCandidate | undefined {
        this.requestsSinceProbe++;
        if (fast.length === usable.length || this.requestsSinceProbe < RequestsPerProbe) {
            return undefined;
        }
        const probe = usable.find(
            candidate =>
                this.health.getState(candidate.id) === upstreamHealth.SpeedState.Slow &&
                !this.health.isAwaiting(candidate.id),
        );
        this.requestsSinceProbe = probe === undefined ? this.requestsSinceProbe : 0;
        return probe;
    }

    private getRetryAfter(eligible: readonly types.PlacementCandidate[], now: core.MonotonicMilliseconds): number {
        const openTimes = eligible
            .map(candidate => this.getRecord(candidate.id).breaker.getRemainingOpenMilliseconds(now))
            .filter(openTime => openTime > 0);
        const shortest = openTimes.length > 0 ? Math.min(...openTimes) : DefaultRetryAfterMilliseconds;
        return Math.round(Math.max(DefaultRetryAfterMilliseconds, shortest) * (1 + this.settings.random()));
    }

    private removeSent(id: string): SentRequest | undefined {
        const sent = this.sent.get(id);
        if (sent === undefined) {
            return undefined;
        }
        this.sent.delete(id);
        const record = this.getRecord(sent.upstream);
        if (sent.requestClass === core.RequestClass.Online) {
            record.online--;
            this.health.onEnded(sent.upstream, id);
        }
        else {
            record.batch--;
        }
        return sent;
    }

    private getRecord(upstream: core.UpstreamId): LoadRecord {
        let record = this.records.get(upstream);
        if (record === undefined) {
            record = new LoadRecord(this.settings.random);
            this.records.set(upstream, record);
        }
        return record;
    }
}

function getReplicaCount(share: number, candidates: number): number {
    return Math.max(1, Math.ceil(share * candidates * ReplicaFactor));
}
