import * as xxhash from "xxhash-wasm";

/**
 * Rendezvous hashing. Every instance computes the same result from the same members, without coordination. Adding or
 * removing a member moves only the keys that it wins or held.
 */

/** One more than the largest 32-bit hash. */
const HashRange = 0x1_0000_0000;

const hasher = await xxhash.default();

/** A 32-bit hash of a text, the same on every instance. */
export function hashText(text: string): number {
    return hasher.h32(text);
}

/** A 32-bit hash of bytes. */
export function hashBytes(bytes: Uint8Array): number {
    return hasher.h32Raw(bytes);
}

/** Maps a text to a number from 0 to 1, the same on every instance. */
export function hashToUnit(text: string): number {
    return hasher.h32(text) / HashRange;
}

/**
 * The members in the order in which they own the key: the next one takes over when those before it are removed. The
 * order of `members` doesn't matter.
 */
export function rankByRendezvous(key: string, members: readonly string[]): readonly string[] {
    return members
        .map(member => ({ member, score: scoreMember(key, member) }))
        .sort((left, right) => right.score - left.score || compareText(left.member, right.member))
        .map(entry => entry.member);
}

/** The member that owns the key; undefined without members. */
export function rendezvous(key: string, members: readonly string[]): string | undefined {
    let best: string | undefined;
    let bestScore = -1;
    for (const member of members) {
        const score = scoreMember(key, member);
        const wins = score > bestScore || (score === bestScore && best !== undefined && compareText(member, best) < 0);
        if (wins) {
            best = member;
            bestScore = score;
        }
    }
    return best;
}

/**
 * Chooses the upstreams to which one instance keeps connections. If every instance connected to every upstream, a large
 * fleet would need hundreds of thousands of connections. The instances' subsets overlap evenly, so that no upstream is
 * left without traffic when an instance is removed.
 */
export function chooseSubset(instance: string, upstreams: readonly string[], size: number): readonly string[] {
    return rankByRendezvous(instance, upstreams).slice(0, Math.max(0, size));
}

/**
 * With fewer upstreams than this, an instance uses all of them: a smaller subset would cost balance and save nothing.
 */
const MinimumSubsetSize = 24;

/**
 * How many upstreams an instance uses. The first bound grows with the square root of the number of upstreams (133 for
 * 1,100 upstreams), which limits the control traffic per instance. The second bound keeps at least eight instances per
 * upstream, because the share of an upstream that only two or three instances use depends on chance.
 */
export function getSubsetSize(upstreamCount: number, instanceCount: number): number {
    const bySquareRoot = Math.ceil(4 * Math.sqrt(upstreamCount));
    const byCoverage = Math.ceil((8 * upstreamCount) / Math.max(1, instanceCount));
    return Math.min(upstreamCount, Math.max(MinimumSubsetSize, bySquareRoot, byCoverage));
}

function scoreMember(key: string, member: string): number {
    return hasher.h32(`${key}\u0000${member}`);
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : left > right ? 1 : 0;
}
