import * as core from "@boragedale/core";
import type * as decisions from "@boragedale/decisions";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/** A random source that always returns the middle of the range. */
export function createMiddle(): () => number {
    return () => 0.5;
}

/** A random source with a fixed seed. */
export function createRandom(seed: number): () => number {
    const source = generator.xoroshiro128plus(seed);
    return () => uniform.uniformFloat64(source);
}

/** Upstreams `engine-0`, `engine-1`, … that hold `model`. */
export function createCandidates(count: number, concurrency = 16): readonly decisions.PlacementCandidate[] {
    return Array.from(Array(count).keys(), index => createCandidate(`engine-${index}`, concurrency));
}

export function createCandidate(id: string, concurrency = 16): decisions.PlacementCandidate {
    return {
        id,
        dataCentre: "one",
        role: core.UpstreamRole.Mixed,
        models: ["model"],
        concurrency,
        isLeaving: false,
    };
}

export function createPlacementRequest(prefixHash: string): decisions.PlacementRequest {
    return { model: "model", prefixHash, requestClass: core.RequestClass.Online };
}

export function createItem(
    value: string,
    caller: string,
    deadlineAt = 100_000,
    cost = 1,
): decisions.AdmissionItem<string> {
    return { value, caller, weight: 1, cost, deadlineAt };
}

export function createBatchItem(
    id: string,
    caller: string,
    cost: number,
    deadlineAt = 1_000_000,
): decisions.BatchOrderItem {
    return { id, caller, weight: 1, cost, deadlineAt };
}
