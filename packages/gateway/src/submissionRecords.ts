import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import * as msgpackr from "msgpackr";
import * as zod from "zod";
import * as types from "./types.js";

/**
 * The head of a submission. The metadata store holds four kinds of records for a submission:
 *
 * - the head, which is small and written with every change; its revision is the fencing number between owners;
 * - the items, in parts, written once together with the head before the submission is acknowledged;
 * - segments of results, each written once, in the transaction that lists it in the head;
 * - the progress of the items that have no result yet, overwritten repeatedly and removed with the last result.
 */
export interface SubmissionHead {
    /** Id of the member that runs the submission. */
    readonly owner: core.InstanceId;
    /** Unique for each write, so that a member can recognize its own write if the store's answer was lost. */
    readonly nonce: string;
    readonly host: string;
    /** Path to which the submission was sent. It determines the route in each configuration. */
    readonly target: string;
    readonly acceptedAt: core.WallMilliseconds;
    readonly itemCount: number;
    readonly itemParts: number;
    /** Position of the first result of each segment. The next segment starts at `listed`. */
    readonly segments: readonly number[];
    /** Number of results in the segments. */
    readonly listed: number;
    readonly isEnded: boolean;
    /** Failed attempts by item index. Stored so that a new owner continues the count. */
    readonly failures: readonly (readonly [item: number, count: number])[];
    /** Whether a progress record exists. */
    readonly hasProgress: boolean;
    /** Name of the customer; undefined if the route needed no key. */
    readonly customer?: string | undefined;
}

/** The service whose upstreams sent an item's events so far, and their software version. */
export type ItemOrigin = readonly [service: string, softwareVersion: string];

/** Index of an item, id of its last event, and the data and origin of its events so far. Earlier versions stored no origin. */
export type ItemProgress = readonly [
    item: number,
    lastEventId: number,
    texts: readonly string[],
    origin?: ItemOrigin | undefined,
];

const HeadSchema = zod.object({
    owner: zod.string(),
    nonce: zod.string(),
    host: zod.string(),
    target: zod.string(),
    acceptedAt: zod.number(),
    itemCount: zod.number(),
    itemParts: zod.number(),
    segments: zod.array(zod.number()),
    listed: zod.number(),
    isEnded: zod.boolean(),
    failures: zod.array(zod.tuple([zod.number(), zod.number()])),
    // Missing in heads that an earlier version wrote. During a rolling upgrade, such submissions must remain readable.
    hasProgress: zod.boolean().default(false),
    customer: zod.string().optional(),
});

const OriginSchema = zod.tuple([zod.string(), zod.string()]);

const ProgressSchema = zod.array(
    zod.tuple([zod.number(), zod.number(), zod.array(zod.string()), OriginSchema.optional()]),
);

const ItemSchema = zod.object({
    id: zod.string(),
    target: zod.string(),
    headers: zod.array(zod.tuple([zod.string(), zod.string()])),
    body: zod.instanceof(Uint8Array),
    tokens: zod.number(),
});

const ResultSchema = zod.object({ id: zod.string(), state: zod.enum(types.ResultState), text: zod.string() });

/** Prefix of the heads only, so that a scan for submissions without an owner reads no items and results. */
export const HeadPrefix = "boragedale/head/";
const ItemsPrefix = "boragedale/items/";
const ResultsPrefix = "boragedale/results/";
const ProgressPrefix = "boragedale/progress/";

/** Maximum size of a scoped submission id. Keys in the store are limited to 200 bytes. */
export const MaximumIdBytes = 120;

/** Separates the customer's part of a scoped id from the caller's id. It can't occur in a header, so no caller's id contains it. */
const ScopeSeparator = "\u001f";
const ScopeLength = 16;

/**
 * Creates the id under which a customer's submission is stored. If two customers use the same id, they have separate submissions:
 * neither can read or end the other's, or detect that it exists.
 */
export function scopeId(id: string, customer: string | undefined): string {
    return customer === undefined ? id : customers.digestKey(customer).slice(0, ScopeLength) + ScopeSeparator + id;
}

/** Whether the id can come from a caller, as opposed to a scoped id. */
export function isCallerId(id: string): boolean {
    return !id.includes(ScopeSeparator);
}

export function getHeadKey(submission: string): string {
    return HeadPrefix + encodeURIComponent(submission);
}

export function readHeadKey(key: string): string {
    return decodeURIComponent(key.slice(HeadPrefix.length));
}

export function getItemsKey(submission: string, part: number): string {
    return `${ItemsPrefix}${encodeURIComponent(submission)}/${part}`;
}

export function getResultsKey(submission: string, first: number): string {
    return `${ResultsPrefix}${encodeURIComponent(submission)}/${first}`;
}

export function getProgressKey(submission: string): string {
    return ProgressPrefix + encodeURIComponent(submission);
}

const packer = new msgpackr.Packr({ useRecords: false });

export function encodeHead(head: SubmissionHead): Uint8Array {
    return packer.pack(head);
}

export function tryDecodeHead(value: Uint8Array): SubmissionHead | undefined {
    return tryDecode(HeadSchema, value);
}

/** Encodes items in parts of about `limit` bytes. Returns undefined if a single item is larger. */
export function tryEncodeItems(items: readonly types.BatchItem[], limit: number): Uint8Array[] | undefined {
    const parts: types.BatchItem[][] = [[]];
    let bytes = 0;
    for (const item of items) {
        const size = packer.pack(item).length;
        if (size > limit) {
            return undefined;
        }
        if (bytes + size > limit) {
            parts.push([]);
            bytes = 0;
        }
        parts.at(-1)?.push(item);
        bytes += size;
    }
    return parts.map(part => packer.pack(part));
}

export function encodeItems(items: readonly types.BatchItem[]): Uint8Array {
    return packer.pack(items);
}

export function tryDecodeItems(value: Uint8Array): readonly types.BatchItem[] | undefined {
    return tryDecode(zod.array(ItemSchema), value);
}

export function encodeResults(results: readonly types.BatchResult[]): Uint8Array {
    return packer.pack(results);
}

export function tryDecodeResults(value: Uint8Array): readonly types.BatchResult[] | undefined {
    return tryDecode(zod.array(ResultSchema), value);
}

export function encodeProgress(progress: readonly ItemProgress[]): Uint8Array {
    return packer.pack(progress);
}

export function tryDecodeProgress(value: Uint8Array): readonly ItemProgress[] | undefined {
    return tryDecode(ProgressSchema, value);
}

function tryDecode<T>(schema: zod.ZodType<T>, value: Uint8Array): T | undefined {
    try {
        const parsed = schema.safeParse(packer.unpack(value));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        // Callers report the error. An unreadable record must not be treated as absent.
        return undefined;
    }
}
