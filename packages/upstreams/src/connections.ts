import * as core from "@boragedale/core";
import * as undici from "undici";

/** Time limits of the connections to one upstream. */
export interface ConnectionLimits {
    readonly connectMilliseconds: number;
    /** An idle connection is closed after this time, since a middlebox may have dropped its state. */
    readonly idleMilliseconds: number;
    /** From dispatch to the first chunk of an answer. */
    readonly firstTokenMilliseconds: number;
    /** Between two chunks of an answer. */
    readonly interTokenMilliseconds: number;
    /** For a load or state report, an order, or a query of a call's outcome. */
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
 * The connections to one upstream for one class of work. When one connection goes silent, the idle ones are suspect
 * too, since a failure such as a restarted middlebox usually affects all of them. The whole pool is replaced then:
 * running streams finish on the old pool, and new requests get new connections.
 */
export class ReplaceablePool implements AsyncDisposable {
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

    /** Replaces the pool if `dispatcher` is still the current one. */
    replacePool(dispatcher: undici.Dispatcher): void {
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

/** Sends one request at a time on a connection, since a second one would wait for the answer to the first. */
export function createClientOptions(limits: ConnectionLimits): undici.Client.Options {
    return {
        pipelining: 1,
        connect: core.trackConnections(undici.buildConnector({ timeout: limits.connectMilliseconds })),
        keepAliveTimeout: limits.idleMilliseconds,
        keepAliveMaxTimeout: limits.idleMilliseconds,
    };
}
