import type * as fastify from "fastify";
import * as core from "@boragedale/core";
import type * as work from "@boragedale/work";
import * as answers from "./answers.js";
import * as eventStream from "./eventStream.js";
import type * as routeContext from "./routeContext.js";

/** The idempotency key of a call. Also set on the response, so that a caller that sent none gets the generated key. */
const KeyHeader = "idempotency-key";
const MaximumKeyLength = 256;

/**
 * Headers that are not forwarded: those of a single connection (RFC 9110, section 7.6.1), and those that entry handles.
 */
const ExcludedHeaders = new Set([
    "authorization",
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    answers.DeadlineHeader,
]);

interface ServiceParameters {
    readonly service: string;
    readonly "*": string;
}

interface CallParameters {
    readonly key: string;
}

/** `ANY /services/{service}/*` for plain services, and `GET /v1/calls/{idempotency key}`. */
export function registerServices(server: fastify.FastifyInstance, context: routeContext.RouteContext): void {
    server.all<{ Params: ServiceParameters }>("/services/:service/*", async (request, reply) => {
        const key = getKey(context, request);
        if (key === undefined) {
            return answers.sendRefusal(reply, answers.createBodyRefusal(`the key is longer than ${MaximumKeyLength}`));
        }
        const signal = eventStream.createDisconnectSignal(reply);
        const outcome = await context.dispatcher.callService(createServiceCall(context, request, key), signal);
        reply.header(KeyHeader, key);
        if (!outcome.ok) {
            return answers.sendRefusal(reply, outcome.refusal);
        }
        return sendResult(reply, outcome.value);
    });
    server.get<{ Params: CallParameters }>("/v1/calls/:key", async (request, reply) => {
        const identity = { caller: context.getCaller(request).id, key: request.params.key };
        const outcome = await context.ledger.read(identity);
        if (outcome.ok && outcome.value === undefined) {
            return answers.sendRefusal(reply, answers.createNotFoundRefusal("call", request.params.key));
        }
        return answers.sendOutcome(reply, outcome, record => presentCall(core.Debug.checkDefined(record, "call")));
    });
}

function createServiceCall(
    context: routeContext.RouteContext,
    request: fastify.FastifyRequest<{ Params: ServiceParameters }>,
    key: string,
): Parameters<typeof context.dispatcher.callService>[0] {
    const prefix = `/services/${request.params.service}`;
    return {
        id: context.createId("call"),
        caller: context.getCaller(request).id,
        requestClass: core.RequestClass.Online,
        service: request.params.service,
        method: request.method,
        path: request.url.slice(prefix.length),
        headers: selectHeaders(request.headers),
        body: Buffer.isBuffer(request.body) ? request.body : undefined,
        key,
        deadlineAt: context.getDeadline(request),
    };
}

function getKey(context: routeContext.RouteContext, request: fastify.FastifyRequest): string | undefined {
    const given = request.headers[KeyHeader];
    if (typeof given !== "string" || given === "") {
        return context.createId("key");
    }
    return given.length > MaximumKeyLength ? undefined : given;
}

function selectHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
    const selected: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !ExcludedHeaders.has(name)) {
            selected[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return selected;
}

function sendResult(reply: fastify.FastifyReply, result: work.CallResult): fastify.FastifyReply {
    return reply.code(result.status).headers(selectHeaders(result.headers)).send(Buffer.from(result.body));
}

function presentCall(record: work.CallRecord): object {
    return {
        key: record.key,
        state: record.state,
        service: record.service,
        attempt: record.attempt,
        started_at: record.startedAt,
        result:
            record.result === undefined
                ? undefined
                : {
                      status: record.result.status,
                      headers: record.result.headers,
                      body: Buffer.from(record.result.body).toString("utf8"),
                  },
    };
}
