import * as undici from "undici";
import * as core from "@boragedale/core";

/** The status and parsed JSON body of a response, or the reason for the failure. `isReached`: whether a response arrived. */
export type ClientResult<T> =
    | { readonly ok: true; readonly status: number; readonly body: T }
    | { readonly ok: false; readonly isReached: boolean; readonly status: number; readonly text: string };

const ResponseTimeoutMilliseconds = 10_000;

/** HTTP client of one endpoint of an instance; sends the bearer token with each request. */
export class EndpointClient {
    constructor(
        readonly baseUrl: string,
        private readonly token: string,
    ) {}

    async get<T>(path: string): Promise<ClientResult<T>> {
        return this.send<T>("GET", path, undefined);
    }

    async post<T>(path: string, body: unknown, headers: Record<string, string> = {}): Promise<ClientResult<T>> {
        return this.send<T>("POST", path, JSON.stringify(body), { "content-type": "application/json", ...headers });
    }

    /** Uploads one file as a multipart form; the file is streamed. */
    async upload<T>(path: string, file: Blob, name: string): Promise<ClientResult<T>> {
        const form = new undici.FormData();
        form.append("purpose", "batch");
        form.append("file", file, name);
        return this.send<T>("POST", path, form);
    }

    /** Returns the response body as a stream, for files that don't fit into memory. */
    async download(path: string): Promise<ClientResult<AsyncIterable<Uint8Array>>> {
        try {
            const response = await undici.fetch(this.baseUrl + path, { headers: this.createHeaders({}) });
            if (!response.ok || !response.body) {
                return { ok: false, isReached: true, status: response.status, text: await response.text() };
            }
            return { ok: true, status: response.status, body: response.body as AsyncIterable<Uint8Array> };
        }
        catch (error) {
            return this.createUnreachableResult(error);
        }
    }

    private async send<T>(
        method: string,
        path: string,
        body: undici.BodyInit | undefined,
        headers: Record<string, string> = {},
    ): Promise<ClientResult<T>> {
        try {
            const signal = AbortSignal.timeout(
                ResponseTimeoutMilliseconds * (body instanceof undici.FormData ? 60 : 1),
            );
            const response = await undici.fetch(this.baseUrl + path, {
                method,
                body,
                headers: this.createHeaders(headers),
                signal,
            });
            const text = await response.text();
            return parseResponse<T>(response.status, text);
        }
        catch (error) {
            return this.createUnreachableResult(error);
        }
    }

    private createHeaders(headers: Record<string, string>): Record<string, string> {
        return { ...headers, authorization: `Bearer ${this.token}` };
    }

    private createUnreachableResult<T>(error: unknown): ClientResult<T> {
        const cause = error instanceof Error && error.cause instanceof Error ? error.cause : error;
        const reason = cause instanceof Error ? cause.message : String(cause);
        const text = core.messages.formatMessage(core.messages.CommandUnreachable, this.baseUrl, reason);
        return { ok: false, isReached: false, status: 0, text };
    }
}

function parseResponse<T>(status: number, text: string): ClientResult<T> {
    try {
        const body = JSON.parse(text) as T;
        return status < 400 ? { ok: true, status, body } : { ok: false, isReached: true, status, text };
    }
    catch {
        return { ok: false, isReached: true, status, text };
    }
}

/** Returns the message of an error body, or the whole body if it isn't an error object. */
export function getErrorText(text: string): string {
    try {
        const body = JSON.parse(text) as { readonly error?: { readonly message?: string } };
        return body.error?.message ?? text;
    }
    catch {
        return text;
    }
}
