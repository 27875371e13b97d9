import type * as types from "./types.js";

/**
 * Creates the JSON body of a request to run or to resume a completion. The answer is always streamed, since only a
 * stream shows that the engine is still working. Returns undefined if the text delivered so far has already reached the
 * caller's token limit.
 */
export function createBody(request: types.EngineRequest): string | undefined {
    const base = {
        ...request.body,
        model: request.model,
        stream: true,
        stream_options: { include_usage: true },
    };
    if (request.resumeAfter === undefined) {
        return JSON.stringify(base);
    }
    const limits = createRemainingLimits(request.body, request.resumeAfter.tokens);
    if (limits === undefined) {
        return undefined;
    }
    const messages = Array.isArray(request.body.messages) ? (request.body.messages as readonly unknown[]) : [];
    return JSON.stringify({
        ...base,
        ...limits,
        messages: [...messages, { role: "assistant", content: request.resumeAfter.text }],
        continue_final_message: true,
        add_generation_prompt: false,
    });
}

/**
 * Returns the caller's token limits reduced by the tokens already delivered, since an engine counts from the point at
 * which it resumes.
 */
function createRemainingLimits(
    body: Readonly<Record<string, unknown>>,
    deliveredTokens: number,
): Readonly<Record<string, number>> | undefined {
    const limits: Record<string, number> = {};
    for (const name of ["max_tokens", "max_completion_tokens"]) {
        const limit = body[name];
        if (typeof limit === "number") {
            limits[name] = limit - deliveredTokens;
            if (limits[name] <= 0) {
                return undefined;
            }
        }
    }
    return limits;
}
