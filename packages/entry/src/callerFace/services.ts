import type * as fastify from "fastify";
import * as core from "@boragedale/core";
import type * as work from "@boragedale/work";
import * as answers from "./answers.js";
import * as eventStream from "./eventStream.js";
import type * as parts from "./parts.js";

/** Tells a caller that sent none which idempotency key its call was given. */
const KeyHeader = "idempotency-key";
const LongestKey = 256;

/** Headers that belong to one connection and never travel through (RFC 9110, section 7.6.1), and our own. */
const HopHeaders = new Set([
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
export function registerServices(server: fastify.FastifyInstance, face: parts.CallerFaceParts): void {
    server.all<{ Params: ServiceParameters }>("/services/:service/*", async (request, reply) => {
        const key = getKey(face, request);
        if (key === undefined) {
            return answers.sendRefusal(reply, answers.createBodyRefusal(`the key is longer than ${LongestKey}`));
        }
        const signal = eventStream.createDisconnectSignal(reply);
        const outcome = await face.dispatcher.callService(createServiceCall(face, request, key), signal);
        reply.header(KeyHeader, key);
        if (!outcome.ok) {
            return answers.sendRefusal(reply, outcome.refusal);
        }
        return sendResult(reply, outcome.value);
    });
    server.get<{ Params: CallParameters }>("/v1/calls/:key", async (request, reply) => {
        const identity = { caller: face.getCaller(request).id, key: request.params.key };
        const outcome = await face.ledger.read(identity);
        if (outcome.ok && outcome.value === undefined) {
            return answers.sendRefusal(reply, answers.createNotFoundRefusal("call", request.params.key));
        }
        return answers.sendOutcome(reply, outcome, record => presentCall(core.Debug.checkDefined(record, "call")));
    });
}

function createServiceCall(
    face: parts.CallerFaceParts,
    request: fastify.FastifyRequest<{ Params: ServiceParameters }>,
    key: string,
): Parameters<typeof face.dispatcher.callService>[0] {
    const prefix = `/services/${request.params.service}`;
    return {
        id: face.createId("call"),
        caller: face.getCaller(request).id,
        requestClass: core.RequestClass.Online,
        service: request.params.service,
        method: request.method,
        path: request.url.slice(prefix.length),
        headers: selectHeaders(request.headers),
        body: Buffer.isBuffer(request.body) ? request.body : undefined,
        key,
        deadlineAt: face.getDeadline(request),
    };
}

function getKey(face: parts.CallerFaceParts, request: fastify.FastifyRequest): string | undefined {
    const given = request.headers[KeyHeader];
    if (typeof given !== "string" || given === "") {
        return face.createId("key");
    }
    return given.length > LongestKey ? undefined : given;
}

function selectHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
    const selected: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !HopHeaders.has(name)) {
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
