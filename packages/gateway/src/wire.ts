import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** An answer that the gateway makes itself. */
export interface OwnAnswer {
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: string;
}

/** How one platform's callers and upstreams speak. Implementations translate; they decide nothing. */
export abstract class CallerWire {
    /** The call to the gateway itself that a request is, where it is one. */
    abstract tryReadCall(request: types.RawRequest): types.GatewayCall | undefined;
    abstract readRequest(rawHeaders: readonly string[]): types.RequestHead;
    /** Headers for the upstream: those of one connection only are left out, ours are set. */
    abstract createForwardHeaders(rawHeaders: readonly string[], options: types.ForwardOptions): string[];
    /** Headers of a batch item's request to an upstream. */
    abstract createItemHeaders(item: types.BatchItem, host: string, options: types.ForwardOptions): string[];
    abstract readAnswer(status: number, rawHeaders: readonly string[]): types.AnswerHead;
    /** Headers for the caller: those of one connection only are left out. */
    abstract createReturnHeaders(rawHeaders: readonly string[]): string[];
    abstract createRefusal(refusal: types.GatewayRefusal): OwnAnswer;
    /** Reads a submission's items; a finding tells what is wrong. */
    abstract decodeSubmission(
        body: Uint8Array,
    ):
        | { readonly ok: true; readonly items: readonly types.BatchItem[] }
        | { readonly ok: false; readonly text: string };
    abstract encodeResultPage(page: types.ResultPage): string;
}

export type Decoded<T> =
    { readonly ok: true; readonly value: T } | { readonly ok: false; readonly findings: readonly core.Finding[] };

/** How one platform's store names and encodes what its operators and upstreams write. */
export abstract class RegistryCodec {
    abstract readonly configurationKey: string;
    abstract readonly upstreamPrefix: string;
    /** Begins the keys that ask for a storage machine to be emptied; the rest is the machine's name. */
    abstract readonly retirementPrefix: string;
    abstract decodeConfiguration(value: Uint8Array): Decoded<types.Configuration>;
    abstract decodeUpstream(key: string, value: Uint8Array): Decoded<types.UpstreamEntry>;
    /** Entry that tells the operators that a machine is empty. */
    abstract createRetirementDone(machine: string): { readonly key: string; readonly value: Uint8Array };
}
