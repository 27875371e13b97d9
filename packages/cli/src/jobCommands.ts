import * as fileSystem from "node:fs";
import * as path from "node:path";
import * as stream from "node:stream/promises";
import * as core from "@boragedale/core";
import * as client from "./client.js";
import * as exitCodes from "./exitCodes.js";
import * as operatorCommands from "./operatorCommands.js";
import * as output from "./output.js";

export interface CallerContext {
    readonly url: string;
    readonly token: string;
    readonly isJson: boolean;
}

export interface SubmitOptions {
    readonly key: string | undefined;
    readonly window: string | undefined;
    readonly endpoint: string;
}

interface Batch {
    readonly id: string;
    readonly status: string;
    readonly output_file_id: string;
    readonly error_file_id: string;
    readonly request_counts: { readonly total: number; readonly completed: number; readonly failed: number };
}

/** `jobs submit FILE`: uploads the file and creates a batch job from it. */
export async function submit(
    context: CallerContext,
    file: string,
    options: SubmitOptions,
): Promise<exitCodes.ExitCode> {
    const callerEndpoint = new client.EndpointClient(context.url, context.token);
    const blob = await tryOpenBlob(file);
    if (blob === undefined) {
        return exitCodes.ExitCode.Usage;
    }
    const uploaded = await callerEndpoint.upload<{ readonly id: string }>("/v1/files", blob, path.basename(file));
    if (!uploaded.ok) {
        return operatorCommands.reportFailure(uploaded);
    }
    const headers: Record<string, string> = options.key === undefined ? {} : { "idempotency-key": options.key };
    const body = {
        input_file_id: uploaded.body.id,
        endpoint: options.endpoint,
        completion_window: options.window,
    };
    return printBatch(context, await callerEndpoint.post<Batch>("/v1/batches", body, headers));
}

/** `jobs list`: prints up to 100 jobs. */
export async function list(context: CallerContext): Promise<exitCodes.ExitCode> {
    const callerEndpoint = new client.EndpointClient(context.url, context.token);
    const answer = await callerEndpoint.get<{ readonly data: readonly Batch[] }>("/v1/batches?limit=100");
    if (!answer.ok) {
        return operatorCommands.reportFailure(answer);
    }
    output.print(context.isJson, answer.body.data, () => formatBatches(answer.body.data));
    return exitCodes.ExitCode.Success;
}

/** `jobs show ID`: prints one job. */
export async function show(context: CallerContext, id: string): Promise<exitCodes.ExitCode> {
    const callerEndpoint = new client.EndpointClient(context.url, context.token);
    return printBatch(context, await callerEndpoint.get<Batch>(`/v1/batches/${encodeURIComponent(id)}`));
}

/** `jobs cancel ID`: cancels a job and prints it. */
export async function cancel(context: CallerContext, id: string): Promise<exitCodes.ExitCode> {
    const callerEndpoint = new client.EndpointClient(context.url, context.token);
    return printBatch(context, await callerEndpoint.post<Batch>(`/v1/batches/${encodeURIComponent(id)}/cancel`, {}));
}

/** `jobs results ID`: writes the output file, or with `isErrorFile` the error file, to standard output. */
export async function results(context: CallerContext, id: string, isErrorFile: boolean): Promise<exitCodes.ExitCode> {
    const callerEndpoint = new client.EndpointClient(context.url, context.token);
    const file = `${id}-${isErrorFile ? "errors" : "output"}`;
    const answer = await callerEndpoint.download(`/v1/files/${encodeURIComponent(file)}/content`);
    if (!answer.ok) {
        return operatorCommands.reportFailure(answer);
    }
    await stream.pipeline(answer.body, process.stdout, { end: false });
    return exitCodes.ExitCode.Success;
}

async function tryOpenBlob(file: string): Promise<Blob | undefined> {
    try {
        return await fileSystem.openAsBlob(file);
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        output.printError(core.messages.formatMessage(core.messages.FileUnreadable, file, reason));
        return undefined;
    }
}

function printBatch(context: CallerContext, answer: client.ClientResult<Batch>): exitCodes.ExitCode {
    if (!answer.ok) {
        return operatorCommands.reportFailure(answer);
    }
    output.print(context.isJson, answer.body, () => formatBatches([answer.body]));
    return exitCodes.ExitCode.Success;
}

function formatBatches(batches: readonly Batch[]): string {
    const rows = batches.map(batch => [
        batch.id,
        batch.status,
        String(batch.request_counts.total),
        String(batch.request_counts.completed),
        String(batch.request_counts.failed),
    ]);
    return output.formatTable(["job", "status", "items", "completed", "failed"], rows);
}
