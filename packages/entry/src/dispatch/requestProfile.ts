import * as decisions from "@boragedale/decisions";
import type * as types from "./types.js";

/** What the decisions need to know of a completion. */
export interface RequestProfile {
    /** The same for requests that would run the same work, on every instance; how a crashing one is recognised. */
    readonly fingerprint: string;
    /** The same for prompts that an engine's prefix cache can share. */
    readonly prefixHash: string;
    /** A rough length of the prompt. */
    readonly promptTokens: number;
    /** Expected work, in tokens to generate. */
    readonly cost: number;
}

/** Characters of each message that count for the prefix: past these, prompts that share a beginning share a cache. */
const PrefixCharacters = 1_024;
/** Tokens that an answer without a limit is taken to have. */
export const UsualTokens = 256;
/** Limits far above any answer are common; counting them in full would refuse requests that end early. */
const MostTokens = 1_024;
const LeastTokens = 16;
const CharactersPerToken = 4;

export function createProfile(request: types.CompletionRequest): RequestProfile {
    const messages: readonly unknown[] = Array.isArray(request.body.messages) ? request.body.messages : [];
    const text = JSON.stringify(messages);
    return {
        fingerprint: `${request.model}/${decisions.hashText(text)}`,
        prefixHash: String(decisions.hashText(readPrefix(messages))),
        promptTokens: Math.ceil(text.length / CharactersPerToken),
        cost: Math.min(MostTokens, Math.max(LeastTokens, readTokenLimit(request.body) ?? UsualTokens)),
    };
}

/**
 * The system's text and the first turn: a conversation keeps its upstream from turn to turn, while the system's text
 * alone would put all of an application's callers together.
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
