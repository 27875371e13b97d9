import * as core from "@boragedale/core";
import * as undici from "undici";
import * as rawHeaderList from "./rawHeaders.js";
import * as recentAnswers from "./recentAnswers.js";

/** Why an exchange ended without a complete answer. */
export enum ExchangeFailureKind {
    /** No connection was established, so no part of the request was sent. */
    NotSent = "NotSent",
    /** The connection was closed, or the answer was invalid. The request may have run. */
    Broken = "Broken",
    /** The gateway stopped the exchange. */
    Aborted = "Aborted",
}

export interface ExchangeFailure {
    readonly kind: ExchangeFailureKind;
    readonly text: string;
}

/**
 * Callbacks are called in this order: `onSent`, `onHeaders`, `onData` any number of times, `onComplete`. `onFailure` can be called
 * instead of any of them and ends the exchange.
 */
export interface ExchangeHandler {
    /** A connection is available, and the request is about to be written to it. */
    onSent(): void;
    onHeaders(status: number, rawHeaders: string[], statusText: string): void;
    /** Returns false to pause reading until `resume` is called. */
    onData(data: Buffer): boolean;
    onComplete(): void;
    onFailure(failure: ExchangeFailure): void;
}

export interface ExchangeRequest {
    /** Id by which the upstream marks its answers. All sendings of a request have the same one. */
    readonly attemptId: string;
    readonly method: string;
    readonly target: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/** Controls a running exchange. */
export interface RunningExchange {
    /** Stops the exchange and closes its connection, so that the upstream stops the request. */
    abort(): void;
    resume(): void;
}

/** The connections to one upstream. */
export abstract class Channel {
    abstract start(request: ExchangeRequest, handler: ExchangeHandler): RunningExchange;
    /**
     * Replaces all connections. Used when a connection is silent, since the others may be dead as well. Exchanges in progress
     * continue.
     */
    abstract replaceConnections(): void;
    /** Whether an idle kept-alive connection is available. */
    abstract hasIdleConnection(): boolean;
}

export interface ChannelOptions {
    readonly address: string;
    readonly connectTimeoutMilliseconds: number;
    /** Maximum number of connections of this instance to the upstream. */
    readonly maximumConnections: number;
    readonly clock: core.Clock;
}

/**
 * Idle timeout for upstreams that announce none: they keep their connections for longer. Connections that were used recently
 * are less likely to have been dropped by a device on the network path.
 */
const DefaultKeepAliveMilliseconds = 8_000;
/**
 * Upper bound on the idle timeout that an upstream announces. Connections of one burst remain available for the next; after
 * a longer time, a connection is more likely to be dropped on the network path than to be reused.
 */
const MaximumKeepAliveMilliseconds = 30_000;
/** Margin below the idle timeout that an upstream announces, so that no request is sent while the upstream closes. */
const KeepAliveMarginMilliseconds = 1_000;

/** Time after a connection was lost in which the upstream may have restarted. Its entry changes within a second after that. */
const RestartNoticeMilliseconds = 5_000;

/** Error codes of connections that the upstream or the network has closed. The gateway itself closes others, such as idle ones. */
const LostConnectionCodes: ReadonlySet<string> = new Set(["UND_ERR_SOCKET", "ECONNRESET", "EPIPE", "ETIMEDOUT"]);

/** A pool of kept-alive connections to one upstream, without pipelining. */
export class UpstreamChannel extends Channel implements AsyncDisposable {
    private pool: undici.Pool;
    private readonly answers = new recentAnswers.RecentAnswers();
    /** Pools for requests that must not be sent on a kept connection. Each is closed after its answer. */
    private readonly singleUsePools = new Set<undici.Pool>();
    /** When the upstream or the network last closed a connection. */
    private lostAt: core.MonotonicMilliseconds = -Infinity;

    constructor(private readonly options: ChannelOptions) {
        super();
        this.pool = this.createPool();
    }

    override start(request: ExchangeRequest, handler: ExchangeHandler): RunningExchange {
        const { attemptId } = request;
        const isRepeated = this.answers.has(attemptId);
        const pool = isRepeated ? this.createPool(1) : this.pool;
        const exchange = new Exchange(handler, connection => this.answers.note(connection, attemptId));
        try {
            pool.dispatch(
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
            // A header can't be sent, for example because it contains control characters.
            exchange.onError(error as Error);
        }
        if (isRepeated) {
            this.singleUsePools.add(pool);
            void pool.close().then(() => this.singleUsePools.delete(pool));
        }
        return exchange;
    }

    override replaceConnections(): void {
        const previous = this.pool;
        this.pool = this.createPool();
        void previous.close();
    }

    override hasIdleConnection(): boolean {
        return this.pool.stats.free > 0;
    }

    /** Whether a connection is open and none was lost lately. A process that ends closes all its connections. */
    hasSteadyConnection(): boolean {
        const sinceLoss = this.options.clock.now() - this.lostAt;
        return this.pool.stats.connected > 0 && sinceLoss > RestartNoticeMilliseconds;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([this.pool, ...this.singleUsePools].map(pool => pool.destroy()));
    }

    private createPool(maximumConnections = this.options.maximumConnections): undici.Pool {
        const connect = undici.buildConnector({ timeout: this.options.connectTimeoutMilliseconds });
        const pool = new undici.Pool(`http://${this.options.address}`, {
            connections: maximumConnections,
            pipelining: 1,
            keepAliveTimeout: DefaultKeepAliveMilliseconds,
            keepAliveMaxTimeout: MaximumKeepAliveMilliseconds,
            keepAliveTimeoutThreshold: KeepAliveMarginMilliseconds,
            connect: core.trackConnections(connect, core.FramingLimit.Enforced),
        });
        pool.on("disconnect", (origin, targets, error) => {
            if (LostConnectionCodes.has(error.code)) {
                this.lostAt = this.options.clock.now();
            }
        });
        return pool;
    }
}

/** A request and its answer. Implements the HTTP client's handler interface. */
export class Exchange implements RunningExchange {
    private abortRequest: ((reason?: Error) => void) | undefined;
    private isFinished = false;
    private isAborted = false;
    private isSent = false;
    private connection: core.ClientConnection | undefined;
    private framing: core.BodyFraming | undefined;

    constructor(
        private readonly handler: ExchangeHandler,
        /** Called when an answer has begun, with its connection: the request may be sent again before the answer's end. */
        private readonly onAnswered: (connection: core.ClientConnection) => void = () => undefined,
    ) {}

    abort(): void {
        if (this.isFinished) {
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
        if (!this.isFinished) {
            this.connection?.resume();
        }
    }

    hasEnded(): boolean {
        return this.isFinished;
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

    onHeaders(...[status, rawHeaders, , statusText]: [number, Buffer[], unknown, string]): boolean {
        if (this.isFinished || status < 200) {
            return true;
        }
        const headers = rawHeaders.map(part => part.toString("latin1"));
        this.connection = core.ClientConnection.getParsed();
        this.framing = rawHeaderList.getBodyFraming(status, headers);
        if (this.connection !== undefined) {
            this.onAnswered(this.connection);
        }
        this.handler.onHeaders(status, headers, statusText);
        return true;
    }

    onData(data: Buffer): boolean {
        this.connection?.noteBody(data.length);
        if (!this.isFinished && !this.handler.onData(data)) {
            this.connection?.pause();
        }
        return true;
    }

    onComplete(): void {
        if (this.isFinished) {
            return;
        }
        // The HTTP client reports a reset as the end of an answer that ends with its connection.
        if (this.framing === core.BodyFraming.Close && this.connection?.wasReset() === true) {
            this.fail({ kind: ExchangeFailureKind.Broken, text: "reset before the end of a body without length" });
            return;
        }
        this.finish();
        this.connection?.noteAnswered();
        try {
            this.handler.onComplete();
        }
        catch (error) {
            // The HTTP client would report the exception to this exchange, which ignores what comes after its end.
            this.handler.onFailure({ kind: ExchangeFailureKind.Broken, text: String(error) });
        }
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
        if (this.isFinished) {
            return;
        }
        this.finish();
        this.handler.onFailure(failure);
    }

    /** Ends the pause, since the connection's next answer belongs to another exchange. */
    private finish(): void {
        this.connection?.resume();
        this.isFinished = true;
    }
}
