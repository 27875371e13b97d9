import * as core from "@boragedale/core";
import type * as upstreams from "@boragedale/upstreams";
import * as work from "@boragedale/work";
import * as types from "./types.js";

export interface DispatchingItemExecutorOptions {
    readonly clock: core.Clock;
    readonly dispatcher: types.Dispatcher;
}

const CompletionsUrl = "/v1/chat/completions";
const ServicesUrl = "/services/";

/** Runs the items of jobs through the dispatcher. */
export class DispatchingItemExecutor extends work.ItemExecutor {
    constructor(private readonly options: DispatchingItemExecutorOptions) {
        super();
    }

    override async execute(
        item: work.JobItem,
        context: work.ItemContext,
        signal: AbortSignal,
    ): Promise<work.ItemOutcome> {
        if (item.url === CompletionsUrl) {
            return this.complete(item, context, signal);
        }
        if (item.url.startsWith(ServicesUrl)) {
            return this.callService(item, context, signal);
        }
        return createFailure(core.RefusalKind.NotFound, `there is no endpoint ${item.url}`);
    }

    override getFreeSlots(): number {
        return this.options.dispatcher.getFreeBatchSlots();
    }

    private async complete(
        item: work.JobItem,
        context: work.ItemContext,
        signal: AbortSignal,
    ): Promise<work.ItemOutcome> {
        const body = item.body;
        if (!isRecord(body) || typeof body.model !== "string") {
            return createFailure(core.RefusalKind.BodyInvalid, "the item's body names no model");
        }
        const request: types.CompletionRequest = {
            id: createItemId(item, context),
            caller: context.caller,
            requestClass: core.RequestClass.Batch,
            model: body.model,
            body,
            deadlineAt: this.toMonotonic(context.deadlineAt),
        };
        let text = "";
        for await (const event of this.options.dispatcher.complete(request, signal)) {
            switch (event.kind) {
                case types.StreamEventKind.Token:
                    text += event.text;
                    break;
                case types.StreamEventKind.Finished:
                    return createCompletion(request, text, event.reason, event.usage, this.options.clock.wallNow());
                case types.StreamEventKind.Refused:
                    return toItemOutcome(event.refusal);
            }
        }
        return { kind: work.ItemOutcomeKind.TryAgain, text: "the answer ended early" };
    }

    private async callService(
        item: work.JobItem,
        context: work.ItemContext,
        signal: AbortSignal,
    ): Promise<work.ItemOutcome> {
        const [service = "", ...segments] = item.url.slice(ServicesUrl.length).split("/");
        const call: types.ServiceCall = {
            id: createItemId(item, context),
            caller: context.caller,
            requestClass: core.RequestClass.Batch,
            service,
            method: item.method,
            path: `/${segments.join("/")}`,
            headers: { "content-type": "application/json" },
            body: item.body === undefined ? undefined : Buffer.from(JSON.stringify(item.body)),
            // An item always has the same key, so that it runs once even if several instances execute it.
            key: createItemId(item, context),
            deadlineAt: this.toMonotonic(context.deadlineAt),
        };
        const outcome = await this.options.dispatcher.callService(call, signal);
        return outcome.ok ? createServiceResult(outcome.value) : toItemOutcome(outcome.refusal);
    }

    private toMonotonic(wall: core.WallMilliseconds): core.MonotonicMilliseconds {
        return this.options.clock.now() + (wall - this.options.clock.wallNow());
    }
}

function createItemId(item: work.JobItem, context: work.ItemContext): string {
    return `${context.job}/${item.index}`;
}

function createCompletion(
    request: types.CompletionRequest,
    text: string,
    reason: string,
    usage: upstreams.Usage,
    wallNow: core.WallMilliseconds,
): work.ItemOutcome {
    const body = {
        id: `chatcmpl-${request.id}`,
        object: "chat.completion",
        created: Math.floor(wallNow / 1_000),
        model: request.model,
        choices: [{ index: 0, message: { role: "assistant", content: text }, finish_reason: reason }],
        usage: {
            prompt_tokens: usage.promptTokens,
            completion_tokens: usage.completionTokens,
            total_tokens: usage.promptTokens + usage.completionTokens,
            prompt_tokens_details: { cached_tokens: usage.cachedTokens },
        },
    };
    return { kind: work.ItemOutcomeKind.Succeeded, status: 200, body };
}

function createServiceResult(response: upstreams.ServiceResponse): work.ItemOutcome {
    if (response.status >= 500) {
        return { kind: work.ItemOutcomeKind.TryAgain, text: `the service answered with status ${response.status}` };
    }
    const text = Buffer.from(response.body).toString("utf8");
    return { kind: work.ItemOutcomeKind.Succeeded, status: response.status, body: parseBody(text) };
}

function parseBody(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
}

/** Maps the refusal of one attempt to the outcome of the item. */
function toItemOutcome(refusal: core.Refusal): work.ItemOutcome {
    const retryAfterMilliseconds = refusal.retryAfterMilliseconds ?? 1_000;
    switch (refusal.kind) {
        case core.RefusalKind.BodyInvalid:
        case core.RefusalKind.BodyTooLarge:
        case core.RefusalKind.NotAuthorized:
        case core.RefusalKind.NotFound:
        case core.RefusalKind.ModelUnknown:
        case core.RefusalKind.KeyReused:
        case core.RefusalKind.OutcomeUnknown:
        case core.RefusalKind.Quarantined:
            return createFailure(refusal.kind, refusal.text);
        case core.RefusalKind.Overloaded:
        case core.RefusalKind.DeadlineUnreachable:
        case core.RefusalKind.KeyValueDown:
        case core.RefusalKind.CallInFlight:
        case core.RefusalKind.InstanceLeaving:
        case core.RefusalKind.NoNoteInForce:
            return { kind: work.ItemOutcomeKind.GaveWay, retryAfterMilliseconds };
        case core.RefusalKind.DeadlinePassed:
        case core.RefusalKind.UpstreamFailed:
        case core.RefusalKind.JobStateConflict:
        case core.RefusalKind.InternalDefect:
            return { kind: work.ItemOutcomeKind.TryAgain, text: refusal.text };
    }
}

function createFailure(code: string, text: string): work.ItemOutcome {
    return { kind: work.ItemOutcomeKind.Failed, code, text };
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}
