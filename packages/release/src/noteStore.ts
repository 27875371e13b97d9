import * as zlib from "node:zlib";
import * as core from "@boragedale/core";
import * as zod from "zod";
import type * as types from "./types.js";

/** The one key whose compare-and-swap decides which note is in force. */
export const CurrentNoteKey = "note/current";

const HistoryPrefix = "note/history/";
const GenerationDigits = 12;

/** Most bytes that a stored note may unpack to; a damaged value must not exhaust the memory of every instance. */
const MaximumUnpackedBytes = 16_000_000;

const FleetSchema = zod.object({
    models: zod.array(
        zod.object({
            id: zod.string(),
            version: zod.string(),
            adapters: zod.array(zod.object({ id: zod.string(), version: zod.string() })),
            onlineFloor: zod.number(),
            batchFloor: zod.number(),
        }),
    ),
    upstreams: zod.array(
        zod.object({
            id: zod.string(),
            kind: zod.enum(core.UpstreamKind),
            url: zod.string(),
            dataCentre: zod.string(),
            role: zod.enum(core.UpstreamRole),
            models: zod.array(zod.string()),
            checksFencing: zod.boolean(),
            concurrency: zod.number(),
            isLeaving: zod.boolean(),
        }),
    ),
    services: zod.array(
        zod.object({
            id: zod.string(),
            upstreams: zod.array(zod.string()),
            routes: zod.array(
                zod.object({
                    method: zod.string(),
                    path: zod.string(),
                    safety: zod.enum(core.CallSafety),
                    askPath: zod.string().optional(),
                }),
            ),
        }),
    ),
    callers: zod.array(zod.object({ id: zod.string(), tokenHash: zod.string(), weight: zod.number() })),
    weightStore: zod.object({ concurrentLoads: zod.number() }),
    policy: zod.object({
        batchWeight: zod.number(),
        retentionMilliseconds: zod.number(),
        onlineDeadlineMilliseconds: zod.number(),
        batchDeadlineMilliseconds: zod.number(),
        itemAttempts: zod.number(),
    }),
});

const NoteInForceSchema = zod.object({
    generation: zod.int().min(1),
    fleet: FleetSchema,
    source: zod.string(),
    author: zod.string(),
    publishedAt: zod.number(),
    nonce: zod.string(),
});

const HistorySchema = zod.object({
    generation: zod.int().min(1),
    author: zod.string(),
    publishedAt: zod.number(),
    differences: zod.array(zod.string()),
    reachedAt: zod.number().optional(),
    source: zod.string(),
    nonce: zod.string(),
});

/** What is kept of a note once another one has replaced it. */
export interface HistoryRecord extends types.HistoryEntry {
    readonly source: string;
    readonly nonce: string;
}

/** Key of one generation's record; padded, so that the service's byte order is the order of the generations. */
export function getHistoryKey(generation: core.Generation): string {
    return HistoryPrefix + String(generation).padStart(GenerationDigits, "0");
}

export function getHistoryPrefix(): string {
    return HistoryPrefix;
}

/** Packs a note. Thousands of callers with their token hashes would not fit one value as plain text. */
export function encodeNote(note: core.NoteInForce): Uint8Array {
    return pack(note);
}

/** Returns undefined for a value that is damaged or of another shape. */
export function tryDecodeNote(value: Uint8Array): core.NoteInForce | undefined {
    return tryParse(value, NoteInForceSchema);
}

export function encodeHistory(record: HistoryRecord): Uint8Array {
    return pack(record);
}

export function tryDecodeHistory(value: Uint8Array): HistoryRecord | undefined {
    return tryParse(value, HistorySchema);
}

/** The note of a peer's reply, checked like a stored one: a peer of another version may send another shape. */
export function tryReadNote(value: unknown): core.NoteInForce | undefined {
    return NoteInForceSchema.safeParse(value).data;
}

function pack(value: unknown): Uint8Array {
    return zlib.deflateRawSync(Buffer.from(JSON.stringify(value)));
}

function tryParse<T>(value: Uint8Array, schema: zod.ZodType<T>): T | undefined {
    try {
        const text = zlib.inflateRawSync(value, { maxOutputLength: MaximumUnpackedBytes }).toString("utf8");
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}
