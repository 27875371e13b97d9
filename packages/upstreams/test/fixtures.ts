import * as http from "node:http";
import type * as net from "node:net";
import * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";

export interface Server extends AsyncDisposable {
    readonly url: string;
    /** Returns the number of connections that were opened so far. */
    getConnectionCount(): number;
}

export interface ServedRequest {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly body: string;
}

export type Handler = (served: ServedRequest) => void;

/** Starts a server on a free port; disposing it closes all its connections. */
export async function startServer(handler: Handler): Promise<Server> {
    let connectionCount = 0;
    const server = http.createServer((request, response) => {
        let body = "";
        request.on("data", (data: Buffer) => (body += data.toString()));
        request.on("end", () => handler({ request, response, body }));
    });
    server.on("connection", () => connectionCount++);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
        getConnectionCount: () => connectionCount,
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            await new Promise(resolve => server.close(resolve));
        },
    };
}

/** Returns the URL of a port on which nothing listens. */
export async function getClosedUrl(): Promise<string> {
    const server = await startServer(() => undefined);
    await server[Symbol.asyncDispose]();
    return server.url;
}

export function createTelemetry(clock: core.Clock): telemetry.Telemetry {
    return new telemetry.Telemetry({ instance: "instance-1", logLevel: "silent" }, clock);
}

export function createEngineClient(
    url: string,
    clock: core.Clock = new core.SystemClock(),
    limits: Partial<upstreams.ConnectionLimits> = {},
): upstreams.HttpEngineClient {
    return new upstreams.HttpEngineClient({
        upstream: "engine-1",
        url,
        clock,
        telemetry: createTelemetry(clock),
        limits,
    });
}

export function createServiceClient(
    url: string,
    clock: core.Clock = new core.SystemClock(),
    limits: Partial<upstreams.ConnectionLimits> = {},
): upstreams.HttpServiceClient {
    return new upstreams.HttpServiceClient({ upstream: "service-1", url, clock, limits });
}

export function createEngineRequest(options: Partial<upstreams.EngineRequest> = {}): upstreams.EngineRequest {
    return {
        id: "request-1",
        model: "model-1",
        body: { messages: [{ role: "user", content: "hello" }] },
        ...options,
    };
}

export function createServiceRequest(options: Partial<upstreams.ServiceRequest> = {}): upstreams.ServiceRequest {
    return {
        method: "POST",
        path: "/bookings",
        headers: { "content-type": "application/json" },
        body: Buffer.from("{}"),
        key: "key-1",
        needsProvedConnection: true,
        timeoutMilliseconds: 5_000,
        ...options,
    };
}

export function formatToken(id: string, text: string): string {
    return `data: ${JSON.stringify({ id, choices: [{ index: 0, delta: { content: text } }] })}\n\n`;
}

export function formatEnd(id: string, tokens: number): string {
    const finish = { id, choices: [{ index: 0, delta: {}, finish_reason: "stop" }] };
    const usage = { id, choices: [], usage: { prompt_tokens: 3, completion_tokens: tokens } };
    return `data: ${JSON.stringify(finish)}\n\ndata: ${JSON.stringify(usage)}\n\ndata: [DONE]\n\n`;
}

export async function collect(events: AsyncIterable<upstreams.EngineEvent>): Promise<upstreams.EngineEvent[]> {
    const collected: upstreams.EngineEvent[] = [];
    for await (const event of events) {
        collected.push(event);
    }
    return collected;
}

export function joinTokens(events: readonly upstreams.EngineEvent[]): string {
    return events.map(event => (event.kind === upstreams.EngineEventKind.Token ? event.text : "")).join("");
}

export function getFailureKind(events: readonly upstreams.EngineEvent[]): upstreams.EngineFailureKind | undefined {
    const last = events.at(-1);
    return last?.kind === upstreams.EngineEventKind.Failed ? last.failure.kind : undefined;
}

/** Waits until a condition holds; checks it once in each turn of the event loop. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
}

/** Waits until a number has stayed the same over 20 reads, 20 ms apart. */
export async function waitUntilStable(read: () => number): Promise<void> {
    let value = read();
    for (let unchangedReads = 0; unchangedReads < 20; unchangedReads++) {
        await new Promise(resolve => setTimeout(resolve, 20));
        if (read() !== value) {
            value = read();
            unchangedReads = 0;
        }
    }
}

export const neverAborted: AbortSignal = new AbortController().signal;
