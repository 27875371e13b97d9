import type * as core from "@boragedale/core";
import * as undici from "undici";
import * as connections from "./connections.js";

interface IdleConnection {
    readonly client: undici.Client;
    readonly answeredAt: core.MonotonicMilliseconds;
}

/** Idle connections kept for one service; more calls than this at once open new ones. */
const MaximumIdleConnections = 32;

/**
 * Connections for calls that can't be sent twice. An open connection may have gone silent since it was last used; a
 * call put on it would be lost with nobody knowing whether it ran. So only a connection that answered within the last
 * seconds is used again, and else a new one: its handshake proves that the way is open.
 */
export class ProvedConnections implements AsyncDisposable {
    private readonly idle: IdleConnection[] = [];
    private readonly busy = new Set<undici.Client>();

    constructor(
        private readonly url: string,
        private readonly limits: connections.ConnectionLimits,
        private readonly clock: core.Clock,
    ) {}

    take(): undici.Client {
        this.discardOld();
        const client = this.idle.pop()?.client ?? this.createClient();
        this.busy.add(client);
        return client;
    }

    /** Gives a connection back; one that did not answer in full is destroyed. */
    giveBack(client: undici.Client, hasAnswered: boolean): void {
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

    private discardOld(): void {
        const oldest = this.clock.now() - this.limits.idleMilliseconds;
        while (this.idle[0] !== undefined && this.idle[0].answeredAt <= oldest) {
            void this.idle.shift()?.client.destroy();
        }
    }

    private createClient(): undici.Client {
        return new undici.Client(new URL(this.url).origin, connections.createClientOptions(this.limits));
    }
}
