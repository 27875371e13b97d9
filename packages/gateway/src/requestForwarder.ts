import type * as http from "node:http";
import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as answerRelay from "./answerRelay.js";
import type * as channelDirectory from "./channelDirectory.js";
import * as crashWatch from "./crashWatch.js";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import * as onlinePlacement from "./onlinePlacement.js";
import * as refusals from "./refusals.js";
import * as routeTable from "./routeTable.js";
import * as silenceTimers from "./silenceTimer.js";
import type * as slotSharing from "./slotSharing.js";
import type * as streamOrigins from "./streamOrigins.js";
import * as types from "./types.js";
import type * as wire from "./wire.js";

/** Dependencies of `RequestForwarder`. */
export interface ForwarderParts {
    readonly wire: wire.CallerWire;
    readonly view: fleetView.FleetView;
    readonly channels: channelDirectory.Channels;
    readonly slots: slotSharing.SlotSharing;
    readonly crashWatch: crashWatch.CrashWatch;
    readonly streamOrigins: streamOrigins.StreamOrigins;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
    readonly dataCentre: core.DataCentre;
    readonly random: () => number;
}

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
interface Progress {
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
    relay: answerRelay.AnswerRelay | undefined;
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
interface Placement {
    readonly upstream: types.UpstreamEntry;
    /** Whether the upstream's coordinator has already counted the slot as used by this member. */
    readonly isCounted: boolean;
}

/**
 * Share of the remaining time after which a repeatable request without an answer goes to another upstream: late enough for a
 * working upstream to answer, and early enough for a second one to do so.
 */
const SilenceShare = 0.4;
/** Silence after which a resumable stream continues at another upstream. Engines send an event every 30 ms. */
const StreamSilenceMilliseconds = 800;
const GatewayTimeoutStatus = 504;
/** A stream that had a free slot and has no event after this multiple of the latency target counts as an upstream failure. */
const FirstEventOverdueFactor = 2;
/** Estimated time that a request occupies a slot, until durations have been recorded. */
const InitialServiceMilliseconds = 800;
/** Estimated time to the first event. */
const ExpectedFirstAnswerMilliseconds = 70;
/** Weight of a new duration in the moving average. */
const MeanWeight = 0.1;
/** Time for which an upstream that rejected a request as full is avoided: about the time until one of its slots is free. */
const FullPenaltyMilliseconds = 60;
/** Time for which an unreachable upstream is avoided. A crashed upstream restarts within seconds. */
const UnreachablePenaltyMilliseconds = 1_000;
/** Reasons that promise the caller that no upstream has run the request. */
const NotRunReasons: ReadonlySet<types.RefusalReason> = new Set([
    types.RefusalReason.Overloaded,
    types.RefusalReason.NoUpstream,
    types.RefusalReason.Quarantined,
    types.RefusalReason.StreamVersionUnknown,
    types.RefusalReason.DeadlinePassedNotRun,
]);
/** Retry delay given to callers if no upstream is known or reachable. */
const NoUpstreamRetryMilliseconds = 500;

/** Forwards requests: chooses an upstream, relays its answer to the caller, and repeats failed attempts where that is allowed. */
export class RequestForwarder {
    private readonly meanServiceMilliseconds = new Map<string, number>();
    /** Mean time from sending a request to its first event, by service. */
    private readonly meanFirstMilliseconds = new Map<string, number>();
    /** By service, since the number of upstreams avoided at the same time is limited to a share of the service's upstreams. */
    private readonly failureWatches = new Map<string, decisions.FailureWatch>();

    constructor(private readonly parts: ForwarderParts) {}

    /** Resolves when the request has ended, to whether an upstream may have run it. */
    async forward(request: ReadRequest, response: http.ServerResponse): Promise<boolean> {
        const delivery = { response, isStarted: false, lastEventId: undefined, firstByteAt: undefined };
        const fingerprint = crashWatch.createFingerprint(request.raw.target, request.body);
        const progress: Progress = {
            request,
            fingerprint,
            prompt: { id: request.head.attemptId, fingerprint, parts: crashWatch.getSharedParts(request.head) },
            delivery,
            tried: new Set(),
            runs: 0,
            sends: 0,
            waitMilliseconds: undefined,
            relay: undefined,
            received: undefined,
            upstreamVersion: undefined,
            streamVersion: undefined,
            isVersionBound: false,
            isCallerDisconnected: response.destroyed,
            isTimedOut: false,
            estimatedUse: { online: 0, batch: 0 },
            knownUpstreams: 0,
        };
        const onClose = (): void => {
            if (!response.writableFinished) {
                progress.isCallerDisconnected = true;
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
        if (!(await this.resolveStreamVersion(progress))) {
            return;
        }
        for (;;) {
            const placement = await this.tryChoosePlacement(progress);
            if (placement === undefined) {
                return;
            }
            if (progress.isCallerDisconnected || progress.isTimedOut) {
                this.abandon(progress, placement);
                return;
            }
            // The part may have been proved guilty while the request waited for its slot.
            if (this.isQuarantined(progress) && (await this.refuseUnlessTrial(progress))) {
                this.returnSlot(placement);
                return;
            }
            const outcome = await this.attempt(progress, placement);
            if (this.handleOutcome(progress, placement.upstream, outcome)) {
                return;
            }
        }
    }

    /**
     * If the caller continues a stream that may have begun at another member, finds out its software version. Returns false
     * if the request has been refused, because the stream may have begun at any of several.
     */
    private async resolveStreamVersion(progress: Progress): Promise<boolean> {
        const { head, route } = progress.request;
        const service = chooseService(progress.request);
        if (route.kind !== types.RouteKind.Stream || head.lastEventId === undefined || service === undefined) {
            return true;
        }
        progress.streamVersion = await this.parts.streamOrigins.resolve(head.firstAttemptId, service);
        if (progress.streamVersion === undefined) {
            const detail = `stream ${head.firstAttemptId ?? "not named"}`;
            this.refuse(progress, types.RefusalReason.StreamVersionUnknown, undefined, detail);
            return false;
        }
        return true;
    }

    /** Ends a request whose caller disconnected or whose deadline passed while a slot was requested, and returns the slot. */
    private abandon(progress: Progress, placement: Placement | undefined): void {
        const id = placement?.upstream.id ?? "";
        this.returnSlot(placement);
        if (progress.isCallerDisconnected) {
            this.parts.log.finished(progress.request, "the caller left", id, progress);
            return;
        }
        this.refuse(progress, getTimeoutReason(progress), undefined, id);
    }

    private returnSlot(placement: Placement | undefined): void {
        if (placement?.isCounted === true) {
            this.parts.slots.returnSlot(placement.upstream.id);
        }
    }

    /** Whether the request crashes upstreams, by itself or by a part of its prompt. */
    private isQuarantined(progress: Progress): boolean {
        return this.parts.crashWatch.isQuarantined(() => progress.prompt);
    }

    /** Refuses a quarantined request, unless it may be sent as a trial. Returns whether it has been refused. */
    private async refuseUnlessTrial(progress: Progress): Promise<boolean> {
        const { crashWatch, clock } = this.parts;
        const { prompt } = progress;
        if (await crashWatch.tryBeginTrial(prompt)) {
            return false;
        }
        const suspicion = crashWatch.suspects.getDecision(progress.fingerprint, clock.now());
        if (suspicion.verdict === decisions.SuspectVerdict.Quarantined) {
            const { retryAfterMilliseconds, deaths } = suspicion;
            this.refuse(
                progress,
                types.RefusalReason.Quarantined,
                crashWatch.getRetryAfter(prompt, retryAfterMilliseconds),
                `${deaths} upstreams crashed`,
            );
            return true;
        }
        const guilty = crashWatch.tryGetQuarantined(prompt.parts);
        if (guilty === undefined) {
            return false;
        }
        const retryAfterMilliseconds = crashWatch.getRetryAfter(prompt, guilty.remainingMilliseconds);
        this.refuse(progress, types.RefusalReason.Quarantined, retryAfterMilliseconds, `prompt part ${guilty.part}`);
        return true;
    }

    /** Chooses the upstream for the next attempt. If there is none, refuses the request and returns undefined. */
    private async tryChoosePlacement(progress: Progress): Promise<Placement | undefined> {
        const { request } = progress;
        const now = this.parts.clock.now();
        if (this.isQuarantined(progress) && (await this.refuseUnlessTrial(progress))) {
            return undefined;
        }
        const service = chooseService(request);
        const usable = service === undefined ? [] : this.getUsable(progress, service, now);
        const untried = usable.filter(upstream => !progress.tried.has(upstream.entry.id));
        const preferred = (untried.length > 0 ? untried : usable).map(upstream => upstream.entry);
        // A suspect request avoids upstreams that run other suspects, so that the next crash can be attributed to one of them.
        const distinguishable = preferred.filter(entry =>
            this.parts.crashWatch.suspects.maySend(progress.fingerprint, entry.id, now),
        );
        const candidates = (distinguishable.length > 0 ? distinguishable : preferred).map(entry => ({
            ...entry,
            hasIdleConnection: this.parts.channels.hasIdleConnection(entry),
        }));
        if (service === undefined || candidates.length === 0) {
            const version = progress.streamVersion === undefined ? "" : `, version: ${progress.streamVersion}`;
            const detail = `service: ${service ?? "none"}${version}`;
            this.refuse(progress, types.RefusalReason.NoUpstream, NoUpstreamRetryMilliseconds, detail);
            return undefined;
        }
        const outcome = await this.choose(progress, service, candidates);
        if (outcome.kind === onlinePlacement.OnlineOutcomeKind.Refused) {
            const { expectedWaitMilliseconds } = outcome;
            if (progress.isCallerDisconnected || progress.isTimedOut) {
                this.abandon(progress, undefined);
                return undefined;
            }
            this.refuse(
                progress,
                types.RefusalReason.Overloaded,
                decisions.getOnlineRetryAfter(expectedWaitMilliseconds, this.parts.random),
                `expected wait of ${Math.round(expectedWaitMilliseconds)} ms, ${candidates.length} candidates`,
            );
            return undefined;
        }
        const choice = outcome.kind === onlinePlacement.OnlineOutcomeKind.Chosen ? outcome.choice : undefined;
        const chosen = candidates.find(candidate => candidate.id === choice?.id);
        if (choice === undefined || chosen === undefined) {
            this.refuse(progress, types.RefusalReason.NoUpstream, NoUpstreamRetryMilliseconds, `service: ${service}`);
            return undefined;
        }
        const outlook = {
            waiting: choice.waiting,
            slots: chosen.slots,
            serviceMilliseconds: this.meanServiceMilliseconds.get(service) ?? InitialServiceMilliseconds,
            firstAnswerMilliseconds: ExpectedFirstAnswerMilliseconds,
            latencyTargetMilliseconds: request.route.latencyTargetMilliseconds,
            remainingMilliseconds: request.deadline - now,
        };
        const verdict = decisions.decideOnlineAdmission(outlook, this.parts.random);
        if (!verdict.isAdmitted && isRefusable(progress)) {
            this.refuse(
                progress,
                types.RefusalReason.Overloaded,
                verdict.retryAfterMilliseconds,
                `${choice.waiting} requests wait at ${chosen.id}, ${candidates.length} candidates`,
            );
            return undefined;
        }
        if (choice.yielder !== undefined) {
            this.parts.slots.requestYield(choice.id, choice.yielder);
        }
        progress.knownUpstreams = usable.length;
        progress.estimatedUse = this.parts.slots.slotTable.getTotal(chosen.id);
        return { upstream: chosen, isCounted: choice.isCounted };
    }

    /** The upstreams that may be given new work; if a stream continues, only those of the software version that began it. */
    private getUsable(
        progress: Progress,
        service: string,
        now: core.MonotonicMilliseconds,
    ): readonly fleetView.KnownUpstream[] {
        const { streamVersion } = progress;
        const usable = this.parts.view.getUsable(service, now);
        if (streamVersion === undefined) {
            return usable;
        }
        const sameVersion = usable.filter(({ entry }) => entry.softwareVersion === streamVersion);
        progress.isVersionBound = sameVersion.length < usable.length;
        return sameVersion;
    }

    /** Chooses a slot. Where coordinators order waiting requests, the request may wait for it. */
    private async choose(
        progress: Progress,
        service: string,
        candidates: readonly decisions.SlotCandidate[],
    ): Promise<onlinePlacement.OnlineOutcome> {
        const { slots, clock } = this.parts;
        if (!slots.ordersOnline(service)) {
            const choice = await slots.chooseOnline(service, candidates);
            return choice === undefined
                ? { kind: onlinePlacement.OnlineOutcomeKind.None }
                : { kind: onlinePlacement.OnlineOutcomeKind.Chosen, choice };
        }
        const { request } = progress;
        const { route } = request;
        const startedAt = clock.now();
        const remainingMilliseconds = request.deadline - startedAt;
        const waitMilliseconds = decisions.getMaximumOnlineWait({
            elapsedMilliseconds: startedAt - request.arrivedAt,
            firstAnswerMilliseconds: this.meanFirstMilliseconds.get(service) ?? ExpectedFirstAnswerMilliseconds,
            latencyTargetMilliseconds: route.latencyTargetMilliseconds,
            givenMilliseconds: request.deadline - request.arrivedAt,
            remainingMilliseconds,
            timeoutMilliseconds: route.timeoutMilliseconds,
            hasAttempts: progress.sends > 0,
        });
        const outcome = await slots.placeOnline(service, candidates, {
            share: request.customer ?? `route/${route.name}`,
            weight: request.weight ?? 1,
            priority: request.priority ?? route.priority,
            remainingMilliseconds,
            waitMilliseconds,
            isRefusable: isRefusable(progress),
            isWanted: () => !progress.isCallerDisconnected && !progress.isTimedOut,
        });
        progress.waitMilliseconds = (progress.waitMilliseconds ?? 0) + clock.now() - startedAt;
        return outcome;
    }

    private async attempt(progress: Progress, placement: Placement): Promise<answerRelay.AttemptOutcome> {
        const { upstream } = placement;
        const { request, delivery } = progress;
        const { clock } = this.parts;
        const lastEventId = delivery.lastEventId === undefined ? undefined : String(delivery.lastEventId);
        const startedAt = clock.now();
        const runsBefore = progress.runs;
        let silenceLimit = 0;
        const silenceTimer = new silenceTimers.SilenceTimer(clock, () =>
            relay.stop(answerRelay.AttemptOutcomeKind.Silent, `silent for ${Math.round(silenceLimit)} ms`),
        );
        const restartSilenceTimer = (): void => {
            const limit = this.getSilenceLimit(progress, runsBefore);
            if (limit !== undefined) {
                silenceLimit = limit;
                silenceTimer.restart(limit);
            }
        };
        const isStream = request.route.kind === types.RouteKind.Stream;
        const relay = new answerRelay.AnswerRelay({
            wire: this.parts.wire,
            delivery,
            attemptId: request.head.attemptId,
            isStream,
            now: () => clock.now(),
            onSent: () => progress.runs++,
            onProgress: restartSilenceTimer,
            onPastBeginning: () => this.parts.crashWatch.onAnswered(upstream, progress.prompt),
            onStarted: () => {
                progress.streamVersion ??= upstream.softwareVersion;
                this.noteStreamOrigin(progress, upstream.service);
            },
            meter: isStream ? this.parts.slots.speeds?.startStream(upstream.id, upstream.service) : undefined,
        });
        progress.relay = relay;
        progress.sends++;
        progress.upstreamVersion = upstream.softwareVersion;
        progress.tried.add(upstream.id);
        this.parts.slots.take(upstream.id, false, placement.isCounted);
        this.parts.crashWatch.suspects.onSent(request.head.attemptId, progress.fingerprint, upstream.id, startedAt);
        this.parts.crashWatch.onSent(upstream, progress.prompt);
        const headers = this.parts.wire.createForwardHeaders(request.raw.rawHeaders, {
            upstream: upstream.id,
            remainingMilliseconds: request.deadline - startedAt,
            lastEventId,
            customer: request.customer,
            passesCredentials: this.parts.view.forwardsCredentials(request.customer),
        });
        const exchange = this.parts.channels
            .get(upstream)
            .start({ method: request.raw.method, target: request.raw.target, headers, body: toBody(request) }, relay);
        relay.attach(exchange);
        restartSilenceTimer();
        const stopFirstEventTimer = this.watchFirstEvent(progress, placement);
        if (progress.isCallerDisconnected || progress.isTimedOut) {
            relay.stop(answerRelay.AttemptOutcomeKind.Stopped, "ended before it was sent");
        }
        const outcome = await relay.outcome;
        silenceTimer.stop();
        stopFirstEventTimer();
        progress.relay = undefined;
        progress.received = relay.getReceived();
        this.parts.slots.release(upstream.id, false);
        this.recordOutcome(progress, upstream, outcome);
        await this.reportToCrashWatch(progress, upstream, outcome);
        if (outcome.kind === answerRelay.AttemptOutcomeKind.Delivered) {
            this.recordDuration(upstream.service, clock.now() - startedAt);
            if (progress.sends === 1 && delivery.firstByteAt !== undefined) {
                recordMean(this.meanFirstMilliseconds, upstream.service, delivery.firstByteAt - startedAt);
            }
        }
        return outcome;
    }

    /** Records an attempt as success or failure of the upstream. Rejections as full and stops by the gateway are neither. */
    private recordOutcome(
        progress: Progress,
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
            case answerRelay.AttemptOutcomeKind.NotSent:
            case answerRelay.AttemptOutcomeKind.Stopped:
                break;
        }
    }

    /** Records a success or failure of the upstream, and avoids it for a time after repeated failures. */
    private recordResult(progress: Progress, upstream: types.UpstreamEntry, isFailure: boolean): void {
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
    private watchFirstEvent(progress: Progress, placement: Placement): () => void {
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

    private async reportToCrashWatch(
        progress: Progress,
        upstream: types.UpstreamEntry,
        outcome: answerRelay.AttemptOutcome,
    ): Promise<void> {
        const { suspects } = this.parts.crashWatch;
        const kinds = answerRelay.AttemptOutcomeKind;
        const id = progress.request.head.attemptId;
        if (outcome.kind === kinds.Delivered || outcome.kind === kinds.Failed) {
            this.parts.crashWatch.onFinished(upstream, progress.prompt);
            if (outcome.kind === kinds.Delivered) {
                this.parts.crashWatch.onAnswered(upstream, progress.prompt);
            }
            this.parts.crashWatch.onEnded(upstream, progress.prompt);
            return;
        }
        if (outcome.kind === kinds.Lost) {
            await this.parts.crashWatch.onBroken(upstream, progress.prompt);
        }
        suspects.onAbandoned(id, upstream.id);
        this.parts.crashWatch.onEnded(upstream, progress.prompt);
    }

    /** Handles the outcome of an attempt. Returns whether the request has ended. */
    private handleOutcome(
        progress: Progress,
        upstream: types.UpstreamEntry,
        outcome: answerRelay.AttemptOutcome,
    ): boolean {
        const now = this.parts.clock.now();
        const { request, delivery } = progress;
        const kinds = answerRelay.AttemptOutcomeKind;
        if (progress.isCallerDisconnected) {
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
                this.parts.slots.slotTable.penalize(upstream.id, now + FullPenaltyMilliseconds);
                break;
            case kinds.NotSent:
                this.parts.slots.slotTable.penalize(upstream.id, now + UnreachablePenaltyMilliseconds);
                break;
            case kinds.Silent:
                this.parts.channels.get(upstream).replaceConnections();
                this.parts.slots.slotTable.penalize(upstream.id, now + UnreachablePenaltyMilliseconds);
                break;
            case kinds.Lost:
            case kinds.Stopped:
            case kinds.Failed:
                break;
        }
        const isNotRun = outcome.kind === kinds.NotRun || outcome.kind === kinds.NotSent;
        const mayRepeat = decisions.mayRetry({
            end: isNotRun ? decisions.AttemptEnd.NotRun : decisions.AttemptEnd.MayHaveRun,
            isRepeatable: isRepeatable(request.route),
            runs: progress.runs,
            sends: progress.sends,
            allowedRuns: request.route.attempts,
            remainingMilliseconds: request.deadline - now,
        });
        const text = outcome.kind === kinds.Failed ? `status ${outcome.answer.status}` : outcome.text;
        this.parts.log.attemptEnded(request, upstream.id, outcome.kind, text, mayRepeat, progress);
        if (mayRepeat) {
            return false;
        }
        if (outcome.kind === kinds.Failed && !delivery.isStarted) {
            answerRelay.deliverBuffered(this.parts.wire, delivery, outcome.answer);
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
        // Where an earlier attempt has run, the refusal must not promise that none has.
        const isFalsePromise = progress.runs > 0 && NotRunReasons.has(reason);
        const trueReason = isFalsePromise ? types.RefusalReason.UpstreamFailed : reason;
        this.parts.log.refused(request, trueReason, detail, progress);
        if (delivery.isStarted) {
            this.noteStreamOrigin(progress, chooseService(request));
            // Part of the answer has been sent, so ending the connection is the only way to signal the failure.
            refusals.breakOff(delivery.response);
            return;
        }
        refusals.sendRefusal(this.parts.wire, delivery.response, { reason: trueReason, retryAfterMilliseconds });
    }

    /** Records which version began the stream, for when the caller continues it at another member. */
    private noteStreamOrigin({ request, streamVersion }: Progress, service: string | undefined): void {
        const { head, route } = request;
        if (route.kind === types.RouteKind.Stream && service !== undefined && streamVersion !== undefined) {
            this.parts.streamOrigins.note(head.firstAttemptId ?? head.attemptId, service, streamVersion);
        }
    }

    /** Maximum silence before the attempt is stopped; undefined if another attempt would not be allowed. */
    private getSilenceLimit(progress: Progress, runsBefore: number): number | undefined {
        const { request, delivery } = progress;
        if (!isRepeatable(request.route) || runsBefore + 1 >= request.route.attempts) {
            return undefined;
        }
        const remaining = request.deadline - this.parts.clock.now();
        if (request.route.kind !== types.RouteKind.Stream) {
            return Math.max(request.route.latencyTargetMilliseconds, remaining * SilenceShare);
        }
        return delivery.isStarted
            ? StreamSilenceMilliseconds
            : Math.max(StreamSilenceMilliseconds, remaining * SilenceShare);
    }

    private recordDuration(service: string, milliseconds: number): void {
        this.parts.slots.recordServiceTime(service, milliseconds);
        recordMean(this.meanServiceMilliseconds, service, milliseconds);
    }
}

function recordMean(means: Map<string, number>, service: string, milliseconds: number): void {
    const mean = means.get(service);
    means.set(service, mean === undefined ? milliseconds : mean + (milliseconds - mean) * MeanWeight);
}

/** The service of the request's route; undefined if the route has none. */
function chooseService({ head, route }: ReadRequest): string | undefined {
    return routeTable.chooseService(route, head.promptParts.at(-1) ?? head.attemptId);
}

/**
 * Whether the request may be refused because of a queue. A stream that is bound to a software version can't choose among
 * all upstreams as others can, and its caller would lose what it has.
 */
function isRefusable({ runs, isVersionBound }: Progress): boolean {
    return runs === 0 && !isVersionBound;
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
