import * as eventsource from "eventsource-parser";
import * as types from "./types.js";

/** The fields of a line of an engine's stream that are read. */
interface CompletionChunk {
    readonly id?: string;
    readonly error?: { readonly message?: string };
    readonly choices?: readonly CompletionChoice[];
    readonly usage?: CompletionUsage;
}

interface CompletionChoice {
    readonly delta?: { readonly content?: string };
    readonly finish_reason?: string;
}

interface CompletionUsage {
    readonly prompt_tokens?: number;
    readonly completion_tokens?: number;
    readonly prompt_tokens_details?: { readonly cached_tokens?: number };
}

const EndOfStream = "[DONE]";

/** Receives what a `CompletionStream` reads. */
export interface CompletionStreamListener {
    onToken(text: string): void;
    /** The engine reported an error within its stream, or sent a line that is not JSON. */
    onError(text: string): void;
    /** A line of another request was dropped. */
    onForeignLine(id: string): void;
}

/** Parses an OpenAI-compatible event stream incrementally. Chunks may end anywhere. */
export class CompletionStream {
    private readonly decoder = new TextDecoder();
    private readonly parser: eventsource.EventSourceParser;
    private reason: string | undefined;
    private usage: types.Usage | undefined;
    private tokenCount = 0;
    private isDone = false;

    constructor(
        private readonly requestId: string,
        private readonly listener: CompletionStreamListener,
    ) {
        this.parser = eventsource.createParser({ onEvent: event => this.readLine(event.data) });
    }

    feed(piece: Uint8Array): void {
        this.parser.feed(this.decoder.decode(piece, { stream: true }));
    }

    /** Whether the engine sent the end marker of the stream. */
    hasEnded(): boolean {
        return this.isDone;
    }

    /** Returns the final event, or undefined if the stream was cut off before its finish reason. */
    tryGetFinish(): types.EngineEvent | undefined {
        if (this.reason === undefined) {
            return undefined;
        }
        const usage = this.usage ?? { promptTokens: 0, completionTokens: this.tokenCount, cachedTokens: 0 };
        return { kind: types.EngineEventKind.Finished, reason: this.reason, usage };
    }

    private readLine(data: string): void {
        if (data === EndOfStream) {
            this.isDone = true;
            return;
        }
        const chunk = tryParseChunk(data);
        if (chunk === undefined) {
            this.listener.onError("a line of the stream is not JSON");
            return;
        }
        if (chunk.error !== undefined) {
            this.listener.onError(chunk.error.message ?? "the engine reported an error");
            return;
        }
        if (chunk.id !== this.requestId) {
            // If an engine or a middlebox mixes up two streams, a caller must not see another caller's answer.
            this.listener.onForeignLine(chunk.id ?? "");
            return;
        }
        this.readChunk(chunk);
    }

    private readChunk(chunk: CompletionChunk): void {
        const choice = chunk.choices?.[0];
        const text = choice?.delta?.content;
        if (typeof text === "string" && text !== "" && this.reason === undefined) {
            this.tokenCount++;
            this.listener.onToken(text);
        }
        // The finish reason and the usage are null on all other lines.
        this.reason ??= choice?.finish_reason ?? undefined;
        if (chunk.usage) {
            this.usage = createUsage(chunk.usage);
        }
    }
}

function tryParseChunk(data: string): CompletionChunk | undefined {
    try {
        const value: unknown = JSON.parse(data);
        return typeof value === "object" && value ? value : undefined;
    }
    catch {
        return undefined;
    }
}

function createUsage(usage: CompletionUsage): types.Usage {
    return {
        promptTokens: usage.prompt_tokens ?? 0,
        completionTokens: usage.completion_tokens ?? 0,
        cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
    };
}
