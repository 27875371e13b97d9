import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as upstreams from "@boragedale/upstreams";
import type * as batchCoordinator from "./batchLanes.js";
import type * as pressureNotifier from "./pressureNotifier.js";
import type * as requestProfile from "./requestProfile.js";
import type * as suspectWatch from "./suspectWatch.js";
import type * as types from "./types.js";

export interface AttemptsOptions {
    readonly clock: core.Clock;
    readonly placement: decisions.Placement;
    readonly suspects: suspectWatch.SuspectWatch;
    readonly batch: batchCoordinator.BatchCoordinator;
    readonly pressure: pressureNotifier.PressureNotifier;
    /** Creates the id of an attempt. Ids must be unique across instances, since messages with an old id are dropped. */
    readonly createId: (request: types.CompletionRequest) => string;
}

/** One attempt of a request on one upstream. Its methods report to placement, suspects and batch limits. */
export interface Attempt extends Disposable {
    readonly id: string;
    /** Aborted when a batch stream must give way to online work. Undefined for online requests. */
    readonly giveWaySignal: AbortSignal | undefined;
    onTokens(count: number): void;
    onFinished(): void;
    /** Resolves when it is known whether the upstream crashed. */
    onFailed(failure: upstreams.EngineFailure): Promise<void>;
}

/** Number of tokens between two progress reports. A report for each token would cost too much. */
const ProgressIntervalTokens = 16;

/** Starts attempts and reports their progress and outcome to placement, suspects and batch limits. */
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
            ? this.options.batch.start(upstream, id, profile.promptTokens + resumedTokens)
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
        private readonly stream: batchCoordinator.BatchStream | undefined,
    ) {}

    get giveWaySignal(): AbortSignal | undefined {
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
        else if (this.tokens >= this.reportedTokens + ProgressIntervalTokens) {
            this.reportProgress();
        }
    }

    onFinished(): void {
        if (this.tryEnd()) {
            this.options.placement.onFinished(this.id);
            this.options.suspects.registry.onFinished(this.id, this.upstream.id);
            this.options.pressure.onChange(this.upstream.id);
        }
    }

    async onFailed(failure: upstreams.EngineFailure): Promise<void> {
        // Probe before closing the attempt, since only requests in flight at a crash become suspect.
        const mayHaveDied = failure.kind === upstreams.EngineFailureKind.Broken && failure.status === undefined;
        const hasDied = mayHaveDied && (await this.options.suspects.onConnectionBroken(this.upstream));
        this.close(hasDied ? decisions.SendFailure.Died : toSendFailure(failure));
    }

    /** Records the attempt as abandoned by its caller, unless it has already ended. */
    [Symbol.dispose](): void {
        this.close(decisions.SendFailure.Abandoned);
    }

    private close(failure: decisions.SendFailure): void {
        if (this.tryEnd()) {
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

    private tryEnd(): boolean {
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
            // 404 means that the engine doesn't hold the model. It is treated as busy, so that placement avoids it for
            // now.
            return failure.status === 404 ? decisions.SendFailure.Busy : decisions.SendFailure.Abandoned;
        case upstreams.EngineFailureKind.Cancelled:
            return decisions.SendFailure.Abandoned;
    }
}
