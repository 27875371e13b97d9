import * as core from "@boragedale/core";
import * as undici from "undici";
import type * as zod from "zod";
import * as etcdFormat from "./etcdFormat.js";
import * as httpCall from "./httpCall.js";
import * as services from "./services.js";
import * as types from "./types.js";

export interface HttpKeyValueOptions {
    /** Base URL of the JSON gateway. */
    readonly url: string;
    /** Timeout of one call. */
    readonly timeoutMilliseconds?: number;
    /** A watch that receives no data, not even a progress notification, for this long is reopened. */
    readonly watchSilenceMilliseconds?: number;
    /** Wait before a watch is reopened; doubles with each attempt up to a maximum. */
    readonly watchRetryMilliseconds?: number;
}

const DefaultTimeoutMilliseconds = 2_000;
const DefaultWatchSilenceMilliseconds = 30_000;
const DefaultWatchRetryMilliseconds = 100;
const MaximumWatchRetryMilliseconds = 5_000;
/** Errors that the gateway reports before it proposes a write. After other server errors the write may take effect. */
const RefusedBeforeWrite = /no leader|not capable|corrupt/;

/**
 * The key-value service over etcd v3's JSON gateway. Failures are distinguished by whether the service can have acted on
 * the call: a refused connection is `Unavailable`, a write that was sent but got no reply is `ReplyLost`.
 */
export class HttpKeyValueService extends services.KeyValueService implements AsyncDisposable {
    private readonly dispatcher: undici.Agent;
    private readonly timeoutMilliseconds: number;

    constructor(
        private readonly options: HttpKeyValueOptions,
        private readonly clock: core.Clock = new core.SystemClock(),
    ) {
        super();
        this.timeoutMilliseconds = options.timeoutMilliseconds ?? DefaultTimeoutMilliseconds;
        this.dispatcher = new undici.Agent({ connect: { timeout: this.timeoutMilliseconds } });
    }

    override async get(key: string): Promise<types.KeyValueResult<types.Entry | undefined>> {
        const body = { key: etcdFormat.encodeText(key) };
        const result = await this.post("/v3/kv/range", body, etcdFormat.RangeResponse, false);
        return mapResult(result, response => etcdFormat.parseEntries(response)[0]);
    }

    override async list(request: types.ListRequest): Promise<types.KeyValueResult<readonly types.Entry[]>> {
        const range = etcdFormat.createPrefixRange(request.prefix);
        // In byte order, the first possible key after a given one is that key with NUL appended.
        const key = request.after === undefined ? range.key : etcdFormat.encodeText(`${request.after}\0`);
        const body = { ...range, key, limit: String(request.limit) };
        const result = await this.post("/v3/kv/range", body, etcdFormat.RangeResponse, false);
        return mapResult(result, etcdFormat.parseEntries);
    }

    override async compareAndSwap(request: types.SwapRequest): Promise<types.KeyValueResult<types.SwapOutcome>> {
        const body = etcdFormat.createTransaction(request);
        const result = await this.post("/v3/kv/txn", body, etcdFormat.TransactionResponse, true);
        return mapResult(result, etcdFormat.parseTransaction);
    }

    override async grantLease(milliseconds: number): Promise<types.KeyValueResult<types.LeaseId>> {
        const body = { TTL: String(Math.ceil(milliseconds / 1_000)) };
        const result = await this.post("/v3/lease/grant", body, etcdFormat.GrantResponse, true);
        return mapResult(result, response => response.ID);
    }

    override async keepLeaseAlive(lease: types.LeaseId): Promise<types.KeyValueResult<boolean>> {
        const result = await this.post("/v3/lease/keepalive", { ID: lease }, etcdFormat.KeepAliveResponse, false);
        return mapResult(result, response => Number(response.result.TTL ?? 0) > 0);
    }

    override async revokeLease(lease: types.LeaseId): Promise<types.KeyValueResult<void>> {
        const result = await this.post("/v3/lease/revoke", { ID: lease }, etcdFormat.RevokeResponse, true);
        return mapResult(result, () => undefined);
    }

    override async *watch(request: types.WatchRequest): AsyncIterable<types.WatchEvent> {
        let afterRevision = request.afterRevision;
        let wait = this.options.watchRetryMilliseconds ?? DefaultWatchRetryMilliseconds;
        for (;;) {
            await request.beforeConnect?.();
            if (request.signal.aborted) {
                return;
            }
            for await (const response of this.openWatch({ ...request, afterRevision })) {
                wait = this.options.watchRetryMilliseconds ?? DefaultWatchRetryMilliseconds;
                if (response.canceled === true) {
                    // The service has discarded the changes before `compact_revision`, so some may have been missed.
                    afterRevision = Number(response.header.revision ?? response.compact_revision ?? 0);
                    yield { kind: types.WatchEventKind.Gap, revision: afterRevision };
                    break;
                }
                for (const event of etcdFormat.parseWatchEvents(response)) {
                    afterRevision = Math.max(afterRevision, getRevision(event));
                    yield event;
                }
            }
            await this.clock.sleep(wait, request.signal);
            wait = Math.min(wait * 2, MaximumWatchRetryMilliseconds);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.dispatcher.destroy();
    }

    /** Reads one connection of a watch; ends when the connection breaks, receives no data for too long, or is aborted. */
    private async *openWatch(request: types.WatchRequest): AsyncIterable<etcdFormat.WatchResult> {
        const silence = new SilenceGuard(
            this.clock,
            this.options.watchSilenceMilliseconds ?? DefaultWatchSilenceMilliseconds,
        );
        const range = etcdFormat.createPrefixRange(request.prefix);
        const start = { start_revision: String(request.afterRevision + 1), progress_notify: true };
        const opened = await httpCall.openStream(this.dispatcher, {
            url: `${this.options.url}/v3/watch`,
            body: { create_request: { ...range, ...start } },
            signal: AbortSignal.any([request.signal, silence.signal]),
        });
        try {
            if (opened === undefined || opened.status !== 200) {
                opened?.body.destroy();
                return;
            }
            for await (const line of readLines(opened.body, () => silence.restart())) {
                const parsed = etcdFormat.WatchResponse.safeParse(httpCall.tryParseJson(line));
                if (!parsed.success) {
                    return;
                }
                yield parsed.data.result;
            }
        }
        finally {
            silence.stop();
            opened?.body.destroy();
        }
    }

    private async post<T>(
        path: string,
        body: unknown,
        shape: zod.ZodType<T>,
        isWrite: boolean,
    ): Promise<types.KeyValueResult<T>> {
        const outcome = await httpCall.call(this.dispatcher, {
            method: "POST",
            url: this.options.url + path,
            body,
            timeoutMilliseconds: this.timeoutMilliseconds,
        });
        if (outcome.kind === httpCall.CallOutcomeKind.Answered && outcome.status === 200) {
            const parsed = shape.safeParse(httpCall.tryParseJson(outcome.body));
            if (parsed.success) {
                return { ok: true, value: parsed.data };
            }
        }
        return { ok: false, failure: createFailure(outcome, isWrite) };
    }
}

/** Aborts its signal if `restart` isn't called for `milliseconds`. */
class SilenceGuard {
    private readonly controller = new AbortController();
    private cancel: () => void = () => undefined;

    constructor(
        private readonly clock: core.Clock,
        private readonly milliseconds: number,
    ) {
        this.restart();
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    restart(): void {
        this.cancel();
        this.cancel = this.clock.schedule(this.milliseconds, () => this.controller.abort());
    }

    stop(): void {
        this.cancel();
    }
}

/** Splits a stream into lines; ends without an error when the stream breaks. */
async function* readLines(body: AsyncIterable<Buffer>, onData: () => void): AsyncIterable<string> {
    let rest = Buffer.alloc(0);
    try {
        for await (const data of body) {
            onData();
            rest = Buffer.concat([rest, data]);
            for (let end = rest.indexOf(10); end >= 0; end = rest.indexOf(10)) {
                yield rest.subarray(0, end).toString();
                rest = rest.subarray(end + 1);
            }
        }
    }
    catch {
        return;
    }
}

function createFailure(outcome: httpCall.CallOutcome, isWrite: boolean): types.KeyValueFailure {
    const uncertain = isWrite ? types.KeyValueFailureKind.ReplyLost : types.KeyValueFailureKind.Unavailable;
    switch (outcome.kind) {
        case httpCall.CallOutcomeKind.NotSent:
            return { kind: types.KeyValueFailureKind.Unavailable, text: outcome.text };
        case httpCall.CallOutcomeKind.NoReply:
            return { kind: uncertain, text: outcome.text };
        case httpCall.CallOutcomeKind.Answered:
            return createStatusFailure(outcome.status, outcome.headers["retry-after"], outcome.body, uncertain);
    }
}

function createStatusFailure(
    status: number,
    retryAfter: string | string[] | undefined,
    body: Buffer,
    uncertain: types.KeyValueFailureKind,
): types.KeyValueFailure {
    const text = `status ${status}: ${body.subarray(0, 200).toString()}`;
    if (status === 429) {
        const retryAfterMilliseconds = Number(retryAfter ?? 1) * 1_000 || 1_000;
        return { kind: types.KeyValueFailureKind.Throttled, text, retryAfterMilliseconds };
    }
    // A 4xx means that the request was refused, except for 408, which a load balancer returns for a request that it has
    // forwarded. etcd itself returns 503 "request timed out" for writes that it may apply later.
    const isAnswer = status >= 400 && status < 500 && status !== 408;
    const isRefused = isAnswer || RefusedBeforeWrite.test(text);
    return { kind: isRefused ? types.KeyValueFailureKind.Unavailable : uncertain, text, isAnswer };
}

function mapResult<T, U>(result: types.KeyValueResult<T>, map: (value: T) => U): types.KeyValueResult<U> {
    return result.ok ? { ok: true, value: map(result.value) } : result;
}

function getRevision(event: types.WatchEvent): types.Revision {
    return event.kind === types.WatchEventKind.Changed ? event.entry.revision : event.revision;
}
