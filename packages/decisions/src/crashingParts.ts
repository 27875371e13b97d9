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

/** A part that has been proved guilty, and why. */
export interface GuiltyPart extends QuarantinedPart {
    /** Crashes at which the part was in progress since it was last answered. */
    readonly crashes: number;
    /** Independent pieces of evidence among them. */
    readonly moments: number;
    /** Different requests that had the part. */
    readonly requests: number;
    /** Share of the upstreams that had the part in progress at these crashes. */
    readonly share: number;
}

/** A part at one crash. */
interface PartAtCrash {
    readonly position: number;
    /** The requests in progress that had the part. */
    readonly fingerprints: Set<string>;
    /** When the last of these requests was sent. */
    sentAt: core.MonotonicMilliseconds;
    share: number;
}

interface KnownCrash {
    readonly upstream: string;
    readonly at: core.MonotonicMilliseconds;
    readonly parts: Map<string, PartAtCrash>;
}

/** Crashes that count as one piece of evidence. */
interface Moment {
    readonly startAt: core.MonotonicMilliseconds;
    endAt: core.MonotonicMilliseconds;
    /** When the requests with the part were sent. */
    firstSentAt: core.MonotonicMilliseconds;
    lastSentAt: core.MonotonicMilliseconds;
    crashes: number;
    share: number;
}

interface Quarantine {
    until: core.MonotonicMilliseconds;
    /** Until this time a single further crash renews the quarantine. */
    readonly forgottenAt: core.MonotonicMilliseconds;
}

/** The crashes that a part was in progress at since it was last answered. */
interface Evidence extends Omit<GuiltyPart, "remainingMilliseconds"> {
    readonly position: number;
}

/**
 * Moments that prove a part guilty if few upstreams have it in progress: the requests beside a guilty one share some of its
 * crashes by coincidence.
 */
const MinimumMoments = 3;
/**
 * Limits of the chance that a crash with another cause finds a part in progress, and of the chance that all its moments are such
 * coincidences. A part that half of the upstreams have in progress needs nine moments, one that few have needs three. The
 * upper limit lets a part be found that all requests have.
 */
const MinimumChance = 0.1;
const MaximumChance = 0.5;
const MaximumCoincidence = 0.002;
/** Different requests among them: a single request that crashes upstreams says nothing about the parts that it shares. */
const MinimumRequests = 2;
/** Share of all moments of crashes since its first one that a part must be in progress at: upstreams also crash for other reasons. */
const MinimumShare = 1 / 3;
/**
 * Crashes of a part that was answered before count once in this time. When all upstreams crash at the same moment, parts of
 * many requests are in progress at several of them.
 */
const SimultaneousMilliseconds = 300;
/**
 * Time within which members report upstreams that crash together; their reports pass loaded event loops. Crashes of a part that
 * was never answered count once in this time, unless a request with it was sent after the crash before.
 */
const ReportSpreadMilliseconds = 100;
/** Time within which members report the same crash. An upstream takes longer to restart and to crash again. */
const SameCrashMilliseconds = 500;
/** Time within which all members have noticed a crash. A request that was sent later reached the restarted upstream. */
const NoticeMilliseconds = 50;
/** Upstreams that crash together for a reason of their own: a part takes down one upstream for each request. */
const UpstreamsOfCommonCause = 3;
/** Spread of the times at which requests are sent together. */
const SendSpreadMilliseconds = 20;
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
 * chosen, and of these the one with the highest position, which the fewest requests share.
 *
 * Upstreams also crash together and again and again for reasons of their own. Then parts of many requests are in progress at
 * several crashes and none is answered for seconds. So a moment at which an upstream without the part crashed too, or several upstreams
 * at once, is no evidence; and a part that many upstreams have in progress needs more moments, because it is in progress at
 * most crashes by chance. Pure: time is passed in.
 */
export class CrashingPartDetector {
    /** In the order of their times. */
    private readonly crashes: KnownCrash[] = [];
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
    recordCrash(crash: UpstreamCrash, now: core.MonotonicMilliseconds): GuiltyPart | undefined {
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
        const { part, crashes, moments, requests, share } = guilty;
        return { part, remainingMilliseconds: PartQuarantineMilliseconds, crashes, moments, requests, share };
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

    /** Ends a quarantine whose time has passed. The next crash renews it. */
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
        const ages = parts.map(({ ageMilliseconds = Infinity }) => ageMilliseconds);
        const known = this.getCrash(upstream, now - Math.min(...ages), now);
        for (const { part, position, fingerprint, ageMilliseconds = 0, share = 0 } of parts) {
            const entry = known.parts.get(part) ?? { position, fingerprints: new Set(), sentAt: -Infinity, share: 0 };
            entry.fingerprints.add(fingerprint);
            entry.sentAt = Math.max(entry.sentAt, now - ageMilliseconds);
            entry.share = Math.max(entry.share, share);
            known.parts.set(part, entry);
            if ((this.answeredAt.get(part) ?? -Infinity) <= known.at) {
                this.suspected.add(part);
            }
        }
        return known;
    }

    /** The crash that several instances report, or a later one of an upstream that restarts without a new identity. */
    private getCrash(
        upstream: string,
        lastSentAt: core.MonotonicMilliseconds,
        now: core.MonotonicMilliseconds,
    ): KnownCrash {
        const recent = this.crashes.find(
            ({ upstream: known, at }) =>
                known === upstream && now - at < SameCrashMilliseconds && lastSentAt <= at + NoticeMilliseconds,
        );
        if (recent !== undefined) {
            return recent;
        }
        const known: KnownCrash = { upstream, at: now, parts: new Map<string, PartAtCrash>() };
        this.crashes.push(known);
        return known;
    }

    private tryProve(part: string, now: core.MonotonicMilliseconds): Evidence | undefined {
        const answeredAt = this.answeredAt.get(part) ?? -Infinity;
        const since = this.crashes.filter(crash => crash.at > answeredAt);
        const concerned = since.filter(crash => crash.parts.has(part));
        const first = concerned[0];
        if (first === undefined) {
            return undefined;
        }
        const others = since.filter(crash => crash.at >= first.at && !crash.parts.has(part));
        const all = findMoments(part, concerned, answeredAt !== -Infinity);
        const moments = all.filter(moment => mayBeCausedByPart(moment, others));
        const entries = concerned.flatMap(crash => crash.parts.get(part) ?? []);
        const requests = new Set(entries.flatMap(({ fingerprints }) => [...fingerprints])).size;
        const coincidence = moments.reduce((product, moment) => product * getChance(moment), 1);
        const isProved =
            moments.length >= MinimumMoments &&
            coincidence <= MaximumCoincidence &&
            requests >= MinimumRequests &&
            all.length >= (all.length + countMoments(others)) * MinimumShare;
        const isKnownOffender = (this.quarantines.get(part)?.forgottenAt ?? -Infinity) > now;
        if (!isProved && !isKnownOffender) {
            return undefined;
        }
        const share = Math.max(...entries.map(entry => entry.share));
        const position = entries[0]?.position ?? 0;
        return { part, position, crashes: concerned.length, moments: moments.length, requests, share };
    }

    private forget(now: core.MonotonicMilliseconds): void {
        const kept = this.crashes.slice(-MaximumCrashes).filter(({ at }) => now - at < MemoryMilliseconds);
        if (kept.length < this.crashes.length) {
            this.crashes.splice(0, this.crashes.length - kept.length);
        }
        if (this.crashes.length === 0) {
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

/** The moments of the crashes, which are in the order of their times. A part that was answered before is told apart by time only. */
function findMoments(part: string, crashes: readonly KnownCrash[], wasAnswered: boolean): readonly Moment[] {
    const moments: Moment[] = [];
    const spread = wasAnswered ? SimultaneousMilliseconds : ReportSpreadMilliseconds;
    for (const { at, parts } of crashes) {
        const { sentAt, share } = parts.get(part) ?? { sentAt: -Infinity, share: 0 };
        const last = moments.at(-1);
        const isSentAfter = last !== undefined && !wasAnswered && sentAt >= last.endAt;
        if (last === undefined || isSentAfter || at - last.startAt >= spread) {
            moments.push({ startAt: at, endAt: at, firstSentAt: sentAt, lastSentAt: sentAt, crashes: 1, share });
            continue;
        }
        last.endAt = at;
        last.firstSentAt = Math.min(last.firstSentAt, sentAt);
        last.lastSentAt = Math.max(last.lastSentAt, sentAt);
        last.crashes++;
        last.share = Math.max(last.share, share);
    }
    return moments;
}

/**
 * Whether only upstreams that had the part in progress crashed at the moment, and not many of them for a common cause. A part
 * takes down upstreams at once only if its requests were sent at once, such as the items of a submission.
 */
function mayBeCausedByPart(moment: Moment, others: readonly KnownCrash[]): boolean {
    const { startAt, endAt, firstSentAt, lastSentAt, crashes } = moment;
    const isSpread = lastSentAt - firstSentAt > endAt - startAt + SendSpreadMilliseconds;
    const isCommonCause = crashes >= UpstreamsOfCommonCause && endAt - startAt <= ReportSpreadMilliseconds && isSpread;
    const isBeside = ({ at }: KnownCrash): boolean =>
        at >= startAt - ReportSpreadMilliseconds && at <= endAt + ReportSpreadMilliseconds;
    return !isCommonCause && !others.some(isBeside);
}

/** The number of moments at which the crashes, in the order of their times, occurred. */
function countMoments(crashes: readonly KnownCrash[]): number {
    let moments = 0;
    let lastAt = -Infinity;
    for (const { at } of crashes) {
        moments += at - lastAt > ReportSpreadMilliseconds ? 1 : 0;
        lastAt = at;
    }
    return moments;
}

/** The chance that crashes with another cause find the part in progress at each of the upstreams. */
function getChance({ share, crashes }: Moment): number {
    return Math.max(MinimumChance, Math.min(MaximumChance, share) ** crashes);
}
