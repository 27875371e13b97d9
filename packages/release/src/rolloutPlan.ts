import * as core from "@boragedale/core";
import type * as upstreams from "@boragedale/upstreams";
import * as fleetCapacity from "./fleetCapacity.js";
import * as noteDifferences from "./noteDifferences.js";
import type * as rolloutClaims from "./rolloutClaims.js";
import * as types from "./types.js";

/**
 * Decides the next step of the rollout for one upstream. The decision is a pure function of the upstream's current
 * report and of times that are passed in, and doesn't depend on stored progress, so that a coordinator that takes over
 * midway decides like its predecessor.
 */

export interface RolloutLimits {
    /** Longest time between sending an order and its last effect on an upstream that does not check fencing numbers. */
    readonly longestOrderMilliseconds: number;
    /**
     * Longest lag of an upstream's report. After this time, a report that doesn't show the effect of an order means
     * that the order failed.
     */
    readonly reportLagMilliseconds: number;
    /**
     * A load that takes longer is considered stuck. Its claim is released, so that it doesn't block other upstreams.
     */
    readonly loadTimeoutMilliseconds: number;
    /** The claim of an upstream that has been unreachable for longer is released. */
    readonly unreachableTimeoutMilliseconds: number;
    /** Time until every instance knows about a claim and sends the upstream no new requests. */
    readonly propagationMilliseconds: number;
    /**
     * Longest wait for running requests to finish before an order. Requests that are still running then are
     * interrupted; engines can resume them.
     */
    readonly drainMilliseconds: number;
    readonly firstRetryMilliseconds: number;
    readonly longestRetryMilliseconds: number;
}

export const DefaultLimits: RolloutLimits = {
    longestOrderMilliseconds: 5_000,
    reportLagMilliseconds: 5_000,
    loadTimeoutMilliseconds: 900_000,
    unreachableTimeoutMilliseconds: 30_000,
    propagationMilliseconds: 1_000,
    drainMilliseconds: 120_000,
    firstRetryMilliseconds: 5_000,
    longestRetryMilliseconds: 300_000,
};

/** The state of an engine that the note requires. */
export interface Target {
    readonly models: readonly upstreams.HeldModel[];
    readonly role: core.UpstreamRole;
}

/** An order that this coordinator sent. */
export interface SentOrder {
    readonly at: core.MonotonicMilliseconds;
    /** The ordered target, as formatted by `formatTarget`. */
    readonly targetText: string;
}

/** Everything that the next step depends on. */
export interface UpstreamView {
    readonly now: core.MonotonicMilliseconds;
    readonly target: Target;
    /** The upstream's report; undefined when it could not be read. */
    readonly state: upstreams.UpstreamState | undefined;
    readonly load: upstreams.LoadReport | undefined;
    readonly checksFencing: boolean;
    /** Whether the note marks the upstream as leaving, so that it gets no new requests. */
    readonly isLeaving: boolean;
    readonly coordinatorSince: core.MonotonicMilliseconds;
    readonly unreachableSince: core.MonotonicMilliseconds | undefined;
    readonly loadingSince: core.MonotonicMilliseconds | undefined;
    readonly claimedSince: core.MonotonicMilliseconds | undefined;
    readonly lastOrder: SentOrder | undefined;
    /** Time of the next attempt after a failure. */
    readonly retryAt: core.MonotonicMilliseconds | undefined;
    /** Reason of the last failure. */
    readonly failure: string;
    readonly limits: RolloutLimits;
}

export enum StepKind {
    /** The upstream has reached its target: release the claim. */
    Rest = "Rest",
    /** Nothing to do; read the report again later. */
    Observe = "Observe",
    /** Acquire a claim for the upstream. */
    Claim = "Claim",
    /** Send the order to change the upstream. */
    Order = "Order",
    /** Release the claim, report the reason, and try again later. */
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
    const isOutdatedOrder = view.lastOrder !== undefined && view.lastOrder.targetText !== formatTarget(target);
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
    return state.role === target.role && noteDifferences.holdsSameModels(state.models, target.models);
}

/** One line for operators, such as `heron@2.1+booking@4 (Mixed)`. */
export function formatTarget(target: Target): string {
    const models = noteDifferences.formatHeldModels(target.models);
    return `${models === "" ? "no model" : models} (${target.role})`;
}

/** Returns the delay after a number of failures; it doubles with each failure up to the longest delay. */
export function getRetryDelayMilliseconds(failures: number, limits: RolloutLimits): number {
    const delayMilliseconds = limits.firstRetryMilliseconds * 2 ** Math.max(0, Math.min(failures - 1, 20));
    return Math.min(delayMilliseconds, limits.longestRetryMilliseconds);
}

function decideUnreachable(view: UpstreamView): Step {
    const unreachableMilliseconds = view.unreachableSince === undefined ? 0 : view.now - view.unreachableSince;
    const reason = `does not answer for ${Math.round(unreachableMilliseconds / 1_000)} s`;
    const phase = types.UpstreamPhase.Unreachable;
    return view.claimedSince !== undefined && unreachableMilliseconds > view.limits.unreachableTimeoutMilliseconds
        ? { kind: StepKind.GiveUp, phase, reason }
        : { kind: StepKind.Observe, phase, reason };
}

function decideLoading(view: UpstreamView, state: upstreams.UpstreamState): Step {
    if (view.retryAt !== undefined) {
        return view.now < view.retryAt ? createRetryPending(view) : decideOrder(view, state);
    }
    const loadingMilliseconds = view.loadingSince === undefined ? 0 : view.now - view.loadingSince;
    const reason = `loads for ${Math.round(loadingMilliseconds / 1_000)} s`;
    return loadingMilliseconds > view.limits.loadTimeoutMilliseconds
        ? { kind: StepKind.GiveUp, phase: types.UpstreamPhase.Failed, reason }
        : { kind: StepKind.Observe, phase: types.UpstreamPhase.Loading, reason };
}

/**
 * A late order of a previous coordinator may still change an upstream that ignores fencing numbers. The state of such
 * an upstream is only trusted once any earlier order must have arrived.
 */
function decideReached(view: UpstreamView): Step {
    const lateOrdersPossibleSince = Math.max(view.coordinatorSince, view.lastOrder?.at ?? view.coordinatorSince);
    if (view.checksFencing || view.now - lateOrdersPossibleSince >= view.limits.longestOrderMilliseconds) {
        return { kind: StepKind.Rest };
    }
    return createObserve(types.UpstreamPhase.Waiting, "has reached its target, but late orders may still arrive");
}

function decideMismatch(view: UpstreamView, state: upstreams.UpstreamState, isOutdatedOrder: boolean): Step {
    if (view.lastOrder !== undefined && !isOutdatedOrder) {
        const orderedMilliseconds = view.now - view.lastOrder.at;
        if (orderedMilliseconds < view.limits.reportLagMilliseconds) {
            return createObserve(types.UpstreamPhase.Ordered, "ordered; not yet reported");
        }
        const reason = state.failure ?? `still reports ${formatTarget(state)} after the order`;
        return { kind: StepKind.GiveUp, phase: types.UpstreamPhase.Failed, reason };
    }
    if (view.retryAt !== undefined && view.now < view.retryAt) {
        return createRetryPending(view);
    }
    return decideOrder(view, state);
}

function decideOrder(view: UpstreamView, state: upstreams.UpstreamState): Step {
    if (view.isLeaving || state.isLeaving) {
        return decideLeaving(view);
    }
    if (!view.checksFencing && view.now - view.coordinatorSince < view.limits.longestOrderMilliseconds) {
        return createObserve(types.UpstreamPhase.Waiting, "waits until orders of an earlier coordinator have expired");
    }
    if (view.claimedSince === undefined) {
        return { kind: StepKind.Claim, needsLoad: noteDifferences.needsLoad(state.models, view.target.models) };
    }
    if (!isDrained(view, state)) {
        return createObserve(types.UpstreamPhase.Waiting, "waits until running requests have finished");
    }
    return { kind: StepKind.Order };
}

/**
 * A leaving upstream gets no order, since its load would count against the weight store's load limit and delay other
 * upstreams.
 */
function decideLeaving(view: UpstreamView): Step {
    const phase = types.UpstreamPhase.Waiting;
    const reason = "is leaving and takes no orders";
    return view.claimedSince === undefined
        ? { kind: StepKind.Observe, phase, reason }
        : { kind: StepKind.GiveUp, phase, reason };
}

/** An order may interrupt running requests, so it waits until there are none; the claim keeps new requests away. */
function isDrained(view: UpstreamView, state: upstreams.UpstreamState): boolean {
    if (state.models.length === 0 || view.claimedSince === undefined) {
        return true;
    }
    const claimAge = view.now - view.claimedSince;
    const isEmpty = view.load !== undefined && view.load.running + view.load.waiting === 0;
    return (claimAge >= view.limits.propagationMilliseconds && isEmpty) || claimAge >= view.limits.drainMilliseconds;
}

function createObserve(phase: types.UpstreamPhase, reason: string): Step {
    return { kind: StepKind.Observe, phase, reason };
}

function createRetryPending(view: UpstreamView): Step {
    const seconds = Math.round(((view.retryAt ?? view.now) - view.now) / 1_000);
    return createObserve(types.UpstreamPhase.Failed, `${view.failure}; next try in ${seconds} s`);
}

/** The report of an upstream other than the one to be changed. */
export interface ServingReport {
    readonly upstream: core.UpstreamId;
    readonly state: upstreams.UpstreamState;
}

export interface ClaimAdmissionView {
    readonly fleet: core.FleetDescription;
    readonly claim: rolloutClaims.Claim;
    /** All claims, read after `claim` was written. */
    readonly claims: readonly rolloutClaims.Claim[];
    readonly state: upstreams.UpstreamState;
    /** Reports of other upstreams, read after `claims`. */
    readonly others: readonly ServingReport[];
}

/**
 * Returns why a claim has to be released, or undefined if its change may proceed. Of two conflicting claims the earlier
 * one wins: the later one was written after it and is sure to see it, whereas the earlier one may not see the later
 * one.
 */
export function tryGetObstacle(view: ClaimAdmissionView): string | undefined {
    const loadObstacle = tryGetLoadObstacle(view.fleet, view.claim, view.claims, view.others);
    if (loadObstacle !== undefined) {
        return loadObstacle;
    }
    const changing = new Set(getEarlierClaims(view.fleet, view.claim, view.claims).map(other => other.upstream));
    // An upstream that the note marks as leaving gets no new requests, whatever it reports.
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
 * Returns why a load can't begin now, or undefined. Counts the earlier claims and, if reports are given, the engines
 * that load without a claim: all leases expire in a long outage of the key-value service, and a claim made afterwards
 * would not see the loads that are still running.
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
    view: ClaimAdmissionView,
    serving: readonly ServingReport[],
    model: core.ModelDescription,
    requestClass: core.RequestClass,
    floor: number,
): string | undefined {
    if (!isServingModel(view.state, model.id, requestClass)) {
        return undefined;
    }
    const remaining = serving.filter(report => isServingModel(report.state, model.id, requestClass)).length;
    return remaining >= floor
        ? undefined
        : `model '${model.id}' would be served by ${remaining} upstreams for ${requestClass}, under its floor of ${floor}`;
}

/** Whether an upstream serves a model now, in any version. An old version counts as capacity until it is replaced. */
export function isServingModel(
    state: upstreams.UpstreamState,
    model: core.ModelId,
    requestClass: core.RequestClass,
): boolean {
    const isUp = !state.isLoading && !state.isLeaving && fleetCapacity.servesClass(state.role, requestClass);
    return isUp && state.models.some(held => held.model === model);
}

/** Returns the other engines, on whose reports the floors and the weight store's load limit depend. */
export function getOtherEngines(
    fleet: core.FleetDescription,
    upstream: core.UpstreamId,
): readonly core.UpstreamDescription[] {
    return fleet.upstreams.filter(other => other.kind === core.UpstreamKind.Engine && other.id !== upstream);
}
