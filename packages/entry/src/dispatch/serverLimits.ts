import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";

/** A place on a server of a plain service, to be given back with what the call told. */
export interface ServerPlace {
    readonly server: core.UpstreamDescription;
    release(signal: decisions.CallSignal): void;
}

/** First limit of a server, where the release note allows as much. */
const InitialLimit = 16;

/** The calls that this instance runs on each server of a plain service, within a limit learned for each. */
export class ServerLimits {
    private readonly limits = new Map<core.UpstreamId, decisions.ConcurrencyLimit>();

    constructor(private readonly clock: core.Clock) {}

    /** Takes a place on the server that is least in use; undefined where all are full. */
    tryTake(
        servers: readonly core.UpstreamDescription[],
        excluded: ReadonlySet<core.UpstreamId>,
    ): ServerPlace | undefined {
        const free = servers.filter(server => !excluded.has(server.id));
        const byUse = free
            .map(server => ({ server, limit: this.getLimit(server) }))
            .sort((left, right) => getUse(left.limit) - getUse(right.limit));
        const chosen = byUse.find(candidate => candidate.limit.tryAcquire());
        return chosen === undefined ? undefined : this.createPlace(chosen.server, chosen.limit);
    }

    /** Calls that may run here at once over all the servers. */
    getTotal(servers: readonly core.UpstreamDescription[]): number {
        return servers.reduce((total, server) => total + this.getLimit(server).getLimit(), 0);
    }

    private createPlace(server: core.UpstreamDescription, limit: decisions.ConcurrencyLimit): ServerPlace {
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

function getUse(limit: decisions.ConcurrencyLimit): number {
    return limit.getRunning() / limit.getLimit();
}
