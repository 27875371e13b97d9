import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";

/** A slot for one call on a server of a plain service. The holder must release it with the outcome of the call. */
export interface ServerSlot {
    readonly server: core.UpstreamDescription;
    release(signal: decisions.CallSignal): void;
}

/** Initial concurrency limit of a server. The concurrency in the release note may lower it. */
const InitialLimit = 16;

/**
 * Limits the calls that this instance runs on each server of a plain service. Each server has its own learned limit.
 */
export class ServerLimits {
    private readonly limits = new Map<core.UpstreamId, decisions.ConcurrencyLimit>();

    constructor(private readonly clock: core.Clock) {}

    /** Takes a slot on the server with the lowest utilisation. Returns undefined if all are full. */
    tryTake(
        servers: readonly core.UpstreamDescription[],
        excluded: ReadonlySet<core.UpstreamId>,
    ): ServerSlot | undefined {
        const free = servers.filter(server => !excluded.has(server.id));
        const byUtilisation = free
            .map(server => ({ server, limit: this.getLimit(server) }))
            .sort((left, right) => getUtilisation(left.limit) - getUtilisation(right.limit));
        const chosen = byUtilisation.find(candidate => candidate.limit.tryAcquire());
        return chosen === undefined ? undefined : this.createSlot(chosen.server, chosen.limit);
    }

    /** Number of calls that this instance may run on all the servers together. */
    getTotal(servers: readonly core.UpstreamDescription[]): number {
        return servers.reduce((total, server) => total + this.getLimit(server).getLimit(), 0);
    }

    private createSlot(server: core.UpstreamDescription, limit: decisions.ConcurrencyLimit): ServerSlot {
        const startedAt = this.clock.now();
        return {
            server,
            release: signal => {
                const now = this.clock.now();
                limit.release(signal, now - startedAt, now);
            },
        };
    }

    private getLimit(server: core.UpstreamDescription): decisions.ConcurrencyLimit {
        let limit = this.limits.get(server.id);
        if (limit === undefined) {
            const maximum = Math.max(1, server.concurrency);
            limit = new decisions.ConcurrencyLimit({ initial: Math.min(maximum, InitialLimit), maximum });
            this.limits.set(server.id, limit);
        }
        return limit;
    }
}

function getUtilisation(limit: decisions.ConcurrencyLimit): number {
    return limit.getRunning() / limit.getLimit();
}
