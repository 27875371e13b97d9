import * as undici from "undici";
import * as fleet from "./fleet.js";

/** The part of a batch's JSON representation that the demo reads. */
export interface Batch {
    readonly id: string;
    readonly status: string;
    readonly request_counts: { readonly total: number; readonly completed: number; readonly failed: number };
}

export interface StreamedAnswer {
    readonly status: number;
    readonly text: string;
    /** Whether the final `[DONE]` event was received. */
    readonly isComplete: boolean;
    readonly chunks: number;
}

interface StreamChunk {
    readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
}

/** Streams one chat completion. `onChunk` is called after each chunk with the number of chunks received so far. */
export async function streamCompletion(
    baseUrl: string,
    prompt: string,
    maximumTokens: number,
    onChunk: (count: number) => void = () => undefined,
): Promise<StreamedAnswer> {
    const response = await send(baseUrl, "POST", "/v1/chat/completions", {
        model: "kestrel",
        stream: true,
        min_tokens: maximumTokens,
        max_tokens: maximumTokens,
        messages: [{ role: "user", content: prompt }],
    });
    const decoder = new TextDecoder();
    let buffered = "";
    let text = "";
    let chunks = 0;
    let isComplete = false;
    for await (const piece of response.body ?? []) {
        buffered += decoder.decode(piece as Uint8Array, { stream: true });
        const lines = buffered.split("\n\n");
        buffered = lines.pop() ?? "";
        for (const line of lines) {
            const data = line.replace(/^data: /, "");
            isComplete ||= data === "[DONE]";
            if (data !== "[DONE]") {
                text += (JSON.parse(data) as StreamChunk).choices?.[0]?.delta?.content ?? "";
                onChunk(++chunks);
            }
        }
    }
    return { status: response.status, text, isComplete: isComplete, chunks };
}

export interface BookingAnswer {
    readonly status: number;
    readonly body: string;
}

export async function book(baseUrl: string, key: string, child: string): Promise<BookingAnswer> {
    const headers = { "idempotency-key": key };
    const response = await send(baseUrl, "POST", "/services/bookings/bookings", { child }, headers);
    return { status: response.status, body: await response.text() };
}

export async function readCall(baseUrl: string, key: string): Promise<{ readonly state?: string }> {
    const response = await send(baseUrl, "GET", `/v1/calls/${key}`, undefined);
    return (await response.json()) as { readonly state?: string };
}

export async function uploadFile(baseUrl: string, content: string): Promise<string> {
    const form = new undici.FormData();
    form.append("purpose", "batch");
    form.append("file", new Blob([content]), "items.jsonl");
    const response = await undici.fetch(`${baseUrl}/v1/files`, {
        method: "POST",
        body: form,
        headers: { authorization: `Bearer ${fleet.CallerToken}` },
    });
    return ((await expectSuccess(response)) as { readonly id: string }).id;
}

export async function submitBatch(baseUrl: string, file: string, key: string): Promise<Batch> {
    const body = { input_file_id: file, endpoint: "/v1/chat/completions", completion_window: "1h" };
    const response = await send(baseUrl, "POST", "/v1/batches", body, { "idempotency-key": key });
    return (await expectSuccess(response)) as Batch;
}

export async function readBatch(baseUrl: string, id: string): Promise<Batch> {
    return (await expectSuccess(await send(baseUrl, "GET", `/v1/batches/${id}`, undefined))) as Batch;
}

export async function cancelBatch(baseUrl: string, id: string): Promise<Batch> {
    return (await expectSuccess(await send(baseUrl, "POST", `/v1/batches/${id}/cancel`, {}))) as Batch;
}

/** Reads a result file and parses each of its lines. */
export async function readResults(baseUrl: string, file: string): Promise<readonly { custom_id: string }[]> {
    const response = await send(baseUrl, "GET", `/v1/files/${file}/content`, undefined);
    const lines = (await response.text()).split("\n").filter(line => line !== "");
    return lines.map(line => JSON.parse(line) as { custom_id: string });
}

export async function readRunCounts(serviceUrl: string): Promise<Readonly<Record<string, number>>> {
    return (await (await undici.fetch(`${serviceUrl}/runs`)).json()) as Record<string, number>;
}

async function send(
    baseUrl: string,
    method: string,
    path: string,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): Promise<undici.Response> {
    return undici.fetch(baseUrl + path, {
        method,
        body: body === undefined ? undefined : JSON.stringify(body),
        headers: {
            authorization: `Bearer ${fleet.CallerToken}`,
            ...(body === undefined ? {} : { "content-type": "application/json" }),
            ...headers,
        },
    });
}

async function expectSuccess(response: undici.Response): Promise<unknown> {
    const text = await response.text();
    if (!response.ok) {
        throw new Error(`${response.url} answered ${response.status}: ${text}`);
    }
    return JSON.parse(text);
}
