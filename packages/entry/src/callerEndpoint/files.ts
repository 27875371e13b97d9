import * as stream from "node:stream";
import type * as multipart from "@fastify/multipart";
import type * as fastify from "fastify";
import * as core from "@boragedale/core";
import type * as work from "@boragedale/work";
import * as answers from "./answers.js";
import type * as routeContext from "./routeContext.js";

interface FileParameters {
    readonly id: string;
}

/** `POST /v1/files`, `GET /v1/files/{id}`, `GET /v1/files/{id}/content`. */
export function registerFiles(server: fastify.FastifyInstance, context: routeContext.RouteContext): void {
    server.post("/v1/files", async (request, reply) => {
        if (!request.isMultipart()) {
            return answers.sendRefusal(reply, answers.createBodyRefusal("multipart/form-data is expected"));
        }
        return answers.sendOutcome(reply, await receiveFile(context, request), presentFile);
    });
    server.get<{ Params: FileParameters }>("/v1/files/:id", async (request, reply) => {
        const outcome = await context.jobs.readFile(context.getCaller(request).id, request.params.id);
        return answers.sendOutcome(reply, outcome, presentFile);
    });
    server.get<{ Params: FileParameters }>("/v1/files/:id/content", async (request, reply) => {
        const outcome = await context.jobs.readContent(context.getCaller(request).id, request.params.id);
        reply.type("application/jsonl");
        return answers.sendOutcome(reply, outcome, content => stream.Readable.from(content, { objectMode: false }));
    });
}

/**
 * Reads the form part by part and streams the file directly into the store. Clients send `purpose` before or after the
 * file, so it is checked at the end.
 */
async function receiveFile(
    context: routeContext.RouteContext,
    request: fastify.FastifyRequest,
): Promise<core.Outcome<work.FileDescription>> {
    let stored: core.Outcome<work.FileDescription> | undefined;
    let purpose = "batch";
    for await (const part of request.parts({ limits: { fileSize: context.fileLimitBytes, files: 1 } })) {
        if (part.type === "field") {
            purpose = part.fieldname === "purpose" ? String(part.value) : purpose;
            continue;
        }
        stored = await storeFile(context, request, part);
        if (!stored.ok) {
            return stored;
        }
    }
    if (purpose !== "batch") {
        return core.createFailure(answers.createBodyRefusal("the only purpose supported is 'batch'"));
    }
    return stored ?? core.createFailure(answers.createBodyRefusal("the form has no file"));
}

async function storeFile(
    context: routeContext.RouteContext,
    request: fastify.FastifyRequest,
    part: multipart.MultipartFile,
): Promise<core.Outcome<work.FileDescription>> {
    const caller = context.getCaller(request).id;
    const stored = await context.jobs.createFile(caller, part.filename, "batch", part.file);
    if (part.file.truncated) {
        return core.createFailure(createTooLargeRefusal(context.fileLimitBytes));
    }
    return stored;
}

function createTooLargeRefusal(limit: number): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.BodyTooLarge,
        message: core.messages.BodyTooLarge,
        values: [limit],
        certainty: core.RunCertainty.NotRun,
    });
}

function presentFile(file: work.FileDescription): object {
    return {
        id: file.id,
        object: "file",
        bytes: file.bytes,
        created_at: Math.floor(file.createdAt / 1_000),
        filename: file.name,
        purpose: file.purpose,
        status: "processed",
    };
}
