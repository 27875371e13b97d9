import type * as core from "@boragedale/core";

/** A part of the prompt of a request that was in progress on an upstream. */
export interface PartInProgress {
    readonly part: string;
    /** Position of the part in the prompt, from 0. Parts at higher positions are shared by fewer requests. */
    readonly position: number;
    /** Identifies the request across its attempts. */
    readonly fingerprint: string;
    /** Time since the request was sent to the upstream. Absent if unknown. */
    readonly ageMilliseconds?: number | undefined;
    /**
     * Share of the other upstreams with requests in progress that had the part in progress too: the chance that a crash with
     * another cause finds the part in progress. Absent if unknown.
     */
    readonly share?: number | undefined;
}

/** A request with a prompt, as sent to an upstream. */
export interface PromptRequest {
    /** Unique for each request, but the same for all its attempts. */
    readonly id: string;
    readonly fingerprint: string;
    /** The parts of the prompt that other requests may share, in order: all but the last one. */
    readonly parts: readonly string[];
    /** Whether the request was accepted to be run later, and may not be refused. */
    readonly isOwed?: boolean;
}

interface SentRequest {
    readonly request: PromptRequest;
    readonly sentAt: core.MonotonicMilliseconds;
}

/**
 * The requests in progress on each upstream whose answers are still at their beginning. If an upstream crashes on a part of
 * a prompt, it does so as it begins to answer; a request that has got further can't be the cause.
 */
export class PartsInProgress {
    private readonly requests = new Map<string, Map<string, SentRequest>>();

    onSent(upstream: string, request: PromptRequest, now: core.MonotonicMilliseconds): void {
        if (request.parts.length === 0) {
            return;
        }
        let requests = this.requests.get(upstream);
        if (requests === undefined) {
            requests = new Map();
            this.requests.set(upstream, requests);
        }
        requests.set(request.id, { request, sentAt: now });
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
    list(upstream: string, now: core.MonotonicMilliseconds): readonly PartInProgress[] {
        const requests = [...(this.requests.get(upstream)?.values() ?? [])];
        const others = [...this.requests].filter(([id]) => id !== upstream).map(([, other]) => getParts(other));
        const getShare = (part: string): number =>
            // One upstream more in the divisor, since a few upstreams say little.
            others.filter(parts => parts.has(part)).length / (others.length + 1);
        return requests.flatMap(({ request: { fingerprint, parts }, sentAt }) =>
            parts.map((part, position) => ({
                part,
                position,
                fingerprint,
                ageMilliseconds: now - sentAt,
                share: getShare(part),
            })),
        );
    }
}

function getParts(requests: ReadonlyMap<string, SentRequest>): ReadonlySet<string> {
    return new Set([...requests.values()].flatMap(({ request }) => request.parts));
}
