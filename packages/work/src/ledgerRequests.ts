import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** Requests that an instance sends to a shard's holder. All of them are idempotent. */
export enum LedgerRequestKind {
    Begin = "Begin",
    Finish = "Finish",
    Release = "Release",
    TakeOver = "TakeOver",
    MarkUnknown = "MarkUnknown",
    Read = "Read",
    /** Like `Read`, but the holder may delay the reply until the call has ended. */
    Wait = "Wait",
    ListUnknown = "ListUnknown",
    /** Lists calls whose instance was removed from the fleet and that no other instance has taken over. */
    ListOrphaned = "ListOrphaned",
    /** Sent to the instance that started a call, not to the shard's holder. */
    IsRunning = "IsRunning",
}

export type LedgerRequest =
    | {
          readonly kind: LedgerRequestKind.Begin;
          readonly call: types.CallRequest;
          readonly instance: core.InstanceId;
          readonly startId: string;
          /** Id of an earlier start of this call, which its instance reports as never sent. */
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

/** State of a start, as reported by the instance that made it. */
export enum RunState {
    Running = "Running",
    /** This process made the start and abandoned it before sending. */
    NeverSent = "NeverSent",
    /** An earlier process of the same instance made the start; the call may have been sent. */
    Lost = "Lost",
}

export enum LedgerReplyKind {
    Begun = "Begun",
    /** The request is recorded, or was recorded before; the record has the call's current state. */
    Recorded = "Recorded",
    /** The record in the request is no longer the current one; nothing was changed. */
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

/** Returns the call that a request refers to, or undefined if it refers to a whole shard or to a start. */
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
