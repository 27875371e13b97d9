import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import * as msgpackr from "msgpackr";
import * as zod from "zod";
import * as types from "./types.js";

/**
 * What the metadata store keeps of a submission:
 *
 * - the head: small, written with every change; its revision is the fence between two owners;
 * - the items, in parts, written once together with the head before the submission is acknowledged;
 * - segments of results, each written once in the transaction that lists it in the head;
 * - the progress of the items that have no result yet, written over again and again, removed with the last result.
 */
export interface SubmissionHead {
    /** Member that runs it. */
    readonly owner: core.InstanceId;
    /** New with each write: tells an own write whose answer was lost from another's. */
    readonly nonce: string;
    readonly host: string;
    /** Path under which it was submitted; finds its route in each configuration. */
    readonly target: string;
    readonly acceptedAt: core.WallMilliseconds;
    readonly itemCount: number;
    readonly itemParts: number;
    /** First position of each segment of results; the next one begins at `listed`. */
    readonly segments: readonly number[];
    readonly listed: number;
    readonly isEnded: boolean;
    /** Answers that count against an item, by its index: kept so that a new owner doesn't start anew. */
    readonly failures: readonly (readonly [item: number, count: number])[];
    /** Whether the progress of items is kept beside it. */
    readonly hasProgress: boolean;
    /** Whose it is; undefined where its route needed no key. */
    readonly customer?: string | undefined;
}

/** Index of an item, id of its last event, data of its events so far. */
export type ItemProgress = readonly [item: number, lastEventId: number, texts: readonly string[]];

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
    // Absent in heads of the version before: an upgrade, instance by instance, must not make their submissions unknown.
    hasProgress: zod.boolean().default(false),
    customer: zod.string().optional(),
});

const ProgressSchema = zod.array(zod.tuple([zod.number(), zod.number(), zod.array(zod.string())]));

const ItemSchema = zod.object({
    id: zod.string(),
    target: zod.string(),
    headers: zod.array(zod.tuple([zod.string(), zod.string()])),
    body: zod.instanceof(Uint8Array),
    tokens: zod.number(),
});

const ResultSchema = zod.object({ id: zod.string(), state: zod.enum(types.ResultState), text: zod.string() });

/** Prefix of the heads alone: a member that looks for what nobody owns lists them without items and results. */
export const HeadPrefix = "boragedale/head/";
const ItemsPrefix = "boragedale/items/";
const ResultsPrefix = "boragedale/results/";
const ProgressPrefix = "boragedale/progress/";

/** Keys are limited to 200 bytes; an id that makes a longer one names no submission that could exist. */
export const LongestIdBytes = 120;

/** Between the customer's and the submission's part of an id; a header can't hold it, so no caller's id does. */
const ScopeSeparator = "\u001f";
const ScopeLength = 16;

/**
 * The id under which a customer's submission is kept. Another customer that uses the same id means another submission: it neither
 * reads nor ends this one, nor learns that it exists.
 */
export function scopeId(id: string, customer: string | undefined): string {
    return customer === undefined ? id : customers.digestKey(customer).slice(0, ScopeLength) + ScopeSeparator + id;
}

/** Whether a caller can have submitted under the id. */
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

/** Splits items into parts whose encoding stays under `limit` bytes; undefined where one alone is larger. */
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
        // The callers report it: a record that can't be read is never taken as absent.
        return undefined;
    }
}
