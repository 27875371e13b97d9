import type * as core from "@boragedale/core";
import type * as undici from "undici";
import * as clients from "./clients.js";
import * as connections from "./connections.js";
import * as exchange from "./exchange.js";
import * as proved from "./provedConnections.js";
import * as reports from "./reports.js";
import * as types from "./types.js";

export interface HttpServiceClientOptions {
    readonly upstream: core.UpstreamId;
    /** Base URL, such as `http://127.0.0.1:9000`. */
    readonly url: string;
    readonly clock: core.Clock;
    readonly limits?: Partial<connections.ConnectionLimits>;
}

/** Headers that apply to a single connection or its framing; they are never forwarded. */
const ConnectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
]);

/** An HTTP client of one server of a plain service, for one class of work. */
export class HttpServiceClient extends clients.ServiceClient {
    private readonly pool: connections.ReplaceablePool;
    private readonly proved: proved.ProvedConnections;
    private readonly limits: connections.ConnectionLimits;
    private readonly basePath: string;

    constructor(private readonly options: HttpServiceClientOptions) {
        super();
        this.limits = { ...connections.DefaultConnectionLimits, ...options.limits };
        this.pool = new connections.ReplaceablePool(options.url, this.limits);
        this.proved = new proved.ProvedConnections(options.url, this.limits, options.clock);
        this.basePath = new URL(options.url).pathname.replace(/\/$/, "");
    }

    override async call(request: types.ServiceRequest, signal: AbortSignal): Promise<types.ServiceOutcome> {
        const reply = request.needsProvedConnection
            ? await this.callProved(request, signal)
            : await this.callPooled(request, signal);
        return createOutcome(reply);
    }

    override async ask(path: string): Promise<types.AskOutcome> {
        const request = { method: "GET" as const, path: this.basePath + path, headers: {}, body: undefined };
        const reply = await this.send(this.pool.getDispatcher(), request, this.limits.controlMilliseconds);
        if (!reply.ok) {
            return { kind: types.AskOutcomeKind.NoAnswer, text: reply.failure.text };
        }
        if (reply.status === 404) {
            return { kind: types.AskOutcomeKind.DidNotRun };
        }
        const response = reply.status === 200 ? tryParseOutcome(reply.body) : undefined;
        return response === undefined
            ? { kind: types.AskOutcomeKind.NoAnswer, text: `status ${reply.status} tells no outcome` }
            : { kind: types.AskOutcomeKind.Ran, response };
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([this.pool[Symbol.asyncDispose](), this.proved[Symbol.asyncDispose]()]);
    }

    private async callPooled(request: types.ServiceRequest, signal: AbortSignal): Promise<reports.Reply> {
        const dispatcher = this.pool.getDispatcher();
        const message = this.createMessage(request);
        const reply = await this.send(dispatcher, message, request.timeoutMilliseconds, signal);
        if (!reply.ok && reply.failure.kind === exchange.ExchangeFailureKind.Silent) {
            this.pool.replacePool(dispatcher);
        }
        return reply;
    }

    private async callProved(request: types.ServiceRequest, signal: AbortSignal): Promise<reports.Reply> {
        const client = this.proved.acquire();
        const reply = await this.send(client, this.createMessage(request), request.timeoutMilliseconds, signal);
        this.proved.release(client, reply.ok);
        return reply;
    }

    private send(
        dispatcher: undici.Dispatcher,
        request: exchange.ExchangeRequest,
        timeoutMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<reports.Reply> {
        return reports.readReply(dispatcher, request, {
            clock: this.options.clock,
            limits: { firstMilliseconds: timeoutMilliseconds, nextMilliseconds: timeoutMilliseconds },
            signal,
        });
    }

    private createMessage(request: types.ServiceRequest): exchange.ExchangeRequest {
        const headers = removeConnectionHeaders(request.headers);
        return {
            method: request.method as undici.Dispatcher.HttpMethod,
            path: this.basePath + request.path,
            headers: request.key === undefined ? headers : { ...headers, "idempotency-key": request.key },
            body: request.body,
        };
    }
}

function createOutcome(reply: reports.Reply): types.ServiceOutcome {
    if (reply.ok) {
        const response = { status: reply.status, headers: removeConnectionHeaders(reply.headers), body: reply.body };
        return { ok: true, response };
    }
    const kind = reply.failure.mayHaveLeft ? types.ServiceFailureKind.MayHaveRun : types.ServiceFailureKind.NotSent;
    return { ok: false, kind, text: reply.failure.text };
}

function removeConnectionHeaders(headers: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
    const entries = Object.entries(headers).map(([name, value]) => [name.toLowerCase(), value] as const);
    return Object.fromEntries(entries.filter(([name]) => !ConnectionHeaders.has(name)));
}

function tryParseOutcome(body: Uint8Array): types.ServiceResponse | undefined {
    const value = reports.tryParseJson(body);
    if (!reports.isRecord(value) || typeof value.status !== "number") {
        return undefined;
    }
    const headers = reports.isRecord(value.headers) ? value.headers : {};
    const content = typeof value.body === "string" ? value.body : "";
    return {
        status: value.status,
        headers: Object.fromEntries(Object.entries(headers).map(([name, text]) => [name, String(text)])),
        body: Buffer.from(content, "base64"),
    };
}
