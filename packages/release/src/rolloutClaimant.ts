import * as core from "@boragedale/core";
import type * as backing from "@boragedale/backing";
import type * as protocol from "@boragedale/protocol";
import type * as upstreams from "@boragedale/upstreams";
import * as rolloutClaims from "./rolloutClaims.js";
import * as rolloutPlan from "./rolloutPlan.js";
import type * as upstreamAssignment from "./upstreamAssignment.js";

export interface ClaimantOptions {
    readonly membership: protocol.Membership;
    readonly getEngine: (upstream: core.UpstreamDescription) => upstreams.EngineClient;
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
}

/** Acquires, renews and releases the claims of the upstreams that this instance coordinates. */
export class RolloutClaimant implements AsyncDisposable {
    private readonly claims: rolloutClaims.ClaimStore;

    constructor(
        private readonly options: ClaimantOptions,
        private readonly limits: rolloutPlan.RolloutLimits,
    ) {
        this.claims = new rolloutClaims.ClaimStore(options.keyValue, options.clock, options.membership.getSelf());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.claims[Symbol.asyncDispose]();
    }

    /**
     * Takes over the claim that a previous coordinator left, whatever the state of the upstream. A live instance that
     * lost the assignment still renews its lease, so without a takeover its claim would count against the load limit
     * indefinitely.
     */
    async takeOver(assignment: upstreamAssignment.UpstreamAssignment, note: core.NoteInForce): Promise<void> {
        const claims = await this.claims.tryList();
        const abandoned = claims?.find(claim => claim.upstream === assignment.upstream);
        if (abandoned === undefined || !this.canReplace(assignment, abandoned, note)) {
            return;
        }
        const claim = await this.claims.tryWrite({ ...abandoned, generation: note.generation, replaces: abandoned });
        this.setClaim(assignment, claim);
    }

    /**
     * Claims the right to change the upstream; returns the reason if that isn't possible now. The check before the
     * write only saves a write and a delete in each round while other upstreams are changing; the check after the write
     * decides.
     */
    async tryClaim(
        assignment: upstreamAssignment.UpstreamAssignment,
        note: core.NoteInForce,
        needsLoad: boolean,
        state: upstreams.UpstreamState | undefined,
    ): Promise<string | undefined> {
        const noAnswerReason = "the key-value service does not answer";
        const before = await this.claims.tryList();
        const { upstream } = assignment;
        const replaces = before?.find(claim => claim.upstream === upstream);
        if (before === undefined || state === undefined) {
            return noAnswerReason;
        }
        if (replaces !== undefined && !this.canReplace(assignment, replaces, note)) {
            return `${replaces.instance} is changing it under generation ${replaces.generation}`;
        }
        const { generation } = note;
        const instance = this.options.membership.getSelf();
        const draft = replaces ?? { upstream, instance, generation, needsLoad, order: Infinity, revision: 0 };
        const expected = await this.tryGetObstacle(note, { ...draft, needsLoad }, before, state);
        if (expected !== undefined) {
            return expected;
        }
        const claim = await this.claims.tryWrite({ upstream, generation, needsLoad, replaces });
        if (claim === undefined) {
            return noAnswerReason;
        }
        const after = await this.claims.tryList();
        const obstacle = after === undefined ? noAnswerReason : await this.tryGetObstacle(note, claim, after, state);
        this.setClaim(assignment, claim);
        if (obstacle !== undefined) {
            await this.release(assignment);
        }
        return obstacle;
    }

    /**
     * Rewrites the claim to get a new fencing number; returns undefined when another coordinator took the claim over or
     * the service does not answer.
     */
    async renew(
        assignment: upstreamAssignment.UpstreamAssignment,
        note: core.NoteInForce,
    ): Promise<rolloutClaims.Claim | undefined> {
        const held = core.Debug.checkDefined(assignment.claim, "an order has a claim");
        const renewed = await this.claims.tryWrite({ ...held, generation: note.generation, replaces: held });
        if (renewed === undefined) {
            this.clearClaim(assignment);
            return undefined;
        }
        assignment.claim = renewed;
        return renewed;
    }

    /** Releases the claim. A claim that could not be removed is kept, so that the next call tries again. */
    async release(assignment: upstreamAssignment.UpstreamAssignment): Promise<void> {
        if (assignment.claim !== undefined && (await this.claims.remove(assignment.claim))) {
            this.clearClaim(assignment);
        }
    }

    /** Clears the local state of the claim without removing it from the key-value service. */
    clearClaim(assignment: upstreamAssignment.UpstreamAssignment): void {
        this.claims.stopTracking(assignment.upstream);
        assignment.claim = undefined;
        assignment.claimedSince = undefined;
    }

    /**
     * Whether this instance may replace another claim. A claim under a newer note belongs to a coordinator with newer
     * information and stays. The holder of a claim, if it is live, may be sending an order, so its claim is only
     * replaced after the longest duration of an order.
     */
    private canReplace(
        assignment: upstreamAssignment.UpstreamAssignment,
        claim: rolloutClaims.Claim,
        note: core.NoteInForce,
    ): boolean {
        const { membership, clock } = this.options;
        const isOwn = claim.instance === membership.getSelf();
        const isHolderLive = membership.getLiveInstances().some(instance => instance.id === claim.instance);
        const isOrderTimeOver = clock.now() - assignment.coordinatorSince >= this.limits.longestOrderMilliseconds;
        return claim.generation <= note.generation && (isOwn || !isHolderLive || isOrderTimeOver);
    }

    private async tryGetObstacle(
        note: core.NoteInForce,
        claim: rolloutClaims.Claim,
        claims: readonly rolloutClaims.Claim[],
        state: upstreams.UpstreamState,
    ): Promise<string | undefined> {
        const obstacle = rolloutPlan.tryGetLoadObstacle(note.fleet, claim, claims, []);
        if (obstacle !== undefined) {
            return obstacle;
        }
        const peers = rolloutPlan.getOtherEngines(note.fleet, claim.upstream);
        const reports = await Promise.all(
            peers.map(async peer => ({
                upstream: peer.id,
                state: await this.options.getEngine(peer).tryReadState(),
            })),
        );
        const others = reports.flatMap(report =>
            report.state === undefined ? [] : [{ upstream: report.upstream, state: report.state }],
        );
        return rolloutPlan.tryGetObstacle({ fleet: note.fleet, claim, claims, state, others });
    }

    private setClaim(assignment: upstreamAssignment.UpstreamAssignment, claim: rolloutClaims.Claim | undefined): void {
        if (claim === undefined) {
            this.clearClaim(assignment);
            return;
        }
        assignment.claim = claim;
        assignment.claimedSince = this.options.clock.now();
    }
}
