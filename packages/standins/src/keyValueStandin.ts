import type * as fastify from "fastify";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as httpServer from "./httpServer.js";
import * as memory from "./memoryKeyValueService.js";

/** Faults of the key-value stand-in. */
export interface KeyValueStandinFaults extends memory.KeyValueFaults {
    /** Requests are accepted but never answered. */
    isSilent: boolean;
    /** Maximum number of writes per second; further ones get 429. 0 means no limit. */
    writesPerSecond: number;
    /** Maximum number of reads per second; further ones get 429. 0 means no limit. */
    readsPerSecond: number;
}

export interface KeyValueStandin extends httpServer.Standin<KeyValueStandinFaults> {
    /** The underlying key-value service, for tests to inspect. */
    readonly service: memory.MemoryKeyValueService;
    /** Breaks the connection of each open watch. */
    readonly breakWatches: () => void;
    /** Makes open connections stop responding without closing; new ones work. */
    readonly silenceConnections: () => void;
}

/** Starts a stand-in that implements a subset of etcd v3's JSON gateway. */
export async function createKeyValueStandin(options: httpServer.StandinOptions = {}): Promise<KeyValueStandin> {
    const clock = options.clock ?? new core.SystemClock();
    const server = new httpServer.StandinServer();
    const gateway = new Gateway(server, new memory.MemoryKeyValueService(clock), clock);
    gateway.addRoutes();
    const url = await server.listen(options.port);
    return {
        url,
        faults: gateway.faults,
        service: gateway.service,
        breakWatches: () => gateway.breakWatches(),
        silenceConnections: () => server.silenceConnections(),
        [Symbol.asyncDispose]: async () => {
            gateway.breakWatches();
            await server[Symbol.asyncDispose]();
            gateway.service.stopTimers();
        },
    };
}

interface RangeBody {
    readonly key: string;
    readonly range_end?: string;
    readonly limit?: string;
}

interface TransactionBody {
    readonly compare: readonly { readonly key: string; readonly mod_revision?: string }[];
    readonly success: readonly {
        readonly request_put?: { readonly key: string; readonly value?: string; readonly lease?: string };
        readonly request_delete_range?: { readonly key: string };
    }[];
}

interface WatchBody {
    readonly create_request: { readonly key: string; readonly range_end?: string; readonly start_revision?: string };
}

/** An error in the gateway's format; `code` is the gRPC status code. */
interface GatewayError {
    readonly status: number;
    readonly code: number;
    readonly error: string;
}

const NoLeader: GatewayError = { status: 503, code: 14, error: "etcdserver: no leader" };
const TooManyRequests: GatewayError = { status: 429, code: 8, error: "etcdserver: too many requests" };
const BadRequest: GatewayError = { status: 400, code: 3, error: "etcdserver: the request is not understood" };
const WatchProgressMilliseconds = 1_000;

class Gateway {
    readonly faults: KeyValueStandinFaults;
    private readonly writeLimit: httpServer.RateLimit;
    private readonly readLimit: httpServer.RateLimit;
    private readonly watches = new Set<AbortController>();

    constructor(
        private readonly server: httpServer.StandinServer,
        readonly service: memory.MemoryKeyValueService,
        private readonly clock: core.Clock,
    ) {
        const standinFaults = { isSilent: false, writesPerSecond: 0, readsPerSecond: 0 };
        this.faults = Object.assign(service.faults, standinFaults);
        this.writeLimit = new httpServer.RateLimit(clock);
        this.readLimit = new httpServer.RateLimit(clock);
    }

    addRoutes(): void {
        const { app } = this.server;
        app.put("/faults", async request => this.changeFaults(request.body as Partial<KeyValueStandinFaults>));
        // The underlying service applies `isDown` and `delayMilliseconds` itself, also in virtual time; only silence is
        // handled here.
        app.addHook("preHandler", async (request, reply) => {
            const isUnanswered = this.faults.isSilent || this.server.isSilenced(request.raw);
            return request.url !== "/faults" && isUnanswered ? reply.hijack() : undefined;
        });
        app.post("/v3/kv/range", (request, reply) => this.answer(reply, () => this.range(request.body as RangeBody)));
        app.post("/v3/kv/txn", (request, reply) =>
            this.answer(reply, () => this.transact(request.body as TransactionBody)),
        );
        app.post("/v3/lease/grant", (request, reply) => this.answer(reply, () => this.grantLease(request.body)));
        app.post("/v3/lease/keepalive", (request, reply) =>
            this.answer(reply, () => this.keepLeaseAlive(request.body)),
        );
        app.post("/v3/lease/revoke", (request, reply) => this.answer(reply, () => this.revokeLease(request.body)));
        app.post("/v3/watch", (request, reply) => this.watch(request.body as WatchBody, reply));
    }

    breakWatches(): void {
        for (const watch of this.watches) {
            watch.abort();
        }
    }

    private changeFaults(change: Partial<KeyValueStandinFaults>): KeyValueStandinFaults {
        const wasCut = this.faults.isWatchCut;
        Object.assign(this.faults, change);
        if (wasCut && !this.faults.isWatchCut) {
            this.service.resumeWatches();
        }
        if (this.faults.isDown) {
            this.breakWatches();
        }
        return this.faults;
    }

    private async answer(
        reply: fastify.FastifyReply,
        run: () => Promise<backing.KeyValueResult<unknown> | GatewayError>,
    ): Promise<unknown> {
        const result = await run();
        if ("status" in result) {
            return sendError(reply, result);
        }
        if (result.ok) {
            return reply.send(result.value);
        }
        if (result.failure.kind === backing.KeyValueFailureKind.ReplyLost) {
            reply.hijack();
            reply.raw.socket?.destroy();
            return reply;
        }
        const error = this.faults.isDown ? NoLeader : { status: 400, code: 3, error: result.failure.text };
        return sendError(reply, error);
    }

    private async range(body: RangeBody): Promise<backing.KeyValueResult<unknown> | GatewayError> {
        if (this.readLimit.admit(this.faults.readsPerSecond) > 0) {
            return TooManyRequests;
        }
        const key = decode(body.key);
        if (body.range_end === undefined) {
            const found = await this.service.get(key, backing.CallPurpose.Read);
            return mapResult(found, entry => this.formatEntries(entry === undefined ? [] : [entry], false));
        }
        const limit = Number(body.limit ?? 0);
        const request = { start: key, end: decode(body.range_end), limit: limit === 0 ? Infinity : limit + 1 };
        const listed = await this.service.listRange(request, backing.CallPurpose.Read);
        return mapResult(listed, entries => {
            const hasMore = limit > 0 && entries.length > limit;
            return this.formatEntries(hasMore ? entries.slice(0, limit) : entries, hasMore);
        });
    }

    private formatEntries(entries: readonly backing.Entry[], hasMore: boolean): unknown {
        return {
            header: this.createHeader(),
            kvs: entries.map(formatEntry),
            count: String(entries.length),
            more: hasMore,
        };
    }

    private async transact(body: TransactionBody): Promise<backing.KeyValueResult<unknown> | GatewayError> {
        if (this.writeLimit.admit(this.faults.writesPerSecond) > 0) {
            return TooManyRequests;
        }
        const compare = body.compare[0];
        const put = body.success[0]?.request_put;
        const key = put?.key ?? body.success[0]?.request_delete_range?.key;
        if (compare === undefined || key === undefined || key !== compare.key) {
            return BadRequest;
        }
        const swapped = await this.service.compareAndSwap({
            key: decode(key),
            expectedRevision: Number(compare.mod_revision ?? 0),
            value: put === undefined ? undefined : Buffer.from(put.value ?? "", "base64"),
            lease: put?.lease,
            purpose: backing.CallPurpose.Ledger,
        });
        return mapResult(swapped, outcome => this.formatOutcome(outcome));
    }

    private formatOutcome(outcome: backing.SwapOutcome): unknown {
        if (outcome.swapped) {
            return { header: { revision: String(outcome.revision) }, succeeded: true, responses: [{}] };
        }
        const kvs = outcome.current === undefined ? [] : [formatEntry(outcome.current)];
        // The real gateway omits members that have their default value, including `succeeded: false`.
        return { header: this.createHeader(), responses: [{ response_range: { kvs } }] };
    }

    private async grantLease(body: unknown): Promise<backing.KeyValueResult<unknown> | GatewayError> {
        if (this.writeLimit.admit(this.faults.writesPerSecond) > 0) {
            return TooManyRequests;
        }
        const seconds = Number((body as { TTL: string }).TTL);
        const granted = await this.service.grantLease(seconds * 1_000);
        return mapResult(granted, id => ({ header: this.createHeader(), ID: id, TTL: String(seconds) }));
    }

    private async keepLeaseAlive(body: unknown): Promise<backing.KeyValueResult<unknown> | GatewayError> {
        const id = (body as { ID: string }).ID;
        const kept = await this.service.keepLeaseAlive(id);
        return mapResult(kept, isAlive => ({
            result: { header: this.createHeader(), ID: id, ...(isAlive ? { TTL: "1" } : {}) },
        }));
    }

    private async revokeLease(body: unknown): Promise<backing.KeyValueResult<unknown> | GatewayError> {
        const revoked = await this.service.revokeLease((body as { ID: string }).ID);
        return mapResult(revoked, () => ({ header: this.createHeader() }));
    }

    private async watch(body: WatchBody, reply: fastify.FastifyReply): Promise<unknown> {
        if (this.faults.isDown) {
            return sendError(reply, NoLeader);
        }
        reply.hijack();
        const controller = new AbortController();
        this.watches.add(controller);
        reply.raw.on("close", () => controller.abort());
        controller.signal.addEventListener("abort", () => reply.raw.socket?.destroy());
        reply.raw.writeHead(200, { "content-type": "application/json" });
        const send = (result: unknown): void => {
            if (!this.server.isSilenced(reply.request.raw)) {
                reply.raw.write(JSON.stringify({ result }) + "\n");
            }
        };
        send({ header: this.createHeader(), created: true });
        this.sendProgress(send, controller.signal);
        const request = parseWatch(body, this.service.getRevision(), controller.signal);
        for await (const event of this.service.watch(request)) {
            send(this.formatEvent(event));
            if (event.kind === backing.WatchEventKind.Gap) {
                break;
            }
        }
        this.watches.delete(controller);
        reply.raw.end();
        return reply;
    }

    /** Sends empty responses periodically, so that the client can tell an idle watch from a dead connection. */
    private sendProgress(send: (result: unknown) => void, signal: AbortSignal): void {
        const stop = this.clock.schedule(WatchProgressMilliseconds, () => {
            send({ header: this.createHeader() });
            this.sendProgress(send, signal);
        });
        signal.addEventListener("abort", stop, { once: true });
    }

    private formatEvent(event: backing.WatchEvent): unknown {
        const header = this.createHeader();
        switch (event.kind) {
            case backing.WatchEventKind.Changed:
                return { header, events: [{ kv: formatEntry(event.entry) }] };
            case backing.WatchEventKind.Removed:
                return {
                    header,
                    events: [{ type: "DELETE", kv: { key: encode(event.key), mod_revision: String(event.revision) } }],
                };
            case backing.WatchEventKind.Gap:
                return { header, canceled: true, compact_revision: String(event.revision) };
        }
    }

    private createHeader(): unknown {
        return { revision: String(this.service.getRevision()) };
    }
}

function parseWatch(body: WatchBody, revision: number, signal: AbortSignal): backing.WatchRequest {
    const { key, start_revision: startRevision } = body.create_request;
    const prefix = decode(key);
    const afterRevision = startRevision === undefined ? revision : Number(startRevision) - 1;
    return { prefix: prefix === "\0" ? "" : prefix, afterRevision, signal };
}

function mapResult<T, U>(result: backing.KeyValueResult<T>, map: (value: T) => U): backing.KeyValueResult<U> {
    return result.ok ? { ok: true, value: map(result.value) } : result;
}

function sendError(reply: fastify.FastifyReply, error: GatewayError): fastify.FastifyReply {
    if (error.status === 429) {
        void reply.header("retry-after", "1");
    }
    return reply.code(error.status).send({ error: error.error, message: error.error, code: error.code });
}

function formatEntry(entry: backing.Entry): unknown {
    return {
        key: encode(entry.key),
        mod_revision: String(entry.revision),
        value: Buffer.from(entry.value).toString("base64"),
    };
}

function encode(text: string): string {
    return Buffer.from(text).toString("base64");
}

function decode(text: string): string {
    return Buffer.from(text, "base64").toString();
}
