import * as zod from "zod";
import * as types from "./types.js";

/**
 * The part of etcd v3's JSON gateway that is used here. Keys and values are in base64, 64-bit integers are text, and
 * members with their default value are omitted. Each response must have a header: without this check, an empty object
 * from a broken load balancer would be read as "the key is absent" or "another write won".
 */

const integer = zod.string().regex(/^\d+$/);
const header = zod.object({ revision: integer.optional() });
const keyValue = zod.object({
    key: zod.string().optional(),
    value: zod.string().optional(),
    mod_revision: integer.optional(),
});
const keyValues = zod.array(keyValue).optional();
const answer = zod.object({ response_range: zod.object({ kvs: keyValues }).optional() });
const watchEvent = zod.object({ type: zod.string().optional(), kv: keyValue.optional() });

export const RangeResponse = zod.object({ header, kvs: keyValues });
export const TransactionResponse = zod.object({
    header,
    succeeded: zod.boolean().optional(),
    responses: zod.array(answer).optional(),
});
export const GrantResponse = zod.object({ header, ID: integer });
export const KeepAliveResponse = zod.object({ result: zod.object({ header, TTL: integer.optional() }) });
export const RevokeResponse = zod.object({ header });
export const WatchResponse = zod.object({
    result: zod.object({
        header,
        canceled: zod.boolean().optional(),
        compact_revision: integer.optional(),
        events: zod.array(watchEvent).optional(),
    }),
});

/** One line of a watch's response. */
export type WatchResult = zod.infer<typeof WatchResponse>["result"];

export function encodeText(text: string): string {
    return Buffer.from(text).toString("base64");
}

export function parseEntry(found: zod.infer<typeof keyValue>): types.Entry {
    return {
        key: Buffer.from(found.key ?? "", "base64").toString(),
        value: Buffer.from(found.value ?? "", "base64"),
        revision: Number(found.mod_revision ?? 0),
    };
}

export function parseEntries(response: zod.infer<typeof RangeResponse>): readonly types.Entry[] {
    return (response.kvs ?? []).map(parseEntry);
}

/** The range of all keys with `prefix`: from the prefix to the first key after them. NUL means no upper bound. */
export function createPrefixRange(prefix: string): { readonly key: string; readonly range_end: string } {
    if (prefix === "") {
        return { key: encodeText("\0"), range_end: encodeText("\0") };
    }
    return { key: encodeText(prefix), range_end: encodePrefixEnd(prefix) };
}

export function encodePrefixEnd(prefix: string): string {
    const bytes = Buffer.from(prefix);
    for (let index = bytes.length - 1; index >= 0; index--) {
        const byte = bytes[index] ?? 0;
        if (byte < 0xff) {
            bytes[index] = byte + 1;
            return bytes.subarray(0, index + 1).toString("base64");
        }
    }
    return encodeText("\0");
}

/** Compares the key's revision, then puts or deletes the key; returns the current entry if the comparison fails. */
export function createTransaction(request: types.SwapRequest): unknown {
    const key = encodeText(request.key);
    const put = {
        key,
        value: encodeBytes(request.value),
        ...(request.lease === undefined ? {} : { lease: request.lease }),
    };
    return {
        compare: [{ key, target: "MOD", result: "EQUAL", mod_revision: String(request.expectedRevision) }],
        success: [request.value === undefined ? { request_delete_range: { key } } : { request_put: put }],
        failure: [{ request_range: { key } }],
    };
}

export function parseTransaction(response: zod.infer<typeof TransactionResponse>): types.SwapOutcome {
    if (response.succeeded === true) {
        return { swapped: true, revision: Number(response.header.revision ?? 0) };
    }
    const current = response.responses?.[0]?.response_range?.kvs?.[0];
    return { swapped: false, current: current === undefined ? undefined : parseEntry(current) };
}

/** The events of one line of a watch's response, in order. */
export function parseWatchEvents(response: WatchResult): readonly types.WatchEvent[] {
    return (response.events ?? []).map(event => {
        const entry = parseEntry(event.kv ?? {});
        return event.type === "DELETE"
            ? { kind: types.WatchEventKind.Removed, key: entry.key, revision: entry.revision }
            : { kind: types.WatchEventKind.Changed, entry };
    });
}

function encodeBytes(value: Uint8Array | undefined): string {
    return value === undefined ? "" : Buffer.from(value).toString("base64");
}
