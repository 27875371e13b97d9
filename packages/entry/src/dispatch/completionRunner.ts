import * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";
import * as deadline from "./deadline.js";
import * as placement from "./placement.js";
import * as refusals from "./refusals.js";
import * as types from "./types.js";
import * as directory from "./upstreamDirectory.js";
import type * as upstreamLoad from "./upstreamLoad.js";

export interface CompletionRunnerOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly directory: directory.UpstreamDirectory;
    readonly load: upstreamLoad.UpstreamLoad;
    /** Makes the id of one attempt, never used before by anybody: what carries an older one is dropped. */
    readonly createAttemptId: (request: types.CompletionRequest) => string;
}

/** Attempts of one request, the first included. Each goes to another upstream while there is one. */
const MaximumAttempts = 4;

/** What the caller has of the answer so far, and what went wrong on the way. */
interface Progress {
    readonly excluded: Set<core.UpstreamId>;
    attempts: number;
    text: string;
    tokens: number;
    /** An engine may have worked on it. */
    mayHaveRun: boolean;
    lastFailure: string;
}

/** Runs completions: places, retries and resumes them until the answer is whole or is given up. */
export class CompletionRunner {
    constructor(private readonly options: CompletionRunnerOptions) {}

    async *run(request: types.CompletionRequest, signal: AbortSignal): AsyncGenerator<types.StreamEvent> {
        using limit = new deadline.Deadline(this.options.clock, request.deadlineAt, signal);
        const progress: Progress = {
            excluded: new Set(),
            attempts: 0,
            text: "",
            tokens: 0,
            mayHaveRun: false,
            lastFailure: "",
        };
        for (;;) {
            const place = this.choosePlace(request, progress);
            if (!place.ok) {
                yield this.refuse(request, place.refusal);
                return;
            }
            const failure = yield* this.runOn(place.value, request, progress, limit.signal);
            if (failure === undefined) {
                this.options.telemetry.record(telemetry.events.RequestFinished, createSubject(request));
                return;
            }
            const refusal = this.tryGetRefusal(failure, progress, limit, signal);
            if (refusal !== undefined) {
                yield this.refuse(request, refusal);
                return;
            }
            this.recordRetry(request, place.value, failure, progress);
        }
    }

    private choosePlace(request: types.CompletionRequest, progress: Progress): core.Outcome<core.UpstreamDescription> {
        const fleet = this.options.directory.tryGetFleet();
        if (fleet === undefined) {
            return core.createFailure(refusals.createNoNote());
        }
        const candidates = directory.listEngines(fleet, request.model, request.requestClass);
        if (directory.tryGetBaseModel(fleet, request.model) === undefined && progress.attempts === 0) {
            return core.createFailure(refusals.createModelUnknown(request.model));
        }
        const chosen =
            placement.choosePlace(candidates, this.options.load, progress.excluded) ??
            // A lone upstream is tried again on a new connection rather than not at all.
            (progress.attempts > 0 ? placement.choosePlace(candidates, this.options.load, new Set()) : undefined);
        return chosen === undefined
            ? core.createFailure(refusals.createOverloaded(getCertainty(progress)))
            : core.createSuccess(chosen);
    }

    /** One attempt. Returns why it ended early, or undefined after the whole answer. */
    private async *runOn(
        upstream: core.UpstreamDescription,
        request: types.CompletionRequest,
        progress: Progress,
        signal: AbortSignal,
    ): AsyncGenerator<types.StreamEvent, upstreams.EngineFailure | undefined> {
        const release = this.options.load.add(upstream.id, request.requestClass);
        using use = this.options.directory.useEngine(upstream, request.requestClass);
        progress.attempts++;
        this.options.telemetry.record(telemetry.events.RequestPlaced, createSubject(request, upstream.id));
        const resumeAfter = progress.tokens === 0 ? undefined : { text: progress.text, tokens: progress.tokens };
        const engineRequest: upstreams.EngineRequest = {
            id: this.options.createAttemptId(request),
            model: request.model,
            body: request.body,
            resumeAfter,
        };
        try {
            for await (const event of use.client.run(engineRequest, signal)) {
                switch (event.kind) {
                    case upstreams.EngineEventKind.Accepted:
                        progress.mayHaveRun = true;
                        break;
                    case upstreams.EngineEventKind.Token:
                        progress.mayHaveRun = true;
                        progress.text += event.text;
                        progress.tokens += event.tokens;
                        yield { kind: types.StreamEventKind.Token, text: event.text };
                        break;
                    case upstreams.EngineEventKind.Finished:
                        yield createFinish(event.reason, event.usage, resumeAfter?.tokens ?? 0);
                        return undefined;
                    case upstreams.EngineEventKind.Failed:
                        progress.mayHaveRun ||= mayHaveRunAfter(event.failure.kind);
                        return event.failure;
                }
            }
            return { kind: upstreams.EngineFailureKind.Broken, text: "the stream ended without a closing event" };
        }
        finally {
            release();
        }
    }

    /** Undefined where the request goes on elsewhere. */
    private tryGetRefusal(
        failure: upstreams.EngineFailure,
        progress: Progress,
        limit: deadline.Deadline,
        signal: AbortSignal,
    ): core.Refusal | undefined {
        const certainty = getCertainty(progress);
        if (limit.isPassed()) {
            return refusals.createDeadlinePassed(certainty);
        }
        if (signal.aborted) {
            return refusals.createUpstreamFailed("cancelled by its caller", certainty);
        }
        // An engine that doesn't hold the model (yet, or any more) says 404; another one may.
        if (failure.kind === upstreams.EngineFailureKind.Rejected && failure.status !== 404) {
            return refusals.createBodyInvalid(failure.text, certainty);
        }
        if (progress.attempts >= MaximumAttempts) {
            return refusals.createUpstreamFailed(failure.text, certainty);
        }
        return undefined;
    }

    private recordRetry(
        request: types.CompletionRequest,
        upstream: core.UpstreamDescription,
        failure: upstreams.EngineFailure,
        progress: Progress,
    ): void {
        progress.excluded.add(upstream.id);
        progress.lastFailure = failure.text;
        const event = progress.tokens > 0 ? telemetry.events.StreamResumed : telemetry.events.RequestRetried;
        const text = `${failure.kind}: ${failure.text}`;
        this.options.telemetry.record(event, { ...createSubject(request, upstream.id), text });
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
