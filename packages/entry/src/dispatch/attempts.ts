import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as upstreams from "@boragedale/upstreams";
import type * as batchLanes from "./batchLanes.js";
import type * as pressureNotifier from "./pressureNotifier.js";
import type * as requestProfile from "./requestProfile.js";
import type * as suspectWatch from "./suspectWatch.js";
import type * as types from "./types.js";

export interface AttemptsOptions {
    readonly clock: core.Clock;
    readonly placement: decisions.Placement;
    readonly suspects: suspectWatch.SuspectWatch;
    readonly lanes: batchLanes.BatchLanes;
    readonly pressure: pressureNotifier.PressureNotifier;
    /** Makes the id of one attempt, never used before by anybody: what carries an older one is dropped. */
    readonly createId: (request: types.CompletionRequest) => string;
}

/** One try of a request on one upstream, as the decisions are told of it. */
export interface Attempt extends Disposable {
    readonly id: string;
    /** Aborted when a batch stream must give way. */
    readonly givesWay: AbortSignal | undefined;
    onTokens(count: number): void;
    onFinished(): void;
    /** Resolves when it is known whether the upstream died of it. */
    onFailed(failure: upstreams.EngineFailure): Promise<void>;
}

/** Tokens between two reports of progress: one a token would cost more than it tells. */
const ProgressInterval = 16;

/** Tells the decisions what becomes of each attempt. */
export class Attempts {
    constructor(private readonly options: AttemptsOptions) {}

    start(
        request: types.CompletionRequest,
        profile: requestProfile.RequestProfile,
        upstream: core.UpstreamDescription,
        resumedTokens: number,
    ): Attempt {
        const id = this.options.createId(request);
        const now = this.options.clock.now();
        this.options.placement.onSent(id, upstream.id, request.requestClass, now);
        this.options.suspects.registry.onSent(id, profile.fingerprint, upstream.id, now);
        const isBatch = request.requestClass === core.RequestClass.Batch;
        const stream = isBatch
            ? this.options.lanes.start(upstream, id, profile.promptTokens + resumedTokens)
            : undefined;
        this.options.pressure.onChange(upstream.id);
        return new TrackedAttempt(this.options, id, upstream, stream);
    }
}

class TrackedAttempt implements Attempt {
    private tokens = 0;
    private reportedTokens = 0;
    private progressAt = 0;
    private hasEnded = false;

    constructor(
        private readonly options: AttemptsOptions,
        readonly id: string,
        private readonly upstream: core.UpstreamDescription,
        private readonly stream: batchLanes.BatchStream | undefined,
    ) {}

    get givesWay(): AbortSignal | undefined {
        return this.stream?.signal;
    }

    onTokens(count: number): void {
        this.tokens += count;
        if (this.tokens === count) {
            this.progressAt = this.options.clock.now();
            this.options.placement.onFirstToken(this.id, this.progressAt);
            this.stream?.onFirstToken();
            this.reportedTokens = count;
        }
        else if (this.tokens >= this.reportedTokens + ProgressInterval) {
            this.reportProgress();
        }
    }

    onFinished(): void {
        if (this.end()) {
            this.options.placement.onFinished(this.id);
            this.options.suspects.registry.onFinished(this.id, this.upstream.id);
            this.options.pressure.onChange(this.upstream.id);
        }
    }

    async onFailed(failure: upstreams.EngineFailure): Promise<void> {
        // Asked while this attempt still counts as in flight: only what is in flight at a death becomes suspect.
        const mayHaveDied = failure.kind === upstreams.EngineFailureKind.Broken && failure.status === undefined;
        const hasDied = mayHaveDied && (await this.options.suspects.onBroken(this.upstream));
        this.close(hasDied ? decisions.SendFailure.Died : toSendFailure(failure));
    }

    /** Given up by its caller, unless it has ended before. */
    [Symbol.dispose](): void {
        this.close(decisions.SendFailure.Abandoned);
    }

    private close(failure: decisions.SendFailure): void {
        if (this.end()) {
            this.options.placement.onFailed(this.id, failure, this.options.clock.now());
            this.options.suspects.registry.onAbandoned(this.id, this.upstream.id);
            this.options.pressure.onChange(this.upstream.id);
        }
    }

    private reportProgress(): void {
        const now = this.options.clock.now();
        const tokens = this.tokens - this.reportedTokens;
        const milliseconds = now - this.progressAt;
        this.reportedTokens = this.tokens;
        this.progressAt = now;
        this.options.placement.onProgress(this.id, tokens, milliseconds, now);
        this.stream?.onProgress(tokens, milliseconds);
    }

    private end(): boolean {
        if (this.hasEnded) {
            return false;
        }
        this.hasEnded = true;
        this.stream?.[Symbol.dispose]();
        return true;
    }
}

function toSendFailure(failure: upstreams.EngineFailure): decisions.SendFailure {
    switch (failure.kind) {
        case upstreams.EngineFailureKind.NotSent:
        case upstreams.EngineFailureKind.Broken:
        case upstreams.EngineFailureKind.Silent:
            return decisions.SendFailure.Failed;
        case upstreams.EngineFailureKind.Busy:
            return decisions.SendFailure.Busy;
        case upstreams.EngineFailureKind.Rejected:
            // 404: it does not hold the model, so for now it is no place for this kind of request.
            return failure.status === 404 ? decisions.SendFailure.Busy : decisions.SendFailure.Abandoned;
        case upstreams.EngineFailureKind.Cancelled:
            return decisions.SendFailure.Abandoned;
    }
}
