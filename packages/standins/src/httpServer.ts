import type * as http from "node:http";
import type * as net from "node:net";
import * as fastify from "fastify";
import type * as core from "@boragedale/core";

/** What every stand-in can be started with. */
export interface StandinOptions {
    /** TCP port on loopback; 0, the default, takes a free one. */
    readonly port?: number;
    readonly clock?: core.Clock;
}

/** Faults that every stand-in has. Each stays until it is switched off. */
export interface ConnectionFaults {
    /** Every request is answered with 503. */
    isDown: boolean;
    /** Requests are accepted and never answered. */
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
 * The HTTP server below each stand-in. It knows its open connections, so that a test can break them, or make them go
 * silent while new ones work, as when something between the two ends has lost track of them.
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

    /** Starts to listen on loopback; resolves to the base URL. */
    async listen(port = 0): Promise<string> {
        await this.app.listen({ host: "127.0.0.1", port });
        this.port = (this.app.server.address() as net.AddressInfo).port;
        return `http://127.0.0.1:${this.port}`;
    }

    /** Ends every open connection at once. */
    breakConnections(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    /** Open connections neither answer nor close from now on; new ones work. */
    silenceConnections(): void {
        for (const socket of this.sockets) {
            this.silenced.add(socket);
        }
    }

    isSilenced(request: http.IncomingMessage): boolean {
        return this.silenced.has(request.socket);
    }

    /** Stops listening and breaks all connections, as a process that died would. */
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

/** Adds `PUT /faults` and applies the faults that concern connections to every other route. */
export function addFaults<F extends ConnectionFaults>(options: FaultsOptions<F>): void {
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

/** Admits at most `limit` calls within each second; 0 admits all. */
export class RateLimit {
    private windowStart = 0;
    private admitted = 0;

    constructor(private readonly clock: core.Clock) {}

    /** Milliseconds to wait, or 0 when the call is admitted. */
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
