import type * as core from "@boragedale/core";
import * as undici from "undici";
import * as connections from "./connections.js";

interface IdleConnection {
    readonly client: undici.Client;
    readonly answeredAt: core.MonotonicMilliseconds;
}

/** Maximum number of idle connections that are kept for one server; further connections are closed after their call. */
const MaximumIdleConnections = 32;

/**
 * Connections for calls that can't be sent twice. An idle connection may have failed silently since its last use; a
 * call on it would be lost, and it would be unknown whether the call ran. Therefore only a connection that answered
 * within the last seconds is reused. Otherwise a new one is opened, whose handshake proves that the server is
 * reachable.
 */
export class ProvedConnections implements AsyncDisposable {
    private readonly idle: IdleConnection[] = [];
    private readonly busy = new Set<undici.Client>();

    constructor(
        private readonly url: string,
        private readonly limits: connections.ConnectionLimits,
        private readonly clock: core.Clock,
    ) {}

    acquire(): undici.Client {
        this.closeExpired();
        const client = this.idle.pop()?.client ?? this.createClient();
        this.busy.add(client);
        return client;
    }

    /** Returns a connection; one that did not deliver a complete answer is destroyed. */
    release(client: undici.Client, hasAnswered: boolean): void {
        this.busy.delete(client);
        if (!hasAnswered || this.idle.length >= MaximumIdleConnections) {
            void client.destroy();
            return;
        }
        this.idle.push({ client, answeredAt: this.clock.now() });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const clients = [...this.idle.map(connection => connection.client), ...this.busy];
        await Promise.all(clients.map(client => client.destroy()));
    }

    private closeExpired(): void {
        const expiryLimit = this.clock.now() - this.limits.idleMilliseconds;
        while (this.idle[0] !== undefined && this.idle[0].answeredAt <= expiryLimit) {
            void this.idle.shift()?.client.destroy();
        }
    }

    private createClient(): undici.Client {
        return new undici.Client(new URL(this.url).origin, connections.createClientOptions(this.limits));
    }
}
