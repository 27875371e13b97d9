import * as codec from "./codec.js";
import type * as types from "./types.js";

/** The results of some items: lines of the job's output and error files, in the format of OpenAI's batch files. */
export interface ResultSegment {
    readonly output: Uint8Array;
    readonly errors: Uint8Array;
}

export interface FailedItem {
    readonly code: string;
    readonly text: string;
}

/** Formats a line of the output file. */
export function formatSucceeded(job: string, item: types.JobItem, status: number, body: unknown): Uint8Array {
    const id = getRequestId(job, item);
    const response = { status_code: status, request_id: id, body };
    const parts = [
        `"id":${JSON.stringify(id)}`,
        `"custom_id":${JSON.stringify(item.customId)}`,
        `"response":${JSON.stringify(response)}`,
        `"error":null`,
    ];
    return Buffer.from(`{${parts.join(",")}}\n`);
}

/** Formats a line of the error file. */
export function formatFailed(job: string, item: types.JobItem, failure: FailedItem): Uint8Array {
    const parts = [
        `"id":${JSON.stringify(getRequestId(job, item))}`,
        `"custom_id":${JSON.stringify(item.customId)}`,
        `"response":null`,
        `"error":${JSON.stringify({ code: failure.code, message: failure.text })}`,
    ];
    return Buffer.from(`{${parts.join(",")}}\n`);
}

export async function encodeSegment(segment: ResultSegment): Promise<Uint8Array> {
    return codec.compress(codec.encode(segment));
}

export async function decodeSegment(bytes: Uint8Array): Promise<ResultSegment> {
    return codec.decode<ResultSegment>(await codec.decompress(bytes));
}

function getRequestId(job: string, item: types.JobItem): string {
    return `${job}-${item.index}`;
}
