import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import type * as simulation from "../simulation.js";
import type * as engineQueue from "./engineQueue.js";
import * as slotsFleet from "./slotsFleet.js";

/** A first event after this time counts as late. */
export const LatencyTargetMilliseconds = 300;
export const DeadlineMilliseconds = 5_000;
const StreamEvents = 20;
/** Constants of the gateway's `RequestForwarder`. */
const InitialServiceMilliseconds = 800;
const ExpectedFirstAnswerMilliseconds = 70;
const MeanWeight = 0.1;

/** What the choice of a slot may consider about an online request. */
export interface OnlineOptions {
    readonly customer: string;
    /** The customer's limit in requests per second. */
    readonly weight: number;
    readonly priority: number;
    readonly remainingMilliseconds: number;
    readonly latencyTargetMilliseconds: number;
    /** Whether the request was refused before. */
    readonly isReturning: boolean;
}

export enum PlacementKind {
    Placed = "Placed",
    Refused = "Refused",
}

export type Placement =
    | {
          readonly kind: PlacementKind.Placed;
          readonly upstream: string;
          readonly isCounted: boolean;
          readonly yielder: string | undefined;
      }
    | { readonly kind: PlacementKind.Refused; readonly retryAfterMilliseconds: number };

/** One instance of the scene, with what its request forwarder keeps. */
export interface OnlineMember {
    readonly fleetMember: slotsFleet.Member;
    readonly random: () => number;
    meanServiceMilliseconds: number | undefined;
    meanFirstMilliseconds?: number;
}

/** `SlotSharing.chooseOnline` with options, which it may ignore. */
type ChooseOnline = (
    service: string,
    candidates: readonly decisions.SlotCandidate[],
    options: OnlineOptions,
) => Promise<gateway.GrantedSlotChoice | undefined>;

/**
 * Obtains a slot for an online request, or refuses it, as `RequestForwarder.tryChoosePlacement` does. The only place
 * that has to change with the way in which requests get their slots.
 */
export async function choosePlacement(member: OnlineMember, options: OnlineOptions): Promise<Placement> {
    const { slots, candidates } = member.fleetMember;
    if (slots.ordersOnline(slotsFleet.Service)) {
        return placeInOrder(member, options);
    }
    const chooseOnline: ChooseOnline = slots.chooseOnline.bind(slots);
    const choice = await chooseOnline(slotsFleet.Service, candidates, options);
    const chosen = candidates.find(candidate => candidate.id === choice?.id);
    if (choice === undefined || chosen === undefined) {
        return { kind: PlacementKind.Refused, retryAfterMilliseconds: LatencyTargetMilliseconds };
    }
    const outlook = {
        waiting: choice.waiting,
        slots: chosen.slots,
        serviceMilliseconds: member.meanServiceMilliseconds ?? InitialServiceMilliseconds,
        firstAnswerMilliseconds: ExpectedFirstAnswerMilliseconds,
        latencyTargetMilliseconds: options.latencyTargetMilliseconds,
        remainingMilliseconds: options.remainingMilliseconds,
    };
    const verdict = decisions.decideOnlineAdmission(outlook, member.random);
    if (!verdict.isAdmitted) {
        return { kind: PlacementKind.Refused, retryAfterMilliseconds: verdict.retryAfterMilliseconds };
    }
    return {
        kind: PlacementKind.Placed,
        upstream: choice.id,
        isCounted: choice.isCounted,
        yielder: choice.yielder,
    };
}

/** The same where coordinators order the waiting requests. */
async function placeInOrder(member: OnlineMember, options: OnlineOptions): Promise<Placement> {
    const { slots, candidates } = member.fleetMember;
    const { customer, weight, priority, remainingMilliseconds, latencyTargetMilliseconds, isReturning } = options;
    const waitMilliseconds = decisions.getMaximumOnlineWait({
        elapsedMilliseconds: 0,
        firstAnswerMilliseconds: member.meanFirstMilliseconds ?? ExpectedFirstAnswerMilliseconds,
        latencyTargetMilliseconds,
        givenMilliseconds: isReturning ? remainingMilliseconds : DeadlineMilliseconds,
        remainingMilliseconds,
        timeoutMilliseconds: DeadlineMilliseconds,
        hasAttempts: false,
    });
    const request = { share: customer, weight, priority, remainingMilliseconds, waitMilliseconds };
    const outcome = await slots.placeOnline(slotsFleet.Service, candidates, {
        ...request,
        isRefusable: true,
        isWanted: () => true,
    });
    if (outcome.kind === gateway.OnlineOutcomeKind.Chosen) {
        const { id, isCounted, yielder } = outcome.choice;
        return { kind: PlacementKind.Placed, upstream: id, isCounted, yielder };
    }
    const expectedWait =
        outcome.kind === gateway.OnlineOutcomeKind.Refused
            ? outcome.expectedWaitMilliseconds
            : InitialServiceMilliseconds;
    const retryAfterMilliseconds = decisions.getOnlineRetryAfter(expectedWait, member.random);
    return { kind: PlacementKind.Refused, retryAfterMilliseconds };
}

/** An online request of the scene with its outcome. */
export interface OnlineRequest {
    readonly customer: string;
    readonly weight: number;
    readonly arrivedAt: number;
    firstEventAt: number | undefined;
    isRefused: boolean;
}

/** Plays one request from its arrival to its last event. A refused caller returns once. */
export async function serveOnline(
    time: simulation.Simulation,
    member: OnlineMember,
    engines: ReadonlyMap<string, engineQueue.EngineQueue>,
    request: OnlineRequest,
    isReturning = false,
): Promise<void> {
    const { slots } = member.fleetMember;
    const placement = await choosePlacement(member, {
        customer: request.customer,
        weight: request.weight,
        priority: 0,
        remainingMilliseconds: request.arrivedAt + DeadlineMilliseconds - time.now(),
        latencyTargetMilliseconds: LatencyTargetMilliseconds,
        isReturning,
    });
    if (placement.kind === PlacementKind.Refused) {
        if (isReturning) {
            request.isRefused = true;
            return;
        }
        time.schedule(placement.retryAfterMilliseconds, () => void serveOnline(time, member, engines, request, true));
        return;
    }
    const { upstream, isCounted, yielder } = placement;
    if (time.now() >= request.arrivedAt + DeadlineMilliseconds) {
        request.isRefused = true;
        if (isCounted) {
            slots.returnSlot(upstream);
        }
        return;
    }
    if (yielder !== undefined) {
        slots.requestYield(upstream, yielder);
    }
    slots.take(upstream, false, isCounted);
    const startedAt = time.now();
    const meter = slots.speeds?.startStream(upstream, slotsFleet.Service);
    const onEvent = (isFirst: boolean): void => {
        meter?.onEvents(1, time.now());
        if (isFirst) {
            request.firstEventAt = time.now();
            const first = time.now() - startedAt;
            const mean = member.meanFirstMilliseconds;
            member.meanFirstMilliseconds = mean === undefined ? first : mean + (first - mean) * MeanWeight;
        }
    };
    const onEnd = (): void => {
        const milliseconds = time.now() - startedAt;
        const mean = member.meanServiceMilliseconds;
        member.meanServiceMilliseconds = mean === undefined ? milliseconds : mean + (milliseconds - mean) * MeanWeight;
        slots.release(upstream, false);
        slots.recordServiceTime(slotsFleet.Service, milliseconds);
    };
    engines.get(upstream)?.addRequest({ events: StreamEvents, onEvent, onEnd });
}
