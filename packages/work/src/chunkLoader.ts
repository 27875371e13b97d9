import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import type * as jobProgress from "./jobProgress.js";
import * as codec from "./codec.js";
import * as files from "./files.js";
import * as heldChunk from "./heldChunk.js";
import * as jobRecords from "./jobRecords.js";

export interface ChunkLoaderOptions {
    readonly keyValue: backing.KeyValueService;
    readonly contentStore: files.ContentStore;
    readonly clock: core.Clock;
    readonly signal: AbortSignal;
}

const RetryMilliseconds = 1_000;

/** Loads the lines of a claimed chunk, with retries until the service replies. Lines of a removed input are empty. */
export async function loadChunk(
    chunk: heldChunk.HeldChunk,
    chunkProgress: jobProgress.ChunkProgress | undefined,
    options: ChunkLoaderOptions,
): Promise<void> {
    while (!options.signal.aborted && !chunk.isDropped) {
        const lines = await tryReadLines(chunk, options);
        if (lines !== undefined && !chunk.isDropped) {
            chunk.load(lines, chunkProgress);
            return;
        }
        await options.clock.sleep(RetryMilliseconds, options.signal);
    }
}

async function tryReadLines(
    chunk: heldChunk.HeldChunk,
    options: ChunkLoaderOptions,
): Promise<readonly string[] | undefined> {
    const { caller, inputFile } = chunk.job;
    const entry = await options.keyValue.get(jobRecords.getFileKey(caller, inputFile), backing.CallPurpose.Read);
    if (!entry.ok) {
        return undefined;
    }
    const missing = Array<string>(chunk.range.items).fill("");
    if (entry.value === undefined) {
        return missing;
    }
    const file = codec.decode<jobRecords.FileRecord>(entry.value.value);
    const { start, bytes } = chunk.range;
    try {
        return await heldChunk.readLines(options.contentStore.readRange(file, start, start + bytes));
    }
    catch (error) {
        if (!(error instanceof files.ContentUnavailableError)) {
            throw error;
        }
        return error.isRemoved ? missing : undefined;
    }
}
