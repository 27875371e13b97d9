import type * as net from "node:net";
import * as undici from "undici";

/** What came of an exchange that brought no whole answer. */
export enum ExchangeFailureKind {
    /** No connection stood: nothing of the request can have left. */
    NotSent = "NotSent",
    /** The connection ended, or what came is no answer: the request may have run. */
    Broken = "Broken",
    /** This side stopped it. */
    Aborted = "Aborted",
}

export interface ExchangeFailure {
    readonly kind: ExchangeFailureKind;
    readonly text: string;
}

/** Called in order: `onHeaders` once, `onData` any number of times, then one of the two ends. */
export interface ExchangeHandler {
    /** The request is written to a connection from now on. */
    onSent(): void;
    onHeaders(status: number, rawHeaders: string[], statusText: string): void;
    /** Returns false to stop the upstream until `resume` is called. */
    onData(data: Buffer): boolean;
    onComplete(): void;
    onFailure(failure: ExchangeFailure): void;
}

export interface ExchangeRequest {
    readonly method: string;
    readonly target: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/** A running exchange, as its starter sees it. */
export interface RunningExchange {
    /** Stops the exchange and closes its connection, which tells the upstream to stop. */
    abort(): void;
    resume(): void;
}

/** Connections to one upstream. */
export abstract class Channel {
    abstract start(request: ExchangeRequest, handler: ExchangeHandler): RunningExchange;
    /** Gives up all connections, as after silence on one: others may be as dead. Exchanges in progress go on. */
    abstract renew(): void;
    /** Whether a kept connection is free for a request. */
    abstract hasIdleConnection(): boolean;
}

export interface ChannelOptions {
    readonly address: string;
    readonly connectTimeoutMilliseconds: number;
    /** Connections that this instance may hold to the upstream. */
    readonly connections: number;
}

/**
 * Idle connections are let go after this: upstreams that say nothing keep theirs for longer, and a connection that was
 * used within the last seconds is less often one that something in between has forgotten.
 */
const KeepAliveMilliseconds = 8_000;
/**
 * One that announces its timeout is taken at its word up to this, so that the connections of a burst are there for the next
 * one; beyond it a connection is more often forgotten on the way than used again.
 */
const LongestKeepAliveMilliseconds = 30_000;
/** Margin below the idle timeout that an upstream announces, so that a request doesn't cross its close. */
const KeepAliveMarginMilliseconds = 1_000;

/** Kept connections to one upstream, one request at a time on each. */
export class UpstreamChannel extends Channel implements AsyncDisposable {
    private pool: undici.Pool;

    constructor(private readonly options: ChannelOptions) {
        super();
        this.pool = this.createPool();
    }

    override start(request: ExchangeRequest, handler: ExchangeHandler): RunningExchange {
        const exchange = new Exchange(handler);
        try {
            this.pool.dispatch(
                {
                    path: request.target,
                    method: request.method as undici.Dispatcher.HttpMethod,
                    headers: request.headers,
                    body: request.body,
                    headersTimeout: 0,
                    bodyTimeout: 0,
                },
                exchange as unknown as undici.Dispatcher.DispatchHandler,
            );
        }
        catch (error) {
            // A header that can't be written, such as one with control characters.
            exchange.onError(error as Error);
        }
        return exchange;
    }

    override renew(): void {
        const previous = this.pool;
        this.pool = this.createPool();
        void previous.close();
    }

    override hasIdleConnection(): boolean {
        return this.pool.stats.free > 0;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.pool.destroy();
    }

    private createPool(): undici.Pool {
        const connect = undici.buildConnector({ timeout: this.options.connectTimeoutMilliseconds });
        return new undici.Pool(`http://${this.options.address}`, {
            connections: this.options.connections,
            pipelining: 1,
            keepAliveTimeout: KeepAliveMilliseconds,
            keepAliveMaxTimeout: LongestKeepAliveMilliseconds,
            keepAliveTimeoutThreshold: KeepAliveMarginMilliseconds,
            connect: (options, callback) =>
                connect(options, (...result) => {
                    const socket = result[1];
                    if (socket) {
                        watchForReset(socket);
                    }
                    callback(...result);
                }),
        });
    }
}

/** True while the error event of a reset connection is being handled. */
let isResetting = false;

/**
 * The HTTP client takes a reset after headers without a length for the end of the body, inside its own error listener.
 * An answer that was cut off would look whole to the caller; this listener runs first and tells the exchange.
 */
function watchForReset(socket: net.Socket): void {
    socket.prependListener("error", () => {
        isResetting = true;
        process.nextTick(() => (isResetting = false));
    });
}

/** One request and its answer. Implements the client's handler interface. */
export class Exchange implements RunningExchange {
    private abortRequest: ((reason?: Error) => void) | undefined;
    private resumeBody: (() => void) | undefined;
    private isOver = false;
    private isAborted = false;
    private isSent = false;

    constructor(private readonly handler: ExchangeHandler) {}

    abort(): void {
        if (this.isOver) {
            return;
        }
        this.isAborted = true;
        if (this.abortRequest !== undefined) {
            this.abortRequest(new Error("stopped"));
            return;
        }
        this.fail({ kind: ExchangeFailureKind.Aborted, text: "stopped before it was sent" });
    }

    resume(): void {
        this.resumeBody?.();
    }

    hasEnded(): boolean {
        return this.isOver;
    }

    onConnect(abort: (reason?: Error) => void): void {
        this.abortRequest = abort;
        if (this.isAborted) {
            abort(new Error("stopped"));
            return;
        }
        this.isSent = true;
        this.handler.onSent();
    }

    onResponseStarted(): void {}

    onHeaders(status: number, rawHeaders: Buffer[], resume: () => void, statusText: string): boolean {
        if (this.isOver || status < 200) {
            return true;
        }
        this.resumeBody = resume;
        this.handler.onHeaders(
            status,
            rawHeaders.map(part => part.toString("latin1")),
            statusText,
        );
        return true;
    }

    onData(data: Buffer): boolean {
        return this.isOver ? true : this.handler.onData(data);
    }

    onComplete(): void {
        if (this.isOver) {
            return;
        }
        if (isResetting) {
            this.fail({ kind: ExchangeFailureKind.Broken, text: "reset before the end of a body without length" });
            return;
        }
        this.isOver = true;
        this.handler.onComplete();
    }

    onError(error: Error): void {
        if (this.isAborted) {
            this.fail({ kind: ExchangeFailureKind.Aborted, text: error.message });
            return;
        }
        const kind = this.isSent ? ExchangeFailureKind.Broken : ExchangeFailureKind.NotSent;
        this.fail({ kind, text: error.message });
    }

    private fail(failure: ExchangeFailure): void {
        if (this.isOver) {
            return;
        }
        this.isOver = true;
        this.handler.onFailure(failure);
    }
}
