import type * as http from "node:http";
import type * as net from "node:net";
import * as fastify from "fastify";
import type * as core from "@boragedale/core";

/** Options common to all stand-ins. */
export interface StandinOptions {
    /** TCP port on loopback; 0, the default, selects a free one. */
    readonly port?: number;
    readonly clock?: core.Clock;
}

/** Faults common to all stand-ins. Each stays in effect until it is switched off. */
export interface ConnectionFaults {
    /** All requests get 503. */
    isDown: boolean;
    /** Requests are accepted but never answered. */
    isSilent: boolean;
    /** Extra time before each request is handled. */
    delayMilliseconds: number;
}

/** A running stand-in. */
export interface Standin<F> extends AsyncDisposable {
    readonly url: string;
    /** May be changed at any time; `PUT /faults` sets the same members. */
    readonly faults: F;
}

export function createConnectionFaults(): ConnectionFaults {
    return { isDown: false, isSilent: false, delayMilliseconds: 0 };
}

const MaximumBodyBytes = 64 * 1_024 * 1_024;

/**
 * The HTTP server that each stand-in uses. It tracks its open connections, so that a test can break them or make them
 * go silent while new ones work, as when a device between client and server has lost the connections' state.
 */
export class StandinServer implements AsyncDisposable {
    readonly app: fastify.FastifyInstance;
    private readonly sockets = new Set<net.Socket>();
    private readonly silenced = new WeakSet<net.Socket>();
    private port = 0;

    constructor() {
        this.app = fastify.fastify({ bodyLimit: MaximumBodyBytes, forceCloseConnections: true });
        this.app.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => socket.destroy());
            socket.on("close", () => this.sockets.delete(socket));
        });
    }

    /** Starts listening on loopback; resolves to the base URL. */
    async listen(port = 0): Promise<string> {
        await this.app.listen({ host: "127.0.0.1", port });
        this.port = (this.app.server.address() as net.AddressInfo).port;
        return `http://127.0.0.1:${this.port}`;
    }

    /** Destroys all open connections. */
    breakConnections(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    /** Makes open connections stop responding without closing; new ones work. */
    silenceConnections(): void {
        for (const socket of this.sockets) {
            this.silenced.add(socket);
        }
    }

    isSilenced(request: http.IncomingMessage): boolean {
        return this.silenced.has(request.socket);
    }

    /** Stops listening and breaks all connections, as when the process dies. */
    async crash(): Promise<void> {
        const closed = new Promise<void>(resolve => this.app.server.close(() => resolve()));
        this.breakConnections();
        await closed;
    }

    /** Listens again on the same port after a crash. */
    async restart(): Promise<void> {
        await new Promise<void>(resolve => this.app.server.listen(this.port, "127.0.0.1", resolve));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.breakConnections();
        await this.app.close();
    }
}

export interface FaultsOptions<F extends ConnectionFaults> {
    readonly server: StandinServer;
    readonly faults: F;
    readonly clock: core.Clock;
    /** Runs after each `PUT /faults`. */
    readonly onChange?: (change: Readonly<Record<string, unknown>>) => void;
}

/** Adds `PUT /faults`, and applies the connection faults to all other routes. */
export function addFaultInjection<F extends ConnectionFaults>(options: FaultsOptions<F>): void {
    const { server, faults, clock, onChange } = options;
    server.app.put("/faults", async request => {
        const change = request.body as Readonly<Record<string, unknown>>;
        Object.assign(faults, change);
        onChange?.(change);
        return faults;
    });
    server.app.addHook("preHandler", async (request, reply) => {
        if (request.url === "/faults") {
            return;
        }
        if (faults.isSilent || server.isSilenced(request.raw)) {
            return reply.hijack();
        }
        if (faults.delayMilliseconds > 0) {
            await clock.sleep(faults.delayMilliseconds);
        }
        if (faults.isDown) {
            return reply.code(503).send({ error: "etcdserver: no leader", code: 14, message: "down" });
        }
    });
}

/** Admits a limited number of calls in each window of one second. */
export class RateLimit {
    private windowStart = 0;
    private admitted = 0;

    constructor(private readonly clock: core.Clock) {}

    /** Returns 0 if the call is admitted, otherwise the milliseconds to wait. A `limit` of 0 admits all calls. */
    admit(limit: number): number {
        const now = this.clock.now();
        if (now - this.windowStart >= 1_000) {
            this.windowStart = now;
            this.admitted = 0;
        }
        if (limit > 0 && this.admitted >= limit) {
            return Math.max(1, this.windowStart + 1_000 - now);
        }
        this.admitted++;
        return 0;
    }
}
