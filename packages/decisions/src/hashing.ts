import * as xxhash from "xxhash-wasm";

/**
 * Rendezvous hashing. Every instance works the same answer out from the same members, with nothing to agree on; a
 * member that comes or goes moves only the keys that it wins or held.
 */

/** One more than the largest 32 bit hash. */
const HashRange = 0x1_0000_0000;

const hasher = await xxhash.default();

/** A 32 bit hash of a text, the same on every instance. */
export function hashText(text: string): number {
    return hasher.h32(text);
}

/** A 32 bit hash of bytes. */
export function hashBytes(bytes: Uint8Array): number {
    return hasher.h32Raw(bytes);
}

/** A number from 0 to 1 that a text always gives. */
export function hashToUnit(text: string): number {
    return hasher.h32(text) / HashRange;
}

/** The members in the order in which they own the key. The order of `members` doesn't matter. */
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
 * The upstreams that one instance keeps connections to. Made for fleets where every instance before every upstream
 * would be hundreds of thousands of connections; the instances' subsets overlap evenly, so that no upstream is left
 * without traffic when one instance goes.
 */
export function chooseSubset(instance: string, upstreams: readonly string[], size: number): readonly string[] {
    return rankByRendezvous(instance, upstreams).slice(0, Math.max(0, size));
}

/** Below this many upstreams an instance uses them all: a smaller subset would cost balance and save nothing. */
const SmallFleet = 24;

/**
 * How many upstreams an instance uses. Grows with the square root of the fleet (1,100 upstreams: 133), which keeps
 * control bytes an instance bounded; the second bound keeps at least eight instances before each upstream, since an
 * upstream seen by two or three of them gets a share that depends on luck.
 */
export function getSubsetSize(upstreamCount: number, instanceCount: number): number {
    const bySquareRoot = Math.ceil(4 * Math.sqrt(upstreamCount));
    const byCoverage = Math.ceil((8 * upstreamCount) / Math.max(1, instanceCount));
    return Math.min(upstreamCount, Math.max(SmallFleet, bySquareRoot, byCoverage));
}

function scoreMember(key: string, member: string): number {
    return hasher.h32(`${key}\u0000${member}`);
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : left > right ? 1 : 0;
}
