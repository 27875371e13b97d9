import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** An answer that the gateway creates itself. */
export interface GatewayAnswer {
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: string;
}

/** A request that the gateway itself sends to an upstream. */
export interface StartQuestion {
    readonly target: string;
    readonly headers: readonly string[];
}

/** Translates between a platform's HTTP headers and bodies and the gateway's types. Implementations contain no policy. */
export abstract class CallerWire {
    /** Decodes a request to the gateway itself; undefined for requests that are to be forwarded. */
    abstract tryReadCall(request: types.RawRequest): types.GatewayCall | undefined;
    abstract readRequest(rawHeaders: readonly string[]): types.RequestHead;
    /** Creates the headers for the upstream: omits hop-by-hop headers and sets the gateway's own. */
    abstract createForwardHeaders(rawHeaders: readonly string[], options: types.ForwardOptions): string[];
    /** Creates the headers of a batch item's request to an upstream. */
    abstract createItemHeaders(item: types.BatchItem, host: string, options: types.ForwardOptions): string[];
    abstract readAnswer(status: number, rawHeaders: readonly string[]): types.AnswerHead;
    /** Creates the headers for the caller: omits hop-by-hop headers. */
    abstract createReturnHeaders(rawHeaders: readonly string[]): string[];
    abstract createRefusal(refusal: types.GatewayRefusal): GatewayAnswer;
    /** Decodes a submission's items; `text` describes what is wrong with an invalid body. */
    abstract decodeSubmission(
        body: Uint8Array,
    ):
        | { readonly ok: true; readonly items: readonly types.BatchItem[] }
        | { readonly ok: false; readonly text: string };
    abstract encodeResultPage(page: types.ResultPage): string;

    /** Creates the question to an upstream when its process started; undefined if the platform has none. */
    createStartQuestion(upstream: types.UpstreamEntry): StartQuestion | undefined;
    createStartQuestion(): StartQuestion | undefined {
        return undefined;
    }

    /** Reads the answer to that question; undefined if it gives no start. */
    tryReadStart(body: Uint8Array): core.WallMilliseconds | undefined;
    tryReadStart(): core.WallMilliseconds | undefined {
        return undefined;
    }
}

export type Decoded<T> =
    { readonly ok: true; readonly value: T } | { readonly ok: false; readonly findings: readonly core.Finding[] };

/** Defines the keys and encodings under which a platform's operators and upstreams write to the metadata store. */
export abstract class RegistryCodec {
    abstract readonly configurationKey: string;
    abstract readonly upstreamPrefix: string;
    /** Prefix of the keys that request that a storage machine be emptied. The rest of the key is the machine's name. */
    abstract readonly retirementPrefix: string;
    abstract decodeConfiguration(value: Uint8Array): Decoded<types.Configuration>;
    abstract decodeUpstream(key: string, value: Uint8Array): Decoded<types.UpstreamEntry>;
    /** Creates the entry that reports to the operators that a machine is empty. */
    abstract createRetirementConfirmation(machine: string): { readonly key: string; readonly value: Uint8Array };
}
