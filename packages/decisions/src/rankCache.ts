import type * as core from "@boragedale/core";
import * as hashing from "./hashing.js";

/** Number of prefixes whose ranks are kept: more than an engine caches. */
const Capacity = 4_096;

/**
 * Caches the rendezvous ranks of recently seen prefixes. Ranking 133 upstreams for each waiting request would take an
 * instance more time than the rest of placement. Pass the same array until the upstreams change.
 */
export class RankCache {
    private candidates: readonly { readonly id: core.UpstreamId }[] = [];
    private readonly ranks = new Map<string, readonly core.UpstreamId[]>();

    get(key: string, candidates: readonly { readonly id: core.UpstreamId }[]): readonly core.UpstreamId[] {
        if (candidates !== this.candidates && !hasSameIds(candidates, this.candidates)) {
            this.ranks.clear();
        }
        this.candidates = candidates;
        let ranked = this.ranks.get(key);
        if (ranked === undefined) {
            ranked = hashing.rankByRendezvous(
                key,
                candidates.map(candidate => candidate.id),
            );
            this.evictIfFull();
            this.ranks.set(key, ranked);
        }
        return ranked;
    }

    private evictIfFull(): void {
        if (this.ranks.size >= Capacity) {
            const oldest = this.ranks.keys().next();
            if (oldest.done !== true) {
                this.ranks.delete(oldest.value);
            }
        }
    }
}

function hasSameIds(
    left: readonly { readonly id: core.UpstreamId }[],
    right: readonly { readonly id: core.UpstreamId }[],
): boolean {
    return left.length === right.length && left.every((candidate, index) => candidate.id === right[index]?.id);
}
