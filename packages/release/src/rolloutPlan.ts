import * as core from "@boragedale/core";
import type * as upstreams from "@boragedale/upstreams";
import * as fleetCapacity from "./fleetCapacity.js";
import * as noteDifferences from "./noteDifferences.js";
import type * as rolloutClaims from "./rolloutClaims.js";
import * as types from "./types.js";

/**
 * What to do next with one upstream. Pure: it goes by what the upstream reports now and by times that are passed in,
 * never by remembered progress, so that a home which starts in the middle decides like the one before it.
 */

export interface RolloutLimits {
    /** Longest time from sending an order to its last effect at an upstream that does not check fencing numbers. */
    readonly longestOrderMilliseconds: number;
    /** An upstream's report lags: only after this long does a report without the order's effect mean that it failed. */
    readonly settleMilliseconds: number;
    /** A load that takes longer is wedged; its claim is given up so that it does not hold up the others. */
    readonly loadMilliseconds: number;
    /** An upstream under a claim that can't be reached for longer gives its claim up. */
    readonly unreachableMilliseconds: number;
    /** Time for every instance to hear of a claim and send no new work. */
    readonly noticeMilliseconds: number;
    /** Longest wait for running requests to end before an order; engines can resume what is cut then. */
    readonly drainMilliseconds: number;
    readonly firstRetryMilliseconds: number;
    readonly longestRetryMilliseconds: number;
}

export const DefaultLimits: RolloutLimits = {
    longestOrderMilliseconds: 5_000,
    settleMilliseconds: 5_000,
    loadMilliseconds: 900_000,
    unreachableMilliseconds: 30_000,
    noticeMilliseconds: 1_000,
    drainMilliseconds: 120_000,
    firstRetryMilliseconds: 5_000,
    longestRetryMilliseconds: 300_000,
};

/** The state that the note asks of an engine. */
export interface Target {
    readonly models: readonly upstreams.HeldModel[];
    readonly role: core.UpstreamRole;
}

/** An order that this home sent. */
export interface SentOrder {
    readonly at: core.MonotonicMilliseconds;
    /** `formatTarget` of what it asked. */
    readonly target: string;
}

/** All that the next step depends on. */
export interface UpstreamView {
    readonly now: core.MonotonicMilliseconds;
    readonly target: Target;
    /** The upstream's own report; undefined when it could not be read. */
    readonly state: upstreams.UpstreamState | undefined;
    readonly load: upstreams.LoadReport | undefined;
    readonly checksFencing: boolean;
    /** The note wants it to take no new work. */
    readonly isLeaving: boolean;
    readonly homeSince: core.MonotonicMilliseconds;
    readonly unreachableSince: core.MonotonicMilliseconds | undefined;
    readonly loadingSince: core.MonotonicMilliseconds | undefined;
    readonly claimedSince: core.MonotonicMilliseconds | undefined;
    readonly lastOrder: SentOrder | undefined;
    /** After a failure: when it may be tried again, and what was wrong. */
    readonly retryAt: core.MonotonicMilliseconds | undefined;
    readonly failure: string;
    readonly limits: RolloutLimits;
}

export enum StepKind {
    /** The upstream is where it should be: give up the claim. */
    Rest = "Rest",
    /** Nothing to do but look again. */
    Observe = "Observe",
    /** Ask the fleet for leave to change the upstream. */
    Claim = "Claim",
    Order = "Order",
    /** Give up the claim, report, and try again later. */
    GiveUp = "GiveUp",
}

export type Step =
    | { readonly kind: StepKind.Rest }
    | { readonly kind: StepKind.Observe; readonly phase: types.UpstreamPhase; readonly reason: string }
    | { readonly kind: StepKind.Claim; readonly needsLoad: boolean }
    | { readonly kind: StepKind.Order }
    | { readonly kind: StepKind.GiveUp; readonly phase: types.UpstreamPhase; readonly reason: string };

export function decideStep(view: UpstreamView): Step {
    const { state, target } = view;
    if (state === undefined) {
        return decideUnreachable(view);
    }
    const isOutdatedOrder = view.lastOrder !== undefined && view.lastOrder.target !== formatTarget(target);
    if (state.isLoading && !isOutdatedOrder) {
        return decideLoading(view, state);
    }
    if (!state.isLoading && reachesTarget(state, target)) {
        return decideReached(view);
    }
    return decideMismatch(view, state, isOutdatedOrder);
}

export function getTarget(fleet: core.FleetDescription, upstream: core.UpstreamDescription): Target {
    return { models: noteDifferences.getDesiredModels(fleet, upstream), role: upstream.role };
}

export function reachesTarget(state: upstreams.UpstreamState, target: Target): boolean {
    return state.role === target.role && noteDifferences.holdsSame(state.models, target.models);
}

/** One line for operators, such as `heron@2.1+booking@4 (Mixed)`. */
export function formatTarget(target: Target): string {
    const models = noteDifferences.formatHeldModels(target.models);
    return `${models === "" ? "no model" : models} (${target.role})`;
}

/** Doubles from the first wait to the longest. */
export function getRetryWait(failures: number, limits: RolloutLimits): number {
    const wait = limits.firstRetryMilliseconds * 2 ** Math.max(0, Math.min(failures - 1, 20));
    return Math.min(wait, limits.longestRetryMilliseconds);
}

function decideUnreachable(view: UpstreamView): Step {
    const silentFor = view.unreachableSince === undefined ? 0 : view.now - view.unreachableSince;
    const reason = `does not answer for ${Math.round(silentFor / 1_000)} s`;
    const phase = types.UpstreamPhase.Unreachable;
    return view.claimedSince !== undefined && silentFor > view.limits.unreachableMilliseconds
        ? { kind: StepKind.GiveUp, phase, reason }
        : { kind: StepKind.Observe, phase, reason };
}

function decideLoading(view: UpstreamView, state: upstreams.UpstreamState): Step {
    if (view.retryAt !== undefined) {
        return view.now < view.retryAt ? createFailed(view) : decideOrder(view, state);
    }
    const loadingFor = view.loadingSince === undefined ? 0 : view.now - view.loadingSince;
    const reason = `loads for ${Math.round(loadingFor / 1_000)} s`;
    return loadingFor > view.limits.loadMilliseconds
        ? { kind: StepKind.GiveUp, phase: types.UpstreamPhase.Failed, reason }
        : { kind: StepKind.Observe, phase: types.UpstreamPhase.Loading, reason };
}

/**
 * An upstream that ignores fencing numbers may still be changed by a late order of an earlier home, so its state
 * counts only once such an order must have arrived.
 */
function decideReached(view: UpstreamView): Step {
    const quietSince = Math.max(view.homeSince, view.lastOrder?.at ?? view.homeSince);
    if (view.checksFencing || view.now - quietSince >= view.limits.longestOrderMilliseconds) {
        return { kind: StepKind.Rest };
    }
    return createObserve(types.UpstreamPhase.Waiting, "is as asked; late orders may still arrive");
}

function decideMismatch(view: UpstreamView, state: upstreams.UpstreamState, isOutdatedOrder: boolean): Step {
    if (view.lastOrder !== undefined && !isOutdatedOrder) {
        const orderedFor = view.now - view.lastOrder.at;
        if (orderedFor < view.limits.settleMilliseconds) {
            return createObserve(types.UpstreamPhase.Ordered, "ordered; not yet reported");
        }
        const reason = state.failure ?? `still reports ${formatTarget(state)} after the order`;
        return { kind: StepKind.GiveUp, phase: types.UpstreamPhase.Failed, reason };
    }
    if (view.retryAt !== undefined && view.now < view.retryAt) {
        return createFailed(view);
    }
    return decideOrder(view, state);
}

function decideOrder(view: UpstreamView, state: upstreams.UpstreamState): Step {
    if (view.isLeaving || state.isLeaving) {
        return decideLeaving(view);
    }
    if (!view.checksFencing && view.now - view.homeSince < view.limits.longestOrderMilliseconds) {
        return createObserve(types.UpstreamPhase.Waiting, "waits out the orders of an earlier home");
    }
    if (view.claimedSince === undefined) {
        return { kind: StepKind.Claim, needsLoad: noteDifferences.needsLoad(state.models, view.target.models) };
    }
    if (!isDrained(view, state)) {
        return createObserve(types.UpstreamPhase.Waiting, "waits until what it runs has ended");
    }
    return { kind: StepKind.Order };
}

/** Weights for an upstream that goes would cost the others their place at the weight store. */
function decideLeaving(view: UpstreamView): Step {
    const phase = types.UpstreamPhase.Waiting;
    const reason = "is leaving and takes no orders";
    return view.claimedSince === undefined
        ? { kind: StepKind.Observe, phase, reason }
        : { kind: StepKind.GiveUp, phase, reason };
}

/** An order may end what the engine runs, so it waits until nothing runs; the claim keeps new work away. */
function isDrained(view: UpstreamView, state: upstreams.UpstreamState): boolean {
    if (state.models.length === 0 || view.claimedSince === undefined) {
        return true;
    }
    const claimedFor = view.now - view.claimedSince;
    const isEmpty = view.load !== undefined && view.load.running + view.load.waiting === 0;
    return (claimedFor >= view.limits.noticeMilliseconds && isEmpty) || claimedFor >= view.limits.drainMilliseconds;
}

function createObserve(phase: types.UpstreamPhase, reason: string): Step {
    return { kind: StepKind.Observe, phase, reason };
}

function createFailed(view: UpstreamView): Step {
    const seconds = Math.round(((view.retryAt ?? view.now) - view.now) / 1_000);
    return createObserve(types.UpstreamPhase.Failed, `${view.failure}; next try in ${seconds} s`);
}

/** What one upstream that stays up serves, by its own report. */
export interface ServingReport {
    readonly upstream: core.UpstreamId;
    readonly state: upstreams.UpstreamState;
}

export interface AdmissionView {
    readonly fleet: core.FleetDescription;
    readonly claim: rolloutClaims.Claim;
    /** Every claim, read after `claim` was written. */
    readonly claims: readonly rolloutClaims.Claim[];
    readonly state: upstreams.UpstreamState;
    /** Reports of other upstreams, read after `claims`. */
    readonly others: readonly ServingReport[];
}

/**
 * Whether a claim may go on. Of two claims that can't both stand the earlier one wins: the later was written after it
 * and so must see it, while the earlier need not see the later. Returns why not, or undefined.
 */
export function tryGetObstacle(view: AdmissionView): string | undefined {
    const loadObstacle = tryGetLoadObstacle(view.fleet, view.claim, view.claims, view.others);
    if (loadObstacle !== undefined) {
        return loadObstacle;
    }
    const changing = new Set(getEarlierClaims(view.fleet, view.claim, view.claims).map(other => other.upstream));
    // An upstream that the note wants to leave takes no new work, whatever it still reports.
    const leaving = new Set(view.fleet.upstreams.filter(upstream => upstream.isLeaving).map(upstream => upstream.id));
    const serving = view.others.filter(report => !changing.has(report.upstream) && !leaving.has(report.upstream));
    for (const model of view.fleet.models) {
        const obstacle =
            tryGetFloorObstacle(view, serving, model, core.RequestClass.Online, model.onlineFloor) ??
            tryGetFloorObstacle(view, serving, model, core.RequestClass.Batch, model.batchFloor);
        if (obstacle !== undefined) {
            return obstacle;
        }
    }
    return undefined;
}

/**
 * Why a load can't begin now. Counts the claims and, where reports are given, the engines that load without one: a
 * long outage ends every lease, and the first home to claim afterwards would not see the loads that went on.
 */
export function tryGetLoadObstacle(
    fleet: core.FleetDescription,
    claim: rolloutClaims.Claim,
    claims: readonly rolloutClaims.Claim[],
    others: readonly ServingReport[],
): string | undefined {
    const claimed = getEarlierClaims(fleet, claim, claims).filter(other => other.needsLoad);
    const loading = others.filter(report => report.state.isLoading);
    const loads = new Set([...claimed, ...loading].map(other => other.upstream)).size;
    const limit = fleet.weightStore.concurrentLoads;
    return claim.needsLoad && loads >= limit ? `the weight store's ${limit} loads are taken` : undefined;
}

function getEarlierClaims(
    fleet: core.FleetDescription,
    claim: rolloutClaims.Claim,
    claims: readonly rolloutClaims.Claim[],
): readonly rolloutClaims.Claim[] {
    const known = new Set(fleet.upstreams.map(upstream => upstream.id));
    return claims.filter(
        other => other.order < claim.order && known.has(other.upstream) && other.upstream !== claim.upstream,
    );
}

function tryGetFloorObstacle(
    view: AdmissionView,
    serving: readonly ServingReport[],
    model: core.ModelDescription,
    requestClass: core.RequestClass,
    floor: number,
): string | undefined {
    if (!servesModel(view.state, model.id, requestClass)) {
        return undefined;
    }
    const remaining = serving.filter(report => servesModel(report.state, model.id, requestClass)).length;
    return remaining >= floor
        ? undefined
        : `model '${model.id}' would be served by ${remaining} upstreams for ${requestClass}, under its floor of ${floor}`;
}

/** Whether an upstream serves a model now, at any version: an old version is capacity until it is replaced. */
export function servesModel(
    state: upstreams.UpstreamState,
    model: core.ModelId,
    requestClass: core.RequestClass,
): boolean {
    const isUp = !state.isLoading && !state.isLeaving && fleetCapacity.servesClass(state.role, requestClass);
    return isUp && state.models.some(held => held.model === model);
}

/** The engines whose reports the floors and the weight store's rate depend on. */
export function getOtherEngines(
    fleet: core.FleetDescription,
    upstream: core.UpstreamId,
): readonly core.UpstreamDescription[] {
    return fleet.upstreams.filter(other => other.kind === core.UpstreamKind.Engine && other.id !== upstream);
}
