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
import type * as parts from "./parts.js";
import * as services from "./services.js";

export interface CallerFaceOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly keeper: release.NoteKeeper;
    readonly dispatcher: dispatch.Dispatcher;
    readonly ledger: work.CallLedger;
    readonly jobs: work.JobStore;
    readonly bodyLimitBytes: number;
    readonly fileLimitBytes: number;
    /** Whether the instance is leaving: the balancer should look elsewhere, though requests are still taken. */
    readonly isAnnounced: () => boolean;
    /** Whether the instance takes no new requests. */
    readonly isDraining: () => boolean;
    /** Why the instance should get no requests from the balancer, or undefined when it should. */
    readonly tryGetUnreadiness: () => string | undefined;
}

/** When a caller should send a request again that met a leaving instance: the balancer has moved on by then. */
const LeavingRetryMilliseconds = 200;
const LongestDeadlineMilliseconds = 3_600_000;
/** Bytes of a request's headers; Node's own limit, named here since it bounds memory for each connection. */
const HeaderLimitBytes = 16_384;

/** Makes the caller face; `listen` is up to the instance. */
export function createCallerFace(options: CallerFaceOptions): fastify.FastifyInstance {
    const server = fastify.fastify({
        bodyLimit: options.bodyLimitBytes,
        forceCloseConnections: "idle",
        http: { maxHeaderSize: HeaderLimitBytes },
        routerOptions: { maxParamLength: 512 },
        // A malformed percent escape in a path has no route, but still gets the error shape.
        frameworkErrors: (error, request, reply) => void sendError(options, error, request, reply),
    });
    server.setErrorHandler((error, request, reply) => sendError(options, error, request, reply));
    server.setNotFoundHandler((request, reply) =>
        answers.sendRefusal(reply, answers.createNotFoundRefusal("path", request.url.slice(0, 200))),
    );
    registerHealth(server, options);
    void server.register(async guarded => {
        await registerGuarded(guarded, options);
    });
    return server;
}

/** `/livez`, `/readyz` and `/metrics` need no token: the platform's balancer and scraper have none. */
function registerHealth(server: fastify.FastifyInstance, options: CallerFaceOptions): void {
    server.get("/livez", async () => ({ status: "live" }));
    server.get("/readyz", async (request, reply) => {
        const reason = options.isAnnounced() ? "leaving" : options.tryGetUnreadiness();
        return reason === undefined ? { status: "ready" } : reply.code(503).send({ status: "not ready", reason });
    });
    server.get("/metrics", async (request, reply) => reply.type("text/plain").send(options.telemetry.metrics.format()));
}

async function registerGuarded(server: fastify.FastifyInstance, options: CallerFaceOptions): Promise<void> {
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
    const face = createParts(options, callers);
    completions.registerCompletions(server, face);
    models.registerModels(server, face);
    files.registerFiles(server, face);
    batches.registerBatches(server, face);
    await server.register(async raw => {
        // Plain services get their body as it came, whatever its type.
        raw.removeAllContentTypeParsers();
        raw.addContentTypeParser("*", { parseAs: "buffer" }, async (request: unknown, body: unknown) => body);
        services.registerServices(raw, face);
    });
}

function admit(
    options: CallerFaceOptions,
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

function createParts(
    options: CallerFaceOptions,
    callers: WeakMap<fastify.FastifyRequest, core.CallerDescription>,
): parts.CallerFaceParts {
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
            return options.clock.now() + Math.min(wait, LongestDeadlineMilliseconds);
        },
        createId: prefix => `${prefix}-${crypto.randomUUID()}`,
    };
}

/** Everything that went wrong before a route could answer: bad JSON, too large a body, a defect. */
function sendError(
    options: CallerFaceOptions,
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

function createTooLarge(options: CallerFaceOptions, outcome: core.Outcome<never>): core.Refusal {
    core.Debug.assert(!outcome.ok, "a refusal");
    const text = core.messages.formatMessage(core.messages.BodyTooLarge, options.bodyLimitBytes);
    return { ...outcome.refusal, text };
}

function getErrorStatus(error: unknown): number {
    const status = (error as { readonly statusCode?: unknown } | undefined)?.statusCode;
    return typeof status === "number" ? status : 500;
}
