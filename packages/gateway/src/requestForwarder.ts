import type * as http from "node:http";
import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as answerRelay from "./answerRelay.js";
import * as attemptSilence from "./attemptSilence.js";
import type * as channelDirectory from "./channelDirectory.js";
import * as crashWatch from "./crashWatch.js";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import * as refusals from "./refusals.js";
import * as requestProgress from "./requestProgress.js";
import type * as slotSharing from "./slotSharing.js";
import type * as routeRecords from "./routeRecords.js";
import type * as softwareVersions from "./softwareVersions.js";
import * as stopHorizon from "./stopHorizon.js";
import type * as streamOrigins from "./streamOrigins.js";
import * as fallbackSearch from "./fallbackSearch.js";
import * as types from "./types.js";
import * as upstreamChooser from "./upstreamChooser.js";
import * as upstreamOutcomes from "./upstreamOutcomes.js";
import type * as upstreamRestarts from "./upstreamRestarts.js";
import type * as wire from "./wire.js";

/** Dependencies of `RequestForwarder`. */
export interface ForwarderParts {
    readonly wire: wire.CallerWire;
    readonly view: fleetView.FleetView;
    readonly channels: channelDirectory.Channels;
    readonly slots: slotSharing.SlotSharing;
    readonly crashWatch: crashWatch.CrashWatch;
    readonly streamOrigins: streamOrigins.StreamOrigins;
    readonly softwareVersions: softwareVersions.SoftwareVersions;
    readonly routeRecords: routeRecords.RouteRecords;
    readonly restarts: upstreamRestarts.UpstreamRestarts;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
    readonly dataCentre: core.DataCentre;
    readonly random: () => number;
}

/**
 * Share of the remaining time after which a repeatable request without an answer goes to another upstream: late enough for a
 * working upstream to answer, and early enough for a second one to do so.
 */
const SilenceShare = 0.4;
/**
 * Silence after which a resumable stream continues at another upstream, if one can take it. Engines send an event every
 * 30 ms, but a sound upstream may be silent for a second or so. Callers abandon a stream after two seconds or more.
 */
const StreamSilenceMilliseconds = 1_500;
/** Interval at which another upstream is looked for while a silent one can't be left. */
const FallbackCheckMilliseconds = 200;
/** Time for which an upstream that rejected a request as full is avoided: about the time until one of its slots is free. */
const FullPenaltyMilliseconds = 60;
/**
 * How long an answer that has begun waits for an upstream if there is none. An entry that is replaced, or an upstream that
 * restarts, is back within that time; callers abandon a stream after two seconds without data or more.
 */
const UpstreamWaitMilliseconds = 1_000;
/** Interval at which an upstream is looked for during that wait. */
const UpstreamCheckMilliseconds = 100;
/** Retry delay given to the caller of a stream whose version a member or the store may still tell. */
const StreamVersionRetryMilliseconds = 300;
/** Time for the rest of a refusal. It arrives together with the head, or shortly after. */
const RefusalRestMilliseconds = 1_000;
/** Attempts in a row of an answer that has begun that may fail to run before the next one is delayed. */
const ImmediateRefusals = 2;
/** Reasons that promise the caller that no upstream has run the request. */
const NotRunReasons: ReadonlySet<types.RefusalReason> = new Set([
    types.RefusalReason.Overloaded,
    types.RefusalReason.NoUpstream,
    types.RefusalReason.Quarantined,
    types.RefusalReason.StreamVersionUnknown,
    types.RefusalReason.DeadlinePassedNotRun,
    types.RefusalReason.Stopping,
]);

/** An attempt of which nothing has arrived for a while. */
interface SilentAttempt {
    readonly upstream: types.UpstreamEntry;
    readonly relay: answerRelay.AnswerRelay;
    readonly silence: attemptSilence.AttemptSilence;
}

/** Forwards requests: chooses an upstream, relays its answer to the caller, and repeats failed attempts where that is allowed. */
export class RequestForwarder {
    readonly horizon: stopHorizon.StopHorizon;
    private readonly chooser: upstreamChooser.UpstreamChooser;
    private readonly fallbacks: fallbackSearch.FallbackSearch;
    private readonly outcomes: upstreamOutcomes.UpstreamOutcomes;

    constructor(private readonly parts: ForwarderParts) {
        this.horizon = new stopHorizon.StopHorizon(parts.clock);
        this.chooser = new upstreamChooser.UpstreamChooser(parts);
        this.fallbacks = new fallbackSearch.FallbackSearch({ ...parts, chooser: this.chooser });
        this.outcomes = new upstreamOutcomes.UpstreamOutcomes(parts);
        parts.streamOrigins.confirm = async stream => parts.restarts.confirmBeginning(stream);
        parts.restarts.onCorrected(({ stream, service, softwareVersion }) =>
            parts.streamOrigins.note(stream, service, softwareVersion),
        );
    }

    /** Resolves when the request has ended, to whether an upstream may have run it. */
    async forward(request: requestProgress.ReadRequest, response: http.ServerResponse): Promise<boolean> {
        const continuedAfter = requestProgress.tryGetContinuedAfter(request);
        const delivery = {
            response,
            isStarted: false,
            continuedAfter,
            lastEventId: undefined,
            firstByteAt: undefined,
        };
        const fingerprint = crashWatch.createFingerprint(request.raw.target, request.body);
        const progress: requestProgress.Progress = {
            request,
            fingerprint,
            prompt: { id: request.head.attemptId, fingerprint, parts: crashWatch.getSharedParts(request.head) },
            delivery,
            tried: new Set(),
            runs: 0,
            sends: 0,
            waitMilliseconds: undefined,
            relays: new Set(),
            hedge: undefined,
            received: undefined,
            upstreamVersion: undefined,
            fallback: undefined,
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
                stopAll(progress, "the caller left");
            }
        };
        response.once("close", onClose);
        const endAtDeadline = (): void => {
            progress.isTimedOut = true;
            stopAll(progress, "the deadline passed");
        };
        const stopTimer = this.parts.clock.schedule(request.deadline - this.parts.clock.now(), endAtDeadline);
        const removeEnd = this.horizon.onEnd(() => {
            // An answer that has begun may still become complete before the process exits.
            if (!delivery.isStarted) {
                endAtDeadline();
            }
        });
        try {
            await this.run(progress);
        }
        finally {
            stopTimer();
            removeEnd();
            response.off("close", onClose);
        }
        return progress.runs > 0;
    }

    private async run(progress: requestProgress.Progress): Promise<void> {
        if (!(await this.resolveStreamVersion(progress))) {
            return;
        }
        let refusals = 0;
        for (;;) {
            const placement = progress.fallback ?? (await this.tryChoosePlacement(progress));
            progress.fallback = undefined;
            if (placement === undefined) {
                return;
            }
            const outcome = await this.attempt(progress, placement);
            if ((await progress.hedge) === true) {
                return;
            }
            if (this.handleOutcome(progress, placement.upstream, outcome)) {
                this.chooser.returnSlot(progress.fallback);
                return;
            }
            refusals = isNotRun(outcome) ? refusals + 1 : 0;
            if (progress.delivery.isStarted && refusals >= ImmediateRefusals) {
                // If few upstreams can continue the answer, its attempts would be used up in milliseconds.
                await this.parts.clock.sleep(FullPenaltyMilliseconds);
            }
        }
    }

    /**
     * If the caller continues a stream that may have begun at another member, finds out its software version. Returns false
     * if the request has been refused, because the stream may have begun at any of several.
     */
    private async resolveStreamVersion(progress: requestProgress.Progress): Promise<boolean> {
        const { head, route } = progress.request;
        const service = requestProgress.tryGetService(progress.request);
        if (route.kind !== types.RouteKind.Stream || head.lastEventId === undefined || service === undefined) {
            return true;
        }
        const { view, clock, streamOrigins, routeRecords: records, log } = this.parts;
        const { host, target } = progress.request.raw;
        const choose = (earlier: types.Route): string | undefined =>
            requestProgress.tryGetService({ head, route: earlier });
        const hasMoved = (): boolean =>
            view.routeHistory.hasMoved(host, target, service, choose, clock.now()) ||
            records.hasMoved(host, target, route);
        const resolved = await streamOrigins.resolve(head.firstAttemptId, service, hasMoved);
        progress.streamVersion = resolved.softwareVersion;
        log.recordEvent(gatewayLog.GatewayEvent.StreamVersionResolved, {
            request: head.attemptId,
            resumes: head.firstAttemptId,
            version: resolved.softwareVersion,
            source: resolved.source,
            known: resolved.knownVersions.join(","),
            hasMoved: hasMoved(),
        });
        if (progress.streamVersion === undefined) {
            const detail = `stream ${head.firstAttemptId ?? "not named"}`;
            // Without an answer that is missing, a further try can't learn more.
            const retryAfter = resolved.isAnswerMissing ? StreamVersionRetryMilliseconds : undefined;
            this.refuse(progress, types.RefusalReason.StreamVersionUnknown, retryAfter, detail);
            return false;
        }
        return true;
    }

    /** Ends a request whose caller disconnected or whose deadline passed while a slot was requested, and returns the slot. */
    private abandon(progress: requestProgress.Progress, placement: requestProgress.Placement | undefined): void {
        const id = placement?.upstream.id ?? "";
        this.chooser.returnSlot(placement);
        if (progress.isCallerDisconnected) {
            this.parts.log.finished(progress.request, "the caller left", id, progress);
            return;
        }
        this.refuse(progress, getTimeoutReason(progress), undefined, id);
    }

    /** Chooses the upstream for the next attempt. If there is none, ends the request and returns undefined. */
    private async tryChoosePlacement(
        progress: requestProgress.Progress,
    ): Promise<requestProgress.Placement | undefined> {
        if (progress.streamVersion !== undefined) {
            await this.parts.restarts.confirmBeginning(requestProgress.getStreamName(progress.request));
        }
        this.correctStreamVersion(progress);
        if (!this.canEnd(progress)) {
            this.refuseStopping(progress, "");
            return undefined;
        }
        const waitsUntil = this.parts.clock.now() + UpstreamWaitMilliseconds;
        let outcome = await this.findPlacement(progress);
        while (isWithoutUpstream(progress, outcome) && this.parts.clock.now() < waitsUntil) {
            await this.parts.clock.sleep(UpstreamCheckMilliseconds);
            this.correctStreamVersion(progress);
            outcome = await this.chooser.find(progress);
        }
        const placement = outcome.kind === upstreamChooser.PlacementOutcomeKind.Found ? outcome.placement : undefined;
        if (progress.isCallerDisconnected || progress.isTimedOut) {
            this.abandon(progress, placement);
            return undefined;
        }
        if (outcome.kind === upstreamChooser.PlacementOutcomeKind.Unwanted || !this.canEnd(progress)) {
            this.chooser.returnSlot(placement);
            this.refuseStopping(progress, placement?.upstream.id ?? "");
            return undefined;
        }
        if (outcome.kind === upstreamChooser.PlacementOutcomeKind.Refused) {
            this.refuse(progress, outcome.reason, outcome.retryAfterMilliseconds, outcome.detail);
            return undefined;
        }
        // The part may have been proved guilty while the request waited for its slot.
        const quarantine = await this.chooser.tryGetQuarantine(progress, true);
        if (quarantine !== undefined) {
            this.chooser.returnSlot(placement);
            this.refuse(progress, quarantine.reason, quarantine.retryAfterMilliseconds, quarantine.detail);
            return undefined;
        }
        return placement;
    }

    /** Looks for a slot. Ends the wait for one if the process stops before the request could end. */
    private async findPlacement(progress: requestProgress.Progress): Promise<upstreamChooser.PlacementOutcome> {
        const search = this.chooser.find(progress);
        const outcome = progress.delivery.isStarted
            ? await search
            : await this.horizon.waitWhileItCanEnd(progress.request, search);
        if (outcome !== undefined) {
            return outcome;
        }
        void search.then(late =>
            this.chooser.returnSlot(
                late.kind === upstreamChooser.PlacementOutcomeKind.Found ? late.placement : undefined,
            ),
        );
        return { kind: upstreamChooser.PlacementOutcomeKind.Unwanted };
    }

    /**
     * Whether an attempt that begins now would end before the process exits. An answer that has begun is continued in any
     * case: what is left of it may be short, and it can't be refused any more.
     */
    private canEnd({ request, delivery }: requestProgress.Progress): boolean {
        return delivery.isStarted || this.horizon.canEnd(request);
    }

    /** Refuses a request that can't end before the process exits. Another gateway can take it at once. */
    private refuseStopping(progress: requestProgress.Progress, detail: string): void {
        this.refuse(progress, types.RefusalReason.Stopping, 0, detail);
    }

    private async attempt(
        progress: requestProgress.Progress,
        placement: requestProgress.Placement,
        isHedge = false,
    ): Promise<answerRelay.AttemptOutcome> {
        const { upstream } = placement;
        const { request, delivery } = progress;
        const { clock } = this.parts;
        const lastEventId = delivery.lastEventId === undefined ? undefined : String(delivery.lastEventId);
        const startedAt = clock.now();
        const endRun = this.horizon.startRun(request);
        const runsBefore = progress.runs;
        const silence = new attemptSilence.AttemptSilence(clock, () =>
            // Nothing waits for the search, so an exception would end the process.
            this.handleSilence(progress, { upstream, relay, silence }).catch((error: unknown) =>
                this.parts.log.recordEvent(gatewayLog.GatewayEvent.Defect, { text: String(error) }),
            ),
        );
        const noteData = (): void => silence.noteData(isHedge ? undefined : this.getSilenceLimit(progress, runsBefore));
        const isStream = request.route.kind === types.RouteKind.Stream;
        const relay = new answerRelay.AnswerRelay({
            wire: this.parts.wire,
            delivery,
            attemptId: request.head.attemptId,
            isStream,
            now: () => clock.now(),
            onSent: () => progress.runs++,
            onProgress: noteData,
            onPastBeginning: () => this.parts.crashWatch.onAnswered(upstream, progress.prompt),
            onStarted: () => {
                stopAll(progress, "another attempt answers", relay);
                if (progress.streamVersion === undefined && isStream) {
                    this.parts.restarts.noteBeginning(requestProgress.getStreamName(request), upstream);
                }
                progress.streamVersion ??= upstream.softwareVersion;
                this.noteStreamOrigin(progress, upstream.service);
            },
            meter: isStream ? this.parts.slots.speeds?.startStream(upstream.id, upstream.service) : undefined,
        });
        progress.relays.add(relay);
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
        const exchange = this.parts.channels.get(upstream).start(
            {
                attemptId: request.head.attemptId,
                method: request.raw.method,
                target: request.raw.target,
                headers,
                body: toBody(request),
            },
            relay,
        );
        relay.attach(exchange);
        noteData();
        const stopFirstEventTimer = this.outcomes.watchFirstEvent(progress, placement);
        if (progress.isCallerDisconnected || progress.isTimedOut) {
            relay.stop(answerRelay.AttemptOutcomeKind.Stopped, "ended before it was sent");
        }
        const outcome = await relay.outcome;
        // A request that reached its deadline would have taken longer.
        endRun(outcome.kind === answerRelay.AttemptOutcomeKind.Delivered || progress.isTimedOut);
        silence.stop();
        stopFirstEventTimer();
        if (relay.isReadingOn()) {
            clock.schedule(RefusalRestMilliseconds, () => relay.stopReading());
        }
        progress.relays.delete(relay);
        progress.received = relay.getReceived();
        this.parts.slots.release(upstream.id, false);
        this.outcomes.record(progress, upstream, outcome);
        await this.reportToCrashWatch(progress, upstream, outcome);
        if (outcome.kind === answerRelay.AttemptOutcomeKind.Delivered) {
            this.chooser.recordDuration(upstream.service, clock.now() - startedAt);
            if (progress.sends === 1 && delivery.firstByteAt !== undefined) {
                this.chooser.recordFirstAnswer(upstream.service, delivery.firstByteAt - startedAt);
            }
        }
        return outcome;
    }

    /**
     * Leaves a silent upstream if the request can go on elsewhere. Otherwise the attempt continues: the upstream may be
     * sound, and without another one the answer would be broken off.
     */
    private async handleSilence(progress: requestProgress.Progress, attempt: SilentAttempt): Promise<void> {
        const { upstream, relay, silence } = attempt;
        if (relay.isWaitingForCaller()) {
            // The relay reports progress, which starts the time again, when the caller has read.
            return;
        }
        this.correctStreamVersion(progress);
        const silentSince = silence.getLastDataAt();
        const isSilent = (): boolean => !relay.isSettled() && silence.getLastDataAt() === silentSince;
        if (!this.canEnd(progress)) {
            // The silent attempt may still end before the process exits, and another one would not.
            return;
        }
        const found = await this.fallbacks.find(progress, upstream, isSilent);
        if (!isSilent()) {
            this.chooser.returnSlot(found.fallback);
            return;
        }
        const milliseconds = silence.getSilentMilliseconds();
        if (found.fallback === undefined) {
            if (silence.isFirstReport()) {
                const { reason } = found;
                const fields = {
                    request: progress.request.head.attemptId,
                    upstream: upstream.id,
                    milliseconds,
                    reason,
                };
                this.parts.log.recordEvent(gatewayLog.GatewayEvent.SilentUpstreamKept, fields);
            }
            silence.reportAgain(FallbackCheckMilliseconds);
            return;
        }
        if (progress.request.route.kind === types.RouteKind.Safe) {
            this.avoidSilent(upstream);
            progress.hedge = this.runHedge(progress, found.fallback, attempt);
            return;
        }
        progress.fallback = found.fallback;
        relay.stop(answerRelay.AttemptOutcomeKind.Silent, `silent for ${milliseconds} ms`);
    }

    /**
     * Hedges a safe request: sends it to a second upstream while the first one is silent. The first one may still answer, and
     * without its answer the request would fail if no other upstream takes it. Returns whether the second one answered.
     */
    private async runHedge(
        progress: requestProgress.Progress,
        placement: requestProgress.Placement,
        silent: SilentAttempt,
    ): Promise<boolean> {
        const { upstream } = placement;
        const outcome = await this.attempt(progress, placement, true);
        if (outcome.kind === answerRelay.AttemptOutcomeKind.Delivered) {
            this.parts.log.finished(progress.request, outcome.text, upstream.id, progress);
            silent.relay.stop(answerRelay.AttemptOutcomeKind.Silent, "another upstream answered");
            return true;
        }
        progress.hedge = undefined;
        this.noteFailure(progress, upstream, outcome);
        this.parts.log.attemptEnded(progress.request, upstream.id, outcome.kind, getText(outcome), true, progress);
        if (!silent.relay.isSettled()) {
            silent.silence.reportAgain(FallbackCheckMilliseconds);
        }
        return false;
    }

    private async reportToCrashWatch(
        progress: requestProgress.Progress,
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
        progress: requestProgress.Progress,
        upstream: types.UpstreamEntry,
        outcome: answerRelay.AttemptOutcome,
    ): boolean {
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
        if (outcome.kind === kinds.Delivered) {
            this.parts.log.finished(request, outcome.text, upstream.id, progress);
            return true;
        }
        this.noteFailure(progress, upstream, outcome);
        const end = isNotRun(outcome) ? decisions.AttemptEnd.NotRun : decisions.AttemptEnd.MayHaveRun;
        const mayRepeat =
            progress.fallback !== undefined ||
            (requestProgress.mayRepeat(progress, end, this.parts.clock.now()) && this.canEnd(progress));
        const text = getText(outcome);
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
            if (!this.canEnd(progress)) {
                this.refuseStopping(progress, text);
                return true;
            }
            this.refuse(progress, types.RefusalReason.Overloaded, FullPenaltyMilliseconds * 4, text);
            return true;
        }
        this.refuse(progress, types.RefusalReason.UpstreamFailed, undefined, text);
        return true;
    }

    /** Records what an attempt that brought no answer says of its upstream, and whether it ran. */
    private noteFailure(
        progress: requestProgress.Progress,
        upstream: types.UpstreamEntry,
        outcome: answerRelay.AttemptOutcome,
    ): void {
        const kinds = answerRelay.AttemptOutcomeKind;
        const { slotTable } = this.parts.slots;
        const now = this.parts.clock.now();
        switch (outcome.kind) {
            case kinds.NotRun:
                progress.runs--;
                slotTable.penalize(upstream.id, now + FullPenaltyMilliseconds);
                break;
            case kinds.Misdirected:
                progress.runs--;
                // Its entry names an upstream that has ended, and is replaced within seconds.
                slotTable.penalize(upstream.id, now + upstreamChooser.UnreachablePenaltyMilliseconds);
                break;
            case kinds.NotSent:
                slotTable.penalize(upstream.id, now + upstreamChooser.UnreachablePenaltyMilliseconds);
                break;
            case kinds.Silent:
                this.avoidSilent(upstream);
                break;
            case kinds.Delivered:
            case kinds.Lost:
            case kinds.Stopped:
            case kinds.Failed:
                break;
        }
    }

    /** Avoids a silent upstream for a while. Its other connections may be as dead as the silent one. */
    private avoidSilent(upstream: types.UpstreamEntry): void {
        this.parts.channels.get(upstream).replaceConnections();
        this.parts.slots.slotTable.penalize(
            upstream.id,
            this.parts.clock.now() + upstreamChooser.UnreachablePenaltyMilliseconds,
        );
    }

    private refuse(
        progress: requestProgress.Progress,
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
            this.noteStreamOrigin(progress, requestProgress.tryGetService(request));
            // Part of the answer has been sent, so ending the connection is the only way to signal the failure.
            refusals.breakOff(delivery.response);
            return;
        }
        refusals.sendRefusal(this.parts.wire, delivery.response, { reason: trueReason, retryAfterMilliseconds });
    }

    /** Records which version began the stream, for when the caller continues it at another member. */
    private noteStreamOrigin(progress: requestProgress.Progress, service: string | undefined): void {
        this.correctStreamVersion(progress);
        const { request, streamVersion } = progress;
        if (request.route.kind === types.RouteKind.Stream && service !== undefined && streamVersion !== undefined) {
            this.parts.streamOrigins.note(requestProgress.getStreamName(request), service, streamVersion);
        }
    }

    /** Applies what has become known of the upstream that began the stream. */
    private correctStreamVersion(progress: requestProgress.Progress): void {
        if (progress.streamVersion !== undefined) {
            const stream = requestProgress.getStreamName(progress.request);
            progress.streamVersion = this.parts.restarts.tryGetCorrected(stream) ?? progress.streamVersion;
        }
    }

    /** Silence after which another upstream is looked for; undefined if another attempt would not be allowed. */
    private getSilenceLimit(progress: requestProgress.Progress, runsBefore: number): number | undefined {
        const { request, delivery } = progress;
        if (!requestProgress.isRepeatable(progress) || runsBefore + 1 >= request.route.attempts) {
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
}

function stopAll(progress: requestProgress.Progress, text: string, except?: answerRelay.AnswerRelay): void {
    for (const relay of progress.relays) {
        if (relay !== except) {
            relay.stop(answerRelay.AttemptOutcomeKind.Stopped, text);
        }
    }
}

function getText(outcome: answerRelay.AttemptOutcome): string {
    return outcome.kind === answerRelay.AttemptOutcomeKind.Failed ? `status ${outcome.answer.status}` : outcome.text;
}

function isNotRun({ kind }: answerRelay.AttemptOutcome): boolean {
    const { NotRun, Misdirected, NotSent } = answerRelay.AttemptOutcomeKind;
    return kind === NotRun || kind === Misdirected || kind === NotSent;
}

/** Whether an answer that has begun, and that somebody still waits for, has no upstream at present. */
function isWithoutUpstream(
    { delivery, isCallerDisconnected, isTimedOut }: requestProgress.Progress,
    outcome: upstreamChooser.PlacementOutcome,
): boolean {
    const isWanted = delivery.isStarted && !isCallerDisconnected && !isTimedOut;
    const kinds = upstreamChooser.PlacementOutcomeKind;
    return isWanted && outcome.kind === kinds.Refused && outcome.reason === types.RefusalReason.NoUpstream;
}

function getTimeoutReason(progress: requestProgress.Progress): types.RefusalReason {
    return progress.runs > 0 ? types.RefusalReason.DeadlinePassed : types.RefusalReason.DeadlinePassedNotRun;
}

function toBody(request: requestProgress.ReadRequest): Buffer | undefined {
    const hasNone = request.body.length === 0 && (request.raw.method === "GET" || request.raw.method === "HEAD");
    return hasNone ? undefined : request.body;
}
