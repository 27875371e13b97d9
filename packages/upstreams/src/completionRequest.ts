import type * as types from "./types.js";

/**
 * The JSON body that asks an engine to run or to resume a completion, always as a stream: only a stream shows that the
 * engine is still at work. Undefined where the text delivered so far already has the length that the caller allows.
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

/** The caller's limits count from the start of its answer, the engine's from where it goes on. */
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
