import type * as stream from "node:stream";
import * as undici from "undici";

/** How far a call over HTTP came. */
export enum CallOutcomeKind {
    /** A whole response came back. */
    Answered = "Answered",
    /** No byte of the request left: the service can't have acted on it. */
    NotSent = "NotSent",
    /** The request may have left, and no whole response came: the service may have acted on it. */
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

/** Errors that undici or the kernel give before a byte of the request is written. */
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

/** Makes one call and reads the whole response. Never throws for what the network or the service does. */
export async function call(dispatcher: undici.Dispatcher, request: CallRequest): Promise<CallOutcome> {
    // A connection can go silent for good, so the timeout covers the whole call; its end closes the connection, and
    // the next call opens a new one.
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

/** Opens a response that goes on; the caller reads the stream, which ends with an error when the connection does. */
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

/** Reads a body as JSON; undefined where it is none. */
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
