import type * as core from "@boragedale/core";

/** How a request may be run. */
export enum SuspectVerdict {
    Usual = "Usual",
    /** It was in flight on an upstream that died: it runs on a single upstream, without another suspect beside it. */
    Alone = "Alone",
    /** It was in flight when a second upstream died: it doesn't run at all for some time. */
    Quarantined = "Quarantined",
}

export interface SuspectDecision {
    readonly verdict: SuspectVerdict;
    readonly deaths: number;
    /** Remaining time of the quarantine, in milliseconds; 0 without one. */
    readonly retryAfterMilliseconds: number;
}

/** What instances report to each other about a suspect. Merging is idempotent and doesn't depend on the order. */
export interface SuspectReport {
    readonly fingerprint: string;
    /** Number of deaths on each upstream. */
    readonly deathsByUpstream: Readonly<Record<core.UpstreamId, number>>;
}

interface SentRequest {
    readonly fingerprint: string;
    readonly sentAt: core.MonotonicMilliseconds;
}

interface DeathCount {
    count: number;
    lastAt: core.MonotonicMilliseconds;
}

interface Suspect {
    readonly deaths: Map<core.UpstreamId, DeathCount>;
    lastDeathAt: core.MonotonicMilliseconds;
}

/**
 * Deaths after which a request is quarantined: the first may be a coincidence, because every request in flight there
 * shares it; a second one, with the request running alone, is proof.
 */
const DefaultDeathsToQuarantine = 2;
/** How long a quarantine lasts: callers resend for minutes, and fixing the engine takes longer. */
const QuarantineMilliseconds = 15 * 60_000;
/** How long a suspect that hasn't run again is remembered. */
const SuspicionMilliseconds = 10 * 60_000;

/**
 * Finds the request that crashes engines and stops it.
 *
 * A request that crashes each upstream that runs it is sent again by its caller and by our own retries. Unless it is
 * stopped, one such request takes down the whole fleet, one upstream every few seconds. Each request that was in flight
 * on an upstream that died becomes a suspect, identified by the fingerprint of its body, and runs again only alone: the
 * next death then has a single suspect and proves its fault. A suspect that finishes is cleared, so that requests which
 * didn't cause the crash succeed after a short delay.
 */
export class SuspectRegistry {
    private readonly suspects = new Map<string, Suspect>();
    /** Requests in flight on each upstream, by request id. */
    private readonly inFlight = new Map<core.UpstreamId, Map<string, SentRequest>>();
    /** Suspects that are running: fingerprint to upstream. */
    private readonly runningAlone = new Map<string, core.UpstreamId>();

    /**
     * `deathsToQuarantine`: if many upstreams crash at once for other reasons, a request can be in flight at two deaths
     * by coincidence, before a second death while it runs alone proves its fault; three deaths are then needed as
     * proof.
     */
    constructor(private readonly deathsToQuarantine = DefaultDeathsToQuarantine) {}

    /** Whether any request is a suspect, as a quick check. */
    hasSuspects(): boolean {
        return this.suspects.size > 0;
    }

    /** Decides how a request with this fingerprint may run. */
    getDecision(fingerprint: string, now: core.MonotonicMilliseconds): SuspectDecision {
        const suspect = this.tryGetSuspect(fingerprint, now);
        const deaths = suspect === undefined ? 0 : countDeaths(suspect);
        if (suspect === undefined || deaths === 0) {
            return { verdict: SuspectVerdict.Usual, deaths: 0, retryAfterMilliseconds: 0 };
        }
        if (deaths < this.deathsToQuarantine) {
            return { verdict: SuspectVerdict.Alone, deaths, retryAfterMilliseconds: 0 };
        }
        const retryAfterMilliseconds = suspect.lastDeathAt + QuarantineMilliseconds - now;
        return { verdict: SuspectVerdict.Quarantined, deaths, retryAfterMilliseconds };
    }

    /**
     * Whether the request may be sent to the upstream now, as far as this instance knows. A suspect needs an upstream
     * without another suspect and must not run on two upstreams.
     */
    maySend(fingerprint: string, upstream: core.UpstreamId, now: core.MonotonicMilliseconds): boolean {
        switch (this.getDecision(fingerprint, now).verdict) {
            case SuspectVerdict.Usual:
                return true;
            case SuspectVerdict.Quarantined:
                return false;
            case SuspectVerdict.Alone:
                return !this.runningAlone.has(fingerprint) && !this.hasSuspect(upstream);
        }
    }

    onSent(id: string, fingerprint: string, upstream: core.UpstreamId, now: core.MonotonicMilliseconds): void {
        let requests = this.inFlight.get(upstream);
        if (requests === undefined) {
            requests = new Map();
            this.inFlight.set(upstream, requests);
        }
        requests.set(id, { fingerprint, sentAt: now });
        if (this.getDecision(fingerprint, now).verdict !== SuspectVerdict.Usual) {
            this.runningAlone.set(fingerprint, upstream);
        }
    }

    /** The request finished, which clears it of suspicion. */
    onFinished(id: string, upstream: core.UpstreamId): void {
        const fingerprint = this.removeInFlight(id, upstream);
        if (fingerprint !== undefined) {
            this.suspects.delete(fingerprint);
        }
    }

    /** The request ended in a way that proves nothing. */
    onAbandoned(id: string, upstream: core.UpstreamId): void {
        this.removeInFlight(id, upstream);
    }

    /**
     * The upstream died: all requests that this instance had in flight there become suspects. Send the returned reports
     * to the peers.
     */
    onUpstreamDied(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): readonly SuspectReport[] {
        const requests = this.inFlight.get(upstream);
        if (requests === undefined) {
            return [];
        }
        this.inFlight.delete(upstream);
        const sentAt = new Map([...requests.values()].map(request => [request.fingerprint, request.sentAt]));
        // A suspect that ran alone explains the death: the requests beside it must not be suspected without cause.
        const alone = [...sentAt.keys()].filter(fingerprint => this.runningAlone.get(fingerprint) === upstream);
        const suspected = alone.length > 0 ? alone : [...sentAt.keys()];
        for (const fingerprint of alone) {
            this.runningAlone.delete(fingerprint);
        }
        return suspected.map(fingerprint =>
            this.recordDeath(fingerprint, upstream, sentAt.get(fingerprint) ?? now, now),
        );
    }

    /** The deaths at which the request was in flight, as reported to peers. */
    createReport(fingerprint: string): SuspectReport {
        const deaths = [...(this.suspects.get(fingerprint)?.deaths ?? [])];
        return { fingerprint, deathsByUpstream: Object.fromEntries(deaths.map(([id, { count }]) => [id, count])) };
    }

    /** The upstreams that crashed while the request was in flight. */
    listUpstreams(fingerprint: string): readonly core.UpstreamId[] {
        return [...(this.suspects.get(fingerprint)?.deaths.keys() ?? [])];
    }

    /** The request has turned out not to crash upstreams. */
    clear(fingerprint: string): void {
        this.suspects.delete(fingerprint);
    }

    /** Merges a report of a peer. */
    merge(report: SuspectReport, now: core.MonotonicMilliseconds): void {
        const suspect = this.getSuspect(report.fingerprint, now);
        for (const [upstream, deaths] of Object.entries(report.deathsByUpstream)) {
            if (deaths > (suspect.deaths.get(upstream)?.count ?? 0)) {
                suspect.deaths.set(upstream, { count: deaths, lastAt: now });
                suspect.lastDeathAt = now;
            }
        }
    }

    /** Removes expired suspects. */
    expire(now: core.MonotonicMilliseconds): void {
        for (const fingerprint of [...this.suspects.keys()]) {
            this.tryGetSuspect(fingerprint, now);
        }
    }

    /**
     * Records a death of the upstream for a request that was in flight there. If a peer reported a death after the
     * request was sent, it is the one that ended the request here. Counting it twice would quarantine every prompt that
     * ran from two instances because of a single crash, even if it didn't cause the crash.
     */
    private recordDeath(
        fingerprint: string,
        upstream: core.UpstreamId,
        sentAt: core.MonotonicMilliseconds,
        now: core.MonotonicMilliseconds,
    ): SuspectReport {
        const suspect = this.getSuspect(fingerprint, now);
        const seen = suspect.deaths.get(upstream);
        if (seen === undefined || seen.lastAt < sentAt) {
            suspect.deaths.set(upstream, { count: (seen?.count ?? 0) + 1, lastAt: now });
            suspect.lastDeathAt = now;
        }
        return this.createReport(fingerprint);
    }

    private hasSuspect(upstream: core.UpstreamId): boolean {
        return [...this.runningAlone.values()].includes(upstream);
    }

    private removeInFlight(id: string, upstream: core.UpstreamId): string | undefined {
        const requests = this.inFlight.get(upstream);
        const fingerprint = requests?.get(id)?.fingerprint;
        requests?.delete(id);
        if (fingerprint !== undefined && this.runningAlone.get(fingerprint) === upstream) {
            this.runningAlone.delete(fingerprint);
        }
        return fingerprint;
    }

    private tryGetSuspect(fingerprint: string, now: core.MonotonicMilliseconds): Suspect | undefined {
        const suspect = this.suspects.get(fingerprint);
        if (suspect === undefined) {
            return undefined;
        }
        const expiryMilliseconds =
            countDeaths(suspect) >= this.deathsToQuarantine ? QuarantineMilliseconds : SuspicionMilliseconds;
        if (now - suspect.lastDeathAt < expiryMilliseconds) {
            return suspect;
        }
        this.suspects.delete(fingerprint);
        return undefined;
    }

    private getSuspect(fingerprint: string, now: core.MonotonicMilliseconds): Suspect {
        let suspect = this.tryGetSuspect(fingerprint, now);
        if (suspect === undefined) {
            suspect = { deaths: new Map(), lastDeathAt: now };
            this.suspects.set(fingerprint, suspect);
        }
        return suspect;
    }
}

/** The deaths in a report, on all upstreams together. */
export function countReportedDeaths({ deathsByUpstream }: SuspectReport): number {
    return Object.values(deathsByUpstream).reduce((sum, count) => sum + count, 0);
}

function countDeaths(suspect: Suspect): number {
    let sum = 0;
    for (const deaths of suspect.deaths.values()) {
        sum += deaths.count;
    }
    return sum;
}
