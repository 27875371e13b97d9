import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";
import type * as admissionController from "./admissionController.js";
import type * as attempts from "./attempts.js";
import * as deadline from "./deadline.js";
import type * as engineChooser from "./engineChooser.js";
import * as partialAnswers from "./partialAnswers.js";
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
    readonly admission: admissionController.AdmissionController;
    readonly suspects: suspectWatch.SuspectWatch;
    readonly retryBudget: decisions.RetryBudget;
}

/** Number of attempts of one request, including the first. Each uses another upstream if there is one. */
const MaximumAttempts = 4;
/**
 * Attempts of an answer that has begun which no engine ran, in addition to the others. Such an answer can't be refused any
 * more, only broken off, and at a peak several engines in a row have no free slot.
 */
const MaximumRefusalsOfBegunAnswer = 4;
/** How long an admitted request waits for a slot if another request took the free one first. */
const SlotWaitMilliseconds = 500;
const SlotRetryMilliseconds = 25;
/** Retry delay for a batch item that gave way to online work. A burst lasts seconds. */
const GiveWayRetryAfterMilliseconds = 250;

/** The part of the answer that the caller has received so far, and the failed attempts. */
interface Progress {
    readonly excluded: Set<core.UpstreamId>;
    attempts: number;
    /** Attempts that no engine ran. */
    refusals: number;
    text: string;
    tokens: number;
    /** Whether an engine may have run the request. */
    mayHaveRun: boolean;
}

/** State of one request while it runs. */
interface Run {
    readonly request: types.CompletionRequest;
    readonly profile: requestProfile.RequestProfile;
    readonly base: core.ModelId;
    readonly limit: deadline.Deadline;
    /** The caller's own signal. */
    readonly signal: AbortSignal;
    readonly progress: Progress;
}

/** Yields the tokens of an answer and returns its closing event. */
export type CompletionTokens = AsyncGenerator<types.TokenEvent, types.EndEvent>;

enum AttemptEndKind {
    Whole = "Whole",
    Failed = "Failed",
    /** The batch stream was cancelled to make room for online work. */
    GaveWay = "GaveWay",
}

type AttemptEnd =
    | { readonly kind: AttemptEndKind.Whole; readonly event: types.EndEvent }
    | { readonly kind: AttemptEndKind.Failed | AttemptEndKind.GaveWay; readonly failure: upstreams.EngineFailure };

/** Runs completions: admits, places, retries and resumes them until the answer is complete or has to be refused. */
export class CompletionRunner {
    private readonly partials = new partialAnswers.PartialAnswers();

    constructor(private readonly options: CompletionRunnerOptions) {}

    /**
     * Yields the tokens and returns the closing event. The closing event isn't yielded because a consumer stops reading
     * after it, and the code after a `yield` (releasing the slot, closing the attempt) would never run.
     */
    async *run(request: types.CompletionRequest, signal: AbortSignal): CompletionTokens {
        const fleet = this.options.directory.tryGetFleet();
        if (fleet === undefined) {
            return this.refuse(request, refusals.createNoReleaseNote());
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
            progress: { excluded: new Set(), attempts: 0, refusals: 0, text: "", tokens: 0, mayHaveRun: false },
        };
        const admitted = await this.admit(run, fleet);
        if (!admitted.ok) {
            return this.refuse(request, admitted.refusal);
        }
        const releaseTicket = (): void => admitted.value.release(undefined);
        // If the consumer stops reading, this function never completes, so the deadline releases the slot.
        limit.signal.addEventListener("abort", releaseTicket, { once: true });
        const startedAt = this.options.clock.now();
        try {
            const end = yield* this.runAdmitted(run);
            if (end.kind === types.StreamEventKind.Finished) {
                admitted.value.release(this.options.clock.now() - startedAt);
            }
            return end;
        }
        finally {
            releaseTicket();
        }
    }

    /** Batch items don't queue here: the engines' coordinators limit them, and the jobs determine their order. */
    private async admit(
        run: Run,
        fleet: core.FleetDescription,
    ): Promise<core.Outcome<admissionController.AdmissionTicket>> {
        const { request } = run;
        const quarantine = this.tryGetQuarantine(run);
        if (quarantine !== undefined) {
            return core.createFailure(quarantine);
        }
        this.options.retryBudget.onRequest();
        if (request.requestClass === core.RequestClass.Batch) {
            return core.createSuccess({ release: () => undefined });
        }
        const caller = fleet.callers.find(candidate => candidate.id === request.caller);
        return this.options.admission.admit(
            {
                queue: `model/${run.base}`,
                caller: request.caller,
                weight: caller?.weight ?? 1,
                cost: run.profile.cost,
                deadlineAt: request.deadlineAt,
                getLimit: () => this.options.chooser.getOnlineLimit(run.base),
                isPreferred: () => this.options.chooser.isLocal(createRequirements(run)),
            },
            run.limit.signal,
        );
    }

    private async *runAdmitted(run: Run): CompletionTokens {
        const { request, progress } = run;
        yield* this.resumePartial(run);
        for (;;) {
            const chosen = await this.chooseUpstream(run);
            if (!chosen.ok) {
                return this.refuse(request, chosen.refusal);
            }
            const end = yield* this.runAttempt(chosen.value, run);
            if (end.kind === AttemptEndKind.Whole) {
                this.options.telemetry.record(telemetry.events.RequestFinished, createSubject(request));
                return end.event;
            }
            const refusal =
                end.kind === AttemptEndKind.GaveWay ? this.savePartial(run) : this.tryGetRefusal(end.failure, run);
            if (refusal !== undefined) {
                return this.refuse(request, refusal);
            }
            progress.excluded.add(chosen.value.id);
            this.recordRetry(run, chosen.value, end.failure);
        }
    }

    /** Continues a batch item that gave way earlier after the text that was saved. */
    private *resumePartial(run: Run): Generator<types.TokenEvent> {
        if (run.request.requestClass === core.RequestClass.Online) {
            return;
        }
        const partial = this.partials.take(run.request.id);
        if (partial !== undefined) {
            run.progress.text = partial.text;
            run.progress.tokens = partial.tokens;
            run.progress.mayHaveRun = true;
            yield { kind: types.StreamEventKind.Token, text: partial.text };
        }
    }

    private savePartial(run: Run): core.Refusal {
        const { text, tokens } = run.progress;
        if (tokens > 0) {
            this.partials.save(run.request.id, { text, tokens });
        }
        return refusals.createOverloaded(getCertainty(run.progress), GiveWayRetryAfterMilliseconds);
    }

    /** Waits for a slot. If the caller has already received a part of the answer, waits until the deadline. */
    private async chooseUpstream(run: Run): Promise<core.Outcome<core.UpstreamDescription>> {
        const { request, progress, limit } = run;
        const isOnline = request.requestClass === core.RequestClass.Online;
        const hasPart = progress.tokens > 0 && isOnline;
        const waitMilliseconds = isOnline ? SlotWaitMilliseconds : 0;
        const giveUpAt = hasPart ? request.deadlineAt : this.options.clock.now() + waitMilliseconds;
        for (;;) {
            const quarantine = this.tryGetQuarantine(run);
            if (quarantine !== undefined) {
                return core.createFailure(quarantine);
            }
            const choice = this.options.chooser.choose(createRequirements(run));
            if (choice.upstream !== undefined) {
                return core.createSuccess(choice.upstream);
            }
            if (limit.signal.aborted || this.options.clock.now() >= giveUpAt) {
                if (!isOnline) {
                    this.savePartial(run);
                }
                const certainty = getCertainty(progress);
                return core.createFailure(
                    limit.isPassed()
                        ? refusals.createDeadlinePassed(certainty)
                        : refusals.createOverloaded(certainty, choice.retryAfterMilliseconds),
                );
            }
            await this.options.clock.sleep(SlotRetryMilliseconds, limit.signal);
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

    private async *runAttempt(
        upstream: core.UpstreamDescription,
        run: Run,
    ): AsyncGenerator<types.TokenEvent, AttemptEnd> {
        const { request, progress } = run;
        using attempt = this.options.attempts.start(request, run.profile, upstream, progress.tokens);
        using use = this.options.directory.useEngine(upstream, request.requestClass);
        progress.attempts++;
        this.options.telemetry.record(telemetry.events.RequestPlaced, createSubject(request, upstream.id));
        const resumeAfter = progress.tokens === 0 ? undefined : { text: progress.text, tokens: progress.tokens };
        const engineRequest = { id: attempt.id, model: request.model, body: request.body, resumeAfter };
        const { giveWaySignal } = attempt;
        const signal =
            giveWaySignal === undefined ? run.limit.signal : AbortSignal.any([run.limit.signal, giveWaySignal]);
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
                    progress.refusals += mayHaveRunAfter(event.failure.kind) ? 0 : 1;
                    progress.mayHaveRun ||= mayHaveRunAfter(event.failure.kind);
                    await attempt.onFailed(event.failure);
                    return {
                        kind:
                            giveWaySignal?.aborted === true && !run.limit.signal.aborted
                                ? AttemptEndKind.GaveWay
                                : AttemptEndKind.Failed,
                        failure: event.failure,
                    };
            }
        }
        const text = "the stream ended without a closing event";
        return { kind: AttemptEndKind.Failed, failure: { kind: upstreams.EngineFailureKind.Broken, text } };
    }

    /** Returns undefined if the request should be retried on another engine. */
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
        // 404 means that the engine doesn't hold the model (yet, or any more). Another one may.
        if (failure.kind === upstreams.EngineFailureKind.Rejected && failure.status !== 404) {
            return refusals.createBodyInvalid(failure.text, certainty);
        }
        const isBegun = progress.tokens > 0 && run.request.requestClass === core.RequestClass.Online;
        const uncounted = isBegun ? Math.min(progress.refusals, MaximumRefusalsOfBegunAnswer) : 0;
        if (progress.attempts - uncounted >= MaximumAttempts || !this.mayRetry(failure, progress)) {
            return refusals.createUpstreamFailed(failure.text, certainty);
        }
        return undefined;
    }

    /**
     * The retry budget limits repeated work. It doesn't apply to a request that no engine has received, since a retry
     * repeats nothing, or to a stream that its caller has a part of, since it resumes where it stopped and a refusal
     * would lose the answer.
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

function createRequirements(run: Run): engineChooser.EngineRequirements {
    return {
        base: run.base,
        requestClass: run.request.requestClass,
        profile: run.profile,
        excluded: run.progress.excluded,
    };
}

/** A request that failed as NotSent or Busy has not run, and one that was rejected failed validation before it ran. */
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

/** Corrects the usage of a resumed run. The engine counts the resumed text as prompt, but it is part of the answer. */
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
