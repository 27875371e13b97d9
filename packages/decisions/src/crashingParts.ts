import type * as core from "@boragedale/core";
import type * as partsInProgress from "./partsInProgress.js";

/** An upstream that crashed, and the prompt parts that one instance had in progress there. */
export interface UpstreamCrash {
    /** Identifies the run of the upstream; instances that notice the same crash report the same value. */
    readonly upstream: string;
    readonly parts: readonly partsInProgress.PartInProgress[];
}

/** A part that is no longer sent to upstreams. */
export interface QuarantinedPart {
    readonly part: string;
    readonly remainingMilliseconds: number;
}

interface KnownCrash {
    readonly at: core.MonotonicMilliseconds;
    /** By part: its position, and the requests in progress that had it. */
    readonly parts: Map<string, { readonly position: number; readonly fingerprints: Set<string> }>;
}

interface Quarantine {
    until: core.MonotonicMilliseconds;
    /** Until this time a single further crash renews the quarantine. */
    readonly forgottenAt: core.MonotonicMilliseconds;
}

/** The crashes that a part was in progress at since it was last answered. */
interface Evidence {
    readonly part: string;
    readonly position: number;
    readonly crashes: number;
}

/** Crashes that prove a part guilty: the requests beside a guilty one share some of them by coincidence. */
const MinimumCrashes = 3;
/** Different requests among them: a single request that crashes upstreams says nothing about the parts that it shares. */
const MinimumRequests = 2;
/** Share of all crashes since its first one that a part must be in progress at: upstreams also crash for other reasons. */
const MinimumShare = 1 / 3;
/**
 * Crashes of a part that was answered before count once in this time. When all upstreams crash at the same moment, parts of
 * many requests are in progress at several of them.
 */
const SimultaneousMilliseconds = 300;
/** How long crashes and answers are remembered. */
const MemoryMilliseconds = 10 * 60_000;
const MaximumCrashes = 500;
const MaximumAnsweredParts = 20_000;
/** How long a part is quarantined. Callers resend for minutes, and replacing the upstreams' software takes longer. */
export const PartQuarantineMilliseconds = 10 * 60_000;

/**
 * Finds the part of a prompt that crashes each upstream that begins to answer it, and stops the requests that have it.
 *
 * The load is one kind of request, sent by many callers and never twice the same, among many sound requests that share all
 * its other parts. Each attempt takes down an upstream with the answers of up to a dozen others, so a few requests a
 * second take down a whole service. What tells the guilty part from the others is that it is in progress at crash after crash and
 * never answered in between: a sound part that is used often is answered somewhere within milliseconds, and one that is used
 * rarely isn't at three crashes of different requests. Of several such parts, the one in progress at most crashes is
 * chosen, and of these the one with the highest position, which the fewest requests share. Pure: time is passed in.
 */
export class CrashingPartDetector {
    private readonly crashes = new Map<string, KnownCrash>();
    private readonly answeredAt = new Map<string, core.MonotonicMilliseconds>();
    /** Parts in progress at a remembered crash that have not been answered since. */
    private readonly suspected = new Set<string>();
    private readonly quarantines = new Map<string, Quarantine>();

    /** Whether any part is quarantined, as a quick check. */
    hasQuarantines(): boolean {
        return this.quarantines.size > 0;
    }

    /** The first of the parts that is quarantined. */
    tryGetQuarantined(parts: readonly string[], now: core.MonotonicMilliseconds): QuarantinedPart | undefined {
        if (this.quarantines.size === 0) {
            return undefined;
        }
        for (const part of parts) {
            const remainingMilliseconds = (this.quarantines.get(part)?.until ?? now) - now;
            if (remainingMilliseconds > 0) {
                return { part, remainingMilliseconds };
            }
        }
        return undefined;
    }

    /** All quarantined parts, for an instance that doesn't know them. */
    listQuarantined(now: core.MonotonicMilliseconds): readonly QuarantinedPart[] {
        const all = [...this.quarantines].map(([part, { until }]) => ({ part, remainingMilliseconds: until - now }));
        return all.filter(({ remainingMilliseconds }) => remainingMilliseconds > 0);
    }

    /** Records a crash, here or at another instance. Returns the part that it proves guilty, if any. */
    recordCrash(crash: UpstreamCrash, now: core.MonotonicMilliseconds): QuarantinedPart | undefined {
        this.forget(now);
        const known = this.addCrash(crash, now);
        if ([...known.parts.keys()].some(part => this.isQuarantined(part, now))) {
            return undefined;
        }
        const guilty = [...known.parts.keys()]
            .flatMap(part => this.tryProve(part, now) ?? [])
            .sort((left, right) => right.crashes - left.crashes || right.position - left.position)[0];
        if (guilty === undefined) {
            return undefined;
        }
        this.quarantine(guilty.part, PartQuarantineMilliseconds, now);
        return { part: guilty.part, remainingMilliseconds: PartQuarantineMilliseconds };
    }

    /**
     * Records that a request with these parts was answered beyond the beginning, here or at another instance. Returns the
     * parts that this clears of suspicion, which other instances should know.
     */
    recordAnswered(parts: readonly string[], now: core.MonotonicMilliseconds): readonly string[] {
        const cleared = parts.filter(part => this.suspected.delete(part) || this.quarantines.has(part));
        for (const part of parts) {
            this.quarantines.delete(part);
            // Entries are in the order of their times, because a repeated one moves to the end.
            this.answeredAt.delete(part);
            this.answeredAt.set(part, now);
        }
        if (this.answeredAt.size > MaximumAnsweredParts) {
            this.forget(now);
        }
        return cleared;
    }

    /** Quarantines a part that another instance has proved guilty. */
    quarantine(part: string, milliseconds: number, now: core.MonotonicMilliseconds): void {
        const until = Math.max(now + milliseconds, this.quarantines.get(part)?.until ?? -Infinity);
        this.quarantines.set(part, { until, forgottenAt: until + PartQuarantineMilliseconds });
    }

    /** Ends a quarantine early. The next crash renews it. */
    endQuarantine(part: string, now: core.MonotonicMilliseconds): void {
        const quarantine = this.quarantines.get(part);
        if (quarantine !== undefined) {
            quarantine.until = Math.min(quarantine.until, now);
        }
    }

    private isQuarantined(part: string, now: core.MonotonicMilliseconds): boolean {
        return (this.quarantines.get(part)?.until ?? -Infinity) > now;
    }

    private addCrash({ upstream, parts }: UpstreamCrash, now: core.MonotonicMilliseconds): KnownCrash {
        const known = this.crashes.get(upstream) ?? { at: now, parts: new Map<string, never>() };
        this.crashes.set(upstream, known);
        for (const { part, position, fingerprint } of parts) {
            const entry = known.parts.get(part) ?? { position, fingerprints: new Set<string>() };
            entry.fingerprints.add(fingerprint);
            known.parts.set(part, entry);
            if ((this.answeredAt.get(part) ?? -Infinity) <= known.at) {
                this.suspected.add(part);
            }
        }
        return known;
    }

    private tryProve(part: string, now: core.MonotonicMilliseconds): Evidence | undefined {
        const answeredAt = this.answeredAt.get(part) ?? -Infinity;
        const concerned = [...this.crashes.values()].filter(crash => crash.at > answeredAt && crash.parts.has(part));
        const firstAt = Math.min(...concerned.map(crash => crash.at));
        const entries = concerned.flatMap(crash => crash.parts.get(part) ?? []);
        const requests = new Set(entries.flatMap(({ fingerprints }) => [...fingerprints]));
        const total = [...this.crashes.values()].filter(crash => crash.at >= firstAt).length;
        const isKnownOffender = (this.quarantines.get(part)?.forgottenAt ?? -Infinity) > now;
        const counted = answeredAt === -Infinity ? concerned.length : countMoments(concerned);
        const isProved =
            counted >= MinimumCrashes && requests.size >= MinimumRequests && concerned.length >= total * MinimumShare;
        return concerned.length > 0 && (isProved || isKnownOffender)
            ? { part, position: entries[0]?.position ?? 0, crashes: concerned.length }
            : undefined;
    }

    private forget(now: core.MonotonicMilliseconds): void {
        for (const [upstream, { at }] of this.crashes) {
            if (now - at < MemoryMilliseconds && this.crashes.size <= MaximumCrashes) {
                break;
            }
            this.crashes.delete(upstream);
        }
        if (this.crashes.size === 0) {
            this.suspected.clear();
        }
        for (const [part, at] of this.answeredAt) {
            if (now - at < MemoryMilliseconds && this.answeredAt.size <= MaximumAnsweredParts) {
                break;
            }
            this.answeredAt.delete(part);
        }
        this.quarantines.forEach(({ forgottenAt }, part) => {
            if (forgottenAt <= now) {
                this.quarantines.delete(part);
            }
        });
    }
}

/** The number of moments at which the crashes, in the order of their times, occurred. */
function countMoments(crashes: readonly KnownCrash[]): number {
    let moments = 0;
    let momentAt = -Infinity;
    for (const { at } of crashes) {
        if (at - momentAt >= SimultaneousMilliseconds) {
            moments++;
            momentAt = at;
        }
    }
    return moments;
}
