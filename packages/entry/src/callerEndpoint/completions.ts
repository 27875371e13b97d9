import type * as fastify from "fastify";
import * as zod from "zod";
import * as core from "@boragedale/core";
import * as dispatch from "../dispatch/types.js";
import * as answers from "./answers.js";
import * as eventStream from "./eventStream.js";
import type * as routeContext from "./routeContext.js";

const TokenLimit = zod.int().min(1).nullable();

/**
 * The fields of the body that are read here. All others are passed to the engine unchanged. Features whose answers
 * can't be reassembled after a resumed stream are refused instead of being answered wrongly.
 */
const CompletionBody = zod.looseObject({
    model: zod.string().min(1),
    messages: zod.array(zod.looseObject({ role: zod.string() })).min(1),
    stream: zod.boolean().optional(),
    stream_options: zod.looseObject({ include_usage: zod.boolean().optional() }).optional(),
    // The ranges of OpenAI's reference. With a limit of -1, an engine returns a complete answer without a token.
    max_tokens: TokenLimit.optional(),
    max_completion_tokens: TokenLimit.optional(),
    temperature: zod.number().min(0).max(2).nullish(),
    top_p: zod.number().min(0).max(1).nullish(),
    presence_penalty: zod.number().min(-2).max(2).nullish(),
    frequency_penalty: zod.number().min(-2).max(2).nullish(),
    n: zod.literal(1, "only one choice is supported").optional(),
    tools: zod.undefined("tools are not supported").optional(),
    functions: zod.undefined("functions are not supported").optional(),
    logprobs: zod.literal(false, "log probabilities are not supported").optional(),
});

type CompletionBody = zod.infer<typeof CompletionBody>;

interface CompleteAnswer {
    readonly text: string;
    readonly reason: string;
    readonly usage: ReturnType<typeof presentUsage>;
}

/** `POST /v1/chat/completions`, streamed or as one response. */
export function registerCompletions(server: fastify.FastifyInstance, context: routeContext.RouteContext): void {
    server.post("/v1/chat/completions", async (request, reply) => {
        const parsed = CompletionBody.safeParse(request.body);
        if (!parsed.success) {
            return answers.sendRefusal(reply, answers.createBodyRefusal(zod.prettifyError(parsed.error)));
        }
        const completion = createCompletionRequest(context, request, parsed.data);
        const signal = eventStream.createDisconnectSignal(reply);
        const events = context.dispatcher.complete(completion, signal);
        if (parsed.data.stream === true) {
            return sendStream(reply, completion, parsed.data, events);
        }
        return sendComplete(reply, completion, events);
    });
}

function createCompletionRequest(
    context: routeContext.RouteContext,
    request: fastify.FastifyRequest,
    body: CompletionBody,
): dispatch.CompletionRequest {
    return {
        id: context.createId("chatcmpl"),
        caller: context.getCaller(request).id,
        requestClass: core.RequestClass.Online,
        model: body.model,
        body,
        deadlineAt: context.getDeadline(request),
    };
}

async function sendComplete(
    reply: fastify.FastifyReply,
    request: dispatch.CompletionRequest,
    events: AsyncIterable<dispatch.StreamEvent>,
): Promise<fastify.FastifyReply> {
    const outcome = await collectAnswer(events);
    return answers.sendOutcome(reply, outcome, answer => ({
        id: request.id,
        object: "chat.completion",
        created: getCreated(),
        model: request.model,
        choices: [{ index: 0, message: { role: "assistant", content: answer.text }, finish_reason: answer.reason }],
        usage: answer.usage,
    }));
}

async function collectAnswer(events: AsyncIterable<dispatch.StreamEvent>): Promise<core.Outcome<CompleteAnswer>> {
    const pieces: string[] = [];
    for await (const event of events) {
        switch (event.kind) {
            case dispatch.StreamEventKind.Token:
                pieces.push(event.text);
                break;
            case dispatch.StreamEventKind.Finished: {
                const usage = presentUsage(event.usage);
                return core.createSuccess({ text: pieces.join(""), reason: event.reason, usage });
            }
            case dispatch.StreamEventKind.Refused:
                return core.createFailure(event.refusal);
        }
    }
    return core.createFailure(createTruncationRefusal());
}

/**
 * Sends the status line only with the first event, so that a refusal gets its own status. After the first token, an
 * error can only be sent as an event, without the closing `[DONE]`, so that no client treats the answer as complete.
 */
async function sendStream(
    reply: fastify.FastifyReply,
    request: dispatch.CompletionRequest,
    body: CompletionBody,
    events: AsyncIterable<dispatch.StreamEvent>,
): Promise<fastify.FastifyReply> {
    const iterator = events[Symbol.asyncIterator]();
    const first = await iterator.next();
    if (first.done !== true && first.value.kind === dispatch.StreamEventKind.Refused) {
        return answers.sendRefusal(reply, first.value.refusal);
    }
    const stream = new eventStream.EventStream(reply);
    const writeChunk = (delta: object, reason: string | undefined): Promise<void> =>
        stream.write(createChunk(request, [{ index: 0, delta, finish_reason: reason ?? JsonNull }]));
    await writeChunk({ role: "assistant", content: "" }, undefined);
    for (let next = first; next.done !== true; next = await iterator.next()) {
        const event = next.value;
        if (event.kind === dispatch.StreamEventKind.Token) {
            await writeChunk({ content: event.text }, undefined);
            continue;
        }
        if (event.kind === dispatch.StreamEventKind.Refused) {
            await stream.write(answers.createErrorBody(event.refusal));
            stream.end();
            return reply;
        }
        await writeChunk({}, event.reason);
        if (body.stream_options?.include_usage === true) {
            await stream.write({ ...createChunk(request, []), usage: presentUsage(event.usage) });
        }
        await stream.writeText("[DONE]");
        stream.end();
        return reply;
    }
    await stream.write(answers.createErrorBody(createTruncationRefusal()));
    stream.end();
    return reply;
}

/** OpenAI's clients expect `finish_reason` to be null in JSON until the last chunk. */
const JsonNull = JSON.parse("null") as undefined;

function createChunk(request: dispatch.CompletionRequest, choices: readonly object[]): object {
    return {
        id: request.id,
        object: "chat.completion.chunk",
        created: getCreated(),
        model: request.model,
        choices,
    };
}

function presentUsage(usage: {
    readonly promptTokens: number;
    readonly completionTokens: number;
    readonly cachedTokens: number;
}): object {
    return {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.completionTokens,
        total_tokens: usage.promptTokens + usage.completionTokens,
        prompt_tokens_details: { cached_tokens: usage.cachedTokens },
    };
}

function getCreated(): number {
    return Math.floor(Date.now() / 1_000);
}

function createTruncationRefusal(): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.UpstreamFailed,
        message: core.messages.UpstreamFailed,
        values: ["the answer ended early"],
        certainty: core.RunCertainty.MayHaveRun,
    });
}
