import type * as fastify from "fastify";
import * as core from "@boragedale/core";

/** Response header that is set only if it is certain that the request was not run. */
export const NotRunHeader = "boragedale-not-run";
/** Request header with the caller's time limit in milliseconds, counted from the request's arrival. */
export const DeadlineHeader = "boragedale-deadline-milliseconds";

const Statuses: Readonly<Record<core.RefusalKind, number>> = {
    [core.RefusalKind.NotAuthorized]: 401,
    [core.RefusalKind.BodyInvalid]: 400,
    [core.RefusalKind.BodyTooLarge]: 413,
    [core.RefusalKind.NotFound]: 404,
    [core.RefusalKind.ModelUnknown]: 404,
    [core.RefusalKind.Overloaded]: 429,
    [core.RefusalKind.DeadlineUnreachable]: 503,
    [core.RefusalKind.DeadlinePassed]: 504,
    [core.RefusalKind.UpstreamFailed]: 502,
    [core.RefusalKind.KeyValueDown]: 503,
    [core.RefusalKind.KeyReused]: 422,
    [core.RefusalKind.CallInFlight]: 409,
    [core.RefusalKind.OutcomeUnknown]: 502,
    [core.RefusalKind.Quarantined]: 422,
    [core.RefusalKind.InstanceLeaving]: 503,
    [core.RefusalKind.NoNoteInForce]: 503,
    [core.RefusalKind.JobStateConflict]: 409,
    [core.RefusalKind.InternalDefect]: 500,
};

/** Body of every error, in the form that OpenAI's clients read. */
export interface ErrorBody {
    readonly error: {
        readonly message: string;
        readonly type: string;
        readonly code: core.RefusalKind;
        readonly not_run: boolean;
        readonly retry_after_milliseconds?: number;
    };
}

export function createErrorBody(refusal: core.Refusal): ErrorBody {
    return {
        error: {
            message: refusal.text,
            type: Statuses[refusal.kind] < 500 ? "invalid_request_error" : "server_error",
            code: refusal.kind,
            not_run: refusal.certainty === core.RunCertainty.NotRun,
            retry_after_milliseconds: refusal.retryAfterMilliseconds,
        },
    };
}

export function getStatus(refusal: core.Refusal): number {
    return Statuses[refusal.kind];
}

/** Headers of a refusal: whether the request was not run, and when to retry. */
export function getRefusalHeaders(refusal: core.Refusal): Record<string, string> {
    const headers: Record<string, string> = {};
    if (refusal.certainty === core.RunCertainty.NotRun) {
        headers[NotRunHeader] = "true";
    }
    if (refusal.retryAfterMilliseconds !== undefined) {
        headers["retry-after"] = String(Math.ceil(refusal.retryAfterMilliseconds / 1_000));
        headers["retry-after-ms"] = String(Math.ceil(refusal.retryAfterMilliseconds));
    }
    return headers;
}

export function sendRefusal(reply: fastify.FastifyReply, refusal: core.Refusal): fastify.FastifyReply {
    return reply.code(getStatus(refusal)).headers(getRefusalHeaders(refusal)).send(createErrorBody(refusal));
}

/** Sends the value, or the refusal if there is none. */
export function sendOutcome<T>(
    reply: fastify.FastifyReply,
    outcome: core.Outcome<T>,
    present: (value: T) => unknown,
): fastify.FastifyReply {
    return outcome.ok ? reply.send(present(outcome.value)) : sendRefusal(reply, outcome.refusal);
}

export function createBodyRefusal(reason: string): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.BodyInvalid,
        message: core.messages.BodyInvalid,
        values: [reason],
        certainty: core.RunCertainty.NotRun,
    });
}

export function createNotFoundRefusal(what: string, name: string): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.NotFound,
        message: core.messages.NotFound,
        values: [what, name],
        certainty: core.RunCertainty.NotRun,
    });
}
