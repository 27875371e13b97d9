import * as crypto from "node:crypto";
import type * as types from "./types.js";

/** Validation of a job's input file: one JSON object per line, in the format of OpenAI's batch files. */

export interface CheckedInput {
    readonly total: number;
    readonly chunkItems: readonly number[];
    readonly chunkBytes: readonly number[];
}

export interface InputFinding {
    /** Line number, starting at 1. */
    readonly line: number;
    readonly text: string;
}

export type InputCheck =
    | { readonly ok: true; readonly input: CheckedInput }
    | { readonly ok: false; readonly findings: readonly InputFinding[] };

export interface Line {
    readonly text: string;
    /** Size of the line including its line break. */
    readonly bytes: number;
}

/**
 * Limits of one chunk. The number of items limits what may have to be generated again after a takeover, bytes limit the
 * memory of a holder, and work (the requested tokens) limits how long one instance holds a chunk of long items.
 */
const SmallChunk = { items: 200, bytes: 256_000, work: 200_000 };
const LargeChunkItems = 1_000;
const LargeChunkBytes = 1_000_000;
const LargeChunkWork = 1_000_000;
/** Number of small chunks from which chunks are merged, so that many instances can share a medium-sized job. */
const MinimumChunksToMerge = 64;
const DefaultItemTokens = 256;
const MaximumFindings = 20;

/** Validates the whole input in one pass with bounded memory, and divides it into chunks. */
export async function checkInput(content: AsyncIterable<Uint8Array>, endpoint: string): Promise<InputCheck> {
    const findings: InputFinding[] = [];
    const chunks: MutableChunk[] = [];
    const customIds = new Set<number>();
    let total = 0;
    let lineNumber = 0;
    for await (const line of splitLines(content)) {
        lineNumber++;
        const isBlank = line.text.trim() === "";
        const item = isBlank ? undefined : parseItem(line.text, total, endpoint);
        if (typeof item === "string") {
            addFinding(findings, lineNumber, item);
        }
        else if (item !== undefined && !addCustomId(customIds, item.customId)) {
            addFinding(findings, lineNumber, `custom_id '${item.customId}' was used before`);
        }
        total += isBlank ? 0 : 1;
        addToChunks(chunks, line.bytes, isBlank ? 0 : 1, typeof item === "object" ? estimateTokens(item) : 0);
    }
    if (total === 0) {
        addFinding(findings, 1, "there is no request in the file");
    }
    return findings.length > 0 ? { ok: false, findings } : { ok: true, input: createInput(total, chunks) };
}

/** Parses one line. Returns an error text if the line is invalid. */
export function parseItem(text: string, index: number, endpoint: string): types.JobItem | string {
    const value = tryParse(text);
    if (typeof value !== "object" || !value) {
        return "it is not a JSON object";
    }
    const { custom_id: customId, method, url, body } = value as Record<string, unknown>;
    if (typeof customId !== "string" || customId === "") {
        return "custom_id must be a text";
    }
    if (typeof method !== "string") {
        return "method must be a text";
    }
    if (url !== endpoint) {
        return `url must be the job's endpoint, '${endpoint}'`;
    }
    if (typeof body !== "object" || !body) {
        return "body must be an object";
    }
    return { index, customId, method, url: endpoint, body };
}

/** Splits content into lines, with the size of each line in the file. Memory holds one line and one piece. */
export async function* splitLines(content: AsyncIterable<Uint8Array>): AsyncIterable<Line> {
    let pendingParts: Uint8Array[] = [];
    for await (const piece of content) {
        let start = 0;
        for (let end = piece.indexOf(10); end >= 0; end = piece.indexOf(10, start)) {
            pendingParts.push(piece.subarray(start, end + 1));
            yield createLine(pendingParts);
            pendingParts = [];
            start = end + 1;
        }
        if (start < piece.byteLength) {
            pendingParts.push(piece.subarray(start));
        }
    }
    if (pendingParts.length > 0) {
        yield createLine(pendingParts);
    }
}

interface MutableChunk {
    items: number;
    bytes: number;
    work: number;
}

function createLine(parts: readonly Uint8Array[]): Line {
    const bytes = parts.length === 1 ? (parts[0] as Uint8Array) : Buffer.concat(parts);
    const end = bytes.at(-1) === 10 ? bytes.byteLength - 1 : bytes.byteLength;
    return { text: Buffer.from(bytes.buffer, bytes.byteOffset, end).toString("utf8"), bytes: bytes.byteLength };
}

function tryParse(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

function addFinding(findings: InputFinding[], line: number, text: string): void {
    if (findings.length < MaximumFindings) {
        findings.push({ line, text });
    }
}

/**
 * Adds an id and returns whether it is new. Stores 52 bits of a hash per id: 380,000 ids as strings would take more
 * memory than the rest of the validation.
 */
function addCustomId(seen: Set<number>, customId: string): boolean {
    const digest = crypto.createHash("sha1").update(customId).digest();
    const hash = digest.readUInt32BE(0) * 0x10_0000 + (digest.readUInt32BE(4) >>> 12);
    const size = seen.size;
    return seen.add(hash).size > size;
}

function estimateTokens(item: types.JobItem): number {
    const body = item.body as Readonly<Record<string, unknown>>;
    const tokens = body["max_completion_tokens"] ?? body["max_tokens"];
    return typeof tokens === "number" && tokens > 0 ? tokens : DefaultItemTokens;
}

function addToChunks(chunks: MutableChunk[], bytes: number, items: number, work: number): void {
    const last = chunks.at(-1);
    const isFull =
        last === undefined ||
        last.items + items > SmallChunk.items ||
        last.bytes + bytes > SmallChunk.bytes ||
        last.work + work > SmallChunk.work;
    if (isFull) {
        chunks.push({ items, bytes, work });
        return;
    }
    last.items += items;
    last.bytes += bytes;
    last.work += work;
}

/** Merges neighbouring chunks in large jobs: each chunk costs writes, and large jobs have enough to distribute. */
function createInput(total: number, chunks: readonly MutableChunk[]): CheckedInput {
    const wantedItems = Math.min(LargeChunkItems, Math.max(SmallChunk.items, Math.floor(total / MinimumChunksToMerge)));
    const mergedChunks: MutableChunk[] = [];
    for (const chunk of chunks) {
        const last = mergedChunks.at(-1);
        const fits =
            last !== undefined &&
            last.items + chunk.items <= wantedItems &&
            last.bytes + chunk.bytes <= LargeChunkBytes &&
            last.work + chunk.work <= LargeChunkWork;
        if (fits) {
            last.items += chunk.items;
            last.bytes += chunk.bytes;
            last.work += chunk.work;
        }
        else {
            mergedChunks.push({ ...chunk });
        }
    }
    return {
        total,
        chunkItems: mergedChunks.map(chunk => chunk.items),
        chunkBytes: mergedChunks.map(chunk => chunk.bytes),
    };
}
