/** A part of the prompt of a request that was in progress on an upstream. */
export interface PartInProgress {
    readonly part: string;
    /** Position of the part in the prompt, from 0. Parts at higher positions are shared by fewer requests. */
    readonly position: number;
    /** Identifies the request across its attempts. */
    readonly fingerprint: string;
}

/** A request with a prompt, as sent to an upstream. */
export interface PromptRequest {
    /** Unique for each request, but the same for all its attempts. */
    readonly id: string;
    readonly fingerprint: string;
    /** The parts of the prompt that other requests may share, in order: all but the last one. */
    readonly parts: readonly string[];
}

/**
 * The requests in progress on each upstream whose answers are still at their beginning. If an upstream crashes on a part of
 * a prompt, it does so as it begins to answer; a request that has got further can't be the cause.
 */
export class PartsInProgress {
    private readonly requests = new Map<string, Map<string, PromptRequest>>();

    onSent(upstream: string, request: PromptRequest): void {
        if (request.parts.length === 0) {
            return;
        }
        let requests = this.requests.get(upstream);
        if (requests === undefined) {
            requests = new Map();
            this.requests.set(upstream, requests);
        }
        requests.set(request.id, request);
    }

    /** Call when the answer is past its beginning, or has ended. Returns false if it was called before for the request. */
    remove(upstream: string, id: string): boolean {
        const requests = this.requests.get(upstream);
        const wasInProgress = requests?.delete(id) === true;
        if (requests?.size === 0) {
            this.requests.delete(upstream);
        }
        return wasInProgress;
    }

    /** The parts in progress on an upstream that has crashed. */
    list(upstream: string): readonly PartInProgress[] {
        const requests = [...(this.requests.get(upstream)?.values() ?? [])];
        return requests.flatMap(({ fingerprint, parts }) =>
            parts.map((part, position) => ({ part, position, fingerprint })),
        );
    }
}
