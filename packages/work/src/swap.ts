import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";

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
    | { readonly kind: WriteKind.Written; readonly revision: backing.Revision }
    | { readonly kind: WriteKind.Conflict; readonly current: backing.Entry | undefined }
    | { readonly kind: WriteKind.Failed; readonly text: string; readonly retryAfterMilliseconds?: number }
    | { readonly kind: WriteKind.Unknown; readonly text: string };

/**
 * Compare-and-swap that survives a lost reply: without reading back, a writer whose write took effect would take its
 * own value for somebody else's, and refuse or repeat work that it has recorded. Every value carries a nonce (or is
 * unique as a whole), so equal bytes mean the own write.
 */
export async function writeValue(
    service: backing.KeyValueService,
    clock: core.Clock,
    request: backing.SwapRequest,
): Promise<WriteOutcome> {
    const isOwn = (entry: backing.Entry): boolean => isEqual(entry.value, request.value);
    const result = await backing.swapWithReadBack(request, { service, clock, isOwn });
    if (!result.ok) {
        const { kind, text, retryAfterMilliseconds } = result.failure;
        return kind === backing.KeyValueFailureKind.ReplyLost
            ? { kind: WriteKind.Unknown, text }
            : { kind: WriteKind.Failed, text, retryAfterMilliseconds };
    }
    const { value } = result;
    return value.swapped
        ? { kind: WriteKind.Written, revision: value.revision }
        : createConflict(request, value.current);
}

/** A value that is there already as it was to be written counts as written: an earlier try was not known to work. */
function createConflict(request: backing.SwapRequest, current: backing.Entry | undefined): WriteOutcome {
    return current !== undefined && isEqual(current.value, request.value)
        ? { kind: WriteKind.Written, revision: current.revision }
        : { kind: WriteKind.Conflict, current };
}

function isEqual(left: Uint8Array, right: Uint8Array | undefined): boolean {
    return right !== undefined && Buffer.compare(left, right) === 0;
}
