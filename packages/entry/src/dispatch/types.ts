import type * as core from "@boragedale/core";
import type * as upstreams from "@boragedale/upstreams";

/** A chat completion that the callers' endpoint or a batch job submits. */
export interface CompletionRequest {
    readonly id: string;
    readonly caller: core.CallerId;
    readonly requestClass: core.RequestClass;
    readonly model: core.ModelId;
    readonly body: Readonly<Record<string, unknown>>;
    /** Monotonic time by which the answer must be complete. */
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

/** One event of an answer. The events come in order and end with exactly one `Finished` or `Refused`. */
export type StreamEvent = TokenEvent | EndEvent;

export interface ServiceCall {
    readonly id: string;
    readonly caller: core.CallerId;
    readonly requestClass: core.RequestClass;
    readonly service: string;
    readonly method: string;
    /** Path and query, without the prefix that names the service. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
    /** The idempotency key that the caller sent, or a generated one. */
    readonly key: string;
    readonly deadlineAt: core.MonotonicMilliseconds;
}

/** Takes requests from the endpoints to the upstreams: admits, queues, places, retries or refuses them. */
export abstract class Dispatcher implements AsyncDisposable {
    abstract complete(request: CompletionRequest, signal: AbortSignal): AsyncIterable<StreamEvent>;
    abstract callService(call: ServiceCall, signal: AbortSignal): Promise<core.Outcome<upstreams.ServiceResponse>>;
    /** Number of batch items that could be sent now without slowing online work. */
    abstract getFreeBatchSlots(): number;
    /** Number of requests in progress. A graceful stop waits until it is 0. */
    abstract getInProgress(): number;
    abstract [Symbol.asyncDispose](): Promise<void>;
}
