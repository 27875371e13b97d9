import * as crypto from "node:crypto";
import multipart from "@fastify/multipart";
import * as fastify from "fastify";
import * as core from "@boragedale/core";
import type * as release from "@boragedale/release";
import * as telemetry from "@boragedale/telemetry";
import type * as work from "@boragedale/work";
import type * as dispatch from "../dispatch/types.js";
import * as answers from "./answers.js";
import * as authentication from "./authentication.js";
import * as batches from "./batches.js";
import * as completions from "./completions.js";
import * as files from "./files.js";
import * as models from "./models.js";
import type * as routeContext from "./routeContext.js";
import * as services from "./services.js";

export interface CallerEndpointOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly keeper: release.NoteCache;
    readonly dispatcher: dispatch.Dispatcher;
    readonly ledger: work.CallLedger;
    readonly jobs: work.JobStore;
    readonly bodyLimitBytes: number;
    readonly fileLimitBytes: number;
    /**
     * Whether the instance has announced that it is leaving. The balancer should stop using it, but requests are
     * accepted.
     */
    readonly isAnnounced: () => boolean;
    /** Whether the instance refuses new requests. */
    readonly isDraining: () => boolean;
    /** The reason why the balancer should send no requests to the instance, or undefined if it may. */
    readonly tryGetUnreadiness: () => string | undefined;
}

/** Retry delay for requests that a leaving instance refused. By then the balancer uses other instances. */
const LeavingRetryMilliseconds = 200;
const MaximumDeadlineMilliseconds = 3_600_000;
/**
 * Limit on a request's headers. The same as the default of Node.js, set here since it bounds memory for each
 * connection.
 */
const HeaderLimitBytes = 16_384;

/** Creates the callers' endpoint. It doesn't listen by itself; see `EndpointListener`. */
export function createCallerEndpoint(options: CallerEndpointOptions): fastify.FastifyInstance {
    const server = fastify.fastify({
        bodyLimit: options.bodyLimitBytes,
        forceCloseConnections: "idle",
        http: { maxHeaderSize: HeaderLimitBytes },
        routerOptions: { maxParamLength: 512 },
        // A malformed percent escape in a path matches no route, but is answered with the usual error body.
        frameworkErrors: (error, request, reply) => void sendError(options, error, request, reply),
    });
    server.setErrorHandler((error, request, reply) => sendError(options, error, request, reply));
    server.setNotFoundHandler((request, reply) =>
        answers.sendRefusal(reply, answers.createNotFoundRefusal("path", request.url.slice(0, 200))),
    );
    registerHealth(server, options);
    void server.register(async guarded => {
        await registerAuthenticated(guarded, options);
    });
    return server;
}

/** `/livez`, `/readyz` and `/metrics` need no token: the platform's balancer and scraper have none. */
function registerHealth(server: fastify.FastifyInstance, options: CallerEndpointOptions): void {
    server.get("/livez", async () => ({ status: "live" }));
    server.get("/readyz", async (request, reply) => {
        const reason = options.isAnnounced() ? "leaving" : options.tryGetUnreadiness();
        return reason === undefined ? { status: "ready" } : reply.code(503).send({ status: "not ready", reason });
    });
    server.get("/metrics", async (request, reply) => reply.type("text/plain").send(options.telemetry.metrics.format()));
}

async function registerAuthenticated(server: fastify.FastifyInstance, options: CallerEndpointOptions): Promise<void> {
    const callers = new WeakMap<fastify.FastifyRequest, core.CallerDescription>();
    const index = new authentication.CallerIndex();
    await server.register(multipart);
    server.addHook("onRequest", async (request, reply) => {
        const admission = admit(options, index, request);
        if (!admission.ok) {
            return answers.sendRefusal(reply, admission.refusal);
        }
        callers.set(request, admission.value);
        return undefined;
    });
    const context = createRouteContext(options, callers);
    completions.registerCompletions(server, context);
    models.registerModels(server, context);
    files.registerFiles(server, context);
    batches.registerBatches(server, context);
    await server.register(async raw => {
        // Pass bodies to plain services unchanged, whatever their content type.
        raw.removeAllContentTypeParsers();
        raw.addContentTypeParser("*", { parseAs: "buffer" }, async (request: unknown, body: unknown) => body);
        services.registerServices(raw, context);
    });
}

function admit(
    options: CallerEndpointOptions,
    index: authentication.CallerIndex,
    request: fastify.FastifyRequest,
): core.Outcome<core.CallerDescription> {
    const note = options.keeper.tryGetNote();
    if (options.isDraining()) {
        return refuse(core.RefusalKind.InstanceLeaving, core.messages.InstanceLeaving, LeavingRetryMilliseconds);
    }
    if (note === undefined) {
        return refuse(core.RefusalKind.NoNoteInForce, core.messages.NoNoteInForce, 1_000);
    }
    const caller = index.tryGetCaller(note, request);
    if (caller === undefined) {
        return refuse(core.RefusalKind.NotAuthorized, core.messages.NotAuthorized, undefined);
    }
    return core.createSuccess(caller);
}

function refuse<T>(
    kind: core.RefusalKind,
    message: core.messages.Message,
    retryAfterMilliseconds: number | undefined,
): core.Outcome<T> {
    const certainty = core.RunCertainty.NotRun;
    return core.createFailure(core.createRefusal({ kind, message, certainty, retryAfterMilliseconds }));
}

function createRouteContext(
    options: CallerEndpointOptions,
    callers: WeakMap<fastify.FastifyRequest, core.CallerDescription>,
): routeContext.RouteContext {
    const getNote = (): core.NoteInForce => core.Debug.checkDefined(options.keeper.tryGetNote(), "note in force");
    return {
        clock: options.clock,
        telemetry: options.telemetry,
        keeper: options.keeper,
        dispatcher: options.dispatcher,
        ledger: options.ledger,
        jobs: options.jobs,
        fileLimitBytes: options.fileLimitBytes,
        getCaller: request => core.Debug.checkDefined(callers.get(request), "caller"),
        getNote,
        getDeadline: request => {
            const given = Number(request.headers[answers.DeadlineHeader]);
            const isGiven = Number.isFinite(given) && given > 0;
            const wait = isGiven ? given : getNote().fleet.policy.onlineDeadlineMilliseconds;
            return options.clock.now() + Math.min(wait, MaximumDeadlineMilliseconds);
        },
        createId: prefix => `${prefix}-${crypto.randomUUID()}`,
    };
}

/** Answers errors that no route handled, such as invalid JSON, a body that is too large, or a defect. */
function sendError(
    options: CallerEndpointOptions,
    error: unknown,
    request: fastify.FastifyRequest,
    reply: fastify.FastifyReply,
): fastify.FastifyReply {
    const status = getErrorStatus(error);
    const text = error instanceof Error ? error.message : String(error);
    if (status === 413) {
        const refusal = refuse<never>(core.RefusalKind.BodyTooLarge, core.messages.BodyTooLarge, undefined);
        return answers.sendRefusal(reply, createTooLarge(options, refusal));
    }
    if (status >= 400 && status < 500) {
        return answers.sendRefusal(reply, answers.createBodyRefusal(text));
    }
    options.telemetry.record(telemetry.events.InternalDefect, { request: request.id, text });
    return answers.sendRefusal(
        reply,
        core.createRefusal({
            kind: core.RefusalKind.InternalDefect,
            message: core.messages.InternalDefect,
            certainty: core.RunCertainty.MayHaveRun,
        }),
    );
}

function createTooLarge(options: CallerEndpointOptions, outcome: core.Outcome<never>): core.Refusal {
    core.Debug.assert(!outcome.ok, "a refusal");
    const text = core.messages.formatMessage(core.messages.BodyTooLarge, options.bodyLimitBytes);
    return { ...outcome.refusal, text };
}

function getErrorStatus(error: unknown): number {
    const status = (error as { readonly statusCode?: unknown } | undefined)?.statusCode;
    return typeof status === "number" ? status : 500;
}
