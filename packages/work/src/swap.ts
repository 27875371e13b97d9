import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";

export enum WriteKind {
    Written = "Written",
    /** Another writer's value is stored; it is returned. */
    Conflict = "Conflict",
    /** Nothing was written. */
    Failed = "Failed",
    /** It is not known whether the value was written. */
    Unknown = "Unknown",
}

export type WriteOutcome =
    | { readonly kind: WriteKind.Written; readonly revision: backing.Revision }
    | { readonly kind: WriteKind.Conflict; readonly current: backing.Entry | undefined }
    | { readonly kind: WriteKind.Failed; readonly text: string; readonly retryAfterMilliseconds?: number }
    | { readonly kind: WriteKind.Unknown; readonly text: string };

/**
 * Compare-and-swap that tolerates a lost reply by reading the value back. Otherwise a writer whose write took effect
 * would mistake its own value for another writer's, and reject or repeat work that it has recorded. Every value
 * contains a nonce (or is unique as a whole), so equal bytes mean the writer's own value.
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

/** If the stored value equals the requested one, an earlier attempt took effect and its reply was lost. */
function createConflict(request: backing.SwapRequest, current: backing.Entry | undefined): WriteOutcome {
    return current !== undefined && isEqual(current.value, request.value)
        ? { kind: WriteKind.Written, revision: current.revision }
        : { kind: WriteKind.Conflict, current };
}

function isEqual(left: Uint8Array, right: Uint8Array | undefined): boolean {
    return right !== undefined && Buffer.compare(left, right) === 0;
}
