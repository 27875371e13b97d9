import type * as core from "@boragedale/core";
import type * as upstreams from "@boragedale/upstreams";

/** A chat completion as the caller face or a job hands it over. */
export interface CompletionRequest {
    readonly id: string;
    readonly caller: core.CallerId;
    readonly requestClass: core.RequestClass;
    readonly model: core.ModelId;
    readonly body: Readonly<Record<string, unknown>>;
    /** Monotonic time by which the answer must be there. */
    readonly deadlineAt: core.MonotonicMilliseconds;
}

export enum StreamEventKind {
    Token = "Token",
    Finished = "Finished",
    Refused = "Refused",
}

export interface TokenEvent {
    readonly kind: StreamEventKind.Token;
    readonly text: string;
}

export type EndEvent =
    | { readonly kind: StreamEventKind.Finished; readonly reason: string; readonly usage: upstreams.Usage }
    | { readonly kind: StreamEventKind.Refused; readonly refusal: core.Refusal };

/** The answer, in order. Ends with exactly one `Finished` or `Refused`. */
export type StreamEvent = TokenEvent | EndEvent;

export interface ServiceCall {
    readonly id: string;
    readonly caller: core.CallerId;
    readonly requestClass: core.RequestClass;
    readonly service: string;
    readonly method: string;
    /** Path and query below the service's name. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
    /** The caller's idempotency key, or one made for it. */
    readonly key: string;
    readonly deadlineAt: core.MonotonicMilliseconds;
}

/** Admits, queues, places, retries and refuses: the way of a request between the faces and the upstreams. */
export abstract class Dispatcher implements AsyncDisposable {
    abstract complete(request: CompletionRequest, signal: AbortSignal): AsyncIterable<StreamEvent>;
    abstract callService(call: ServiceCall, signal: AbortSignal): Promise<core.Outcome<upstreams.ServiceResponse>>;
    /** Batch items that could be sent right now without harm to online work. */
    abstract getFreeBatchSlots(): number;
    /** Requests in progress, for drain. */
    abstract getInProgress(): number;
    abstract [Symbol.asyncDispose](): Promise<void>;
}
