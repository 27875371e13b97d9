import type * as core from "@boragedale/core";
import type * as rolloutClaims from "./rolloutClaims.js";
import type * as rolloutPlan from "./rolloutPlan.js";

/** What this home knows of an upstream. All of it may be lost with the home; the next one finds it out anew. */
export interface Tenure {
    readonly upstream: core.UpstreamId;
    readonly stopper: AbortController;
    readonly homeSince: core.MonotonicMilliseconds;
    unreachableSince: core.MonotonicMilliseconds | undefined;
    loadingSince: core.MonotonicMilliseconds | undefined;
    claim: rolloutClaims.Claim | undefined;
    claimedSince: core.MonotonicMilliseconds | undefined;
    lastOrder: rolloutPlan.SentOrder | undefined;
    retryAt: core.MonotonicMilliseconds | undefined;
    failures: number;
    failure: string;
    target: string;
}

/** A duty that has just begun: nothing is known yet. */
export function createTenure(upstream: core.UpstreamId, now: core.MonotonicMilliseconds): Tenure {
    return {
        upstream,
        stopper: new AbortController(),
        homeSince: now,
        unreachableSince: undefined,
        loadingSince: undefined,
        claim: undefined,
        claimedSince: undefined,
        lastOrder: undefined,
        retryAt: undefined,
        failures: 0,
        failure: "",
        target: "",
    };
}
