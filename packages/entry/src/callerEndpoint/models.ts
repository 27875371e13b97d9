import type * as fastify from "fastify";
import type * as core from "@boragedale/core";
import * as answers from "./answers.js";
import type * as routeContext from "./routeContext.js";

interface ModelParameters {
    readonly model: string;
}

/** `GET /v1/models` and `GET /v1/models/{model}`: the models and adapters of the release note in force. */
export function registerModels(server: fastify.FastifyInstance, context: routeContext.RouteContext): void {
    server.get("/v1/models", async () => ({ object: "list", data: presentModels(context.getNote()) }));
    server.get<{ Params: ModelParameters }>("/v1/models/:model", async (request, reply) => {
        const model = presentModels(context.getNote()).find(candidate => candidate.id === request.params.model);
        if (model === undefined) {
            return answers.sendRefusal(reply, answers.createNotFoundRefusal("model", request.params.model));
        }
        return model;
    });
}

interface PresentedModel {
    readonly id: string;
    readonly object: "model";
    readonly created: number;
    readonly owned_by: string;
    readonly version: string;
}

function presentModels(note: core.NoteInForce): readonly PresentedModel[] {
    const created = Math.floor(note.publishedAt / 1_000);
    return note.fleet.models
        .flatMap(model => [model, ...model.adapters])
        .map(({ id, version }) => ({ id, object: "model", created, owned_by: "boragedale", version }));
}
