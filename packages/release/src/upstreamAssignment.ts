import type * as core from "@boragedale/core";
import type * as rolloutClaims from "./rolloutClaims.js";
import type * as rolloutPlan from "./rolloutPlan.js";

/**
 * What a coordinator knows about an upstream during a rollout. It is kept in memory only: when the coordinator fails,
 * its successor reconstructs it from the upstream's reports and the claims.
 */
export interface UpstreamAssignment {
    readonly upstream: core.UpstreamId;
    readonly abortController: AbortController;
    /** When this instance became the upstream's coordinator. */
    readonly coordinatorSince: core.MonotonicMilliseconds;
    unreachableSince: core.MonotonicMilliseconds | undefined;
    loadingSince: core.MonotonicMilliseconds | undefined;
    claim: rolloutClaims.Claim | undefined;
    claimedSince: core.MonotonicMilliseconds | undefined;
    lastOrder: rolloutPlan.SentOrder | undefined;
    /** Time of the next attempt after a failure. */
    retryAt: core.MonotonicMilliseconds | undefined;
    failureCount: number;
    /** Reason of the last failure. */
    failure: string;
    /** The target that the note requires, as formatted by `formatTarget`. */
    targetText: string;
}

/** Creates the state of an assignment that has just begun, when nothing is known about the upstream. */
export function createAssignment(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): UpstreamAssignment {
    return {
        upstream,
        abortController: new AbortController(),
        coordinatorSince: now,
        unreachableSince: undefined,
        loadingSince: undefined,
        claim: undefined,
        claimedSince: undefined,
        lastOrder: undefined,
        retryAt: undefined,
        failureCount: 0,
        failure: "",
        targetText: "",
    };
}
