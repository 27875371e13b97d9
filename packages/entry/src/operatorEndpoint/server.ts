import * as fastify from "fastify";
import * as zod from "zod";
import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import type * as protocol from "@boragedale/protocol";
import * as release from "@boragedale/release";
import type * as telemetry from "@boragedale/telemetry";
import type * as work from "@boragedale/work";
import * as answers from "../callerEndpoint/answers.js";

export interface OperatorEndpointOptions {
    readonly instance: core.InstanceDescription;
    readonly operatorToken: string;
    readonly telemetry: telemetry.Telemetry;
    readonly keeper: release.NoteCache;
    readonly publisher: release.NotePublisher;
    readonly rollout: release.Rollout;
    readonly membership: protocol.Membership;
    readonly peers: protocol.PeerNetwork;
    readonly ledger: work.CallLedger;
    readonly isDraining: () => boolean;
    readonly getInProgress: () => number;
    readonly tryGetUnreadiness: () => string | undefined;
    /** Begins a graceful stop. */
    readonly drain: () => void;
}

/** Status of one instance. The command line combines those of the whole fleet. */
export interface InstanceStatus {
    readonly instance: core.InstanceDescription;
    readonly generation: core.Generation;
    readonly isConfirmed: boolean;
    readonly isDraining: boolean;
    readonly unreadiness: string | undefined;
    readonly inProgress: number;
    readonly peers: readonly core.InstanceId[];
    readonly instances: readonly core.InstanceDescription[];
    readonly upstreams: readonly release.UpstreamProgress[];
}

const PublishBody = zod.object({
    source: zod.string(),
    file: zod.string(),
    replaces: zod.number().int().min(0),
    author: zod.string().min(1),
});

const CheckBody = zod.object({ source: zod.string(), file: zod.string() });

const TimeLineQuery = zod.object({
    request: zod.string().optional(),
    job: zod.string().optional(),
    upstream: zod.string().optional(),
    generation: zod.coerce.number().int().optional(),
    number: zod.coerce.number().int().optional(),
});

const NoteLimitBytes = 2_000_000;

/** Creates the endpoint for operators and the command line, with its own address and token. */
export function createOperatorEndpoint(options: OperatorEndpointOptions): fastify.FastifyInstance {
    const server = fastify.fastify({ bodyLimit: NoteLimitBytes, forceCloseConnections: "idle" });
    server.addHook("onRequest", async (request, reply) => {
        const token = customers.tryGetBearerToken(request.headers.authorization);
        if (token === undefined || !customers.isSameSecret(token, options.operatorToken)) {
            return reply.code(401).send({ error: { code: "not_authorized", message: "the operator token is wrong" } });
        }
        return undefined;
    });
    server.setErrorHandler((error, request, reply) => {
        const text = error instanceof Error ? error.message : String(error);
        return reply.code(400).send({ error: { code: "body_invalid", message: text } });
    });
    registerReadRoutes(server, options);
    registerOrphanedCalls(server, options);
    registerPublishRoutes(server, options);
    server.post("/operator/drain", async () => {
        options.drain();
        return { isDraining: true };
    });
    return server;
}

function registerReadRoutes(server: fastify.FastifyInstance, options: OperatorEndpointOptions): void {
    server.get("/operator/status", async () => createStatus(options));
    server.get("/operator/note", async (request, reply) => {
        const note = options.keeper.tryGetNote();
        return note ?? reply.code(404).send({ error: { code: "not_found", message: "no note is in force" } });
    });
    server.get("/operator/history", async (request, reply) =>
        answers.sendOutcome(reply, await options.publisher.readHistory(), history => ({ history })),
    );
    server.get("/operator/timeline", async request => {
        const filter = TimeLineQuery.parse(request.query);
        return { events: options.telemetry.timeLine.read(filter) };
    });
    server.get("/operator/outcomes-unknown", async (request, reply) =>
        answers.sendOutcome(reply, await options.ledger.listOutcomesUnknown(), calls => ({
            // The result is private to the caller. Operators see the caller, time and place of the call.
            calls: calls.map(call => ({ ...call, result: undefined })),
        })),
    );
}

/**
 * Lists calls whose instance was removed and that haven't been requested since. The next request with the key settles
 * them.
 */
function registerOrphanedCalls(server: fastify.FastifyInstance, options: OperatorEndpointOptions): void {
    server.get("/operator/calls-orphaned", async (request, reply) =>
        answers.sendOutcome(reply, await options.ledger.listOrphaned(), calls => ({
            calls: calls.map(call => ({ ...call, result: undefined })),
        })),
    );
}

function registerPublishRoutes(server: fastify.FastifyInstance, options: OperatorEndpointOptions): void {
    server.post("/operator/check", async request => {
        const body = CheckBody.parse(request.body);
        return release.checkNote(body.source, body.file, options.keeper.tryGetNote()?.fleet);
    });
    server.post("/operator/publish", async (request, reply) => {
        const outcome = await options.publisher.publish(PublishBody.parse(request.body));
        return reply.code(getPublishStatus(outcome.kind)).send(outcome);
    });
}

function getPublishStatus(kind: release.PublishKind): number {
    switch (kind) {
        case release.PublishKind.Published:
            return 200;
        case release.PublishKind.Conflict:
            return 409;
        case release.PublishKind.Invalid:
            return 422;
        case release.PublishKind.Unavailable:
            return 503;
    }
}

function createStatus(options: OperatorEndpointOptions): InstanceStatus {
    return {
        instance: options.instance,
        generation: options.keeper.tryGetNote()?.generation ?? 0,
        isConfirmed: options.keeper.isConfirmed(),
        isDraining: options.isDraining(),
        unreadiness: options.tryGetUnreadiness(),
        inProgress: options.getInProgress(),
        peers: options.peers.getConnectedPeers(),
        instances: options.membership.getLiveInstances(),
        upstreams: options.rollout.getProgress(),
    };
}
