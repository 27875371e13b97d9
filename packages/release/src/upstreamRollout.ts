import * as core from "@boragedale/core";
import type * as backing from "@boragedale/backing";
import type * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";
import * as rolloutAudit from "./rolloutAudit.js";
import * as rolloutClaimant from "./rolloutClaimant.js";
import * as rolloutPlan from "./rolloutPlan.js";
import * as services from "./services.js";
import * as upstreamAssignment from "./upstreamAssignment.js";
import * as types from "./types.js";

export interface RolloutOptions {
    readonly membership: protocol.Membership;
    readonly noteCache: services.NoteCache;
    readonly getEngine: (upstream: core.UpstreamDescription) => upstreams.EngineClient;
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly limits?: Partial<rolloutPlan.RolloutLimits>;
}

/**
 * An upstream that is changing is checked twice a second. One that has reached its target is checked every three
 * seconds, in case a late order changes it.
 */
const ActiveIntervalMilliseconds = 500;
const IdleIntervalMilliseconds = 3_000;

/**
 * Runs a reconciliation loop for each engine that this instance coordinates: read its report, decide, act, repeat.
 * Correctness doesn't depend on state in memory: when a coordinator fails at any step, its successor continues from the
 * engine's report.
 */
export class UpstreamRollout extends services.Rollout {
    private readonly assignments = new Map<core.UpstreamId, upstreamAssignment.UpstreamAssignment>();
    private readonly progress = new Map<core.UpstreamId, types.UpstreamProgress>();
    private readonly tasks = new Set<Promise<void>>();
    private readonly claimant: rolloutClaimant.RolloutClaimant;
    private readonly audit: rolloutAudit.RolloutAudit;
    private readonly limits: rolloutPlan.RolloutLimits;
    private readonly unsubscribeCallbacks: readonly (() => void)[];
    private wakeController = new AbortController();

    constructor(private readonly options: RolloutOptions) {
        super();
        const { membership, noteCache: noteCache } = options;
        this.limits = { ...rolloutPlan.DefaultLimits, ...options.limits };
        this.claimant = new rolloutClaimant.RolloutClaimant(options, this.limits);
        this.audit = new rolloutAudit.RolloutAudit(options);
        const refresh = (): void => this.refreshAssignments();
        this.unsubscribeCallbacks = [membership.onChange(refresh), noteCache.onNote(refresh)];
        refresh();
    }

    override getProgress(): readonly types.UpstreamProgress[] {
        return [...this.progress.values()];
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        this.unsubscribeCallbacks.forEach(stop => stop());
        for (const assignment of this.assignments.values()) {
            assignment.abortController.abort();
        }
        await Promise.all([...this.tasks]);
        await this.audit[Symbol.asyncDispose]();
        await this.claimant[Symbol.asyncDispose]();
    }

    /** Starts and stops tasks so that there is one for each engine of the note that this instance coordinates. */
    private refreshAssignments(): void {
        const wanted = new Set(this.getCoordinatedEngines().map(upstream => upstream.id));
        for (const [id, assignment] of this.assignments) {
            if (!wanted.has(id)) {
                assignment.abortController.abort();
                this.assignments.delete(id);
                this.progress.delete(id);
            }
        }
        for (const id of wanted) {
            if (!this.assignments.has(id)) {
                this.startAssignment(id);
            }
        }
        // Wakes sleeping tasks, so that they use the new note at once.
        const previousWakeController = this.wakeController;
        this.wakeController = new AbortController();
        previousWakeController.abort();
    }

    private getCoordinatedEngines(): readonly core.UpstreamDescription[] {
        const { noteCache: noteCache, membership } = this.options;
        const engines = (noteCache.tryGetNote()?.fleet.upstreams ?? []).filter(
            upstream => upstream.kind === core.UpstreamKind.Engine,
        );
        return engines.filter(upstream => {
            const coordinator = membership.tryGetHolderIn(upstream.dataCentre, `upstream/${upstream.id}`);
            return coordinator === membership.getSelf();
        });
    }

    private startAssignment(upstream: core.UpstreamId): void {
        const assignment = upstreamAssignment.createAssignment(upstream, this.options.clock.now());
        this.assignments.set(upstream, assignment);
        const task = this.runAssignment(assignment)
            .catch((error: unknown) => {
                const subject = { upstream, text: String(error) };
                this.options.telemetry.record(telemetry.events.InternalDefect, subject);
            })
            .finally(() => this.tasks.delete(task));
        this.tasks.add(task);
    }

    /** Runs the reconciliation loop of one upstream until the assignment ends. */
    private async runAssignment(assignment: upstreamAssignment.UpstreamAssignment): Promise<void> {
        const signal = assignment.abortController.signal;
        while (!signal.aborted) {
            const note = this.options.noteCache.tryGetNote();
            const upstream = note?.fleet.upstreams.find(candidate => candidate.id === assignment.upstream);
            const wakeSignal = this.wakeController.signal;
            const delayMilliseconds =
                note === undefined || upstream === undefined
                    ? ActiveIntervalMilliseconds
                    : await this.reconcile(assignment, note, upstream);
            await this.options.clock.sleep(delayMilliseconds, AbortSignal.any([signal, wakeSignal]));
        }
        // A claim under which an order may be in flight is left to the next coordinator; an unused claim is released.
        if (assignment.lastOrder === undefined) {
            await this.claimant.release(assignment);
        }
        this.claimant.clearClaim(assignment);
    }

    /** Runs one iteration of the loop; returns the delay before the next one, in milliseconds. */
    private async reconcile(
        assignment: upstreamAssignment.UpstreamAssignment,
        note: core.NoteInForce,
        upstream: core.UpstreamDescription,
    ): Promise<number> {
        const target = rolloutPlan.getTarget(note.fleet, upstream);
        this.updateTarget(assignment, rolloutPlan.formatTarget(target));
        if (assignment.claim === undefined && this.options.noteCache.isChanging(assignment.upstream)) {
            await this.claimant.takeOver(assignment, note);
        }
        const engine = this.options.getEngine(upstream);
        const state = await engine.tryReadState();
        const load = assignment.claim === undefined ? undefined : await engine.tryReadLoad();
        this.updateObservedTimes(assignment, state);
        const step = rolloutPlan.decideStep(this.createView(assignment, upstream, target, state, load));
        if (assignment.abortController.signal.aborted) {
            return 0;
        }
        const reportPhase = (phase: types.UpstreamPhase, reason: string): void =>
            this.updateProgress(assignment, note, target, state, phase, reason);
        switch (step.kind) {
            case rolloutPlan.StepKind.Rest:
                assignment.failureCount = 0;
                assignment.retryAt = undefined;
                assignment.lastOrder = undefined;
                await this.claimant.release(assignment);
                reportPhase(types.UpstreamPhase.Reached, "");
                return assignment.claim === undefined ? IdleIntervalMilliseconds : ActiveIntervalMilliseconds;
            case rolloutPlan.StepKind.Observe:
                reportPhase(step.phase, step.reason);
                return ActiveIntervalMilliseconds;
            case rolloutPlan.StepKind.Claim: {
                const obstacle = await this.claimant.tryClaim(assignment, note, step.needsLoad, state);
                reportPhase(types.UpstreamPhase.Waiting, obstacle ?? "may change");
                return obstacle === undefined ? 0 : ActiveIntervalMilliseconds;
            }
            case rolloutPlan.StepKind.Order: {
                const text = await this.order(assignment, note, upstream, target);
                reportPhase(types.UpstreamPhase.Ordered, text);
                return ActiveIntervalMilliseconds;
            }
            case rolloutPlan.StepKind.GiveUp:
                this.recordFailure(assignment, step.reason);
                await this.claimant.release(assignment);
                reportPhase(step.phase, step.reason);
                return ActiveIntervalMilliseconds;
        }
    }

    /** Resets the failures when the target changes, since failures of the old target don't apply to the new one. */
    private updateTarget(assignment: upstreamAssignment.UpstreamAssignment, target: string): void {
        if (assignment.targetText !== target) {
            assignment.targetText = target;
            assignment.failureCount = 0;
            assignment.retryAt = undefined;
        }
    }

    private updateObservedTimes(
        assignment: upstreamAssignment.UpstreamAssignment,
        state: upstreams.UpstreamState | undefined,
    ): void {
        const now = this.options.clock.now();
        assignment.unreachableSince = state === undefined ? (assignment.unreachableSince ?? now) : undefined;
        assignment.loadingSince = state?.isLoading === true ? (assignment.loadingSince ?? now) : undefined;
    }

    private createView(
        assignment: upstreamAssignment.UpstreamAssignment,
        upstream: core.UpstreamDescription,
        target: rolloutPlan.Target,
        state: upstreams.UpstreamState | undefined,
        load: upstreams.LoadReport | undefined,
    ): rolloutPlan.UpstreamView {
        return {
            ...assignment,
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
     * Renews the claim, then sends the order with the claim's new revision. The renewal proves that this instance still
     * holds the claim, and gives each order a unique fencing number that is higher than all earlier ones.
     */
    private async order(
        assignment: upstreamAssignment.UpstreamAssignment,
        note: core.NoteInForce,
        upstream: core.UpstreamDescription,
        target: rolloutPlan.Target,
    ): Promise<string> {
        const renewalStartedAt = this.options.clock.now();
        const renewed = await this.claimant.renew(assignment, note);
        if (renewed === undefined) {
            return "another coordinator took over";
        }
        // Another coordinator may have taken over if this instance was paused for longer than an order may take.
        const isLate = this.options.clock.now() - renewalStartedAt >= this.limits.longestOrderMilliseconds;
        if (assignment.abortController.signal.aborted || isLate) {
            return "renewing the claim took too long";
        }
        assignment.retryAt = undefined;
        assignment.loadingSince = undefined;
        assignment.lastOrder = { at: this.options.clock.now(), targetText: rolloutPlan.formatTarget(target) };
        this.options.telemetry.record(telemetry.events.UpstreamOrdered, {
            upstream: upstream.id,
            generation: note.generation,
            text: `${renewed.revision}: ${rolloutPlan.formatTarget(target)}`,
        });
        const order: upstreams.UpstreamOrder = { fencing: renewed.revision, ...target };
        return this.handleOrderOutcome(assignment, await this.sendOrder(upstream, order));
    }

    /**
     * Sends the order and waits no longer than an order may take, so that an engine that never answers doesn't block
     * reading its report.
     */
    private async sendOrder(
        upstream: core.UpstreamDescription,
        order: upstreams.UpstreamOrder,
    ): Promise<upstreams.OrderOutcome> {
        const timeoutController = new AbortController();
        const timeoutOutcome = { kind: upstreams.OrderOutcomeKind.Failed, text: "no answer in time" };
        const timeout = this.options.clock.sleep(this.limits.longestOrderMilliseconds, timeoutController.signal);
        const outcome = await Promise.race([
            this.options.getEngine(upstream).order(order),
            timeout.then((): upstreams.OrderOutcome => timeoutOutcome),
        ]);
        timeoutController.abort();
        return outcome;
    }

    private handleOrderOutcome(
        assignment: upstreamAssignment.UpstreamAssignment,
        outcome: upstreams.OrderOutcome,
    ): string {
        switch (outcome.kind) {
            case upstreams.OrderOutcomeKind.Accepted:
                return "ordered";
            case upstreams.OrderOutcomeKind.Fenced:
                assignment.lastOrder = undefined;
                this.claimant.clearClaim(assignment);
                return `a newer order arrived first: ${outcome.text}`;
            case upstreams.OrderOutcomeKind.Failed:
                // The order may have arrived nevertheless; the upstream's report will show it.
                return `the order failed: ${outcome.text}`;
        }
    }

    private recordFailure(assignment: upstreamAssignment.UpstreamAssignment, reason: string): void {
        assignment.failureCount++;
        assignment.failure = reason;
        assignment.lastOrder = undefined;
        assignment.loadingSince = undefined;
        assignment.retryAt =
            this.options.clock.now() + rolloutPlan.getRetryDelayMilliseconds(assignment.failureCount, this.limits);
    }

    private updateProgress(
        assignment: upstreamAssignment.UpstreamAssignment,
        note: core.NoteInForce,
        target: rolloutPlan.Target,
        state: upstreams.UpstreamState | undefined,
        phase: types.UpstreamPhase,
        reason: string,
    ): void {
        if (this.assignments.get(assignment.upstream) !== assignment) {
            return;
        }
        const previous = this.progress.get(assignment.upstream);
        const isSame = previous?.phase === phase && previous.generation === note.generation;
        this.progress.set(assignment.upstream, {
            upstream: assignment.upstream,
            generation: note.generation,
            phase,
            desired: rolloutPlan.formatTarget(target),
            actual: state === undefined ? "unknown" : rolloutPlan.formatTarget(state),
            reason,
            since: isSame ? previous.since : this.options.clock.wallNow(),
        });
        if (!isSame) {
            this.recordPhase(assignment.upstream, note.generation, phase, reason);
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
