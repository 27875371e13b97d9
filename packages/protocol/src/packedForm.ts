import * as types from "./types.js";

/**
 * The packed form of a frame: an array of the kind's number, the correlation id and the message's fields in schema order. The
 * names of kinds and fields would make up most of a small message, and most messages between instances are small.
 */
export type PackedFrame = readonly unknown[];

/** A number is never reassigned to another kind, because adjacent versions communicate during a rolling upgrade. */
export const KindNumbers: Readonly<Record<types.MessageKind, number>> = {
    [types.MessageKind.Challenge]: 0,
    [types.MessageKind.Hello]: 1,
    [types.MessageKind.Heartbeat]: 2,
    [types.MessageKind.Leaving]: 3,
    [types.MessageKind.NoteRequest]: 4,
    [types.MessageKind.NoteReply]: 5,
    [types.MessageKind.LedgerBegin]: 6,
    [types.MessageKind.LedgerBegun]: 7,
    [types.MessageKind.LedgerFinish]: 8,
    [types.MessageKind.LedgerFinished]: 9,
    [types.MessageKind.LedgerRead]: 10,
    [types.MessageKind.LedgerRecord]: 11,
    [types.MessageKind.JobCancelled]: 12,
    [types.MessageKind.OnlinePressure]: 13,
    [types.MessageKind.OnlineTotal]: 14,
    [types.MessageKind.SuspectReport]: 15,
    [types.MessageKind.RegistryRequest]: 16,
    [types.MessageKind.RegistryEntries]: 17,
    [types.MessageKind.SlotUses]: 18,
    [types.MessageKind.YieldSlot]: 19,
    [types.MessageKind.BatchStart]: 20,
    [types.MessageKind.BatchStartReply]: 21,
    [types.MessageKind.SlotRequest]: 22,
    [types.MessageKind.SlotReply]: 23,
    [types.MessageKind.BatchSlotRequest]: 24,
    [types.MessageKind.BatchSlotReply]: 25,
    [types.MessageKind.SubmissionOwned]: 26,
    [types.MessageKind.SubmissionRead]: 27,
    [types.MessageKind.SubmissionPage]: 28,
    [types.MessageKind.SubmissionItemRead]: 29,
    [types.MessageKind.SubmissionItemBody]: 30,
    [types.MessageKind.SubmissionEnd]: 31,
    [types.MessageKind.SubmissionEnded]: 32,
    [types.MessageKind.SubmissionHandover]: 33,
    [types.MessageKind.SubmissionForward]: 34,
    [types.MessageKind.SubmissionKept]: 35,
    [types.MessageKind.SubmissionNotKept]: 36,
    [types.MessageKind.Refused]: 37,
    [types.MessageKind.QuotaClaim]: 38,
    [types.MessageKind.QuotaReply]: 39,
    [types.MessageKind.QuotaReturn]: 40,
    [types.MessageKind.StreamOrigins]: 41,
    [types.MessageKind.StreamOriginRequest]: 42,
    [types.MessageKind.StreamOriginReply]: 43,
    [types.MessageKind.PromptPartCrash]: 44,
    [types.MessageKind.PromptPartsAnswered]: 45,
    [types.MessageKind.PromptPartQuarantined]: 46,
    [types.MessageKind.QuarantineTrialRequest]: 47,
    [types.MessageKind.QuarantineTrialReply]: 48,
    [types.MessageKind.QuarantineTrialFailed]: 49,
    [types.MessageKind.QuarantineEnded]: 50,
};

const KindsByNumber = new Map(Object.entries(KindNumbers).map(([kind, number]) => [number, kind]));
/** Number of elements before the fields: the kind and the correlation id. */
const HeaderLength = 2;
/** Encodes the absence of a correlation id, as in a notification. */
const NoCorrelation = -1;

/** A frame whose message has its fields by name. */
export interface NamedFrame {
    readonly correlation?: number;
    readonly isReply?: boolean;
    readonly message: Readonly<Record<string, unknown>>;
}

/** Packs a frame. A reply has the bitwise complement of its kind's number, which is negative. Trailing absent fields are omitted. */
export function packFrame(
    frame: { readonly correlation?: number; readonly isReply?: boolean; readonly message: types.Message },
    fields: readonly string[],
): PackedFrame {
    const number = KindNumbers[frame.message.kind];
    const message: Readonly<Record<string, unknown>> = { ...frame.message };
    const packed = [
        frame.isReply === true ? ~number : number,
        frame.correlation ?? NoCorrelation,
        ...fields.map(name => message[name]),
    ];
    while (packed.at(-1) === undefined) {
        packed.pop();
    }
    return packed;
}

/** Reverses `packFrame`; returns undefined if no kind has the number. The field values are not checked here but by the schema. */
export function tryUnpackFrame(
    packed: PackedFrame,
    getFields: (kind: string) => readonly string[],
): NamedFrame | undefined {
    const [number, correlation] = packed;
    if (typeof number !== "number") {
        return undefined;
    }
    const isReply = number < 0;
    const kind = KindsByNumber.get(isReply ? ~number : number);
    if (kind === undefined) {
        return undefined;
    }
    const message: Record<string, unknown> = { kind };
    getFields(kind).forEach((name, index) => {
        const value = packed[HeaderLength + index];
        if (value !== undefined) {
            message[name] = value;
        }
    });
    return {
        ...(typeof correlation === "number" && correlation !== NoCorrelation ? { correlation } : {}),
        ...(isReply ? { isReply } : {}),
        message,
    };
}
