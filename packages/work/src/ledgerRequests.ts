import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** What an instance asks of a shard's holder. Each may be asked again: asking twice has the effect of once. */
export enum LedgerRequestKind {
    Begin = "Begin",
    Finish = "Finish",
    Release = "Release",
    TakeOver = "TakeOver",
    MarkUnknown = "MarkUnknown",
    Read = "Read",
    /** Read, but the reply may be held until the call has ended. */
    Wait = "Wait",
    ListUnknown = "ListUnknown",
    /** Calls started by instances that are gone, which nobody has asked for again. */
    ListOrphaned = "ListOrphaned",
    /** Asked of the instance that started a call, not of the holder. */
    IsRunning = "IsRunning",
}

export type LedgerRequest =
    | {
          readonly kind: LedgerRequestKind.Begin;
          readonly call: types.CallRequest;
          readonly instance: core.InstanceId;
          readonly startId: string;
          /** A start of this call that the instance which made it says was never sent. */
          readonly neverSent?: string;
      }
    | {
          readonly kind: LedgerRequestKind.Finish;
          readonly record: types.CallRecord;
          readonly result: types.CallResult;
      }
    | { readonly kind: LedgerRequestKind.Release; readonly record: types.CallRecord }
    | {
          readonly kind: LedgerRequestKind.TakeOver;
          readonly record: types.CallRecord;
          readonly instance: core.InstanceId;
          readonly startId: string;
      }
    | { readonly kind: LedgerRequestKind.MarkUnknown; readonly record: types.CallRecord }
    | { readonly kind: LedgerRequestKind.Read; readonly identity: types.CallIdentity }
    | { readonly kind: LedgerRequestKind.Wait; readonly identity: types.CallIdentity }
    | { readonly kind: LedgerRequestKind.ListUnknown }
    | { readonly kind: LedgerRequestKind.ListOrphaned }
    | { readonly kind: LedgerRequestKind.IsRunning; readonly startId: string };

/** What the instance that started a call says of it. */
export enum RunState {
    Running = "Running",
    /** This process made the start and gave it up before sending. */
    NeverSent = "NeverSent",
    /** An earlier process of the same name made the start: it may have been sent. */
    Lost = "Lost",
}

export enum LedgerReplyKind {
    Begun = "Begun",
    /** The request is recorded, or was already; the record tells the state that holds now. */
    Recorded = "Recorded",
    /** The record that the request names is no longer the current one; nothing was changed. */
    Superseded = "Superseded",
    Found = "Found",
    Listed = "Listed",
    RunState = "RunState",
    Unavailable = "Unavailable",
}

export type LedgerReply =
    | { readonly kind: LedgerReplyKind.Begun; readonly outcome: types.BeginOutcome }
    | { readonly kind: LedgerReplyKind.Recorded; readonly record: types.CallRecord | undefined }
    | { readonly kind: LedgerReplyKind.Superseded }
    | { readonly kind: LedgerReplyKind.Found; readonly record: types.CallRecord | undefined }
    | { readonly kind: LedgerReplyKind.Listed; readonly records: readonly types.CallRecord[] }
    | { readonly kind: LedgerReplyKind.RunState; readonly state: RunState }
    | { readonly kind: LedgerReplyKind.Unavailable; readonly text: string };

/** The call that a request is about; undefined where it is about a whole shard. */
export function tryGetIdentity(request: LedgerRequest): types.CallIdentity | undefined {
    switch (request.kind) {
        case LedgerRequestKind.Begin:
            return request.call;
        case LedgerRequestKind.Finish:
        case LedgerRequestKind.Release:
        case LedgerRequestKind.TakeOver:
        case LedgerRequestKind.MarkUnknown:
            return request.record;
        case LedgerRequestKind.Read:
        case LedgerRequestKind.Wait:
            return request.identity;
        case LedgerRequestKind.ListUnknown:
        case LedgerRequestKind.ListOrphaned:
        case LedgerRequestKind.IsRunning:
            return undefined;
    }
}
