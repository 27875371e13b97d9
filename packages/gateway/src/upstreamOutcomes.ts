import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as answerRelay from "./answerRelay.js";
import * as gatewayLog from "./gatewayLog.js";
import type * as requestProgress from "./requestProgress.js";
import type * as slotSharing from "./slotSharing.js";
import * as types from "./types.js";

/** Dependencies of `UpstreamOutcomes`. */
export interface UpstreamOutcomeParts {
    readonly slots: slotSharing.SlotSharing;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
}

const GatewayTimeoutStatus = 504;
/** A stream that had a free slot and has no event after this multiple of the latency target counts as an upstream failure. */
const FirstEventOverdueFactor = 2;

/** Records what attempts say of their upstreams, and avoids those that fail repeatedly. */
export class UpstreamOutcomes {
    /** By service, since the number of upstreams avoided at the same time is limited to a share of the service's upstreams. */
    private readonly failureWatches = new Map<string, decisions.FailureWatch>();

    constructor(private readonly parts: UpstreamOutcomeParts) {}

    /** Records an attempt as success or failure of the upstream. Rejections as full and stops by the gateway are neither. */
    record(
        progress: requestProgress.Progress,
        upstream: types.UpstreamEntry,
        outcome: answerRelay.AttemptOutcome,
    ): void {
        switch (outcome.kind) {
            case answerRelay.AttemptOutcomeKind.Delivered:
                this.recordResult(progress, upstream, false);
                break;
            case answerRelay.AttemptOutcomeKind.Failed:
                // Upstreams answer 504 when the request's deadline passes. On routes with a short timeout this is no fault of theirs.
                if (outcome.answer.status !== GatewayTimeoutStatus) {
                    this.recordResult(progress, upstream, true);
                }
                break;
            case answerRelay.AttemptOutcomeKind.Lost:
            case answerRelay.AttemptOutcomeKind.Silent:
                this.recordResult(progress, upstream, true);
                break;
            case answerRelay.AttemptOutcomeKind.NotRun:
            case answerRelay.AttemptOutcomeKind.Misdirected:
            case answerRelay.AttemptOutcomeKind.NotSent:
            case answerRelay.AttemptOutcomeKind.Stopped:
                break;
        }
    }

    /** Records a success or failure of the upstream, and avoids it for a time after repeated failures. */
    private recordResult(progress: requestProgress.Progress, upstream: types.UpstreamEntry, isFailure: boolean): void {
        const now = this.parts.clock.now();
        const watch = this.failureWatches.get(upstream.service) ?? new decisions.FailureWatch();
        this.failureWatches.set(upstream.service, watch);
        const avoidedUntil = watch.recordOutcome(upstream.id, isFailure, progress.knownUpstreams, now);
        if (avoidedUntil !== undefined) {
            this.parts.slots.slotTable.penalize(upstream.id, avoidedUntil);
            this.parts.log.recordEvent(gatewayLog.GatewayEvent.UpstreamAvoided, {
                upstream: upstream.id,
                milliseconds: avoidedUntil - now,
            });
        }
    }

    /**
     * Records a failure of the upstream if a stream that had a free slot gets no event long after the latency target. The request
     * itself may not be repeatable, but later ones avoid the hanging upstream. Without this check it would be detected only
     * seconds later, when callers give up.
     */
    watchFirstEvent(progress: requestProgress.Progress, placement: requestProgress.Placement): () => void {
        const { upstream } = placement;
        const { online, batch } = progress.estimatedUse;
        const hadFreeSlot = placement.isCounted || online + batch < upstream.slots;
        if (progress.request.route.kind !== types.RouteKind.Stream || progress.delivery.isStarted || !hadFreeSlot) {
            return () => undefined;
        }
        const limit = progress.request.route.latencyTargetMilliseconds * FirstEventOverdueFactor;
        return this.parts.clock.schedule(limit, () => {
            if (!progress.delivery.isStarted) {
                this.recordResult(progress, upstream, true);
            }
        });
    }
}
