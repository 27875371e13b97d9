import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as answerRelay from "./answerRelay.js";
import * as routeTable from "./routeTable.js";
import * as types from "./types.js";

/** A completely read request, with the route and deadline that limit its attempts. */
export interface ReadRequest {
    readonly raw: types.RawRequest;
    readonly head: types.RequestHead;
    readonly route: types.Route;
    readonly body: Buffer;
    readonly arrivedAt: core.MonotonicMilliseconds;
    readonly deadline: core.MonotonicMilliseconds;
    /** Name of the customer; undefined if the request needed no key. */
    readonly customer: string | undefined;
    /** Relative share of the customer. Absent: 1. */
    readonly weight?: number | undefined;
    /** Priority of the customer. Absent: that of the route. */
    readonly priority?: number | undefined;
}

/** State of a request over all its attempts. */
export interface Progress {
    readonly request: ReadRequest;
    /** Identical for all attempts of the same request, including the caller's own retries. */
    readonly fingerprint: string;
    readonly prompt: decisions.PromptRequest;
    readonly delivery: answerRelay.Delivery;
    /** Upstreams to which an attempt was made. */
    readonly tried: Set<core.UpstreamId>;
    /** Attempts that may have run at an upstream. */
    runs: number;
    /** Attempts started, including those that provably did not run. */
    sends: number;
    /** Time spent waiting for a slot; undefined where requests wait in the engines' own queues. */
    waitMilliseconds: number | undefined;
    /** Relays of the attempts in progress: one, or two while a silent upstream may still answer. */
    readonly relays: Set<answerRelay.AnswerRelay>;
    /** The hedge: a second attempt beside a silent one. Resolves to whether it answered the request. */
    hedge: Promise<boolean> | undefined;
    /** Where the request goes on after the attempt in progress, which is stopped because its upstream is silent. */
    fallback: Placement | undefined;
    /** What the last attempt received of an answer. */
    received: answerRelay.ReceivedAnswer | undefined;
    /** Software version of the last attempt's upstream; undefined before the first attempt. */
    upstreamVersion: string | undefined;
    /**
     * Software version of the upstream that began the stream. The events of two versions don't fit together, and upstreams
     * don't check which version a stream began at. Undefined while the stream has no events.
     */
    streamVersion: string | undefined;
    /** Whether the last choice of an upstream left out those of other versions. */
    isVersionBound: boolean;
    isCallerDisconnected: boolean;
    isTimedOut: boolean;
    /** Estimated number of requests at the chosen upstream at the time it was chosen. */
    estimatedUse: decisions.SlotUse;
    /** Number of usable upstreams of the service at the time the upstream was chosen. */
    knownUpstreams: number;
}

/** The upstream of the next attempt. */
export interface Placement {
    readonly upstream: types.UpstreamEntry;
    /** Whether the upstream's coordinator has already counted the slot as used by this member. */
    readonly isCounted: boolean;
}

/** The service of the request's route; undefined if the route has none. A stream goes on at the service that began it. */
export function tryGetService({ head, route }: Pick<ReadRequest, "head" | "route">): string | undefined {
    return routeTable.chooseService(route, head.promptParts.at(-1) ?? head.firstAttemptId ?? head.attemptId);
}

/** The id by which a stream is known: that of its caller's first try. */
export function getStreamName({ head }: ReadRequest): string {
    return head.firstAttemptId ?? head.attemptId;
}

/** The event after which the caller continues its stream; undefined if it continues none, or gives no number. */
export function tryGetContinuedAfter({ head, route }: ReadRequest): number | undefined {
    const id = head.lastEventId === undefined || head.lastEventId.trim() === "" ? NaN : Number(head.lastEventId);
    return route.kind === types.RouteKind.Stream && Number.isSafeInteger(id) ? id : undefined;
}

/** Whether the request may be sent to another upstream although the last one may have run it. */
export function isRepeatable({ request, delivery }: Progress): boolean {
    switch (request.route.kind) {
        case types.RouteKind.Safe:
            // A second answer would be appended to what the caller has of the first one.
            return !delivery.isStarted;
        case types.RouteKind.Stream:
            // Without event ids, no upstream can tell where the stream goes on.
            return request.route.isResumable && (!delivery.isStarted || delivery.lastEventId !== undefined);
        case types.RouteKind.Unsafe:
        case types.RouteKind.Batch:
            return false;
    }
}

/**
 * Whether the request may be refused because of a queue. A stream that is bound to a software version can't choose among
 * all upstreams as others can, and its caller would lose what it has.
 */
export function isRefusable({ runs, isVersionBound }: Progress): boolean {
    return runs === 0 && !isVersionBound;
}

/** Whether the request may be sent again after an attempt that has ended, or that would be ended now, in the given way. */
export function mayRepeat(progress: Progress, end: decisions.AttemptEnd, now: core.MonotonicMilliseconds): boolean {
    const { request, delivery, runs, sends } = progress;
    return decisions.mayRetry({
        end,
        isRepeatable: isRepeatable(progress),
        runs,
        sends,
        allowedRuns: request.route.attempts,
        remainingMilliseconds: request.deadline - now,
        hasBegun: delivery.isStarted,
    });
}
