import * as core from "@boragedale/core";
import type * as backing from "@boragedale/backing";
import type * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";
import * as rolloutAudit from "./rolloutAudit.js";
import * as rolloutClaimant from "./rolloutClaimant.js";
import * as rolloutPlan from "./rolloutPlan.js";
import * as services from "./services.js";
import * as tenures from "./tenure.js";
import * as types from "./types.js";

export interface RolloutOptions {
    readonly membership: protocol.Membership;
    readonly keeper: services.NoteKeeper;
    readonly getEngine: (upstream: core.UpstreamDescription) => upstreams.EngineClient;
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly limits?: Partial<rolloutPlan.RolloutLimits>;
}

/** An upstream on its way is looked at twice a second; one at rest every three, in case a late order changes it. */
const ActiveMilliseconds = 500;
const RestMilliseconds = 3_000;

/**
 * One task for each engine whose home this instance is: read its report, decide, act, look again. Nothing is
 * remembered that matters: a home that dies at any step is followed by one that reads the same report.
 */
export class UpstreamRollout extends services.Rollout {
    private readonly tenures = new Map<core.UpstreamId, tenures.Tenure>();
    private readonly progress = new Map<core.UpstreamId, types.UpstreamProgress>();
    private readonly tasks = new Set<Promise<void>>();
    private readonly claimant: rolloutClaimant.RolloutClaimant;
    private readonly audit: rolloutAudit.RolloutAudit;
    private readonly limits: rolloutPlan.RolloutLimits;
    private readonly stops: readonly (() => void)[];
    private wake = new AbortController();

    constructor(private readonly options: RolloutOptions) {
        super();
        const { membership, keeper } = options;
        this.limits = { ...rolloutPlan.DefaultLimits, ...options.limits };
        this.claimant = new rolloutClaimant.RolloutClaimant(options, this.limits);
        this.audit = new rolloutAudit.RolloutAudit(options);
        const refresh = (): void => this.refreshTenures();
        this.stops = [membership.onChange(refresh), keeper.onNote(refresh)];
        refresh();
    }

    override getProgress(): readonly types.UpstreamProgress[] {
        return [...this.progress.values()];
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        this.stops.forEach(stop => stop());
        for (const tenure of this.tenures.values()) {
            tenure.stopper.abort();
        }
        await Promise.all([...this.tasks]);
        await this.audit[Symbol.asyncDispose]();
        await this.claimant[Symbol.asyncDispose]();
    }

    /** Starts and ends tasks so that there is one for each engine of the note whose home this is. */
    private refreshTenures(): void {
        const wanted = new Set(this.getHomed().map(upstream => upstream.id));
        for (const [id, tenure] of this.tenures) {
            if (!wanted.has(id)) {
                tenure.stopper.abort();
                this.tenures.delete(id);
                this.progress.delete(id);
            }
        }
        for (const id of wanted) {
            if (!this.tenures.has(id)) {
                this.startTenure(id);
            }
        }
        // Tasks that sleep look at the new note at once.
        const sleeping = this.wake;
        this.wake = new AbortController();
        sleeping.abort();
    }

    private getHomed(): readonly core.UpstreamDescription[] {
        const { keeper, membership } = this.options;
        const engines = (keeper.tryGetNote()?.fleet.upstreams ?? []).filter(
            upstream => upstream.kind === core.UpstreamKind.Engine,
        );
        return engines.filter(upstream => {
            const home = membership.tryGetHolderIn(upstream.dataCentre, `upstream/${upstream.id}`);
            return home === membership.getSelf();
        });
    }

    private startTenure(upstream: core.UpstreamId): void {
        const tenure = tenures.createTenure(upstream, this.options.clock.now());
        this.tenures.set(upstream, tenure);
        const task = this.runTenure(tenure)
            .catch((error: unknown) => {
                const subject = { upstream, text: String(error) };
                this.options.telemetry.record(telemetry.events.InternalDefect, subject);
            })
            .finally(() => this.tasks.delete(task));
        this.tasks.add(task);
    }

    /** The task of one upstream. */
    private async runTenure(tenure: tenures.Tenure): Promise<void> {
        const signal = tenure.stopper.signal;
        while (!signal.aborted) {
            const note = this.options.keeper.tryGetNote();
            const upstream = note?.fleet.upstreams.find(candidate => candidate.id === tenure.upstream);
            const wakeSignal = this.wake.signal;
            const wait =
                note === undefined || upstream === undefined
                    ? ActiveMilliseconds
                    : await this.tend(tenure, note, upstream);
            await this.options.clock.sleep(wait, AbortSignal.any([signal, wakeSignal]));
        }
        // A claim under which an order may be on its way is left to the next home; an unused one frees its place.
        if (tenure.lastOrder === undefined) {
            await this.claimant.release(tenure);
        }
        this.claimant.drop(tenure);
    }

    /** One look and one step; returns how long to wait for the next. */
    private async tend(
        tenure: tenures.Tenure,
        note: core.NoteInForce,
        upstream: core.UpstreamDescription,
    ): Promise<number> {
        const target = rolloutPlan.getTarget(note.fleet, upstream);
        this.retarget(tenure, rolloutPlan.formatTarget(target));
        if (tenure.claim === undefined && this.options.keeper.isChanging(tenure.upstream)) {
            await this.claimant.takeOver(tenure, note);
        }
        const engine = this.options.getEngine(upstream);
        const state = await engine.tryReadState();
        const load = tenure.claim === undefined ? undefined : await engine.tryReadLoad();
        this.observe(tenure, state);
        const step = rolloutPlan.decideStep(this.createView(tenure, upstream, target, state, load));
        if (tenure.stopper.signal.aborted) {
            return 0;
        }
        const report = (phase: types.UpstreamPhase, reason: string): void =>
            this.report(tenure, note, target, state, phase, reason);
        switch (step.kind) {
            case rolloutPlan.StepKind.Rest:
                tenure.failures = 0;
                tenure.retryAt = undefined;
                tenure.lastOrder = undefined;
                await this.claimant.release(tenure);
                report(types.UpstreamPhase.Reached, "");
                return tenure.claim === undefined ? RestMilliseconds : ActiveMilliseconds;
            case rolloutPlan.StepKind.Observe:
                report(step.phase, step.reason);
                return ActiveMilliseconds;
            case rolloutPlan.StepKind.Claim: {
                const obstacle = await this.claimant.tryClaim(tenure, note, step.needsLoad, state);
                report(types.UpstreamPhase.Waiting, obstacle ?? "may change");
                return obstacle === undefined ? 0 : ActiveMilliseconds;
            }
            case rolloutPlan.StepKind.Order: {
                const text = await this.order(tenure, note, upstream, target);
                report(types.UpstreamPhase.Ordered, text);
                return ActiveMilliseconds;
            }
            case rolloutPlan.StepKind.GiveUp:
                this.fail(tenure, step.reason);
                await this.claimant.release(tenure);
                report(step.phase, step.reason);
                return ActiveMilliseconds;
        }
    }

    /** A note that asks something else starts over: what failed for the old target says nothing of the new one. */
    private retarget(tenure: tenures.Tenure, target: string): void {
        if (tenure.target !== target) {
            tenure.target = target;
            tenure.failures = 0;
            tenure.retryAt = undefined;
        }
    }

    private observe(tenure: tenures.Tenure, state: upstreams.UpstreamState | undefined): void {
        const now = this.options.clock.now();
        tenure.unreachableSince = state === undefined ? (tenure.unreachableSince ?? now) : undefined;
        tenure.loadingSince = state?.isLoading === true ? (tenure.loadingSince ?? now) : undefined;
    }

    private createView(
        tenure: tenures.Tenure,
        upstream: core.UpstreamDescription,
        target: rolloutPlan.Target,
        state: upstreams.UpstreamState | undefined,
        load: upstreams.LoadReport | undefined,
    ): rolloutPlan.UpstreamView {
        return {
            ...tenure,
            now: this.options.clock.now(),
            target,
            state,
            load,
            checksFencing: upstream.checksFencing,
            isLeaving: upstream.isLeaving,
            limits: this.limits,
        };
    }

    /**
     * Renews the claim, then orders under its new revision. The renewal is the last proof that this home still holds
     * the claim, and gives every order a number of its own, higher than all before it.
     */
    private async order(
        tenure: tenures.Tenure,
        note: core.NoteInForce,
        upstream: core.UpstreamDescription,
        target: rolloutPlan.Target,
    ): Promise<string> {
        const askedAt = this.options.clock.now();
        const renewed = await this.claimant.renew(tenure, note);
        if (renewed === undefined) {
            return "another home took over";
        }
        // A home that was paused here may have been followed by another; within this time nobody takes over.
        const isLate = this.options.clock.now() - askedAt >= this.limits.longestOrderMilliseconds;
        if (tenure.stopper.signal.aborted || isLate) {
            return "the claim's renewal took too long";
        }
        tenure.retryAt = undefined;
        tenure.loadingSince = undefined;
        tenure.lastOrder = { at: this.options.clock.now(), target: rolloutPlan.formatTarget(target) };
        this.options.telemetry.record(telemetry.events.UpstreamOrdered, {
            upstream: upstream.id,
            generation: note.generation,
            text: `${renewed.revision}: ${rolloutPlan.formatTarget(target)}`,
        });
        const order: upstreams.UpstreamOrder = { fencing: renewed.revision, ...target };
        return this.takeOutcome(tenure, await this.sendOrder(upstream, order));
    }

    /** Waits no longer than an order may take: an engine that never answers must not hold up its own read back. */
    private async sendOrder(
        upstream: core.UpstreamDescription,
        order: upstreams.UpstreamOrder,
    ): Promise<upstreams.OrderOutcome> {
        const answered = new AbortController();
        const late = { kind: upstreams.OrderOutcomeKind.Failed, text: "no answer in time" };
        const limit = this.options.clock.sleep(this.limits.longestOrderMilliseconds, answered.signal);
        const outcome = await Promise.race([
            this.options.getEngine(upstream).order(order),
            limit.then((): upstreams.OrderOutcome => late),
        ]);
        answered.abort();
        return outcome;
    }

    private takeOutcome(tenure: tenures.Tenure, outcome: upstreams.OrderOutcome): string {
        switch (outcome.kind) {
            case upstreams.OrderOutcomeKind.Accepted:
                return "ordered";
            case upstreams.OrderOutcomeKind.Fenced:
                tenure.lastOrder = undefined;
                this.claimant.drop(tenure);
                return `a newer order was there first: ${outcome.text}`;
            case upstreams.OrderOutcomeKind.Failed:
                // It may have arrived all the same; the upstream's report tells.
                return `the order failed: ${outcome.text}`;
        }
    }

    private fail(tenure: tenures.Tenure, reason: string): void {
        tenure.failures++;
        tenure.failure = reason;
        tenure.lastOrder = undefined;
        tenure.loadingSince = undefined;
        tenure.retryAt = this.options.clock.now() + rolloutPlan.getRetryWait(tenure.failures, this.limits);
    }

    private report(
        tenure: tenures.Tenure,
        note: core.NoteInForce,
        target: rolloutPlan.Target,
        state: upstreams.UpstreamState | undefined,
        phase: types.UpstreamPhase,
        reason: string,
    ): void {
        if (this.tenures.get(tenure.upstream) !== tenure) {
            return;
        }
        const previous = this.progress.get(tenure.upstream);
        const isSame = previous?.phase === phase && previous.generation === note.generation;
        this.progress.set(tenure.upstream, {
            upstream: tenure.upstream,
            generation: note.generation,
            phase,
            desired: rolloutPlan.formatTarget(target),
            actual: state === undefined ? "unknown" : rolloutPlan.formatTarget(state),
            reason,
            since: isSame ? previous.since : this.options.clock.wallNow(),
        });
        if (!isSame) {
            this.recordPhase(tenure.upstream, note.generation, phase, reason);
        }
    }

    private recordPhase(
        upstream: core.UpstreamId,
        generation: core.Generation,
        phase: types.UpstreamPhase,
        text: string,
    ): void {
        const subject = { upstream, generation, text };
        if (phase === types.UpstreamPhase.Reached) {
            this.options.telemetry.record(telemetry.events.UpstreamReached, subject);
        }
        else if (phase === types.UpstreamPhase.Failed || phase === types.UpstreamPhase.Unreachable) {
            this.options.telemetry.record(telemetry.events.UpstreamBlocked, subject);
        }
    }
}
