import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";
import type * as admissionDesk from "./admissionDesk.js";
import type * as attempts from "./attempts.js";
import * as deadline from "./deadline.js";
import type * as engineChooser from "./engineChooser.js";
import * as keptAnswers from "./keptAnswers.js";
import * as refusals from "./refusals.js";
import * as requestProfile from "./requestProfile.js";
import type * as suspectWatch from "./suspectWatch.js";
import * as types from "./types.js";
import * as directory from "./upstreamDirectory.js";

export interface CompletionRunnerOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly directory: directory.UpstreamDirectory;
    readonly chooser: engineChooser.EngineChooser;
    readonly attempts: attempts.Attempts;
    readonly admission: admissionDesk.AdmissionDesk;
    readonly suspects: suspectWatch.SuspectWatch;
    readonly retryBudget: decisions.RetryBudget;
}

/** Attempts of one request, the first included. Each goes to another upstream while there is one. */
const MaximumAttempts = 4;
/** How long an admitted request waits for a place that another one took first, in milliseconds. */
const PlacePatience = 500;
const PlacePause = 25;
/** When a batch item that gave way should come back, in milliseconds; a burst lasts seconds. */
const GiveWayRetryAfter = 250;

/** What the caller has of the answer so far, and what went wrong on the way. */
interface Progress {
    readonly excluded: Set<core.UpstreamId>;
    attempts: number;
    text: string;
    tokens: number;
    /** An engine may have worked on it. */
    mayHaveRun: boolean;
}

/** A request on its way, with all that belongs to it. */
interface Run {
    readonly request: types.CompletionRequest;
    readonly profile: requestProfile.RequestProfile;
    readonly base: core.ModelId;
    readonly limit: deadline.Deadline;
    /** The caller's own signal. */
    readonly signal: AbortSignal;
    readonly progress: Progress;
}

/** How one attempt ended: undefined after the whole answer. */
type AttemptEnd = { readonly failure: upstreams.EngineFailure; readonly gaveWay: boolean } | undefined;

/** Runs completions: admits, places, retries and resumes them until the answer is whole or is given up. */
export class CompletionRunner {
    private readonly kept = new keptAnswers.KeptAnswers();

    constructor(private readonly options: CompletionRunnerOptions) {}

    async *run(request: types.CompletionRequest, signal: AbortSignal): AsyncGenerator<types.StreamEvent> {
        const fleet = this.options.directory.tryGetFleet();
        if (fleet === undefined) {
            yield this.refuse(request, refusals.createNoNote());
            return;
        }
        const base = directory.tryGetBaseModel(fleet, request.model);
        if (base === undefined) {
            yield this.refuse(request, refusals.createModelUnknown(request.model));
            return;
        }
        using limit = new deadline.Deadline(this.options.clock, request.deadlineAt, signal);
        const run: Run = {
            request,
            profile: requestProfile.createProfile(request),
            base,
            limit,
            signal,
            progress: { excluded: new Set(), attempts: 0, text: "", tokens: 0, mayHaveRun: false },
        };
        const admitted = await this.admit(run, fleet);
        if (!admitted.ok) {
            yield this.refuse(request, admitted.refusal);
            return;
        }
        const startedAt = this.options.clock.now();
        let isWhole = false;
        try {
            isWhole = yield* this.runAdmitted(run);
        }
        finally {
            admitted.value.leave(isWhole ? this.options.clock.now() - startedAt : undefined);
        }
    }

    /** Batch has its limit from the gates of the upstreams' homes and its order from the jobs; it doesn't queue here. */
    private async admit(run: Run, fleet: core.FleetDescription): Promise<core.Outcome<admissionDesk.Ticket>> {
        const { request } = run;
        const quarantine = this.tryGetQuarantine(run);
        if (quarantine !== undefined) {
            return core.createFailure(quarantine);
        }
        this.options.retryBudget.onRequest();
        if (request.requestClass === core.RequestClass.Batch) {
            return core.createSuccess({ leave: () => undefined });
        }
        const caller = fleet.callers.find(candidate => candidate.id === request.caller);
        return this.options.admission.enter(
            {
                queue: `model/${run.base}`,
                caller: request.caller,
                weight: caller?.weight ?? 1,
                cost: run.profile.cost,
                deadlineAt: request.deadlineAt,
                getLimit: () => this.options.chooser.getOnlineLimit(run.base),
            },
            run.limit.signal,
        );
    }

    /** True after the whole answer. */
    private async *runAdmitted(run: Run): AsyncGenerator<types.StreamEvent, boolean> {
        const { request, progress } = run;
        yield* this.takeUpKept(run);
        for (;;) {
            const place = await this.choosePlace(run);
            if (!place.ok) {
                yield this.refuse(request, place.refusal);
                return false;
            }
            const end = yield* this.runOn(place.value, run);
            if (end === undefined) {
                this.options.telemetry.record(telemetry.events.RequestFinished, createSubject(request));
                return true;
            }
            const refusal = end.gaveWay ? this.keep(run) : this.tryGetRefusal(end.failure, run);
            if (refusal !== undefined) {
                yield this.refuse(request, refusal);
                return false;
            }
            progress.excluded.add(place.value.id);
            this.recordRetry(run, place.value, end.failure);
        }
    }

    /** A batch item that gave way before goes on behind the text it had. */
    private *takeUpKept(run: Run): Generator<types.StreamEvent> {
        if (run.request.requestClass === core.RequestClass.Online) {
            return;
        }
        const kept = this.kept.take(run.request.id);
        if (kept !== undefined) {
            run.progress.text = kept.text;
            run.progress.tokens = kept.tokens;
            run.progress.mayHaveRun = true;
            yield { kind: types.StreamEventKind.Token, text: kept.text };
        }
    }

    private keep(run: Run): core.Refusal {
        const { text, tokens } = run.progress;
        if (tokens > 0) {
            this.kept.keep(run.request.id, { text, tokens });
        }
        return refusals.createOverloaded(getCertainty(run.progress), GiveWayRetryAfter);
    }

    /** An answer that its caller has a part of is worth waiting for a place until its deadline. */
    private async choosePlace(run: Run): Promise<core.Outcome<core.UpstreamDescription>> {
        const { request, progress, limit } = run;
        const isOnline = request.requestClass === core.RequestClass.Online;
        const hasPart = progress.tokens > 0 && isOnline;
        const patience = isOnline ? PlacePatience : 0;
        const giveUpAt = hasPart ? request.deadlineAt : this.options.clock.now() + patience;
        for (;;) {
            const quarantine = this.tryGetQuarantine(run);
            if (quarantine !== undefined) {
                return core.createFailure(quarantine);
            }
            const choice = this.options.chooser.choose({
                base: run.base,
                requestClass: request.requestClass,
                profile: run.profile,
                excluded: progress.excluded,
            });
            if (choice.upstream !== undefined) {
                return core.createSuccess(choice.upstream);
            }
            if (limit.signal.aborted || this.options.clock.now() >= giveUpAt) {
                if (!isOnline) {
                    this.keep(run);
                }
                const certainty = getCertainty(progress);
                return core.createFailure(
                    limit.isPassed()
                        ? refusals.createDeadlinePassed(certainty)
                        : refusals.createOverloaded(certainty, choice.retryAfterMilliseconds),
                );
            }
            await this.options.clock.sleep(PlacePause, limit.signal);
        }
    }

    private tryGetQuarantine(run: Run): core.Refusal | undefined {
        const { registry } = this.options.suspects;
        const decision = registry.judge(run.profile.fingerprint, this.options.clock.now());
        if (decision.verdict !== decisions.SuspectVerdict.Quarantined) {
            return undefined;
        }
        const subject = { ...createSubject(run.request), text: run.profile.fingerprint };
        this.options.telemetry.record(telemetry.events.RequestQuarantined, subject);
        return refusals.createQuarantined(decision.deaths, decision.retryAfterMilliseconds, getCertainty(run.progress));
    }

    /** One attempt. Returns why it ended early, or undefined after the whole answer. */
    private async *runOn(upstream: core.UpstreamDescription, run: Run): AsyncGenerator<types.StreamEvent, AttemptEnd> {
        const { request, progress } = run;
        using attempt = this.options.attempts.start(request, run.profile, upstream);
        using use = this.options.directory.useEngine(upstream, request.requestClass);
        progress.attempts++;
        this.options.telemetry.record(telemetry.events.RequestPlaced, createSubject(request, upstream.id));
        const resumeAfter = progress.tokens === 0 ? undefined : { text: progress.text, tokens: progress.tokens };
        const engineRequest = { id: attempt.id, model: request.model, body: request.body, resumeAfter };
        const { givesWay } = attempt;
        const signal = givesWay === undefined ? run.limit.signal : AbortSignal.any([run.limit.signal, givesWay]);
        for await (const event of use.client.run(engineRequest, signal)) {
            switch (event.kind) {
                case upstreams.EngineEventKind.Accepted:
                    progress.mayHaveRun = true;
                    break;
                case upstreams.EngineEventKind.Token:
                    attempt.onToken();
                    progress.mayHaveRun = true;
                    progress.text += event.text;
                    progress.tokens += event.tokens;
                    yield { kind: types.StreamEventKind.Token, text: event.text };
                    break;
                case upstreams.EngineEventKind.Finished:
                    attempt.onFinished();
                    yield createFinish(event.reason, event.usage, resumeAfter?.tokens ?? 0);
                    return undefined;
                case upstreams.EngineEventKind.Failed:
                    progress.mayHaveRun ||= mayHaveRunAfter(event.failure.kind);
                    await attempt.onFailed(event.failure);
                    return {
                        failure: event.failure,
                        gaveWay: givesWay?.aborted === true && !run.limit.signal.aborted,
                    };
            }
        }
        const text = "the stream ended without a closing event";
        return { failure: { kind: upstreams.EngineFailureKind.Broken, text }, gaveWay: false };
    }

    /** Undefined where the request goes on elsewhere. */
    private tryGetRefusal(failure: upstreams.EngineFailure, run: Run): core.Refusal | undefined {
        const { progress, limit } = run;
        const certainty = getCertainty(progress);
        if (limit.isPassed()) {
            return refusals.createDeadlinePassed(certainty);
        }
        if (run.signal.aborted) {
            this.options.telemetry.record(telemetry.events.RequestAbandoned, createSubject(run.request));
            return refusals.createUpstreamFailed("cancelled by its caller", certainty);
        }
        // An engine that doesn't hold the model (yet, or any more) says 404; another one may.
        if (failure.kind === upstreams.EngineFailureKind.Rejected && failure.status !== 404) {
            return refusals.createBodyInvalid(failure.text, certainty);
        }
        if (progress.attempts >= MaximumAttempts || !this.mayRetry(failure, progress)) {
            return refusals.createUpstreamFailed(failure.text, certainty);
        }
        return undefined;
    }

    /**
     * The budget bounds work that is done twice. A request that no engine took costs nothing again, and a stream that
     * its caller has a part of resumes where it stood: refusing that one would lose an answer.
     */
    private mayRetry(failure: upstreams.EngineFailure, progress: Progress): boolean {
        const isFree = failure.kind === upstreams.EngineFailureKind.NotSent || progress.tokens > 0;
        return isFree || this.options.retryBudget.tryTake();
    }

    private recordRetry(run: Run, upstream: core.UpstreamDescription, failure: upstreams.EngineFailure): void {
        const event = run.progress.tokens > 0 ? telemetry.events.StreamResumed : telemetry.events.RequestRetried;
        const text = `${failure.kind}: ${failure.text}`;
        this.options.telemetry.record(event, { ...createSubject(run.request, upstream.id), text });
    }

    private refuse(request: types.CompletionRequest, refusal: core.Refusal): types.StreamEvent {
        const subject = { ...createSubject(request), text: refusal.kind };
        this.options.telemetry.record(telemetry.events.RequestRefused, subject);
        return { kind: types.StreamEventKind.Refused, refusal };
    }
}

/** Busy and NotSent run nothing, and a rejected request was judged before it ran. */
function mayHaveRunAfter(kind: upstreams.EngineFailureKind): boolean {
    switch (kind) {
        case upstreams.EngineFailureKind.NotSent:
        case upstreams.EngineFailureKind.Busy:
        case upstreams.EngineFailureKind.Rejected:
            return false;
        case upstreams.EngineFailureKind.Broken:
        case upstreams.EngineFailureKind.Silent:
        case upstreams.EngineFailureKind.Cancelled:
            return true;
    }
}

function getCertainty(progress: Progress): core.RunCertainty {
    return progress.mayHaveRun ? core.RunCertainty.MayHaveRun : core.RunCertainty.NotRun;
}

/** A resumed engine counts what it was given as prompt; to the caller it is part of the answer. */
function createFinish(reason: string, usage: upstreams.Usage, resumedTokens: number): types.StreamEvent {
    return {
        kind: types.StreamEventKind.Finished,
        reason,
        usage: {
            promptTokens: Math.max(0, usage.promptTokens - resumedTokens),
            completionTokens: usage.completionTokens + resumedTokens,
            cachedTokens: usage.cachedTokens,
        },
    };
}

function createSubject(request: types.CompletionRequest, upstream?: core.UpstreamId): telemetry.EventSubject {
    return { request: request.id, caller: request.caller, upstream };
}
