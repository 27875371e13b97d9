import * as core from "@boragedale/core";
import type * as undici from "undici";

/** How an exchange ended without a complete response. */
export enum ExchangeFailureKind {
    /** No byte of the request can have been sent. */
    NotSent = "NotSent",
    /** The connection broke after the request may have been sent. */
    Broken = "Broken",
    /** Nothing arrived for longer than the limit, and the connection was destroyed. */
    Silent = "Silent",
    Cancelled = "Cancelled",
}

export interface ExchangeFailure {
    readonly kind: ExchangeFailureKind;
    readonly text: string;
    /** Whether any byte of the request can have been sent. Never true with `NotSent`. */
    readonly mayHaveLeft: boolean;
}

export interface ExchangeRequest {
    readonly method: undici.Dispatcher.HttpMethod;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | Uint8Array | undefined;
}

/** Longest times without received data before an exchange is aborted. */
export interface SilenceLimits {
    /** From dispatch to the first byte of the body. */
    readonly firstMilliseconds: number;
    /** Between two chunks of the body. */
    readonly nextMilliseconds: number;
}

/** Receives the progress of an exchange, which ends with exactly one `onEnd` or `onFailure`. */
export interface ExchangeListener {
    onHeaders(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void;
    onData(chunk: Buffer): void;
    onEnd(): void;
    onFailure(failure: ExchangeFailure): void;
}

/**
 * One request and its response on a connection. It tracks two things that undici's promises don't distinguish: whether
 * any byte of the request can have been sent, and whether missing data is due to the upstream or to a response that
 * this process paused.
 */
export class Exchange implements undici.Dispatcher.DispatchHandler {
    private connection: core.ClientConnection | undefined;
    private framing: core.BodyFraming | undefined;
    private controller: undici.Dispatcher.DispatchController | undefined;
    private mayHaveLeft = false;
    private hasEnded = false;
    private isPaused = false;
    private hasReceivedBody = false;
    private lastActivityAt: core.MonotonicMilliseconds;
    private cancelTimer: (() => void) | undefined;

    constructor(
        private readonly clock: core.Clock,
        private readonly limits: SilenceLimits,
        private readonly listener: ExchangeListener,
    ) {
        this.lastActivityAt = clock.now();
    }

    /**
     * Dispatches the request to a connection or pool. With `closesConnection` the connection is closed after the
     * response.
     */
    start(dispatcher: undici.Dispatcher, request: ExchangeRequest, closesConnection = false): void {
        this.checkSilence();
        try {
            dispatcher.dispatch(
                {
                    method: request.method,
                    path: request.path,
                    headers: request.headers,
                    ...(request.body === undefined ? {} : { body: request.body }),
                    // undici's timeouts are disabled, since they use the wall clock; `checkSilence` uses the given
                    // clock.
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

    /** Cancels the exchange. Its connection is destroyed, which signals the cancellation to the upstream. */
    cancel(): void {
        this.abandon(ExchangeFailureKind.Cancelled, "cancelled");
    }

    /** Stops reading the response until `resume`; TCP flow control then slows down the upstream. */
    pause(): void {
        this.isPaused = true;
        this.connection?.pause();
    }

    resume(): void {
        this.isPaused = false;
        this.lastActivityAt = this.clock.now();
        if (!this.hasEnded) {
            this.connection?.resume();
        }
    }

    onRequestStart(controller: undici.Dispatcher.DispatchController): void {
        if (this.hasEnded || this.mayHaveLeft) {
            // The exchange ended while it waited for a connection, so nothing may be sent any more. Or undici starts
            // the request a second time after its connection failed, which would run a call twice that may not be
            // repeated.
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
            this.connection = core.ClientConnection.getParsed();
            this.framing = core.getBodyFraming(status, name => headers[name]?.toString());
            this.listener.onHeaders(status, headers);
        }
    }

    onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
        if (!this.isCurrent(controller)) {
            return;
        }
        this.hasReceivedBody = true;
        this.lastActivityAt = this.clock.now();
        this.listener.onData(chunk);
    }

    onResponseEnd(): void {
        // undici reports a reset as the end of an answer that ends with its connection.
        if (this.framing === core.BodyFraming.Close && this.connection?.wasReset() === true) {
            this.fail(ExchangeFailureKind.Broken, "reset before the end of a body without length");
            return;
        }
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

    /**
     * Aborts the exchange when nothing has arrived for longer than the limit. One timer re-arms itself; a timer for
     * each chunk would start thousands of timers a second on a fast stream.
     */
    private checkSilence(): void {
        const limitMilliseconds = this.hasReceivedBody ? this.limits.nextMilliseconds : this.limits.firstMilliseconds;
        const remainingMilliseconds = this.lastActivityAt + limitMilliseconds - this.clock.now();
        if (remainingMilliseconds <= 0 && !this.isPaused) {
            this.abandon(ExchangeFailureKind.Silent, `nothing arrived for ${limitMilliseconds} ms`);
            return;
        }
        this.cancelTimer = this.clock.schedule(this.isPaused ? limitMilliseconds : remainingMilliseconds, () =>
            this.checkSilence(),
        );
    }

    private abandon(kind: ExchangeFailureKind, text: string): void {
        if (this.hasEnded) {
            return;
        }
        const controller = this.controller;
        // A request that was never sent is reported as not sent, unless it was cancelled.
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
        // The connection's next answer belongs to another exchange.
        this.connection?.resume();
        this.cancelTimer?.();
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
