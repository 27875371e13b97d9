import * as platform from "@boragedale/platform";

export enum WriteKind {
    Written = "Written",
    /** Somebody else's value is there; it comes along. */
    Conflict = "Conflict",
    /** Nothing was written. */
    Failed = "Failed",
    /** It could not be found out whether the value was written. */
    Unknown = "Unknown",
}

export type WriteOutcome =
    | { readonly kind: WriteKind.Written; readonly revision: platform.Revision }
    | { readonly kind: WriteKind.Conflict; readonly current: platform.Entry | undefined }
    | { readonly kind: WriteKind.Failed; readonly text: string; readonly retryAfterMilliseconds?: number }
    | { readonly kind: WriteKind.Unknown; readonly text: string };

const Attempts = 3;

/**
 * Compare-and-swap that survives a lost reply: without reading back, a writer whose write took effect would take its
 * own value for somebody else's, and refuse or repeat work that it has recorded. Every value carries a nonce (or is
 * unique as a whole), so equal bytes mean the own write. A write that has left no trace may only be late; it is sent
 * again under the same revision, so that at most one of the two takes effect.
 */
export async function writeValue(
    keyValue: platform.KeyValueService,
    request: platform.SwapRequest,
): Promise<WriteOutcome> {
    let text = "";
    for (let attempt = 0; attempt < Attempts; attempt++) {
        const result = await keyValue.compareAndSwap(request);
        if (result.ok) {
            return toOutcome(request, result.value);
        }
        text = result.failure.text;
        if (result.failure.kind !== platform.KeyValueFailureKind.ReplyLost) {
            // Nothing was written this time; of an earlier try whose reply was lost that tells nothing.
            const { retryAfterMilliseconds } = result.failure;
            return attempt === 0
                ? { kind: WriteKind.Failed, text, retryAfterMilliseconds }
                : { kind: WriteKind.Unknown, text };
        }
        const entry = await keyValue.get(request.key, request.purpose);
        if (!entry.ok) {
            return { kind: WriteKind.Unknown, text };
        }
        if ((entry.value?.revision ?? 0) !== request.expectedRevision) {
            return toOutcome(request, { swapped: false, current: entry.value });
        }
    }
    return { kind: WriteKind.Unknown, text };
}

function toOutcome(request: platform.SwapRequest, outcome: platform.SwapOutcome): WriteOutcome {
    if (outcome.swapped) {
        return { kind: WriteKind.Written, revision: outcome.revision };
    }
    const { current } = outcome;
    return current !== undefined && request.value !== undefined && areEqual(current.value, request.value)
        ? { kind: WriteKind.Written, revision: current.revision }
        : { kind: WriteKind.Conflict, current };
}

function areEqual(left: Uint8Array, right: Uint8Array): boolean {
    return Buffer.compare(left, right) === 0;
}
