import type * as core from "@boragedale/core";
import type * as undici from "undici";

/** How an exchange ended without a whole response. */
export enum ExchangeFailureKind {
    /** No byte of the request can have left this process. */
    NotSent = "NotSent",
    /** The connection broke after the request may have left. */
    Broken = "Broken",
    /** Nothing arrived for longer than the limit; the connection was destroyed. */
    Silent = "Silent",
    Cancelled = "Cancelled",
}

export interface ExchangeFailure {
    readonly kind: ExchangeFailureKind;
    readonly text: string;
    /** Whether any byte of the request can have left. Never true with `NotSent`. */
    readonly mayHaveLeft: boolean;
}

export interface ExchangeRequest {
    readonly method: undici.Dispatcher.HttpMethod;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | Uint8Array | undefined;
}

/** Longest silences that are waited for, in milliseconds. */
export interface SilenceLimits {
    /** From dispatch to the first byte of the body. */
    readonly firstMilliseconds: number;
    /** Between two pieces of the body. */
    readonly nextMilliseconds: number;
}

/** What the owner of an exchange is told; ends with exactly one `onEnd` or `onFailure`. */
export interface ExchangeListener {
    onHeaders(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void;
    onData(chunk: Buffer): void;
    onEnd(): void;
    onFailure(failure: ExchangeFailure): void;
}

/**
 * One request and its response on a connection. It knows two things that undici's own promises don't tell apart
 * cleanly: whether any byte of the request can have left, and whether a silence is the upstream's or our own doing
 * (a paused response).
 */
export class Exchange implements undici.Dispatcher.DispatchHandler {
    private controller: undici.Dispatcher.DispatchController | undefined;
    private mayHaveLeft = false;
    private hasEnded = false;
    private isPaused = false;
    private hasBody = false;
    private lastActivityAt: core.MonotonicMilliseconds;
    private stopTimer: (() => void) | undefined;

    constructor(
        private readonly clock: core.Clock,
        private readonly limits: SilenceLimits,
        private readonly listener: ExchangeListener,
    ) {
        this.lastActivityAt = clock.now();
    }

    /** Hands the request to a connection or pool. `closesConnection` asks for a connection that is used once. */
    start(dispatcher: undici.Dispatcher, request: ExchangeRequest, closesConnection = false): void {
        this.watchSilence();
        try {
            dispatcher.dispatch(
                {
                    method: request.method,
                    path: request.path,
                    headers: request.headers,
                    ...(request.body === undefined ? {} : { body: request.body }),
                    // Our own silence limits run on the given clock; undici's would run on the wall's.
                    headersTimeout: 0,
                    bodyTimeout: 0,
                    reset: closesConnection,
                },
                this,
            );
        }
        catch (error) {
            this.fail(ExchangeFailureKind.NotSent, describeError(error));
        }
    }

    /** Gives the exchange up. Its connection is destroyed, by which the upstream learns of it. */
    cancel(): void {
        this.abandon(ExchangeFailureKind.Cancelled, "cancelled");
    }

    /** Stops reading the response until `resume`; TCP then holds the upstream back. */
    pause(): void {
        this.isPaused = true;
        this.controller?.pause();
    }

    resume(): void {
        this.isPaused = false;
        this.lastActivityAt = this.clock.now();
        this.controller?.resume();
    }

    onRequestStart(controller: undici.Dispatcher.DispatchController): void {
        if (this.hasEnded || this.mayHaveLeft) {
            // Given up while it waited for a connection: nothing may leave any more. And undici may start a request
            // a second time when a connection fails below it; a call that may not be repeated would then run twice.
            controller.abort(new Error("not to be sent"));
            return;
        }
        this.controller = controller;
        this.mayHaveLeft = true;
    }

    onResponseStart(
        controller: undici.Dispatcher.DispatchController,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        if (this.isCurrent(controller) && status >= 200) {
            this.listener.onHeaders(status, headers);
        }
    }

    onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
        if (!this.isCurrent(controller)) {
            return;
        }
        this.hasBody = true;
        this.lastActivityAt = this.clock.now();
        this.listener.onData(chunk);
    }

    onResponseEnd(): void {
        if (this.finish()) {
            this.listener.onEnd();
        }
    }

    onResponseError(...[, error]: [unknown, Error]): void {
        this.fail(this.mayHaveLeft ? ExchangeFailureKind.Broken : ExchangeFailureKind.NotSent, describeError(error));
    }

    private isCurrent(controller: undici.Dispatcher.DispatchController): boolean {
        return !this.hasEnded && controller === this.controller;
    }

    /** One timer that re-arms itself, not one a piece: a fast stream would else start thousands a second. */
    private watchSilence(): void {
        const limit = this.hasBody ? this.limits.nextMilliseconds : this.limits.firstMilliseconds;
        const rest = this.lastActivityAt + limit - this.clock.now();
        if (rest <= 0 && !this.isPaused) {
            this.abandon(ExchangeFailureKind.Silent, `nothing arrived for ${limit} ms`);
            return;
        }
        this.stopTimer = this.clock.schedule(this.isPaused ? limit : rest, () => this.watchSilence());
    }

    private abandon(kind: ExchangeFailureKind, text: string): void {
        if (this.hasEnded) {
            return;
        }
        const controller = this.controller;
        // A request that never left is reported as such, whoever gave it up, unless we cancelled it ourselves.
        const isUnsent = !this.mayHaveLeft && kind !== ExchangeFailureKind.Cancelled;
        this.fail(isUnsent ? ExchangeFailureKind.NotSent : kind, text);
        controller?.abort(new Error(text));
    }

    private fail(kind: ExchangeFailureKind, text: string): void {
        if (this.finish()) {
            this.listener.onFailure({ kind, text, mayHaveLeft: this.mayHaveLeft });
        }
    }

    private finish(): boolean {
        if (this.hasEnded) {
            return false;
        }
        this.hasEnded = true;
        this.stopTimer?.();
        return true;
    }
}

export function describeError(error: unknown): string {
    if (!(error instanceof Error)) {
        return String(error);
    }
    const code = (error as NodeJS.ErrnoException).code;
    return code === undefined ? error.message : `${code}: ${error.message}`;
}
