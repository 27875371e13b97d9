import type * as core from "@boragedale/core";
import type * as services from "./services.js";
import * as types from "./types.js";

export interface ReadBackOptions {
    readonly service: services.KeyValueService;
    readonly clock: core.Clock;
    /** Whether an entry holds this write, or grew out of one that did: look for the write's nonce in it. */
    readonly isOwn: (entry: types.Entry) => boolean;
    /** How often to read back and write again before the outcome is left open. */
    readonly attempts?: number;
}

const DefaultAttempts = 5;
const FirstWaitMilliseconds = 20;

/**
 * Swaps, and where the reply was lost finds out what became of the write. An own write that took effect counts as
 * swapped, whether it is found at once or turns up late: a write that was only delayed makes the repeated one fail,
 * and the entry that won is then recognised as our own. Ends as `ReplyLost` only where the service can't be asked; the
 * write may then still take effect.
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
        // Once a reply was lost, later failures that wrote nothing say nothing about the first write.
        lost ??= result.failure;
        const settled = await tryReadBack(request, options);
        if (settled !== undefined) {
            return { ok: true, value: settled };
        }
        await options.clock.sleep(FirstWaitMilliseconds * 2 ** attempt);
    }
    return { ok: false, failure: { ...lost, kind: types.KeyValueFailureKind.ReplyLost, text: lost?.text ?? "" } };
}

/** Returns undefined where nothing is settled: the read failed, or the old entry is still there. */
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
