import type * as fastify from "fastify";
import * as core from "@boragedale/core";
import type * as upstreams from "@boragedale/upstreams";
import * as engineHoldings from "./engineHoldings.js";
import * as engineModel from "./engineModel.js";
import * as httpServer from "./httpServer.js";

/** Faults of an engine. */
export interface EngineFaults extends httpServer.ConnectionFaults {
    /** Factor on the time of each step. */
    slowdown: number;
    /** When not empty, each load fails with this error message. */
    loadFailure: string;
    /** When set by `PUT /faults`, the connections that are open at that moment go silent; new ones work. */
    silencesOpenConnections: boolean;
}

export interface EngineStandinOptions extends httpServer.StandinOptions {
    readonly model?: Partial<engineModel.EngineModelOptions>;
    readonly holdings?: Partial<engineHoldings.EngineHoldingsOptions>;
    /** Called after the engine has crashed; when the engine runs as its own process, this exits the process. */
    readonly onCrash?: () => void;
}

export interface EngineStandin extends httpServer.Standin<EngineFaults> {
    /** The underlying engine model, for tests to inspect. */
    readonly model: engineModel.EngineModel;
    /** Ids of the accepted requests, in order of arrival. */
    readonly requests: readonly string[];
    readonly silenceConnections: () => void;
    readonly breakConnections: () => void;
    /** Breaks all connections and refuses new ones until `restart`. */
    readonly crash: () => Promise<void>;
    readonly restart: () => Promise<void>;
}

/** A prompt that contains this text crashes the engine that receives it. */
export const CrashMarker = "[[crash]]";

/** Starts a stand-in of a model engine. */
export async function createEngineStandin(options: EngineStandinOptions = {}): Promise<EngineStandin> {
    const engine = new Engine(options);
    engine.addRoutes();
    const url = await engine.server.listen(options.port);
    return {
        url,
        faults: engine.faults,
        model: engine.model,
        requests: engine.requests,
        silenceConnections: () => engine.server.silenceConnections(),
        breakConnections: () => engine.server.breakConnections(),
        crash: () => engine.crash(),
        restart: () => engine.server.restart(),
        [Symbol.asyncDispose]: () => engine.server[Symbol.asyncDispose](),
    };
}

interface ChatMessage {
    readonly role: string;
    readonly content: unknown;
}

interface ChatBody {
    readonly model: string;
    readonly messages: readonly ChatMessage[];
    readonly stream?: boolean;
    readonly stream_options?: { readonly include_usage?: boolean };
    readonly max_tokens?: number;
    readonly min_tokens?: number;
    readonly max_completion_tokens?: number;
    readonly continue_final_message?: boolean;
}

/** A parsed chat request. */
interface Completion {
    readonly id: string;
    readonly modelName: string;
    readonly prompt: readonly string[];
    readonly resumed: number;
    readonly length: number;
    readonly finishReason: string;
}

interface Usage {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number };
}

const MinimumAnswerTokens = 8;
const AnswerTokenRange = 33;

class Engine {
    readonly server = new httpServer.StandinServer();
    readonly model: engineModel.EngineModel;
    readonly faults: EngineFaults;
    readonly requests: string[] = [];
    private readonly holdings: engineHoldings.EngineHoldings;
    private readonly clock: core.Clock;
    private nextId = 1;

    constructor(private readonly options: EngineStandinOptions) {
        this.clock = options.clock ?? new core.SystemClock();
        this.model = new engineModel.EngineModel(this.clock, {
            ...engineModel.DefaultEngineModelOptions,
            ...options.model,
        });
        this.holdings = new engineHoldings.EngineHoldings(this.clock, {
            models: [],
            role: core.UpstreamRole.Mixed,
            checksFencing: true,
            loadMilliseconds: 0,
            ...options.holdings,
        });
        this.faults = {
            ...httpServer.createConnectionFaults(),
            slowdown: 1,
            loadFailure: "",
            silencesOpenConnections: false,
        };
    }

    addRoutes(): void {
        const onChange = (change: Readonly<Record<string, unknown>>): void => {
            if (change["silencesOpenConnections"] === true) {
                this.server.silenceConnections();
            }
        };
        const { app } = this.server;
        httpServer.addFaultInjection({ server: this.server, faults: this.faults, clock: this.clock, onChange });
        app.addHook("preHandler", async () => {
            this.model.slowdown = this.faults.slowdown;
            this.holdings.loadFailure = this.faults.loadFailure;
        });
        app.get("/load", async () => this.model.readLoad());
        app.get("/state", async () => this.holdings.getState());
        app.put("/order", async (request, reply) => {
            const response = this.holdings.applyOrder(request.body as upstreams.UpstreamOrder);
            return reply.code(response.accepted ? 202 : 409).send({ fencing: response.fencing });
        });
        app.post("/v1/chat/completions", (request, reply) => this.complete(request, reply));
    }

    async crash(): Promise<void> {
        this.model.reset();
        this.holdings.reset();
        await this.server.crash();
        this.options.onCrash?.();
    }

    private async complete(request: fastify.FastifyRequest, reply: fastify.FastifyReply): Promise<unknown> {
        const body = request.body as ChatBody;
        if (!Array.isArray(body?.messages) || typeof body.model !== "string") {
            return reply.code(400).send(createError("`model` and `messages` are required", "invalid_request_error"));
        }
        if (!this.holdings.holds(body.model)) {
            return reply.code(503).send(createError(`the model '${body.model}' is not loaded`, "not_loaded"));
        }
        const completion = parseCompletion(body, String(request.headers["x-request-id"] ?? `chat-${this.nextId++}`));
        this.requests.push(completion.id);
        if (completion.prompt.some(word => word.includes(CrashMarker))) {
            void this.crash();
            return reply.hijack();
        }
        const cached = this.model.getCachedTokens(completion.prompt);
        if (body.stream === true) {
            const includesUsage = body.stream_options?.include_usage === true;
            return this.stream(completion, createUsage(completion, cached), includesUsage, reply);
        }
        return this.completeUnstreamed(completion, createUsage(completion, cached), reply);
    }

    private stream(
        completion: Completion,
        usage: Usage,
        includesUsage: boolean,
        reply: fastify.FastifyReply,
    ): fastify.FastifyReply {
        reply.hijack();
        reply.raw.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        const send = (data: string): void => {
            if (!this.server.isSilenced(reply.request.raw)) {
                reply.raw.write(`data: ${data}\n\n`);
            }
        };
        send(formatChunk(completion, { choices: [createChoice({ role: "assistant", content: "" }, undefined)] }));
        const cancel = this.model.submit({
            ...completion,
            onToken: text => send(formatChunk(completion, { choices: [createChoice({ content: text }, undefined)] })),
            onFinish: () => {
                send(formatChunk(completion, { choices: [createChoice({}, completion.finishReason)] }));
                if (includesUsage) {
                    send(formatChunk(completion, { choices: [], usage }));
                }
                send("[DONE]");
                if (!this.server.isSilenced(reply.request.raw)) {
                    reply.raw.end();
                }
            },
        });
        reply.raw.on("close", cancel);
        return reply;
    }

    private async completeUnstreamed(
        completion: Completion,
        usage: Usage,
        reply: fastify.FastifyReply,
    ): Promise<unknown> {
        let content = "";
        await new Promise<void>(resolve => {
            const onToken = (text: string): void => {
                content += text;
            };
            const cancel = this.model.submit({ ...completion, onToken, onFinish: resolve });
            reply.raw.on("close", () => {
                cancel();
                resolve();
            });
        });
        const message = { role: "assistant", content };
        const choices = [{ index: 0, message, finish_reason: completion.finishReason }];
        return { ...createEnvelope(completion, "chat.completion"), choices, usage };
    }
}

/** Parses a chat request. The prompt's hash determines the answer's length, within `min_tokens` and the token limit. */
function parseCompletion(body: ChatBody, id: string): Completion {
    const last = body.messages.at(-1);
    const isResumed = body.continue_final_message === true && last?.role === "assistant";
    const promptMessages = isResumed ? body.messages.slice(0, -1) : body.messages;
    const prompt = [body.model, ...promptMessages.flatMap(message => [message.role, ...splitContent(message.content)])];
    const resumed = isResumed ? splitContent(last?.content).length : 0;
    const naturalLength = Math.max(
        MinimumAnswerTokens + (engineModel.hashWords(prompt) % AnswerTokenRange),
        body.min_tokens ?? 0,
    );
    // The limit applies to the words that this run generates, so the resumed words are added to it.
    const limit = resumed + (body.max_completion_tokens ?? body.max_tokens ?? Infinity);
    const length = Math.max(resumed, Math.min(naturalLength, limit));
    return {
        id,
        modelName: body.model,
        prompt,
        resumed,
        length,
        finishReason: naturalLength > limit ? "length" : "stop",
    };
}

function splitContent(content: unknown): readonly string[] {
    return engineModel.splitWords(typeof content === "string" ? content : JSON.stringify(content ?? ""));
}

function createUsage(completion: Completion, cached: number): Usage {
    const promptTokens = completion.prompt.length + completion.resumed;
    const completionTokens = completion.length - completion.resumed;
    return {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
        prompt_tokens_details: { cached_tokens: cached },
    };
}

function createChoice(delta: Readonly<Record<string, string>>, finishReason: string | undefined): unknown {
    return { index: 0, delta, finish_reason: finishReason };
}

function createEnvelope(completion: Completion, object: string): Readonly<Record<string, unknown>> {
    return { id: completion.id, object, created: 0, model: completion.modelName };
}

function formatChunk(completion: Completion, rest: Readonly<Record<string, unknown>>): string {
    return JSON.stringify({ ...createEnvelope(completion, "chat.completion.chunk"), ...rest });
}

function createError(message: string, type: string): unknown {
    return { error: { message, type, code: type } };
}
