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

/** The tokens of an answer, and how it ended. */
export type CompletionTokens = AsyncGenerator<types.TokenEvent, types.EndEvent>;

enum AttemptEndKind {
    Whole = "Whole",
    Failed = "Failed",
    /** A batch stream made room for online work. */
    GaveWay = "GaveWay",
}

type AttemptEnd =
    | { readonly kind: AttemptEndKind.Whole; readonly event: types.EndEvent }
    | { readonly kind: AttemptEndKind.Failed | AttemptEndKind.GaveWay; readonly failure: upstreams.EngineFailure };

/** Runs completions: admits, places, retries and resumes them until the answer is whole or is given up. */
export class CompletionRunner {
    private readonly kept = new keptAnswers.KeptAnswers();

    constructor(private readonly options: CompletionRunnerOptions) {}

    /**
     * Yields the tokens and returns the closing event. It is not yielded: a consumer that has it stops reading, and what
     * stands behind a `yield` (the place given back, the attempt closed) would never be done.
     */
    async *run(request: types.CompletionRequest, signal: AbortSignal): CompletionTokens {
        const fleet = this.options.directory.tryGetFleet();
        if (fleet === undefined) {
            return this.refuse(request, refusals.createNoNote());
        }
        const base = directory.tryGetBaseModel(fleet, request.model);
        if (base === undefined) {
            return this.refuse(request, refusals.createModelUnknown(request.model));
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
            return this.refuse(request, admitted.refusal);
        }
        const leave = (): void => admitted.value.leave(undefined);
        // A consumer that just stops reading never gets this function to its end, but its deadline comes.
        limit.signal.addEventListener("abort", leave, { once: true });
        const startedAt = this.options.clock.now();
        try {
            const end = yield* this.runAdmitted(run);
            if (end.kind === types.StreamEventKind.Finished) {
                admitted.value.leave(this.options.clock.now() - startedAt);
            }
            return end;
        }
        finally {
            leave();
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
                isPreferred: () => this.options.chooser.isLocal(createWish(run)),
            },
            run.limit.signal,
        );
    }

    private async *runAdmitted(run: Run): CompletionTokens {
        const { request, progress } = run;
        yield* this.takeUpKept(run);
        for (;;) {
            const place = await this.choosePlace(run);
            if (!place.ok) {
                return this.refuse(request, place.refusal);
            }
            const end = yield* this.runOn(place.value, run);
            if (end.kind === AttemptEndKind.Whole) {
                this.options.telemetry.record(telemetry.events.RequestFinished, createSubject(request));
                return end.event;
            }
            const refusal = end.kind === AttemptEndKind.GaveWay ? this.keep(run) : this.tryGetRefusal(end.failure, run);
            if (refusal !== undefined) {
                return this.refuse(request, refusal);
            }
            progress.excluded.add(place.value.id);
            this.recordRetry(run, place.value, end.failure);
        }
    }

    /** A batch item that gave way before goes on behind the text it had. */
    private *takeUpKept(run: Run): Generator<types.TokenEvent> {
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
            const choice = this.options.chooser.choose(createWish(run));
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
        const decision = registry.getDecision(run.profile.fingerprint, this.options.clock.now());
        if (decision.verdict !== decisions.SuspectVerdict.Quarantined) {
            return undefined;
        }
        const subject = { ...createSubject(run.request), text: run.profile.fingerprint };
        this.options.telemetry.record(telemetry.events.RequestQuarantined, subject);
        return refusals.createQuarantined(decision.deaths, decision.retryAfterMilliseconds, getCertainty(run.progress));
    }

    private async *runOn(upstream: core.UpstreamDescription, run: Run): AsyncGenerator<types.TokenEvent, AttemptEnd> {
        const { request, progress } = run;
        using attempt = this.options.attempts.start(request, run.profile, upstream, progress.tokens);
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
                    attempt.onTokens(event.tokens);
                    progress.mayHaveRun = true;
                    progress.text += event.text;
                    progress.tokens += event.tokens;
                    yield { kind: types.StreamEventKind.Token, text: event.text };
                    break;
                case upstreams.EngineEventKind.Finished:
                    attempt.onFinished();
                    return {
                        kind: AttemptEndKind.Whole,
                        event: createFinish(event.reason, event.usage, resumeAfter?.tokens ?? 0),
                    };
                case upstreams.EngineEventKind.Failed:
                    progress.mayHaveRun ||= mayHaveRunAfter(event.failure.kind);
                    await attempt.onFailed(event.failure);
                    return {
                        kind:
                            givesWay?.aborted === true && !run.limit.signal.aborted
                                ? AttemptEndKind.GaveWay
                                : AttemptEndKind.Failed,
                        failure: event.failure,
                    };
            }
        }
        const text = "the stream ended without a closing event";
        return { kind: AttemptEndKind.Failed, failure: { kind: upstreams.EngineFailureKind.Broken, text } };
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

    private refuse(request: types.CompletionRequest, refusal: core.Refusal): types.EndEvent {
        const subject = { ...createSubject(request), text: refusal.kind };
        this.options.telemetry.record(telemetry.events.RequestRefused, subject);
        return { kind: types.StreamEventKind.Refused, refusal };
    }
}

function createWish(run: Run): engineChooser.EngineWish {
    return {
        base: run.base,
        requestClass: run.request.requestClass,
        profile: run.profile,
        excluded: run.progress.excluded,
    };
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
function createFinish(reason: string, usage: upstreams.Usage, resumedTokens: number): types.EndEvent {
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
