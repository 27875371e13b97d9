import type * as core from "@boragedale/core";
import type * as services from "./services.js";
import * as types from "./types.js";

export interface ReadBackOptions {
    readonly service: services.KeyValueService;
    readonly clock: core.Clock;
    /** Whether an entry contains this write or derives from an entry that does; look for the write's nonce in it. */
    readonly isOwn: (entry: types.Entry) => boolean;
    /** Maximum number of attempts, each a write and a read-back, before the result is `ReplyLost`. */
    readonly attempts?: number;
}

const DefaultAttempts = 5;
const FirstRetryMilliseconds = 20;

/**
 * Performs a compare-and-swap and, if the reply is lost, reads the entry to determine whether the write took effect. An
 * own write that took effect counts as swapped, even if it took effect late: a delayed write makes its own repetition
 * fail, and the current entry is then recognised as our own. The result is `ReplyLost` only if the read-backs settle
 * nothing; the write may then still take effect.
 */
export async function swapWithReadBack(
    request: types.SwapRequest,
    options: ReadBackOptions,
): Promise<types.KeyValueResult<types.SwapOutcome>> {
    let lost: types.KeyValueFailure | undefined;
    for (let attempt = 1; attempt <= (options.attempts ?? DefaultAttempts); attempt++) {
        const result = await options.service.compareAndSwap(request);
        if (result.ok) {
            return { ok: true, value: resolveOutcome(result.value, request, options, lost !== undefined) };
        }
        if (result.failure.kind !== types.KeyValueFailureKind.ReplyLost && lost === undefined) {
            return result;
        }
        // After a lost reply, a later failure with nothing written doesn't show whether the first write took effect.
        lost ??= result.failure;
        const settled = await tryReadBack(request, options);
        if (settled !== undefined) {
            return { ok: true, value: settled };
        }
        await options.clock.sleep(FirstRetryMilliseconds * 2 ** attempt);
    }
    return { ok: false, failure: { ...lost, kind: types.KeyValueFailureKind.ReplyLost, text: lost?.text ?? "" } };
}

/** Returns undefined if the outcome is still unknown: the read failed, or the entry is unchanged. */
async function tryReadBack(
    request: types.SwapRequest,
    options: ReadBackOptions,
): Promise<types.SwapOutcome | undefined> {
    const read = await options.service.get(request.key, request.purpose);
    if (!read.ok || (read.value?.revision ?? 0) === request.expectedRevision) {
        return undefined;
    }
    return resolveOutcome({ swapped: false, current: read.value }, request, options, true);
}

function resolveOutcome(
    outcome: types.SwapOutcome,
    request: types.SwapRequest,
    options: ReadBackOptions,
    wasLost: boolean,
): types.SwapOutcome {
    if (outcome.swapped || !wasLost) {
        return outcome;
    }
    const { current } = outcome;
    if (current === undefined) {
        return request.value === undefined ? { swapped: true, revision: 0 } : outcome;
    }
    return options.isOwn(current) ? { swapped: true, revision: current.revision } : outcome;
}
