import * as core from "@boragedale/core";
import type * as undici from "undici";
import * as exchange from "./exchange.js";
import type * as types from "./types.js";

/** Maximum size of an answer that is buffered in memory, in bytes. */
export const MaximumReplyBytes = 16 * 1_024 * 1_024;

export type Reply =
    | {
          readonly ok: true;
          readonly status: number;
          readonly headers: Readonly<Record<string, string>>;
          readonly body: Buffer;
      }
    | { readonly ok: false; readonly failure: exchange.ExchangeFailure };

export interface ReplyOptions {
    readonly clock: core.Clock;
    readonly limits: exchange.SilenceLimits;
    readonly signal?: AbortSignal;
    readonly closesConnection?: boolean;
}

/** Sends a request and collects the complete answer. */
export function readReply(
    dispatcher: undici.Dispatcher,
    request: exchange.ExchangeRequest,
    options: ReplyOptions,
): Promise<Reply> {
    return new Promise(resolve => {
        const collector = new ReplyCollector(resolve, options);
        collector.start(dispatcher, request);
    });
}

class ReplyCollector implements exchange.ExchangeListener {
    private readonly exchange: exchange.Exchange;
    private readonly chunks: Buffer[] = [];
    private readonly cancel = (): void => this.exchange.cancel();
    private receivedBytes = 0;
    private status = 0;
    private headers: Readonly<Record<string, string>> = {};

    constructor(
        private readonly resolve: (reply: Reply) => void,
        private readonly options: ReplyOptions,
    ) {
        this.exchange = new exchange.Exchange(options.clock, options.limits, this);
    }

    start(dispatcher: undici.Dispatcher, request: exchange.ExchangeRequest): void {
        if (this.options.signal?.aborted === true) {
            const text = "cancelled before it was sent";
            const failure = { kind: exchange.ExchangeFailureKind.NotSent, text, mayHaveLeft: false };
            this.resolve({ ok: false, failure });
            return;
        }
        this.options.signal?.addEventListener("abort", this.cancel, { once: true });
        this.exchange.start(dispatcher, request, this.options.closesConnection);
    }

    onHeaders(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
        this.status = status;
        this.headers = flattenHeaders(headers);
    }

    onData(chunk: Buffer): void {
        this.receivedBytes += chunk.length;
        this.chunks.push(chunk);
        if (this.receivedBytes > MaximumReplyBytes) {
            const text = `the answer is over ${MaximumReplyBytes} bytes`;
            const failure = { kind: exchange.ExchangeFailureKind.Broken, text, mayHaveLeft: true };
            this.settle({ ok: false, failure });
            this.exchange.cancel();
        }
    }

    onEnd(): void {
        this.settle({ ok: true, status: this.status, headers: this.headers, body: Buffer.concat(this.chunks) });
    }

    onFailure(failure: exchange.ExchangeFailure): void {
        this.settle({ ok: false, failure });
    }

    private settle(reply: Reply): void {
        this.options.signal?.removeEventListener("abort", this.cancel);
        this.resolve(reply);
    }
}

function flattenHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
): Readonly<Record<string, string>> {
    const flat: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined) {
            flat[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return flat;
}

export function tryParseJson(body: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(body).toString("utf8"));
    }
    catch {
        return undefined;
    }
}

export function tryParseLoad(value: unknown): types.LoadReport | undefined {
    if (!isRecord(value)) {
        return undefined;
    }
    const { running, waiting, cacheUsage, ageMilliseconds } = value;
    const numbers = [running, waiting, cacheUsage, ageMilliseconds];
    return numbers.every(number => typeof number === "number" && Number.isFinite(number))
        ? (value as unknown as types.LoadReport)
        : undefined;
}

export function tryParseState(value: unknown): types.UpstreamState | undefined {
    if (!isRecord(value) || !Array.isArray(value.models) || !isRole(value.role)) {
        return undefined;
    }
    return {
        models: value.models as readonly types.HeldModel[],
        role: value.role,
        fencing: typeof value.fencing === "number" ? value.fencing : undefined,
        isLoading: value.isLoading === true,
        isLeaving: value.isLeaving === true,
        failure: typeof value.failure === "string" ? value.failure : undefined,
    };
}

function isRole(value: unknown): value is core.UpstreamRole {
    return Object.values(core.UpstreamRole).includes(value as core.UpstreamRole);
}

export function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}
