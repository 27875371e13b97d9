import * as crypto from "node:crypto";
import type * as types from "./types.js";

/** The input file of a job: one JSON object a line, in the shape of OpenAI's batch files. */

export interface CheckedInput {
    readonly total: number;
    readonly chunkItems: readonly number[];
    readonly chunkBytes: readonly number[];
}

export interface InputFinding {
    /** Counted from 1. */
    readonly line: number;
    readonly text: string;
}

export type InputCheck =
    | { readonly ok: true; readonly input: CheckedInput }
    | { readonly ok: false; readonly findings: readonly InputFinding[] };

export interface Line {
    readonly text: string;
    /** Bytes of the line with its end. */
    readonly bytes: number;
}

/**
 * Limits of one chunk. Items bound what a takeover may have to generate again, bytes the memory of a holder, work
 * (the tokens asked for) the time for which one instance keeps a chunk of long items.
 */
const SmallChunk = { items: 200, bytes: 256_000, work: 200_000 };
const LargeChunkItems = 1_000;
const LargeChunkBytes = 1_000_000;
const LargeChunkWork = 1_000_000;
/** Chunks that a job is cut into before they are made larger, so that many instances can work on a middling job. */
const SpreadChunks = 64;
const DefaultItemWork = 256;
const MaximumFindings = 20;

/** Reads the whole input once, in bounded memory, and cuts it into chunks. */
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
        addToChunks(chunks, line.bytes, isBlank ? 0 : 1, typeof item === "object" ? estimateWork(item) : 0);
    }
    if (total === 0) {
        addFinding(findings, 1, "there is no request in the file");
    }
    return findings.length > 0 ? { ok: false, findings } : { ok: true, input: createInput(total, chunks) };
}

/** Parses one line; a text tells what is wrong with it. */
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

/** Lines with the number of bytes that each takes in the file. Holds one line and one piece. */
export async function* splitLines(content: AsyncIterable<Uint8Array>): AsyncIterable<Line> {
    let waiting: Uint8Array[] = [];
    for await (const piece of content) {
        let start = 0;
        for (let end = piece.indexOf(10); end >= 0; end = piece.indexOf(10, start)) {
            waiting.push(piece.subarray(start, end + 1));
            yield createLine(waiting);
            waiting = [];
            start = end + 1;
        }
        if (start < piece.byteLength) {
            waiting.push(piece.subarray(start));
        }
    }
    if (waiting.length > 0) {
        yield createLine(waiting);
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

/** Remembers 52 bits of a hash for each id: 380,000 ids as texts would take more memory than the rest of the check. */
function addCustomId(seen: Set<number>, customId: string): boolean {
    const digest = crypto.createHash("sha1").update(customId).digest();
    const hash = digest.readUInt32BE(0) * 0x10_0000 + (digest.readUInt32BE(4) >>> 12);
    const size = seen.size;
    return seen.add(hash).size > size;
}

function estimateWork(item: types.JobItem): number {
    const body = item.body as Readonly<Record<string, unknown>>;
    const tokens = body["max_completion_tokens"] ?? body["max_tokens"];
    return typeof tokens === "number" && tokens > 0 ? tokens : DefaultItemWork;
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

/** Joins neighbours in large jobs: each chunk costs writes, and a large job has enough of them to spread. */
function createInput(total: number, chunks: readonly MutableChunk[]): CheckedInput {
    const wantedItems = Math.min(LargeChunkItems, Math.max(SmallChunk.items, Math.floor(total / SpreadChunks)));
    const joined: MutableChunk[] = [];
    for (const chunk of chunks) {
        const last = joined.at(-1);
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
            joined.push({ ...chunk });
        }
    }
    return { total, chunkItems: joined.map(chunk => chunk.items), chunkBytes: joined.map(chunk => chunk.bytes) };
}
