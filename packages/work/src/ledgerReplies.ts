import * as core from "@boragedale/core";
import * as requests from "./ledgerRequests.js";
import * as types from "./types.js";

/** Converts the replies of shard holders into the outcomes that the ledger returns. */

const RetryAfterMilliseconds = 2_000;

export function toBeginOutcome(reply: requests.LedgerReply | undefined): types.BeginOutcome {
    if (reply?.kind === requests.LedgerReplyKind.Begun) {
        return reply.outcome;
    }
    const text = reply?.kind === requests.LedgerReplyKind.Unavailable ? reply.text : "no reply within the timeout";
    return { kind: types.BeginKind.Unavailable, text };
}

export function collectRecords(replies: readonly requests.LedgerReply[]): core.Outcome<readonly types.CallRecord[]> {
    const records: types.CallRecord[] = [];
    for (const reply of replies) {
        if (reply.kind !== requests.LedgerReplyKind.Listed) {
            return core.createFailure(createUnavailable());
        }
        records.push(...reply.records);
    }
    return core.createSuccess(records);
}

export function createBodyUnreadable(): types.BeginOutcome {
    return { kind: types.BeginKind.Unavailable, text: "the result's body can't be read now" };
}

export function createUnavailable(): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.KeyValueDown,
        message: core.messages.KeyValueDown,
        certainty: core.RunCertainty.NotRun,
        retryAfterMilliseconds: RetryAfterMilliseconds,
    });
}
