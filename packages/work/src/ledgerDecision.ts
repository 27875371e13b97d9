import type * as core from "@boragedale/core";
import * as requests from "./ledgerRequests.js";
import * as types from "./types.js";

/** The calls of one shard while its holder decides requests. */
export interface CallTable {
    tryGet(identity: types.CallIdentity): types.CallRecord | undefined;
    put(record: types.CallRecord): void;
    remove(identity: types.CallIdentity): void;
    /** Calls that have not finished. */
    getUnfinished(): Iterable<types.CallRecord>;
}

export interface DecisionContext {
    readonly now: core.WallMilliseconds;
    /** False while the shard's head is full. */
    readonly mayStart: boolean;
    isRemoved(instance: core.InstanceId): boolean;
}

/**
 * Decides one request on a shard and changes the table accordingly. The same key may arrive at several instances at
 * once, again after a crash, or late from a holder that was paused. No call runs twice: a call is started only if the
 * table has no start of it that may have been sent, and a decision takes effect only when the table is committed
 * against the revision at which it was read.
 */
export function decide(
    table: CallTable,
    request: requests.LedgerRequest,
    context: DecisionContext,
): requests.LedgerReply {
    switch (request.kind) {
        case requests.LedgerRequestKind.Begin:
            return { kind: requests.LedgerReplyKind.Begun, outcome: decideBegin(table, request, context) };
        case requests.LedgerRequestKind.Finish:
            return decideFinish(table, request, context);
        case requests.LedgerRequestKind.Release:
            return decideRelease(table, request.record);
        case requests.LedgerRequestKind.TakeOver:
            return decideTakeOver(table, request, context);
        case requests.LedgerRequestKind.MarkUnknown:
            return decideMarkUnknown(table, request.record);
        case requests.LedgerRequestKind.Read:
        case requests.LedgerRequestKind.Wait:
            return { kind: requests.LedgerReplyKind.Found, record: table.tryGet(request.identity) };
        case requests.LedgerRequestKind.ListUnknown:
            return { kind: requests.LedgerReplyKind.Listed, records: listUnknown(table) };
        case requests.LedgerRequestKind.ListOrphaned:
            return { kind: requests.LedgerReplyKind.Listed, records: listOrphaned(table, context) };
        case requests.LedgerRequestKind.IsRunning:
            return { kind: requests.LedgerReplyKind.Unavailable, text: "only the instance that sends a call knows" };
    }
}

type BeginRequest = Extract<requests.LedgerRequest, { readonly kind: requests.LedgerRequestKind.Begin }>;
type FinishRequest = Extract<requests.LedgerRequest, { readonly kind: requests.LedgerRequestKind.Finish }>;
type TakeOverRequest = Extract<requests.LedgerRequest, { readonly kind: requests.LedgerRequestKind.TakeOver }>;

function decideBegin(table: CallTable, request: BeginRequest, context: DecisionContext): types.BeginOutcome {
    const current = table.tryGet(request.call);
    if (current === undefined) {
        return startCall(table, request, context);
    }
    if (current.fingerprint !== request.call.fingerprint) {
        return { kind: types.BeginKind.KeyReused };
    }
    switch (current.state) {
        case types.CallState.Finished:
            return current.result === undefined
                ? { kind: types.BeginKind.OutcomeUnknown }
                : { kind: types.BeginKind.Finished, result: current.result };
        case types.CallState.OutcomeUnknown:
            return { kind: types.BeginKind.OutcomeUnknown };
        case types.CallState.Started:
            return decideBeginOfStarted(table, request, current, context);
    }
}

function decideBeginOfStarted(
    table: CallTable,
    request: BeginRequest,
    current: types.CallRecord,
    context: DecisionContext,
): types.BeginOutcome {
    // A retry of the same request: the reply to the first one was lost between the instances.
    if (current.startId === request.startId) {
        return { kind: types.BeginKind.Started, record: current };
    }
    const wasNeverSent = current.startId === request.neverSent;
    if (wasNeverSent && current.attempt === 1) {
        return startCall(table, request, context);
    }
    // A later attempt follows one that may have been sent, so the key isn't free even if this attempt was never sent.
    const mayTakeOver = wasNeverSent || isOrphaned(current, context);
    return { kind: mayTakeOver ? types.BeginKind.Orphaned : types.BeginKind.InFlight, record: current };
}

function startCall(table: CallTable, request: BeginRequest, context: DecisionContext): types.BeginOutcome {
    const { caller, key, fingerprint, service } = request.call;
    if (!context.mayStart) {
        return { kind: types.BeginKind.Unavailable, text: "too many calls are open" };
    }
    const record: types.CallRecord = {
        caller,
        key,
        fingerprint,
        service,
        state: types.CallState.Started,
        attempt: 1,
        instance: request.instance,
        startedAt: context.now,
        startId: request.startId,
    };
    table.put(record);
    return { kind: types.BeginKind.Started, record };
}

/**
 * The first recorded outcome is final. An outcome that arrives after the call was taken over or marked as unknown is
 * still recorded: the call did run, and the actual result is more useful to its caller than `OutcomeUnknown`.
 */
function decideFinish(table: CallTable, request: FinishRequest, context: DecisionContext): requests.LedgerReply {
    const current = table.tryGet(request.record);
    if (current?.state === types.CallState.Finished) {
        return { kind: requests.LedgerReplyKind.Recorded, record: current };
    }
    const base = current ?? request.record;
    if (base.fingerprint !== request.record.fingerprint) {
        return { kind: requests.LedgerReplyKind.Superseded };
    }
    const record: types.CallRecord = {
        ...base,
        isOrphaned: undefined,
        state: types.CallState.Finished,
        endedAt: context.now,
        result: request.result,
    };
    table.put(record);
    return { kind: requests.LedgerReplyKind.Recorded, record };
}

function decideRelease(table: CallTable, released: types.CallRecord): requests.LedgerReply {
    const current = table.tryGet(released);
    if (!isCurrentStart(current, released)) {
        return { kind: requests.LedgerReplyKind.Superseded };
    }
    if (current.attempt > 1) {
        // An earlier attempt may have been sent, so freeing the key would allow a second run.
        const record = { ...current, isOrphaned: true };
        table.put(record);
        return { kind: requests.LedgerReplyKind.Recorded, record };
    }
    table.remove(released);
    return { kind: requests.LedgerReplyKind.Recorded, record: undefined };
}

function decideTakeOver(table: CallTable, request: TakeOverRequest, context: DecisionContext): requests.LedgerReply {
    const current = table.tryGet(request.record);
    if (current?.startId === request.startId) {
        return { kind: requests.LedgerReplyKind.Recorded, record: current };
    }
    if (!isCurrentStart(current, request.record)) {
        return { kind: requests.LedgerReplyKind.Superseded };
    }
    const record: types.CallRecord = {
        ...current,
        isOrphaned: undefined,
        attempt: current.attempt + 1,
        instance: request.instance,
        startedAt: context.now,
        startId: request.startId,
    };
    table.put(record);
    return { kind: requests.LedgerReplyKind.Recorded, record };
}

function decideMarkUnknown(table: CallTable, marked: types.CallRecord): requests.LedgerReply {
    const current = table.tryGet(marked);
    if (current?.state === types.CallState.OutcomeUnknown) {
        return { kind: requests.LedgerReplyKind.Recorded, record: current };
    }
    if (!isCurrentStart(current, marked)) {
        return { kind: requests.LedgerReplyKind.Superseded };
    }
    const record = { ...current, isOrphaned: undefined, state: types.CallState.OutcomeUnknown };
    table.put(record);
    return { kind: requests.LedgerReplyKind.Recorded, record };
}

function isCurrentStart(current: types.CallRecord | undefined, named: types.CallRecord): current is types.CallRecord {
    return current?.state === types.CallState.Started && current.startId === named.startId;
}

function listUnknown(table: CallTable): readonly types.CallRecord[] {
    return [...table.getUnfinished()].filter(record => record.state === types.CallState.OutcomeUnknown);
}

function listOrphaned(table: CallTable, context: DecisionContext): readonly types.CallRecord[] {
    return [...table.getUnfinished()].filter(
        record => record.state === types.CallState.Started && isOrphaned(record, context),
    );
}

function isOrphaned(record: types.CallRecord, context: DecisionContext): boolean {
    return record.isOrphaned === true || context.isRemoved(record.instance);
}
