import * as undici from "undici";

/** Limits of the connections to one upstream. Milliseconds. */
export interface ConnectionLimits {
    readonly connectMilliseconds: number;
    /** An idle connection older than this is closed: something on the way may have forgotten it. */
    readonly idleMilliseconds: number;
    /** From dispatch to the first piece of an answer. */
    readonly firstTokenMilliseconds: number;
    /** Between two pieces of an answer. */
    readonly interTokenMilliseconds: number;
    /** For a load or state report. */
    readonly controlMilliseconds: number;
}

export const DefaultConnectionLimits: ConnectionLimits = {
    connectMilliseconds: 1_000,
    idleMilliseconds: 2_000,
    firstTokenMilliseconds: 10_000,
    interTokenMilliseconds: 2_000,
    controlMilliseconds: 1_000,
};

/**
 * The connections to one upstream for one class of work. When one of them went silent, the idle ones beside it are
 * suspected too, since what loses track of one connection (a restarted middlebox, say) mostly loses all of them. So the
 * whole pool is replaced: streams that still run on the old one run to their end, new requests get new connections.
 */
export class RenewablePool implements AsyncDisposable {
    private pool: undici.Pool;
    private readonly retired = new Set<undici.Pool>();

    constructor(
        private readonly url: string,
        private readonly limits: ConnectionLimits,
    ) {
        this.pool = this.createPool();
    }

    getDispatcher(): undici.Dispatcher {
        return this.pool;
    }

    /** Takes the pool that `dispatcher` stands for out of use, unless that has been done already. */
    renew(dispatcher: undici.Dispatcher): void {
        if (dispatcher !== this.pool) {
            return;
        }
        const old = this.pool;
        this.pool = this.createPool();
        this.retired.add(old);
        void old.close().finally(() => this.retired.delete(old));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([this.pool, ...this.retired].map(pool => pool.destroy()));
    }

    private createPool(): undici.Pool {
        return new undici.Pool(new URL(this.url).origin, createClientOptions(this.limits));
    }
}

/** One request at a time on a connection: a second one would wait behind the first's answer. */
export function createClientOptions(limits: ConnectionLimits): undici.Client.Options {
    return {
        pipelining: 1,
        connect: { timeout: limits.connectMilliseconds },
        keepAliveTimeout: limits.idleMilliseconds,
        keepAliveMaxTimeout: limits.idleMilliseconds,
    };
}
