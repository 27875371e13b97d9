import type * as core from "@boragedale/core";
import type * as telemetry from "@boragedale/telemetry";
import type * as undici from "undici";
import * as channel from "./eventChannel.js";
import * as clients from "./clients.js";
import * as completionRequest from "./completionRequest.js";
import * as completionStream from "./completionStream.js";
import * as connections from "./connections.js";
import * as exchange from "./exchange.js";
import * as reports from "./reports.js";
import * as types from "./types.js";

export interface HttpEngineClientOptions {
    readonly upstream: core.UpstreamId;
    /** Base URL, such as `http://127.0.0.1:8000`. */
    readonly url: string;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly limits?: Partial<connections.ConnectionLimits>;
}

/** Number of buffered characters at which the stream to a slow caller is paused. */
const MaximumBufferedCharacters = 4_096;
/** An error's body is only shown to people, so a longer one is truncated. */
const MaximumErrorBytes = 4_096;

/**
 * An HTTP client of a model engine for one class of work. Each class has its own client and thus its own pool, so that
 * an online request never waits for a connection that a batch stream uses.
 */
export class HttpEngineClient extends clients.EngineClient {
    private readonly pool: connections.ReplaceablePool;
    /** A separate pool, so that reports and orders don't wait for streams. */
    private readonly controlPool: connections.ReplaceablePool;
    private readonly limits: connections.ConnectionLimits;
    private readonly basePath: string;

    constructor(private readonly options: HttpEngineClientOptions) {
        super();
        this.limits = { ...connections.DefaultConnectionLimits, ...options.limits };
        this.pool = new connections.ReplaceablePool(options.url, this.limits);
        this.controlPool = new connections.ReplaceablePool(options.url, this.limits);
        this.basePath = new URL(options.url).pathname.replace(/\/$/, "");
    }

    override run(request: types.EngineRequest, signal: AbortSignal): AsyncIterable<types.EngineEvent> {
        if (signal.aborted) {
            return createSingleEvent(createFailure(types.EngineFailureKind.Cancelled, "cancelled before it was sent"));
        }
        const body = completionRequest.createBody(request);
        if (body === undefined) {
            const usage = { promptTokens: 0, completionTokens: 0, cachedTokens: 0 };
            return createSingleEvent({ kind: types.EngineEventKind.Finished, reason: "length", usage });
        }
        const dispatcher = this.pool.getDispatcher();
        const run = new EngineRun(request.id, this.options, this.limits, () => this.pool.replacePool(dispatcher));
        run.start(dispatcher, createExchangeRequest(`${this.basePath}/v1/chat/completions`, request.id, body), signal);
        return run.events;
    }

    override async tryReadLoad(): Promise<types.LoadReport | undefined> {
        return reports.tryParseLoad(await this.tryReadJson("/load"));
    }

    override async tryReadState(): Promise<types.UpstreamState | undefined> {
        return reports.tryParseState(await this.tryReadJson("/state"));
    }

    override async order(order: types.UpstreamOrder): Promise<types.OrderOutcome> {
        const request: exchange.ExchangeRequest = {
            method: "PUT",
            path: `${this.basePath}/order`,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(order),
        };
        const reply = await this.sendControlRequest(request);
        if (!reply.ok) {
            return { kind: types.OrderOutcomeKind.Failed, text: reply.failure.text };
        }
        const text = reply.body.toString("utf8");
        switch (reply.status) {
            case 200:
            case 202:
                return { kind: types.OrderOutcomeKind.Accepted, text };
            case 409:
                return { kind: types.OrderOutcomeKind.Fenced, text };
            default:
                return { kind: types.OrderOutcomeKind.Failed, text: `status ${reply.status}: ${text}` };
        }
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([this.pool[Symbol.asyncDispose](), this.controlPool[Symbol.asyncDispose]()]);
    }

    private async tryReadJson(path: string): Promise<unknown> {
        const reply = await this.sendControlRequest({
            method: "GET",
            path: this.basePath + path,
            headers: {},
            body: undefined,
        });
        return reply.ok && reply.status === 200 ? reports.tryParseJson(reply.body) : undefined;
    }

    private async sendControlRequest(request: exchange.ExchangeRequest): Promise<reports.Reply> {
        const dispatcher = this.controlPool.getDispatcher();
        const limit = this.limits.controlMilliseconds;
        const reply = await reports.readReply(dispatcher, request, {
            clock: this.options.clock,
            limits: { firstMilliseconds: limit, nextMilliseconds: limit },
        });
        if (!reply.ok && reply.failure.kind === exchange.ExchangeFailureKind.Silent) {
            this.controlPool.replacePool(dispatcher);
        }
        return reply;
    }
}

/** One completion on one connection, from the first byte of the request to the final event. */
class EngineRun implements exchange.ExchangeListener, completionStream.CompletionStreamListener {
    readonly events: channel.EventChannel<types.EngineEvent>;
    private readonly exchange: exchange.Exchange;
    private readonly stream: completionStream.CompletionStream;
    private readonly errorChunks: Buffer[] = [];
    private errorBytes = 0;
    private status = 0;
    private text = "";
    private tokens = 0;
    private removeAbortListener: () => void = () => undefined;

    constructor(
        requestId: string,
        private readonly options: HttpEngineClientOptions,
        limits: connections.ConnectionLimits,
        private readonly onSilent: () => void,
    ) {
        const silenceLimits = {
            firstMilliseconds: limits.firstTokenMilliseconds,
            nextMilliseconds: limits.interTokenMilliseconds,
        };
        this.exchange = new exchange.Exchange(options.clock, silenceLimits, this);
        this.stream = new completionStream.CompletionStream(requestId, this);
        this.events = new channel.EventChannel({
            limit: MaximumBufferedCharacters,
            onHigh: () => this.exchange.pause(),
            onLow: () => this.exchange.resume(),
            onAbandoned: () => this.exchange.cancel(),
        });
    }

    start(dispatcher: undici.Dispatcher, request: exchange.ExchangeRequest, signal: AbortSignal): void {
        const cancel = (): void => this.exchange.cancel();
        signal.addEventListener("abort", cancel, { once: true });
        this.removeAbortListener = () => signal.removeEventListener("abort", cancel);
        this.exchange.start(dispatcher, request);
    }

    onHeaders(status: number): void {
        this.status = status;
        if (status === 200) {
            this.events.push({ kind: types.EngineEventKind.Accepted }, 0);
        }
    }

    onData(chunk: Buffer): void {
        if (this.status === 200) {
            this.stream.feed(chunk);
            this.pushTokens();
            if (this.stream.hasEnded()) {
                this.finish();
            }
        }
        else if (this.errorBytes < MaximumErrorBytes) {
            this.errorBytes += chunk.length;
            this.errorChunks.push(chunk);
        }
    }

    onEnd(): void {
        if (this.status !== 200) {
            this.close(createStatusFailure(this.status, this.readErrorText()));
            return;
        }
        this.finish();
    }

    onFailure(failure: exchange.ExchangeFailure): void {
        if (failure.kind === exchange.ExchangeFailureKind.Silent) {
            this.onSilent();
        }
        // After the finish reason the text is complete, so a connection that is lost later doesn't matter.
        this.close(this.stream.tryGetFinish() ?? createFailure(toFailureKind(failure.kind), failure.text));
    }

    onToken(text: string): void {
        this.text += text;
        this.tokens++;
    }

    onError(text: string): void {
        this.pushTokens();
        this.close(createFailure(types.EngineFailureKind.Broken, text));
        this.exchange.cancel();
    }

    onForeignLine(): void {
        this.options.telemetry.metrics.count("boragedale_foreign_lines_total", { upstream: this.options.upstream });
    }

    /**
     * Emits the tokens of one network chunk as one event. Emitting them one by one has no benefit, and under load, when
     * a chunk holds many tokens, an event for each token dominates the cost.
     */
    private pushTokens(): void {
        if (this.tokens > 0) {
            const { text, tokens } = this;
            this.text = "";
            this.tokens = 0;
            this.events.push({ kind: types.EngineEventKind.Token, text, tokens }, text.length);
        }
    }

    private finish(): void {
        const text = "the stream ended before its answer did";
        this.close(this.stream.tryGetFinish() ?? createFailure(types.EngineFailureKind.Broken, text));
    }

    private close(event: types.EngineEvent): void {
        this.removeAbortListener();
        this.events.push(event, 0);
        this.events.end();
    }

    private readErrorText(): string {
        return Buffer.concat(this.errorChunks).toString("utf8", 0, MaximumErrorBytes);
    }
}

function createExchangeRequest(path: string, id: string, body: string): exchange.ExchangeRequest {
    return {
        method: "POST",
        path,
        headers: { "content-type": "application/json", accept: "text/event-stream", "x-request-id": id },
        body,
    };
}

function createStatusFailure(status: number, text: string): types.EngineEvent {
    if (status === 429 || status === 503) {
        return createFailure(types.EngineFailureKind.Busy, text, status);
    }
    const isRejection = status >= 400 && status < 500;
    const kind = isRejection ? types.EngineFailureKind.Rejected : types.EngineFailureKind.Broken;
    return createFailure(kind, text === "" ? `status ${status}` : text, status);
}

function toFailureKind(kind: exchange.ExchangeFailureKind): types.EngineFailureKind {
    switch (kind) {
        case exchange.ExchangeFailureKind.NotSent:
            return types.EngineFailureKind.NotSent;
        case exchange.ExchangeFailureKind.Broken:
            return types.EngineFailureKind.Broken;
        case exchange.ExchangeFailureKind.Silent:
            return types.EngineFailureKind.Silent;
        case exchange.ExchangeFailureKind.Cancelled:
            return types.EngineFailureKind.Cancelled;
    }
}

function createFailure(kind: types.EngineFailureKind, text: string, status?: number): types.EngineEvent {
    return { kind: types.EngineEventKind.Failed, failure: { kind, text, status } };
}

async function* createSingleEvent(event: types.EngineEvent): AsyncIterable<types.EngineEvent> {
    yield event;
}
