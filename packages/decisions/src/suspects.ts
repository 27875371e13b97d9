import type * as core from "@boragedale/core";

/** How a request may be run. */
export enum SuspectVerdict {
    Usual = "Usual",
    /** It was on an upstream that died: no other suspect beside it, and on one upstream only. */
    Alone = "Alone",
    /** It was there when a second upstream died: not at all for a time. */
    Quarantined = "Quarantined",
}

export interface SuspectDecision {
    readonly verdict: SuspectVerdict;
    readonly deaths: number;
    /** For how long the quarantine lasts, in milliseconds; 0 without one. */
    readonly retryAfterMilliseconds: number;
}

/** What instances tell each other of a suspect. Merging is idempotent and doesn't depend on the order. */
export interface SuspectReport {
    readonly fingerprint: string;
    /** Deaths on each upstream. */
    readonly deathsByUpstream: Readonly<Record<core.UpstreamId, number>>;
}

interface SentRequest {
    readonly fingerprint: string;
    readonly sentAt: core.MonotonicMilliseconds;
}

interface SeenDeaths {
    count: number;
    lastAt: core.MonotonicMilliseconds;
}

interface Suspect {
    readonly deaths: Map<core.UpstreamId, SeenDeaths>;
    lastDeathAt: core.MonotonicMilliseconds;
}

/** Deaths that quarantine: one is chance, as every request that was there shares it; two, the second alone, is proof. */
const DeathsToQuarantine = 2;
/** How long a quarantine lasts, in milliseconds: callers resend for minutes, and a fix of the engine takes longer. */
const QuarantineTime = 15 * 60_000;
/** How long a suspect that never ran again is remembered, in milliseconds. */
const SuspicionTime = 10 * 60_000;

/**
 * Finds the request that crashes engines, and stops it.
 *
 * Load: a request that crashes each upstream that runs it, sent again by its caller and by our own retries. Harm
 * prevented: one such request takes the whole fleet down, an upstream each few seconds. Each request that was in flight
 * on an upstream that died is a suspect, by the fingerprint of its body, and runs again only alone: the next death then
 * has one suspect on it and proves it. Finishing clears a suspect, so that innocents get through with a short delay.
 */
export class SuspectRegistry {
    private readonly suspects = new Map<string, Suspect>();
    /** Requests in flight on each upstream, by request id. */
    private readonly inFlight = new Map<core.UpstreamId, Map<string, SentRequest>>();
    /** Suspects that run: fingerprint to upstream. */
    private readonly runningAlone = new Map<string, core.UpstreamId>();

    /**
     * `deathsToQuarantine`: where many upstreams crash at once for other reasons, a request can meet two deaths by chance
     * before a second one alone is sure; three then prove it.
     */
    constructor(private readonly deathsToQuarantine = DeathsToQuarantine) {}

    /** How a request of this fingerprint may run. */
    judge(fingerprint: string, now: core.MonotonicMilliseconds): SuspectDecision {
        const suspect = this.tryGetSuspect(fingerprint, now);
        const deaths = suspect === undefined ? 0 : countDeaths(suspect);
        if (suspect === undefined || deaths === 0) {
            return { verdict: SuspectVerdict.Usual, deaths: 0, retryAfterMilliseconds: 0 };
        }
        if (deaths < this.deathsToQuarantine) {
            return { verdict: SuspectVerdict.Alone, deaths, retryAfterMilliseconds: 0 };
        }
        const retryAfterMilliseconds = suspect.lastDeathAt + QuarantineTime - now;
        return { verdict: SuspectVerdict.Quarantined, deaths, retryAfterMilliseconds };
    }

    /**
     * Whether the request may be sent to the upstream now, by all that is known here. A suspect needs an upstream with
     * no other suspect, and must not run on a second one.
     */
    maySend(fingerprint: string, upstream: core.UpstreamId, now: core.MonotonicMilliseconds): boolean {
        switch (this.judge(fingerprint, now).verdict) {
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
        if (this.judge(fingerprint, now).verdict !== SuspectVerdict.Usual) {
            this.runningAlone.set(fingerprint, upstream);
        }
    }

    /** It ran to its end: innocent. */
    onFinished(id: string, upstream: core.UpstreamId): void {
        const fingerprint = this.forgetInFlight(id, upstream);
        if (fingerprint !== undefined) {
            this.suspects.delete(fingerprint);
        }
    }

    /** It ended in a way that proves nothing. */
    onAbandoned(id: string, upstream: core.UpstreamId): void {
        this.forgetInFlight(id, upstream);
    }

    /** The upstream died: all that was in flight there from here becomes suspect. Send the reports to the peers. */
    onUpstreamDied(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): readonly SuspectReport[] {
        const requests = this.inFlight.get(upstream);
        if (requests === undefined) {
            return [];
        }
        this.inFlight.delete(upstream);
        const sentAt = new Map([...requests.values()].map(request => [request.fingerprint, request.sentAt]));
        // A suspect that ran alone explains the death: the others beside it would be blamed without cause.
        const alone = [...sentAt.keys()].filter(fingerprint => this.runningAlone.get(fingerprint) === upstream);
        const blamed = alone.length > 0 ? alone : [...sentAt.keys()];
        for (const fingerprint of alone) {
            this.runningAlone.delete(fingerprint);
        }
        return blamed.map(fingerprint => this.blame(fingerprint, upstream, sentAt.get(fingerprint) ?? now, now));
    }

    /** Takes in what a peer told. */
    merge(report: SuspectReport, now: core.MonotonicMilliseconds): void {
        const suspect = this.getSuspect(report.fingerprint, now);
        for (const [upstream, deaths] of Object.entries(report.deathsByUpstream)) {
            if (deaths > (suspect.deaths.get(upstream)?.count ?? 0)) {
                suspect.deaths.set(upstream, { count: deaths, lastAt: now });
                suspect.lastDeathAt = now;
            }
        }
    }

    /** Forgets what is too old to matter. */
    expire(now: core.MonotonicMilliseconds): void {
        for (const fingerprint of [...this.suspects.keys()]) {
            this.tryGetSuspect(fingerprint, now);
        }
    }

    /**
     * A death that a peer told of after the request was sent is the one that ended the request here. Counted twice, a
     * single crash would quarantine every prompt that ran from two instances, innocent ones too.
     */
    private blame(
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
        const counts = [...suspect.deaths].map(([id, deaths]) => [id, deaths.count] as const);
        return { fingerprint, deathsByUpstream: Object.fromEntries(counts) };
    }

    private hasSuspect(upstream: core.UpstreamId): boolean {
        return [...this.runningAlone.values()].includes(upstream);
    }

    private forgetInFlight(id: string, upstream: core.UpstreamId): string | undefined {
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
        const life = countDeaths(suspect) >= this.deathsToQuarantine ? QuarantineTime : SuspicionTime;
        if (now - suspect.lastDeathAt < life) {
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

function countDeaths(suspect: Suspect): number {
    let sum = 0;
    for (const deaths of suspect.deaths.values()) {
        sum += deaths.count;
    }
    return sum;
}
