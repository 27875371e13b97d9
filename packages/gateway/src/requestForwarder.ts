import * as http from "node:http";
import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as answerRelay from "./answerRelay.js";
import type * as channelDirectory from "./channelDirectory.js";
import * as crashWatch from "./crashWatch.js";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import * as routeTable from "./routeTable.js";
import type * as slotSharing from "./slotSharing.js";
import * as types from "./types.js";
import type * as wire from "./wire.js";

export interface ForwarderParts {
    readonly wire: wire.CallerWire;
    readonly view: fleetView.FleetView;
    readonly channels: channelDirectory.Channels;
    readonly slots: slotSharing.SlotSharing;
    readonly crashes: crashWatch.CrashWatch;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
    readonly dataCentre: core.DataCentre;
    readonly random: () => number;
}

/** A request that was read whole, with all that decides how long and how often it may be tried. */
export interface ReadRequest {
    readonly raw: types.RawRequest;
    readonly head: types.RequestHead;
    readonly route: types.Route;
    readonly body: Buffer;
    readonly arrivedAt: core.MonotonicMilliseconds;
    readonly deadline: core.MonotonicMilliseconds;
    /** Name of the customer whose request it is; undefined where it needed no key. */
    readonly customer: string | undefined;
}

interface Progress {
    readonly request: ReadRequest;
    /** The same for each attempt of the same request, also of the caller's own. */
    readonly fingerprint: string;
    readonly delivery: answerRelay.Delivery;
    readonly tried: Set<core.UpstreamId>;
    runs: number;
    sends: number;
    relay: answerRelay.AnswerRelay | undefined;
    isCallerGone: boolean;
    isTimedOut: boolean;
    /** What was believed of the chosen upstream when it was chosen. */
    believed: decisions.SlotUse;
    /** Upstreams of the service when it was chosen. */
    knownUpstreams: number;
}

/** Where the next attempt goes. */
interface Placement {
    readonly upstream: types.UpstreamEntry;
    /** Whether the upstream's home counts the place already. */
    readonly isCounted: boolean;
}

/**
 * Silence after which a repeatable request goes elsewhere, as a share of what is left of its time: late enough that a
 * working upstream has answered, early enough that a second one still can.
 */
const SilentShare = 0.4;
/** A stream that may be resumed is taken up elsewhere after this much silence: engines send an event each 30 ms. */
const SilentStreamMilliseconds = 800;
const GatewayTimeoutStatus = 504;
/** A first event that is so many latency targets late, from a place that was free, is a failure of the upstream. */
const OverdueFactor = 2;
/** First guesses until durations have been seen: a stream's time in a place, and time to its first event. */
const FirstServiceMilliseconds = 800;
const FirstAnswerMilliseconds = 70;
/** Weight of a new duration in the running mean. */
const MeanWeight = 0.1;
/** An upstream that refused as full is left out for this long: about the time in which one of its places comes free. */
const FullPenaltyMilliseconds = 60;
/** An upstream that could not be reached is left out for this long; a crashed one is back after seconds. */
const UnreachablePenaltyMilliseconds = 1_000;
/** When to come back where no upstream is known or reachable. */
const NoUpstreamRetryMilliseconds = 500;

/** Forwards one request: chooses an upstream, passes the answer on, repeats where that is allowed. */
export class RequestForwarder {
    private readonly serviceMeans = new Map<string, number>();
    /** By service: how many upstreams may be avoided at a time is a share of one service's. */
    private readonly failures = new Map<string, decisions.FailureWatch>();

    constructor(private readonly parts: ForwarderParts) {}

    /** Resolves when the request is over, to whether an upstream may have run it. */
    async forward(request: ReadRequest, response: http.ServerResponse): Promise<boolean> {
        const delivery = { response, isStarted: false, lastEventId: undefined, firstByteAt: undefined };
        const progress: Progress = {
            request,
            fingerprint: crashWatch.createFingerprint(request.raw.target, request.body),
            delivery,
            tried: new Set(),
            runs: 0,
            sends: 0,
            relay: undefined,
            isCallerGone: response.destroyed,
            isTimedOut: false,
            believed: { online: 0, batch: 0 },
            knownUpstreams: 0,
        };
        const onClose = (): void => {
            if (!response.writableFinished) {
                progress.isCallerGone = true;
                progress.relay?.stop(answerRelay.AttemptOutcomeKind.Stopped, "the caller left");
            }
        };
        response.once("close", onClose);
        const stopTimer = this.parts.clock.schedule(request.deadline - this.parts.clock.now(), () => {
            progress.isTimedOut = true;
            progress.relay?.stop(answerRelay.AttemptOutcomeKind.Stopped, "the deadline passed");
        });
        try {
            await this.run(progress);
        }
        finally {
            stopTimer();
            response.off("close", onClose);
        }
        return progress.runs > 0;
    }

    private async run(progress: Progress): Promise<void> {
        for (;;) {
            const placement = await this.tryChoose(progress);
            if (placement === undefined) {
                return;
            }
            if (progress.isCallerGone || progress.isTimedOut) {
                this.abandon(progress, placement);
                return;
            }
            const outcome = await this.attempt(progress, placement);
            if (this.settle(progress, placement.upstream, outcome)) {
                return;
            }
        }
    }

    /** The caller left, or its time ran out, while a home was asked for the place: nothing is sent, and others get the place. */
    private abandon(progress: Progress, placement: Placement): void {
        const { id } = placement.upstream;
        if (placement.isCounted) {
            this.parts.slots.giveBack(id);
        }
        if (progress.isCallerGone) {
            this.parts.log.finished(progress.request, "the caller left", id, progress);
            return;
        }
        this.refuse(progress, getTimeoutReason(progress), undefined, id);
    }

    /** The upstream for the next attempt; undefined when the request was refused instead. */
    private async tryChoose(progress: Progress): Promise<Placement | undefined> {
        const { request } = progress;
        const now = this.parts.clock.now();
        const suspicion = this.parts.crashes.registry.judge(progress.fingerprint, now);
        if (suspicion.verdict === decisions.SuspectVerdict.Quarantined) {
            const retryAfter = suspicion.retryAfterMilliseconds;
            this.refuse(progress, types.RefusalReason.Quarantined, retryAfter, `${suspicion.deaths} upstreams died`);
            return undefined;
        }
        const key = request.head.promptParts.at(-1) ?? request.head.attemptId;
        const service = routeTable.chooseService(request.route, key);
        const usable = service === undefined ? [] : this.parts.view.getUsable(service, now);
        const fresh = usable.filter(upstream => !progress.tried.has(upstream.entry.id));
        const untried = (fresh.length > 0 ? fresh : usable).map(upstream => upstream.entry);
        // A suspect runs apart from other suspects where it can, so that the next death tells them apart.
        const apart = untried.filter(entry => this.parts.crashes.registry.maySend(progress.fingerprint, entry.id, now));
        const candidates = (apart.length > 0 ? apart : untried).map(entry => ({
            ...entry,
            hasIdleConnection: this.parts.channels.hasIdleConnection(entry),
        }));
        const choice = service === undefined ? undefined : await this.parts.slots.chooseOnline(service, candidates);
        const chosen = candidates.find(candidate => candidate.id === choice?.id);
        if (service === undefined || choice === undefined || chosen === undefined) {
            this.refuse(
                progress,
                types.RefusalReason.NoUpstream,
                NoUpstreamRetryMilliseconds,
                `of ${service ?? "no service"}`,
            );
            return undefined;
        }
        const outlook = {
            waiting: choice.waiting,
            slots: chosen.slots,
            serviceMilliseconds: this.serviceMeans.get(service) ?? FirstServiceMilliseconds,
            firstAnswerMilliseconds: FirstAnswerMilliseconds,
            latencyTargetMilliseconds: request.route.latencyTargetMilliseconds,
            remainingMilliseconds: request.deadline - now,
        };
        const verdict = decisions.judgeOnline(outlook, this.parts.random);
        if (!verdict.isAdmitted && progress.runs === 0) {
            this.refuse(
                progress,
                types.RefusalReason.Overloaded,
                verdict.retryAfterMilliseconds,
                `${choice.waiting} wait at ${chosen.id}, ${candidates.length} candidates`,
            );
            return undefined;
        }
        if (choice.yielder !== undefined) {
            this.parts.slots.askToYield(choice.id, choice.yielder);
        }
        progress.knownUpstreams = usable.length;
        progress.believed = this.parts.slots.board.getTotal(chosen.id);
        return { upstream: chosen, isCounted: choice.isCounted };
    }

    private async attempt(progress: Progress, placement: Placement): Promise<answerRelay.AttemptOutcome> {
        const { upstream } = placement;
        const { request, delivery } = progress;
        const { clock } = this.parts;
        const lastEventId = delivery.lastEventId === undefined ? undefined : String(delivery.lastEventId);
        const startedAt = clock.now();
        const runsBefore = progress.runs;
        let stopSilence = (): void => undefined;
        const watchSilence = (): void => {
            stopSilence();
            const limit = this.getSilenceLimit(progress, runsBefore);
            if (limit !== undefined) {
                stopSilence = clock.schedule(limit, () =>
                    relay.stop(answerRelay.AttemptOutcomeKind.Silent, `silent for ${Math.round(limit)} ms`),
                );
            }
        };
        const relay = new answerRelay.AnswerRelay({
            wire: this.parts.wire,
            delivery,
            attemptId: request.head.attemptId,
            isStream: request.route.kind === types.RouteKind.Stream,
            now: () => clock.now(),
            onSent: () => progress.runs++,
            onProgress: watchSilence,
        });
        progress.relay = relay;
        progress.sends++;
        progress.tried.add(upstream.id);
        this.parts.slots.take(upstream.id, false, placement.isCounted);
        this.parts.crashes.registry.onSent(request.head.attemptId, progress.fingerprint, upstream.id, startedAt);
        const headers = this.parts.wire.createForwardHeaders(request.raw.rawHeaders, {
            upstream: upstream.id,
            remainingMilliseconds: request.deadline - startedAt,
            lastEventId,
            customer: request.customer,
            passesCredentials: this.parts.view.passesCredentials(request.customer),
        });
        const exchange = this.parts.channels
            .get(upstream)
            .start({ method: request.raw.method, target: request.raw.target, headers, body: toBody(request) }, relay);
        relay.attach(exchange);
        watchSilence();
        const stopOverdue = this.watchFirstEvent(progress, placement);
        if (progress.isCallerGone || progress.isTimedOut) {
            relay.stop(answerRelay.AttemptOutcomeKind.Stopped, "over before it was sent");
        }
        const outcome = await relay.outcome;
        stopSilence();
        stopOverdue();
        progress.relay = undefined;
        this.parts.slots.release(upstream.id, false);
        this.noteEnd(progress, upstream, outcome);
        await this.tellCrashWatch(progress, upstream, outcome);
        if (outcome.kind === answerRelay.AttemptOutcomeKind.Delivered) {
            this.recordDuration(upstream.service, clock.now() - startedAt);
        }
        return outcome;
    }

    /** Whether the upstream failed the request; ends that only say that it was full, or that this side stopped, tell nothing. */
    private noteEnd(progress: Progress, upstream: types.UpstreamEntry, outcome: answerRelay.AttemptOutcome): void {
        switch (outcome.kind) {
            case answerRelay.AttemptOutcomeKind.Delivered:
                this.noteFailure(progress, upstream, false);
                break;
            case answerRelay.AttemptOutcomeKind.Failed:
                // At the deadline that it was given an upstream answers so too: a route with a short one would have sound upstreams avoided.
                if (outcome.answer.status !== GatewayTimeoutStatus) {
                    this.noteFailure(progress, upstream, true);
                }
                break;
            case answerRelay.AttemptOutcomeKind.Lost:
            case answerRelay.AttemptOutcomeKind.Silent:
                this.noteFailure(progress, upstream, true);
                break;
            case answerRelay.AttemptOutcomeKind.NotRun:
            case answerRelay.AttemptOutcomeKind.NotSent:
            case answerRelay.AttemptOutcomeKind.Stopped:
                break;
        }
    }

    private noteFailure(progress: Progress, upstream: types.UpstreamEntry, isFailure: boolean): void {
        const now = this.parts.clock.now();
        const watch = this.failures.get(upstream.service) ?? new decisions.FailureWatch();
        this.failures.set(upstream.service, watch);
        const avoidedUntil = watch.noteEnd(upstream.id, isFailure, progress.knownUpstreams, now);
        if (avoidedUntil !== undefined) {
            this.parts.slots.board.penalize(upstream.id, avoidedUntil);
            this.parts.log.note(gatewayLog.GatewayEvent.UpstreamAvoided, {
                upstream: upstream.id,
                milliseconds: avoidedUntil - now,
            });
        }
    }

    /**
     * A stream that found a free place and has no event long after its target hangs. It may not be sent again, but the next ones
     * needn't join it: without this the upstream is known only when callers give up, after seconds.
     */
    private watchFirstEvent(progress: Progress, placement: Placement): () => void {
        const { upstream } = placement;
        const { online, batch } = progress.believed;
        const hadPlace = placement.isCounted || online + batch < upstream.slots;
        if (progress.request.route.kind !== types.RouteKind.Stream || progress.delivery.isStarted || !hadPlace) {
            return () => undefined;
        }
        const limit = progress.request.route.latencyTargetMilliseconds * OverdueFactor;
        return this.parts.clock.schedule(limit, () => {
            if (!progress.delivery.isStarted) {
                this.noteFailure(progress, upstream, true);
            }
        });
    }

    private async tellCrashWatch(
        progress: Progress,
        upstream: types.UpstreamEntry,
        outcome: answerRelay.AttemptOutcome,
    ): Promise<void> {
        const { registry } = this.parts.crashes;
        const kinds = answerRelay.AttemptOutcomeKind;
        const id = progress.request.head.attemptId;
        if (outcome.kind === kinds.Delivered || outcome.kind === kinds.Failed) {
            registry.onFinished(id, upstream.id);
            return;
        }
        if (outcome.kind === kinds.Lost) {
            await this.parts.crashes.onBroken(upstream);
        }
        registry.onAbandoned(id, upstream.id);
    }

    /** Deals with the end of an attempt; true when the request has its final answer. */
    private settle(progress: Progress, upstream: types.UpstreamEntry, outcome: answerRelay.AttemptOutcome): boolean {
        const now = this.parts.clock.now();
        const { request, delivery } = progress;
        const kinds = answerRelay.AttemptOutcomeKind;
        if (progress.isCallerGone) {
            this.parts.log.finished(request, "the caller left", upstream.id, progress);
            return true;
        }
        if (progress.isTimedOut && outcome.kind !== kinds.Delivered) {
            this.refuse(progress, getTimeoutReason(progress), undefined, upstream.id);
            return true;
        }
        switch (outcome.kind) {
            case kinds.Delivered:
                this.parts.log.finished(request, outcome.text, upstream.id, progress);
                return true;
            case kinds.NotRun:
                progress.runs--;
                this.parts.slots.board.penalize(upstream.id, now + FullPenaltyMilliseconds);
                break;
            case kinds.NotSent:
                this.parts.slots.board.penalize(upstream.id, now + UnreachablePenaltyMilliseconds);
                break;
            case kinds.Silent:
                this.parts.channels.get(upstream).renew();
                this.parts.slots.board.penalize(upstream.id, now + UnreachablePenaltyMilliseconds);
                break;
            case kinds.Lost:
            case kinds.Stopped:
            case kinds.Failed:
                break;
        }
        const isNotRun = outcome.kind === kinds.NotRun || outcome.kind === kinds.NotSent;
        const mayRepeat = decisions.mayRepeat({
            end: isNotRun ? decisions.AttemptEnd.NotRun : decisions.AttemptEnd.MayHaveRun,
            isRepeatable: isRepeatable(request.route),
            runs: progress.runs,
            sends: progress.sends,
            allowedRuns: request.route.attempts,
            remainingMilliseconds: request.deadline - now,
        });
        const text = outcome.kind === kinds.Failed ? `status ${outcome.answer.status}` : outcome.text;
        this.parts.log.attemptEnded(request, upstream.id, outcome.kind, text, mayRepeat);
        if (mayRepeat) {
            return false;
        }
        if (outcome.kind === kinds.Failed && !delivery.isStarted) {
            answerRelay.deliverHeld(this.parts.wire, delivery, outcome.answer);
            this.parts.log.finished(request, `status ${outcome.answer.status}`, upstream.id, progress);
            return true;
        }
        if (progress.runs === 0) {
            this.refuse(progress, types.RefusalReason.Overloaded, FullPenaltyMilliseconds * 4, text);
            return true;
        }
        this.refuse(progress, types.RefusalReason.UpstreamFailed, undefined, text);
        return true;
    }

    private refuse(
        progress: Progress,
        reason: types.RefusalReason,
        retryAfterMilliseconds: number | undefined,
        detail: string,
    ): void {
        const { request, delivery } = progress;
        this.parts.log.refused(request, reason, detail, progress);
        if (delivery.isStarted) {
            // The caller has a part: only a connection that breaks tells it that the rest won't come.
            delivery.response.destroy();
            return;
        }
        sendRefusal(this.parts.wire, delivery.response, { reason, retryAfterMilliseconds });
    }

    /** Undefined where silence changes nothing: another attempt would not be allowed. */
    private getSilenceLimit(progress: Progress, runsBefore: number): number | undefined {
        const { request, delivery } = progress;
        if (!isRepeatable(request.route) || runsBefore + 1 >= request.route.attempts) {
            return undefined;
        }
        const remaining = request.deadline - this.parts.clock.now();
        if (request.route.kind !== types.RouteKind.Stream) {
            return Math.max(request.route.latencyTargetMilliseconds, remaining * SilentShare);
        }
        return delivery.isStarted
            ? SilentStreamMilliseconds
            : Math.max(SilentStreamMilliseconds, remaining * SilentShare);
    }

    private recordDuration(service: string, milliseconds: number): void {
        const mean = this.serviceMeans.get(service);
        this.serviceMeans.set(service, mean === undefined ? milliseconds : mean + (milliseconds - mean) * MeanWeight);
    }
}

/** Answers with a refusal of ours. */
export function sendRefusal(
    callerWire: wire.CallerWire,
    response: http.ServerResponse,
    refusal: types.GatewayRefusal,
): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const answer = callerWire.createRefusal(refusal);
    response.writeHead(answer.status, http.STATUS_CODES[answer.status], [
        ...answer.headers,
        "Content-Length",
        String(Buffer.byteLength(answer.body)),
    ]);
    response.end(answer.body);
}

function getTimeoutReason(progress: Progress): types.RefusalReason {
    return progress.runs > 0 ? types.RefusalReason.DeadlinePassed : types.RefusalReason.DeadlinePassedNotRun;
}

function isRepeatable(route: types.Route): boolean {
    return route.kind === types.RouteKind.Safe || (route.kind === types.RouteKind.Stream && route.isResumable);
}

function toBody(request: ReadRequest): Buffer | undefined {
    const hasNone = request.body.length === 0 && (request.raw.method === "GET" || request.raw.method === "HEAD");
    return hasNone ? undefined : request.body;
}
