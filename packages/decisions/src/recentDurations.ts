import type * as core from "@boragedale/core";

/** Samples closer together than this are kept as one, so that those of a busy kind reach back as far as its longest. */
const GroupMilliseconds = 250;
const KeptGroups = 64;
/** One group of this many, the highest, is taken for an outlier: a single long request must not stand for all others. */
const GroupsPerOutlier = 24;
/** Kinds that are remembered. Routes are renamed over the years, and names must not accumulate. */
const MaximumKinds = 2_000;
/** What is added to the highest duration: durations vary, and the next one may be higher than all before. */
const MarginFactor = 1.1;
const MarginMilliseconds = 100;

interface Group {
    readonly startedAt: core.MonotonicMilliseconds;
    highest: number;
}

/**
 * How long requests of each kind have recently taken at most.
 *
 * A process that stops refuses what can't end in the time that is left. A request that is refused needlessly costs its
 * caller a trip to another gateway, and one that is cut off can cost its work, so the bound is a high one.
 */
export class RecentDurations {
    /** In the order of their last sample. */
    private readonly kinds = new Map<string, Group[]>();

    add(kind: string, milliseconds: number, now: core.MonotonicMilliseconds): void {
        const groups = this.kinds.get(kind) ?? [];
        this.kinds.delete(kind);
        this.kinds.set(kind, groups);
        const last = groups.at(-1);
        if (last !== undefined && now - last.startedAt < GroupMilliseconds) {
            last.highest = Math.max(last.highest, milliseconds);
            return;
        }
        groups.push({ startedAt: now, highest: milliseconds });
        if (groups.length > KeptGroups) {
            groups.shift();
        }
        if (this.kinds.size > MaximumKinds) {
            const [oldest = kind] = this.kinds.keys();
            this.kinds.delete(oldest);
        }
    }

    /**
     * The time in which nearly all requests of the kind end; undefined if none is known. `running` are the ages of those in
     * progress: where upstreams have become slow, the ended ones are the fast ones.
     */
    tryGetUpper(kind: string, running: readonly number[] = []): number | undefined {
        const ended = (this.kinds.get(kind) ?? []).map(group => group.highest);
        const outliers = Math.floor(ended.length / GroupsPerOutlier);
        const highest = ended.sort((left, right) => right - left)[outliers];
        if (highest === undefined) {
            return undefined;
        }
        const oldest = [...running].sort((left, right) => right - left)[outliers] ?? 0;
        return Math.max(highest, oldest) * MarginFactor + MarginMilliseconds;
    }
}
