import * as core from "@boragedale/core";
import * as msgpackr from "msgpackr";
import * as zod from "zod";
import * as packedForm from "./packedForm.js";
import * as types from "./types.js";

/** The unit sent over a connection: a message and, if it is part of a request, its correlation id. */
export interface Frame {
    /** Set on a request and copied to its reply; absent on a notification. */
    readonly correlation?: number;
    readonly isReply?: boolean;
    readonly message: types.Message;
}

/** Encoding of a sent frame. Both forms are accepted when decoding. */
export enum FrameForm {
    /** With field names; every version can decode it. */
    Named = "Named",
    /** Without field names; only for peers that announced `readsPacked`. */
    Packed = "Packed",
}

export enum FrameFindingKind {
    TooLarge = "TooLarge",
    NotMessagePack = "NotMessagePack",
    Shape = "Shape",
}

export interface FrameFinding {
    readonly kind: FrameFindingKind;
    readonly text: string;
}

export type DecodedFrame =
    { readonly ok: true; readonly frame: Frame } | { readonly ok: false; readonly finding: FrameFinding };

/**
 * Maximum size of a frame on a lane, in bytes. Control and online frames are kept small so that none delays the next one for
 * long. Release notes use the bulk lane, whose limit covers the largest note together with its parsed form.
 */
export function getFrameLimit(lane: types.Lane): number {
    switch (lane) {
        case types.Lane.Control:
            return 16_384;
        case types.Lane.Online:
            return 4_194_304;
        case types.Lane.Bulk:
            return 16_777_216;
    }
}

const name = zod.string().max(200);
const payload = zod.instanceof(Uint8Array);
const shard = zod.int().min(0);
const count = zod.number().min(0);
const quarantine = zod.enum(types.QuarantineKind);
const gap = zod.number().min(0);
const engineSpeedRow = zod.tuple([name, gap, gap, count]);

const MessageSchema = zod.discriminatedUnion("kind", [
    zod.object({ kind: zod.literal(types.MessageKind.Challenge), challenge: name }),
    zod.object({
        kind: zod.literal(types.MessageKind.Hello),
        version: zod.int().min(1),
        instance: name,
        lane: zod.enum(types.Lane),
        challenge: name,
        proof: name,
        readsPacked: zod.boolean().optional(),
        url: name.optional(),
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.Heartbeat),
        generation: zod.int().min(0),
        digest: zod.int().min(0).optional(),
        logicalTime: count,
        state: zod.enum(core.LifecycleState),
        isWatching: zod.boolean().optional(),
        configurationRevision: zod.int().min(0).optional(),
        upstreamsRevision: zod.int().min(0).optional(),
        upstreamsDigest: zod.int().min(0).optional(),
    }),
    zod.object({ kind: zod.literal(types.MessageKind.Leaving), instance: name }),
    zod.object({ kind: zod.literal(types.MessageKind.NoteRequest), newerThan: zod.int().min(0) }),
    // The release package defines the schema of a note and validates it again on receipt.
    zod.object({ kind: zod.literal(types.MessageKind.NoteReply), note: zod.custom<core.NoteInForce>().optional() }),
    zod.object({ kind: zod.literal(types.MessageKind.LedgerBegin), shard, payload }),
    zod.object({ kind: zod.literal(types.MessageKind.LedgerBegun), payload }),
    zod.object({ kind: zod.literal(types.MessageKind.LedgerFinish), shard, payload }),
    zod.object({ kind: zod.literal(types.MessageKind.LedgerFinished), payload }),
    zod.object({ kind: zod.literal(types.MessageKind.LedgerRead), shard, payload }),
    zod.object({ kind: zod.literal(types.MessageKind.LedgerRecord), payload }),
    zod.object({ kind: zod.literal(types.MessageKind.JobCancelled), job: name }),
    zod.object({
        kind: zod.literal(types.MessageKind.OnlinePressure),
        upstream: name,
        inFlight: count,
        queued: count,
        fastestGap: gap.optional(),
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.OnlineTotal),
        upstream: name,
        inFlight: count,
        isLeaving: zod.boolean(),
        fastestGap: gap.optional(),
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.SuspectReport),
        fingerprint: name,
        deaths: count,
        deathsByUpstream: zod.record(name, count).optional(),
    }),
    zod.object({ kind: zod.literal(types.MessageKind.RegistryRequest), revision: count }),
    zod.object({
        kind: zod.literal(types.MessageKind.RegistryEntries),
        isWhole: zod.boolean(),
        entries: zod.array(
            zod.object({
                key: name,
                revision: zod.int().min(0),
                value: payload.optional(),
                isDeflated: zod.boolean().optional(),
            }),
        ),
        settled: zod.int().min(0).optional(),
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.SlotUses),
        isWhole: zod.boolean(),
        uses: zod.array(zod.tuple([name, count, count])),
        speeds: zod.array(engineSpeedRow).optional(),
        slacks: zod.array(zod.tuple([name, zod.number()])).optional(),
    }),
    zod.object({ kind: zod.literal(types.MessageKind.YieldSlot), upstream: name }),
    zod.object({ kind: zod.literal(types.MessageKind.BatchStart), upstream: name, slots: count, reserve: count }),
    zod.object({ kind: zod.literal(types.MessageKind.BatchStartReply), isGranted: zod.boolean() }),
    zod.object({
        kind: zod.literal(types.MessageKind.SlotRequest),
        service: name,
        except: zod.array(name).optional(),
        allowsYield: zod.boolean().optional(),
        customer: name.optional(),
        weight: zod.number().positive().optional(),
        priority: count.optional(),
        remainingMilliseconds: zod.number().optional(),
        waitMilliseconds: count.optional(),
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.SlotReply),
        upstream: name.optional(),
        waiting: count,
        free: count,
        expectedWaitMilliseconds: count.optional(),
        speeds: zod.array(engineSpeedRow).optional(),
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.BatchSlotRequest),
        service: name,
        dueInMilliseconds: zod.number().optional(),
        remainingMilliseconds: zod.number().optional(),
    }),
    zod.object({ kind: zod.literal(types.MessageKind.BatchSlotReply), upstream: name.optional() }),
    zod.object({ kind: zod.literal(types.MessageKind.SubmissionOwned), submission: name }),
    zod.object({
        kind: zod.literal(types.MessageKind.SubmissionRead),
        submission: name,
        position: count,
        waitMilliseconds: count,
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.SubmissionPage),
        total: count,
        next: count,
        results: zod.array(zod.object({ id: name, state: name, text: zod.string() })),
    }),
    zod.object({ kind: zod.literal(types.MessageKind.SubmissionItemRead), submission: name, item: name }),
    zod.object({ kind: zod.literal(types.MessageKind.SubmissionItemBody), body: payload.optional() }),
    zod.object({ kind: zod.literal(types.MessageKind.SubmissionEnd), submission: name }),
    zod.object({ kind: zod.literal(types.MessageKind.SubmissionEnded) }),
    zod.object({
        kind: zod.literal(types.MessageKind.SubmissionHandover),
        submission: name,
        progress: zod.array(zod.tuple([count, count, zod.array(zod.string())])),
        origins: zod.array(zod.array(name)).optional(),
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.SubmissionForward),
        submission: name,
        host: zod.string(),
        target: zod.string(),
        items: payload,
        waitMilliseconds: count,
        customer: name.optional(),
    }),
    zod.object({ kind: zod.literal(types.MessageKind.SubmissionKept) }),
    zod.object({ kind: zod.literal(types.MessageKind.SubmissionNotKept), isCertain: zod.boolean() }),
    zod.object({
        kind: zod.literal(types.MessageKind.QuotaClaim),
        customer: name,
        requestsPerSecond: zod.number().positive(),
        burst: count,
        uncounted: count,
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.QuotaReply),
        isGranted: zod.boolean(),
        retryAfterMilliseconds: count,
    }),
    zod.object({ kind: zod.literal(types.MessageKind.QuotaReturn), customer: name, count }),
    zod.object({
        kind: zod.literal(types.MessageKind.StreamOrigins),
        origins: zod.array(zod.tuple([name, name, name])),
    }),
    zod.object({ kind: zod.literal(types.MessageKind.StreamOriginRequest), service: name, stream: name.optional() }),
    zod.object({
        kind: zod.literal(types.MessageKind.StreamOriginReply),
        recentVersions: zod.array(name),
        softwareVersion: name.optional(),
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.PromptPartCrash),
        upstream: name,
        parts: zod.array(zod.tuple([name, count, name])),
        details: zod.array(zod.tuple([count, zod.number().min(0).max(1)])).optional(),
    }),
    zod.object({ kind: zod.literal(types.MessageKind.PromptPartsAnswered), parts: zod.array(name) }),
    zod.object({
        kind: zod.literal(types.MessageKind.PromptPartQuarantined),
        part: name,
        remainingMilliseconds: count,
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.QuarantineTrialRequest),
        quarantine,
        name,
        isOwed: zod.boolean().optional(),
    }),
    zod.object({
        kind: zod.literal(types.MessageKind.QuarantineTrialReply),
        isGranted: zod.boolean(),
        failures: count,
        waitMilliseconds: count,
    }),
    zod.object({ kind: zod.literal(types.MessageKind.QuarantineTrialFailed), quarantine, name, failures: count }),
    zod.object({ kind: zod.literal(types.MessageKind.QuarantineEnded), quarantine, name }),
    zod.object({ kind: zod.literal(types.MessageKind.Refused), text: zod.string().max(2_000) }),
]);

const FrameSchema = zod.object({
    correlation: zod.int().min(0).optional(),
    isReply: zod.boolean().optional(),
    message: MessageSchema,
});

const packer = new msgpackr.Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** Fields of each kind in schema order, which is their order in the packed form. New fields must be appended. */
const FieldNames: ReadonlyMap<string, readonly string[]> = new Map(
    MessageSchema.options.map(option => {
        const [kind] = option.shape.kind.values;
        return [String(kind), Object.keys(option.shape).filter(field => field !== "kind")];
    }),
);

export function getPackedFields(kind: string): readonly string[] {
    return FieldNames.get(kind) ?? [];
}

/** Encodes a frame, or returns a finding if it exceeds the lane's limit. */
export function encodeFrame(
    frame: Frame,
    lane: types.Lane,
    form = FrameForm.Named,
): { readonly ok: true; readonly bytes: Uint8Array } | { readonly ok: false; readonly finding: FrameFinding } {
    const isPacked = form === FrameForm.Packed;
    const value = isPacked
        ? packedForm.packFrame(frame, getPackedFields(frame.message.kind))
        : omitUndefinedCorrelation(frame);
    const bytes = packer.pack(value);
    const limit = getFrameLimit(lane);
    if (bytes.byteLength > limit) {
        const text = `${frame.message.kind} of ${bytes.byteLength} bytes exceeds the lane's limit of ${limit}`;
        return { ok: false, finding: { kind: FrameFindingKind.TooLarge, text } };
    }
    return { ok: true, bytes };
}

/** Decodes a frame. Invalid bytes result in a finding, never in an exception. */
export function decodeFrame(bytes: Uint8Array, lane: types.Lane): DecodedFrame {
    if (bytes.byteLength > getFrameLimit(lane)) {
        return createFailure(FrameFindingKind.TooLarge, `${bytes.byteLength} bytes`);
    }
    let value: unknown;
    try {
        value = packer.unpack(bytes);
    }
    catch (error) {
        return createFailure(FrameFindingKind.NotMessagePack, String(error));
    }
    const named = Array.isArray(value) ? packedForm.tryUnpackFrame(value, getPackedFields) : value;
    const parsed = FrameSchema.safeParse(named);
    return parsed.success
        ? { ok: true, frame: parsed.data }
        : createFailure(FrameFindingKind.Shape, parsed.error.issues[0]?.message ?? "unknown");
}

function createFailure(kind: FrameFindingKind, text: string): DecodedFrame {
    return { ok: false, finding: { kind, text } };
}

function omitUndefinedCorrelation(frame: Frame): Frame {
    return frame.correlation === undefined ? { message: frame.message } : frame;
}
