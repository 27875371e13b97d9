import * as zlib from "node:zlib";
import * as core from "@boragedale/core";
import * as zod from "zod";
import type * as types from "./types.js";

/** The key of the note in force. A note comes into force by a compare-and-swap on this key. */
export const CurrentNoteKey = "note/current";

const HistoryPrefix = "note/history/";
const GenerationDigits = 12;

/** Limit of a decompressed note, in bytes. Without it a damaged value could exhaust the memory of every instance. */
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
                    settleMilliseconds: zod.number().optional(),
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

/** A history entry as it is stored, with the note's source and nonce. */
export interface HistoryRecord extends types.HistoryEntry {
    readonly source: string;
    readonly nonce: string;
}

/**
 * Returns the key of a generation's history record. The number is padded, so that the service lists the keys in the
 * order of the generations.
 */
export function getHistoryKey(generation: core.Generation): string {
    return HistoryPrefix + String(generation).padStart(GenerationDigits, "0");
}

export function getHistoryPrefix(): string {
    return HistoryPrefix;
}

/**
 * Serializes and compresses a note. Uncompressed, a note with thousands of callers and their token hashes would exceed
 * the size of one value.
 */
export function encodeNote(note: core.NoteInForce): Uint8Array {
    return pack(note);
}

/** Returns undefined for a value that is damaged or doesn't match the schema. */
export function tryDecodeNote(value: Uint8Array): core.NoteInForce | undefined {
    return tryParse(value, NoteInForceSchema);
}

export function encodeHistory(record: HistoryRecord): Uint8Array {
    return pack(record);
}

export function tryDecodeHistory(value: Uint8Array): HistoryRecord | undefined {
    return tryParse(value, HistorySchema);
}

/** Validates the note in a peer's reply. A peer that runs another version may send a note of another shape. */
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
