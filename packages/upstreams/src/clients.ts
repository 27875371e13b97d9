import type * as types from "./types.js";

/** A client of one model engine. */
export abstract class EngineClient implements AsyncDisposable {
    /**
     * Runs a completion. The events end with exactly one `Finished` or `Failed`; aborting `signal` cancels the run at
     * the engine.
     */
    abstract run(request: types.EngineRequest, signal: AbortSignal): AsyncIterable<types.EngineEvent>;
    abstract tryReadLoad(): Promise<types.LoadReport | undefined>;
    abstract tryReadState(): Promise<types.UpstreamState | undefined>;
    abstract order(order: types.UpstreamOrder): Promise<types.OrderOutcome>;
    abstract [Symbol.asyncDispose](): Promise<void>;
}

/** A client of one server of a plain service. */
export abstract class ServiceClient implements AsyncDisposable {
    abstract call(request: types.ServiceRequest, signal: AbortSignal): Promise<types.ServiceOutcome>;
    /** Asks for the outcome of a call by its key, which is part of the path that the release note defines. */
    abstract ask(path: string): Promise<types.AskOutcome>;
    abstract [Symbol.asyncDispose](): Promise<void>;
}
