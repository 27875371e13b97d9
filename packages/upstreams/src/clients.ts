import type * as types from "./types.js";

/** One model engine. */
export abstract class EngineClient implements AsyncDisposable {
    /** Runs a completion. Ends with exactly one `Finished` or `Failed`; aborting `signal` cancels it at the engine. */
    abstract run(request: types.EngineRequest, signal: AbortSignal): AsyncIterable<types.EngineEvent>;
    abstract tryReadLoad(): Promise<types.LoadReport | undefined>;
    abstract tryReadState(): Promise<types.UpstreamState | undefined>;
    abstract order(order: types.UpstreamOrder): Promise<types.OrderOutcome>;
    abstract [Symbol.asyncDispose](): Promise<void>;
}

/** One server of a plain service. */
export abstract class ServiceClient implements AsyncDisposable {
    abstract call(request: types.ServiceRequest, signal: AbortSignal): Promise<types.ServiceOutcome>;
    /** Asks what became of a key, on the path that the release note gives. */
    abstract ask(path: string): Promise<types.AskOutcome>;
    abstract [Symbol.asyncDispose](): Promise<void>;
}
