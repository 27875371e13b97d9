import type * as core from "@boragedale/core";
import type * as upstreamLoad from "./upstreamLoad.js";

/** Chooses the upstream of a request among those that may serve it; undefined where none is free. */
export function choosePlace(
    candidates: readonly core.UpstreamDescription[],
    load: upstreamLoad.UpstreamLoad,
    excluded: ReadonlySet<core.UpstreamId>,
): core.UpstreamDescription | undefined {
    let best: core.UpstreamDescription | undefined;
    let bestUse = Infinity;
    for (const candidate of candidates) {
        const use = load.getTotal(candidate.id) / candidate.concurrency;
        if (use < 1 && use < bestUse && !excluded.has(candidate.id)) {
            best = candidate;
            bestUse = use;
        }
    }
    return best;
}
