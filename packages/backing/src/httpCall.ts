import type * as stream from "node:stream";
import * as undici from "undici";

/** The result of an HTTP call. */
export enum CallOutcomeKind {
    /** A complete response was received. */
    Answered = "Answered",
    /** No byte of the request was sent, so the service can't have acted on it. */
    NotSent = "NotSent",
    /** The request may have been sent, but no complete response was received; the service may have acted on it. */
    NoReply = "NoReply",
}

export type CallOutcome =
    | {
          readonly kind: CallOutcomeKind.Answered;
          readonly status: number;
          readonly headers: Readonly<Record<string, string | string[] | undefined>>;
          readonly body: Buffer;
      }
    | { readonly kind: CallOutcomeKind.NotSent | CallOutcomeKind.NoReply; readonly text: string };

export interface CallRequest {
    readonly method: "GET" | "HEAD" | "POST";
    readonly url: string;
    /** Sent as JSON. */
    readonly body?: unknown;
    readonly timeoutMilliseconds: number;
}

/** Errors that undici or the kernel report before any byte of the request is written. */
const NotSentCodes = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
    "UND_ERR_DESTROYED",
    "UND_ERR_CLOSED",
]);

/** Makes one call and reads the whole response. Never throws for failures of the network or the service. */
export async function call(dispatcher: undici.Dispatcher, request: CallRequest): Promise<CallOutcome> {
    // A connection can stop delivering data without an error, so the timeout covers the whole call. When it expires, the
    // connection is closed and the next call opens a new one.
    const signal = AbortSignal.timeout(request.timeoutMilliseconds);
    try {
        const response = await undici.request(request.url, {
            dispatcher,
            method: request.method,
            signal,
            ...(request.body === undefined ? {} : createJsonBody(request.body)),
        });
        const body = Buffer.from(await response.body.arrayBuffer());
        return { kind: CallOutcomeKind.Answered, status: response.statusCode, headers: response.headers, body };
    }
    catch (error) {
        return createFailedOutcome(error);
    }
}

/** Opens a streamed response, which the caller reads. The stream ends with an error when the connection breaks. */
export async function openStream(
    dispatcher: undici.Dispatcher,
    request: { readonly url: string; readonly body: unknown; readonly signal: AbortSignal },
): Promise<{ readonly status: number; readonly body: stream.Readable } | undefined> {
    try {
        const response = await undici.request(request.url, {
            dispatcher,
            method: "POST",
            signal: request.signal,
            ...createJsonBody(request.body),
        });
        return { status: response.statusCode, body: response.body };
    }
    catch {
        return undefined;
    }
}

/** Parses a body as JSON; returns undefined if it isn't valid JSON. */
export function tryParseJson(body: Buffer | string): unknown {
    try {
        return JSON.parse(body.toString()) as unknown;
    }
    catch {
        return undefined;
    }
}

function createJsonBody(body: unknown): { readonly body: string; readonly headers: Record<string, string> } {
    return { body: JSON.stringify(body), headers: { "content-type": "application/json" } };
}

function createFailedOutcome(error: unknown): CallOutcome {
    const { code, message } = error as { readonly code?: string; readonly message?: string };
    const isNotSent = code !== undefined && NotSentCodes.has(code);
    const kind = isNotSent ? CallOutcomeKind.NotSent : CallOutcomeKind.NoReply;
    return { kind, text: [code, message].filter(part => part !== undefined).join(": ") };
}
