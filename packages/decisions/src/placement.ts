import * as core from "@boragedale/core";
import type * as batchGate from "./batchGate.js";
import * as breaker from "./breaker.js";
import * as estimates from "./estimates.js";
import * as prefixShares from "./prefixShares.js";
import * as rankCache from "./rankCache.js";
import * as types from "./placementTypes.js";
import * as upstreamHealth from "./upstreamHealth.js";

/** An upstream may be this far above the mean load before a prefix's request goes elsewhere. */
const BoundFactor = 1.25;
/**
 * Part of an upstream's concurrency that is let pass above it: at low load, chance alone puts one upstream a quarter
 * above the mean, and reading a prefix anew costs more than a few more streams beside it.
 */
const BoundSlack = 0.1;
/** Upstreams for a prefix, in relation to its share of the traffic: a hot one needs room to be spread over. */
const ReplicaFactor = 1.5;
/** One request in so many may probe a slow upstream: 0.2% stays out of the p99 even if every probe is slow. */
const RequestsPerProbe = 500;
/** What others tell of an upstream's load is used for so long, in milliseconds: twice the time between two reports. */
const HintLife = 1_000;
/** Requests that may queue in the engine: some, so that a place that gets free is taken within the step. */
const EngineQueueAllowed = 2;
/** When to come back if nothing better is known, in milliseconds; about a short answer's time. */
const DefaultRetryAfter = 250;

/** What this instance knows of the load of one upstream. */
class LoadRecord {
    readonly breaker: breaker.Breaker;
    /** Requests of each class that this instance has there. */
    online = 0;
    batch = 0;
    /** Online requests of other instances, as of `hintedAt`. */
    others = 0;
    hintedAt: core.MonotonicMilliseconds = -Infinity;
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
 * Load: prompts that share prefixes, one of them perhaps half of the traffic; upstreams that differ in speed; 3 to 400
 * instances that each see a part. Harm prevented: by load alone every prompt is prefilled anew; by prefix alone the hot
 * prefix overruns one upstream; by load reports alone all instances run after the same stale minimum.
 *
 * So: the prefix ranks the upstreams by rendezvous; a prefix with a share of the traffic gets as many of the first
 * ranks as the share needs (each instance works out the same ones); within these the least loaded wins; and none may
 * be more than a quarter above the mean. The base of the load is what this instance has in flight, which is never
 * stale; totals told by the homes are added while fresh, and engines' reports only count where they show a queue.
 */
export class Placement {
    private readonly records = new Map<core.UpstreamId, LoadRecord>();
    private readonly sent = new Map<string, SentRequest>();
    private readonly health = new upstreamHealth.UpstreamHealth();
    private readonly shares = new prefixShares.PrefixShares();
    private readonly ranks = new rankCache.RankCache();
    private requestsSinceProbe = 0;
    private sharing = 1;

    constructor(private readonly settings: types.PlacementSettings) {}

    /** How many instances send to each upstream: the fleet's size times the part of the upstreams that each uses. */
    setSharing(instances: number): void {
        this.sharing = Math.max(1, instances);
    }

    choose(
        request: types.PlacementRequest,
        candidates: readonly types.PlacementCandidate[],
        now: core.MonotonicMilliseconds,
    ): types.PlacementDecision {
        const eligible = candidates.filter(candidate => types.isEligible(candidate, request));
        const usable = eligible.filter(candidate => this.isUsable(candidate, request, now));
        const quick = usable.filter(candidate => this.isQuick(candidate, now));
        const probe = this.tryChooseProbe(usable, quick);
        if (probe !== undefined) {
            return { kind: types.PlacementKind.Placed, upstream: probe.id };
        }
        const chosen = this.tryChooseByPrefix(request, candidates, quick.length > 0 ? quick : usable, now);
        return chosen === undefined
            ? { kind: types.PlacementKind.None, retryAfterMilliseconds: this.getRetryAfter(eligible, now) }
            : { kind: types.PlacementKind.Placed, upstream: chosen.id };
    }

    /** Online requests that this instance may have in flight for a model: the limit of its admission queue. */
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
        const quick = available.filter(
            candidate => this.health.getState(candidate.id) !== upstreamHealth.SpeedState.Slow,
        );
        // Where all are slow they are what there is, as in `choose`. A capacity of 0 would let nothing in, and without
        // requests none of them could ever show that it is quick again.
        return (quick.length > 0 ? quick : available).reduce((sum, candidate) => {
            const room = Math.max(0, this.getRoom(candidate, now));
            return sum + this.getOnlineInFlight(candidate.id) + room;
        }, 0);
    }

    /**
     * Whether an upstream that is likely to have the request's prefix cached has room. For choosing among requests that
     * wait: see `AdmissionQueue.take`.
     */
    isLocal(
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

    /** Some tokens came, `milliseconds` after the ones before; call it every so many tokens, not at each. */
    onProgress(id: string, tokens: number, milliseconds: number, now: core.MonotonicMilliseconds): void {
        const sent = this.sent.get(id);
        if (sent !== undefined) {
            this.health.onProgress(sent.upstream, tokens, milliseconds, now);
        }
    }

    onFinished(id: string): void {
        const sent = this.forgetSent(id);
        if (sent !== undefined) {
            this.getRecord(sent.upstream).breaker.onSuccess();
        }
    }

    onFailed(id: string, failure: types.SendFailure, now: core.MonotonicMilliseconds): void {
        const sent = this.forgetSent(id);
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
     * The upstream's home told how many online requests all instances have there, and the shortest time between two
     * tokens that anybody saw there in the last second, in milliseconds.
     */
    onOnlineTotal(
        upstream: core.UpstreamId,
        inFlight: number,
        now: core.MonotonicMilliseconds,
        fastestGap?: number,
    ): void {
        const record = this.getRecord(upstream);
        record.others = Math.max(0, inFlight - record.online);
        record.hintedAt = now;
        if (fastestGap !== undefined) {
            this.health.onGapTold(upstream, fastestGap, now);
        }
    }

    /** What this instance tells the upstream's home. */
    createPressure(
        instance: core.InstanceId,
        upstream: core.UpstreamId,
        now: core.MonotonicMilliseconds,
    ): batchGate.OnlinePressure {
        return {
            instance,
            inFlight: this.getOnlineInFlight(upstream),
            queued: 0,
            fastestGap: this.health.getFreshGap(upstream, now),
        };
    }

    /** The engine's own report; a hint, since it lags and counts batch work that gives way. */
    onLoadReport(
        upstream: core.UpstreamId,
        report: { readonly waiting: number; readonly ageMilliseconds: number },
        now: core.MonotonicMilliseconds,
    ): void {
        const record = this.getRecord(upstream);
        record.waiting = report.waiting;
        record.reportedAt = now - report.ageMilliseconds;
    }

    /** Online requests that this instance has on the upstream: what it tells the home. */
    getOnlineInFlight(upstream: core.UpstreamId): number {
        return this.records.get(upstream)?.online ?? 0;
    }

    getSpeedState(upstream: core.UpstreamId): upstreamHealth.SpeedState {
        return this.health.getState(upstream);
    }

    /** Forgets upstreams that the release note no longer lists, once nothing runs there. */
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
        // Ranks are taken over all candidates: an upstream that rests must not move everybody else's prefixes.
        const ranked = this.ranks
            .get(`${request.model}/${request.prefixHash}`, candidates)
            .map(id => byId.get(id))
            .filter(candidate => candidate !== undefined);
        const replicas = getReplicaCount(share, candidates.length);
        const mean = estimates.getMean([...loads.values()]);
        const loadOf = (candidate: types.PlacementCandidate): number => loads.get(candidate.id) ?? 0;
        const isWithinBound = (candidate: types.PlacementCandidate): boolean =>
            loadOf(candidate) <= BoundFactor * mean + Math.max(2, BoundSlack * candidate.concurrency);
        const preferred = estimates.getLeast(ranked.slice(0, replicas), loadOf);
        if (preferred !== undefined && isWithinBound(preferred)) {
            return preferred;
        }
        return ranked.slice(replicas).find(isWithinBound) ?? estimates.getLeast(ranked, loadOf);
    }

    /**
     * Online requests on each upstream: our own, and the other instances' as the homes told. Where no fresh total is
     * known the mean of the others stands in: zero would make the least known upstream look the idlest.
     */
    private getLoads(
        usable: readonly types.PlacementCandidate[],
        now: core.MonotonicMilliseconds,
    ): ReadonlyMap<core.UpstreamId, number> {
        const known = usable.filter(candidate => this.isHintFresh(candidate, now));
        const sum = known.reduce((total, candidate) => total + this.getRecord(candidate.id).others, 0);
        const usual = known.length === 0 ? 0 : sum / known.length;
        return new Map(
            usable.map(candidate => {
                const record = this.getRecord(candidate.id);
                const others = this.isHintFresh(candidate, now) ? record.others : usual;
                return [candidate.id, record.online + others];
            }),
        );
    }

    private isHintFresh(candidate: types.PlacementCandidate, now: core.MonotonicMilliseconds): boolean {
        return now - this.getRecord(candidate.id).hintedAt <= HintLife;
    }

    private isUsable(
        candidate: types.PlacementCandidate,
        request: types.PlacementRequest,
        now: core.MonotonicMilliseconds,
    ): boolean {
        if (!this.getRecord(candidate.id).breaker.isAvailable(now)) {
            return false;
        }
        // Batch has its limit from the upstream's home, and never takes a place of online work here.
        return request.requestClass === core.RequestClass.Batch || this.hasRoom(candidate, now);
    }

    private hasRoom(candidate: types.PlacementCandidate, now: core.MonotonicMilliseconds): boolean {
        return this.getRoom(candidate, now) > 0;
    }

    /**
     * Online requests that may be added. An instance always has its even part of the upstream's places; beyond it
     * those that the others leave free, as far as the home's total is fresh. Without totals the bound is the even part
     * and its square root, by which the instances' numbers differ by chance: less leaves places empty while requests
     * queue here, more lets a queue build up in the engine, where it is first come first served.
     */
    private getRoom(candidate: types.PlacementCandidate, now: core.MonotonicMilliseconds): number {
        const record = this.getRecord(candidate.id);
        const evenPart = this.getEvenPart(candidate);
        const ownRoom = evenPart - record.online;
        if (record.waiting > EngineQueueAllowed && now - record.reportedAt < HintLife) {
            return ownRoom;
        }
        if (this.isHintFresh(candidate, now)) {
            const free = candidate.concurrency + EngineQueueAllowed - record.others - record.online;
            return Math.max(ownRoom, Math.min(free, candidate.concurrency - record.online));
        }
        return Math.min(candidate.concurrency, evenPart + Math.ceil(Math.sqrt(evenPart))) - record.online;
    }

    private getEvenPart(candidate: types.PlacementCandidate): number {
        return Math.max(1, Math.round(candidate.concurrency / this.sharing));
    }

    private isQuick(candidate: types.PlacementCandidate, now: core.MonotonicMilliseconds): boolean {
        const share = this.health.getShare(candidate.id, now);
        return share >= 1 || (share > 0 && this.settings.random() < share);
    }

    private tryChooseProbe(
        usable: readonly types.PlacementCandidate[],
        quick: readonly types.PlacementCandidate[],
    ): types.PlacementCandidate | undefined {
        this.requestsSinceProbe++;
        if (quick.length === usable.length || this.requestsSinceProbe < RequestsPerProbe) {
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
        const rests = eligible
            .map(candidate => this.getRecord(candidate.id).breaker.getRemainingRest(now))
            .filter(rest => rest > 0);
        const shortest = rests.length > 0 ? Math.min(...rests) : DefaultRetryAfter;
        return Math.round(Math.max(DefaultRetryAfter, shortest) * (1 + this.settings.random()));
    }

    private forgetSent(id: string): SentRequest | undefined {
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
