import type * as core from "@boragedale/core";
import * as hashing from "./hashing.js";

/** An upstream or an instance, as used for the assignment of coordinators. */
export interface LocatedMember {
    readonly id: string;
    readonly dataCentre: core.DataCentre;
}

/** An odd constant with well-distributed bits (those of the golden ratio), used to mix two hashes into a third. */
const MixMultiplier = 0x9e3779b1;

/**
 * Assigns each upstream a coordinator: the instance that counts the use of the upstream's slots.
 *
 * A large fleet has hundreds of instances and as many upstreams. Plain rendezvous hashing would assign six upstreams to
 * one instance and none to a third of the instances; a busy coordinator would be asked for all of its slots while the
 * others have none to grant. Therefore each upstream is assigned the highest ranked instance that has fewer upstreams
 * than its even share, rounded up. The coordinator is in the upstream's own data centre if there are instances:
 * requesting and using a slot then doesn't involve another data centre.
 *
 * Every instance computes the same result from the same lists, in any order. While a change of the lists propagates,
 * which takes seconds, some upstreams have two coordinators. Both grant slots, which causes a queue of one or two
 * requests.
 */
export function assignCoordinators(
    upstreams: readonly LocatedMember[],
    instances: readonly LocatedMember[],
): Map<core.UpstreamId, core.InstanceId> {
    const coordinators = new Map<core.UpstreamId, core.InstanceId>();
    const dataCentres = new Set(instances.map(instance => instance.dataCentre));
    const hasLocalInstance = (upstream: LocatedMember): boolean => dataCentres.has(upstream.dataCentre);
    for (const dataCentre of dataCentres) {
        const localUpstreams = upstreams.filter(upstream => upstream.dataCentre === dataCentre);
        assignEvenly(
            localUpstreams,
            instances.filter(instance => instance.dataCentre === dataCentre),
            coordinators,
        );
    }
    assignEvenly(
        upstreams.filter(upstream => !hasLocalInstance(upstream)),
        instances,
        coordinators,
    );
    return coordinators;
}

function assignEvenly(
    upstreams: readonly LocatedMember[],
    instances: readonly LocatedMember[],
    coordinators: Map<core.UpstreamId, core.InstanceId>,
): void {
    const share = Math.ceil(upstreams.length / instances.length);
    const counted = sortByHash(instances).map(instance => ({ ...instance, assignedCount: 0 }));
    for (const upstream of sortByHash(upstreams)) {
        const best = findHighest(upstream.hash, counted, share);
        if (best !== undefined) {
            best.assignedCount++;
            coordinators.set(upstream.id, best.id);
        }
    }
}

function findHighest<T extends { readonly hash: number; readonly assignedCount: number }>(
    key: number,
    instances: readonly T[],
    share: number,
): T | undefined {
    let best: T | undefined;
    let bestScore = -1;
    for (const instance of instances) {
        const score = mix(key, instance.hash);
        if (instance.assignedCount < share && score > bestScore) {
            best = instance;
            bestScore = score;
        }
    }
    return best;
}

/** The order decides which upstream finds an instance full, so it must not depend on the order of a list. */
function sortByHash(candidates: readonly LocatedMember[]): { readonly id: string; readonly hash: number }[] {
    return candidates
        .map(({ id }) => ({ id, hash: hashing.hashText(id) }))
        .sort((left, right) => left.hash - right.hash || (left.id < right.id ? -1 : 1));
}

/**
 * Scores a pair by the hashes of its members: hashing both names again for each pair would take most of the time with
 * 1,100 upstreams and 400 instances.
 */
function mix(left: number, right: number): number {
    let mixed = Math.imul(left ^ Math.imul(right, MixMultiplier), MixMultiplier);
    mixed = Math.imul(mixed ^ (mixed >>> 15), MixMultiplier);
    return (mixed ^ (mixed >>> 13)) >>> 0;
}
