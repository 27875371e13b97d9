import type * as fastify from "fastify";
import * as zod from "zod";
import type * as core from "@boragedale/core";
import * as work from "@boragedale/work";
import * as answers from "./answers.js";
import type * as routeContext from "./routeContext.js";

const BatchBody = zod.looseObject({
    input_file_id: zod.string().min(1),
    endpoint: zod.string().min(1),
    completion_window: zod
        .string()
        .regex(/^\d+[hms]$/, "such as 24h, 30m or 90s")
        .optional(),
    metadata: zod.record(zod.string(), zod.string()).optional(),
});

const ListQuery = zod.object({
    after: zod.string().optional(),
    limit: zod.coerce.number().int().min(1).max(100).default(20),
});

const UnitMilliseconds: Readonly<Record<string, number>> = { h: 3_600_000, m: 60_000, s: 1_000 };

interface BatchParameters {
    readonly id: string;
}

/** `POST /v1/batches`, `GET /v1/batches`, `GET /v1/batches/{id}`, `POST /v1/batches/{id}/cancel`. */
export function registerBatches(server: fastify.FastifyInstance, context: routeContext.RouteContext): void {
    server.post("/v1/batches", async (request, reply) => {
        const parsed = BatchBody.safeParse(request.body);
        if (!parsed.success) {
            return answers.sendRefusal(reply, answers.createBodyRefusal(zod.prettifyError(parsed.error)));
        }
        const note = context.getNote();
        const outcome = await context.jobs.submit({
            caller: context.getCaller(request).id,
            key: getSubmitKey(context, request),
            inputFile: parsed.data.input_file_id,
            endpoint: parsed.data.endpoint,
            generation: note.generation,
            deadlineMilliseconds: getWindow(parsed.data.completion_window, note),
            metadata: parsed.data.metadata,
        });
        return answers.sendOutcome(reply, outcome, presentBatch);
    });
    server.get("/v1/batches", async (request, reply) => {
        const query = ListQuery.safeParse(request.query);
        if (!query.success) {
            return answers.sendRefusal(reply, answers.createBodyRefusal(zod.prettifyError(query.error)));
        }
        const caller = context.getCaller(request).id;
        // Read one more than requested to know whether there is another page.
        const outcome = await context.jobs.list(caller, query.data.after, query.data.limit + 1);
        return answers.sendOutcome(reply, outcome, jobs => presentList(jobs, query.data.limit));
    });
    server.get<{ Params: BatchParameters }>("/v1/batches/:id", async (request, reply) => {
        const outcome = await context.jobs.read(context.getCaller(request).id, request.params.id);
        return answers.sendOutcome(reply, outcome, presentBatch);
    });
    server.post<{ Params: BatchParameters }>("/v1/batches/:id/cancel", async (request, reply) => {
        const outcome = await context.jobs.cancel(context.getCaller(request).id, request.params.id);
        return answers.sendOutcome(reply, outcome, presentBatch);
    });
}

/** A submission without a key gets a generated one. A client that sends it again then creates a second job. */
function getSubmitKey(context: routeContext.RouteContext, request: fastify.FastifyRequest): string {
    const given = request.headers["idempotency-key"];
    return typeof given === "string" && given !== "" ? given : context.createId("submit");
}

function getWindow(window: string | undefined, note: core.NoteInForce): number {
    if (window === undefined) {
        return note.fleet.policy.batchDeadlineMilliseconds;
    }
    return Number(window.slice(0, -1)) * (UnitMilliseconds[window.slice(-1)] ?? 1_000);
}

function presentList(jobs: readonly work.JobDescription[], limit: number): object {
    const page = jobs.slice(0, limit);
    return {
        object: "list",
        data: page.map(presentBatch),
        first_id: page[0]?.id,
        last_id: page.at(-1)?.id,
        has_more: jobs.length > limit,
    };
}

/** Creates OpenAI's batch object. Output and error files can be read while the job runs. */
export function presentBatch(job: work.JobDescription): object {
    const endedAt = job.endedAt === undefined ? undefined : Math.floor(job.endedAt / 1_000);
    return {
        id: job.id,
        object: "batch",
        endpoint: job.endpoint,
        input_file_id: job.inputFile,
        output_file_id: `${job.id}-output`,
        error_file_id: `${job.id}-errors`,
        completion_window: `${Math.round((job.deadlineAt - job.createdAt) / 1_000)}s`,
        status: getBatchStatus(job.state),
        created_at: Math.floor(job.createdAt / 1_000),
        expires_at: Math.floor(job.deadlineAt / 1_000),
        completed_at: job.state === work.JobState.Finished ? endedAt : undefined,
        cancelled_at: job.state === work.JobState.Cancelled ? endedAt : undefined,
        expired_at: job.state === work.JobState.Expired ? endedAt : undefined,
        request_counts: { total: job.counts.total, completed: job.counts.succeeded, failed: job.counts.failed },
        metadata: job.metadata,
        release_note_generation: job.generation,
    };
}

function getBatchStatus(state: work.JobState): string {
    switch (state) {
        case work.JobState.Running:
            return "in_progress";
        case work.JobState.Cancelling:
            return "cancelling";
        case work.JobState.Cancelled:
            return "cancelled";
        case work.JobState.Finished:
            return "completed";
        case work.JobState.Expired:
            return "expired";
    }
}
