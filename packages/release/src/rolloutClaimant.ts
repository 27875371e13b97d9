import * as core from "@boragedale/core";
import type * as backing from "@boragedale/backing";
import type * as protocol from "@boragedale/protocol";
import type * as upstreams from "@boragedale/upstreams";
import * as rolloutClaims from "./rolloutClaims.js";
import * as rolloutPlan from "./rolloutPlan.js";
import type * as tenures from "./tenure.js";

export interface ClaimantOptions {
    readonly membership: protocol.Membership;
    readonly getEngine: (upstream: core.UpstreamDescription) => upstreams.EngineClient;
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
}

/** Takes, renews and gives up the claims of the upstreams whose home this instance is. */
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
     * Takes over the claim that another home left, wherever the upstream stands. An instance that lost the duty but
     * lives on keeps its lease alive, so a claim that nobody took over would hold its place for ever.
     */
    async takeOver(tenure: tenures.Tenure, note: core.NoteInForce): Promise<void> {
        const claims = await this.claims.tryList();
        const left = claims?.find(claim => claim.upstream === tenure.upstream);
        if (left === undefined || !this.mayReplace(tenure, left, note)) {
            return;
        }
        const claim = await this.claims.tryWrite({ ...left, generation: note.generation, replaces: left });
        this.hold(tenure, claim);
    }

    /**
     * Asks for leave to change the upstream; returns why it can't be had now. A look before the write saves a write
     * and a delete in each round while others are at work; what counts is the look after it.
     */
    async tryClaim(
        tenure: tenures.Tenure,
        note: core.NoteInForce,
        needsLoad: boolean,
        state: upstreams.UpstreamState | undefined,
    ): Promise<string | undefined> {
        const unanswered = "the key-value service does not answer";
        const before = await this.claims.tryList();
        const { upstream } = tenure;
        const replaces = before?.find(claim => claim.upstream === upstream);
        if (before === undefined || state === undefined) {
            return unanswered;
        }
        if (replaces !== undefined && !this.mayReplace(tenure, replaces, note)) {
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
            return unanswered;
        }
        const after = await this.claims.tryList();
        const obstacle = after === undefined ? unanswered : await this.tryGetObstacle(note, claim, after, state);
        this.hold(tenure, claim);
        if (obstacle !== undefined) {
            await this.release(tenure);
        }
        return obstacle;
    }

    /** Writes the claim anew, for a fencing number of its own; undefined when another home took it over. */
    async renew(tenure: tenures.Tenure, note: core.NoteInForce): Promise<rolloutClaims.Claim | undefined> {
        const held = core.Debug.checkDefined(tenure.claim, "an order has a claim");
        const renewed = await this.claims.tryWrite({ ...held, generation: note.generation, replaces: held });
        if (renewed === undefined) {
            this.drop(tenure);
            return undefined;
        }
        tenure.claim = renewed;
        return renewed;
    }

    /** Gives the claim up; one that could not be removed stays for the next try. */
    async release(tenure: tenures.Tenure): Promise<void> {
        if (tenure.claim !== undefined && (await this.claims.remove(tenure.claim))) {
            this.drop(tenure);
        }
    }

    /** Forgets the claim, whoever holds it now. */
    drop(tenure: tenures.Tenure): void {
        this.claims.forget(tenure.upstream);
        tenure.claim = undefined;
        tenure.claimedSince = undefined;
    }

    /**
     * A claim made under a newer note belongs to a home that knows more. One of a home that is still live may be in
     * the middle of an order; it is taken over only once that order must have ended.
     */
    private mayReplace(tenure: tenures.Tenure, claim: rolloutClaims.Claim, note: core.NoteInForce): boolean {
        const { membership, clock } = this.options;
        const isOwn = claim.instance === membership.getSelf();
        const isHolderLive = membership.getLiveInstances().some(instance => instance.id === claim.instance);
        const isWaitedOut = clock.now() - tenure.homeSince >= this.limits.longestOrderMilliseconds;
        return claim.generation <= note.generation && (isOwn || !isHolderLive || isWaitedOut);
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

    private hold(tenure: tenures.Tenure, claim: rolloutClaims.Claim | undefined): void {
        if (claim === undefined) {
            this.drop(tenure);
            return;
        }
        tenure.claim = claim;
        tenure.claimedSince = this.options.clock.now();
    }
}
