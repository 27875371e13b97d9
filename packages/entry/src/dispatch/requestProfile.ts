import * as decisions from "@boragedale/decisions";
import type * as types from "./types.js";

/** Properties of a completion that admission and placement use. */
export interface RequestProfile {
    /**
     * Identifies requests with the same model and messages on every instance. Used to recognise requests that crash
     * engines.
     */
    readonly fingerprint: string;
    /** Equal for prompts that can share an entry of an engine's prefix cache. */
    readonly prefixHash: string;
    /** Estimated length of the prompt. */
    readonly promptTokens: number;
    /** Expected number of tokens to generate. */
    readonly cost: number;
}

/** Characters of each message that count for the prefix. Prompts that differ only after these share a prefix. */
const PrefixCharacters = 1_024;
/** Expected tokens of an answer whose request sets no limit. */
export const DefaultExpectedTokens = 256;
/**
 * Highest expected cost. Requests often set a limit far above the length of their answers, and counting it in full
 * would refuse requests that end early.
 */
const MaximumExpectedTokens = 1_024;
const MinimumExpectedTokens = 16;
const CharactersPerToken = 4;

export function createProfile(request: types.CompletionRequest): RequestProfile {
    const messages: readonly unknown[] = Array.isArray(request.body.messages) ? request.body.messages : [];
    const text = JSON.stringify(messages);
    return {
        fingerprint: `${request.model}/${decisions.hashText(text)}`,
        prefixHash: String(decisions.hashText(readPrefix(messages))),
        promptTokens: Math.ceil(text.length / CharactersPerToken),
        cost: Math.min(
            MaximumExpectedTokens,
            Math.max(MinimumExpectedTokens, readTokenLimit(request.body) ?? DefaultExpectedTokens),
        ),
    };
}

/**
 * Returns the beginnings of the first two messages, usually the system message and the first user message. A
 * conversation so keeps its upstream from turn to turn. The system message alone would send all users of an application
 * to the same upstream.
 */
function readPrefix(messages: readonly unknown[]): string {
    return messages
        .slice(0, 2)
        .map(message => JSON.stringify(message).slice(0, PrefixCharacters))
        .join("\n");
}

function readTokenLimit(body: Readonly<Record<string, unknown>>): number | undefined {
    const limit = body.max_completion_tokens ?? body.max_tokens;
    return typeof limit === "number" ? limit : undefined;
}
