import type * as core from "@boragedale/core";

/**
 * The candidate with the highest hash of itself and the duty. When a candidate comes or goes, only the duties that it
 * gains or held move; all others stay where they are.
 */
export function tryChooseHolder(candidates: readonly core.InstanceId[], duty: string): core.InstanceId | undefined {
    return rankHolders(candidates, duty)[0];
}

/** All candidates, the holder first, then those that would hold the duty in its absence. */
export function rankHolders(candidates: readonly core.InstanceId[], duty: string): readonly core.InstanceId[] {
    return candidates
        .map(candidate => ({ candidate, weight: hashText(`${duty}\u0000${candidate}`) }))
        .sort((left, right) => right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1))
        .map(ranked => ranked.candidate);
}

/** FNV-1a with a final mix: names that differ in their last letter only must not sort alike. */
function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
