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

/**
 * Compare-and-swap that survives a lost reply: without reading back, a writer whose write took effect would take its
 * own value for somebody else's, and refuse or repeat work that it has recorded. Every value carries a nonce (or is
 * unique as a whole), so equal bytes mean the own write.
 */
export async function writeValue(
    keyValue: platform.KeyValueService,
    request: platform.SwapRequest,
): Promise<WriteOutcome> {
    const result = await keyValue.compareAndSwap(request);
    if (result.ok) {
        return result.value.swapped
            ? { kind: WriteKind.Written, revision: result.value.revision }
            : createConflict(request, result.value.current);
    }
    const { failure } = result;
    if (failure.kind !== platform.KeyValueFailureKind.ReplyLost) {
        return {
            kind: WriteKind.Failed,
            text: failure.text,
            retryAfterMilliseconds: failure.retryAfterMilliseconds,
        };
    }
    const entry = await keyValue.get(request.key, request.purpose);
    return entry.ok ? createConflict(request, entry.value) : { kind: WriteKind.Unknown, text: entry.failure.text };
}

function createConflict(request: platform.SwapRequest, current: platform.Entry | undefined): WriteOutcome {
    return current !== undefined && request.value !== undefined && areEqual(current.value, request.value)
        ? { kind: WriteKind.Written, revision: current.revision }
        : { kind: WriteKind.Conflict, current };
}

function areEqual(left: Uint8Array, right: Uint8Array): boolean {
    return Buffer.compare(left, right) === 0;
}
