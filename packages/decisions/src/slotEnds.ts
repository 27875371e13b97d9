import type * as core from "@boragedale/core";

/** Shortest remaining time assumed of a request, as a share of the mean: those that run longer than usual end soon. */
const MinimumRemainingShare = 0.05;

/**
 * Predicts when slots become free, from the times at which the running requests were first seen.
 *
 * At the start of a peak all slots of an engine are taken within a moment, and none is freed for almost as long as a
 * request runs. The mean rate at which slots are freed would let requests wait in vain there.
 */
export class SlotEnds {
    private readonly startsByUpstream = new Map<core.UpstreamId, core.MonotonicMilliseconds[]>();

    /** Records how many requests run on an upstream. Requests are assumed to end in the order in which they started. */
    observe(upstream: core.UpstreamId, running: number, now: core.MonotonicMilliseconds): void {
        const starts = this.startsByUpstream.get(upstream) ?? [];
        this.startsByUpstream.set(upstream, starts);
        starts.splice(0, starts.length - running);
        while (starts.length < running) {
            starts.push(now);
        }
    }

    /** Forgets the upstreams other than the given ones. */
    retain(upstreams: ReadonlySet<core.UpstreamId>): void {
        [...this.startsByUpstream.keys()]
            .filter(upstream => !upstreams.has(upstream))
            .forEach(upstream => this.startsByUpstream.delete(upstream));
    }

    /** The time until as many slots have been freed as given. `slots` are those of the upstreams, taken or not. */
    estimateWait(freed: number, slots: number, meanMilliseconds: number, now: core.MonotonicMilliseconds): number {
        const remaining = [...this.startsByUpstream.values()]
            .flat()
            .map(startedAt => Math.max(startedAt + meanMilliseconds - now, meanMilliseconds * MinimumRemainingShare));
        while (remaining.length < slots) {
            remaining.push(0);
        }
        remaining.sort((left, right) => left - right);
        const last = Math.max(0, Math.ceil(freed) - 1);
        const rounds = Math.floor(last / Math.max(1, remaining.length));
        return (remaining[last % Math.max(1, remaining.length)] ?? 0) + rounds * meanMilliseconds;
    }
}
