import type * as fastify from "fastify";
import * as core from "@boragedale/core";
import * as httpServer from "./httpServer.js";

/** Faults of a plain service. */
export interface ServiceFaults extends httpServer.ConnectionFaults {
    /** Number of upcoming requests whose connection breaks before they run. */
    deathsBeforeRun: number;
    /** Number of upcoming requests that run and whose connection then breaks. */
    deathsAfterRun: number;
    /** Duration of a run. */
    runMilliseconds: number;
    /** Whether a request whose idempotency key has already run gets the stored response instead of another run. */
    deduplicates: boolean;
    /** When set by `PUT /faults`, the connections that are open at that moment go silent; new ones work. */
    silencesOpenConnections: boolean;
}

export interface ServiceStandinOptions extends httpServer.StandinOptions {
    readonly name?: string;
    readonly deduplicates?: boolean;
    readonly runMilliseconds?: number;
}

export interface ServiceStandin extends httpServer.Standin<ServiceFaults> {
    /** Number of runs by idempotency key; requests without a key are counted under the empty string. */
    readonly runs: ReadonlyMap<string, number>;
    readonly silenceConnections: () => void;
    readonly breakConnections: () => void;
}

/** Starts a stand-in for a plain service, which counts its runs. */
export async function createServiceStandin(options: ServiceStandinOptions = {}): Promise<ServiceStandin> {
    const clock = options.clock ?? new core.SystemClock();
    const faults: ServiceFaults = {
        ...httpServer.createConnectionFaults(),
        deathsBeforeRun: 0,
        deathsAfterRun: 0,
        runMilliseconds: options.runMilliseconds ?? 0,
        deduplicates: options.deduplicates ?? false,
        silencesOpenConnections: false,
    };
    const server = new httpServer.StandinServer();
    const service = new CountingService(options.name ?? "service", clock, faults);
    const onChange = (change: Readonly<Record<string, unknown>>): void => {
        if (change["silencesOpenConnections"] === true) {
            server.silenceConnections();
        }
    };
    httpServer.addFaultInjection({ server, faults, clock, onChange });
    addRoutes(server.app, service, faults);
    return {
        url: await server.listen(options.port),
        faults,
        runs: service.runs,
        silenceConnections: () => server.silenceConnections(),
        breakConnections: () => server.breakConnections(),
        [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
    };
}

function addRoutes(app: fastify.FastifyInstance, service: CountingService, faults: ServiceFaults): void {
    app.addContentTypeParser("*", { parseAs: "buffer" }, async (...[, body]: [unknown, unknown]) => body);
    app.get("/runs", async () => Object.fromEntries(service.runs));
    app.get<{ Params: { key: string } }>("/outcomes/:key", async (request, reply) => {
        const outcome = service.tryGetOutcome(request.params.key);
        return outcome === undefined ? reply.code(404).send({ error: "did not run" }) : formatOutcome(outcome);
    });
    app.all("/*", async (request, reply) => {
        if (faults.deathsBeforeRun > 0) {
            faults.deathsBeforeRun--;
            return breakConnection(reply);
        }
        const key = String(request.headers["idempotency-key"] ?? "");
        const outcome = await service.run(key, request);
        if (faults.deathsAfterRun > 0) {
            faults.deathsAfterRun--;
            return breakConnection(reply);
        }
        return reply.code(outcome.status).headers(outcome.headers).send(outcome.body);
    });
}

function breakConnection(reply: fastify.FastifyReply): fastify.FastifyReply {
    reply.hijack();
    reply.raw.socket?.destroy();
    return reply;
}

interface RunOutcome {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

function formatOutcome(outcome: RunOutcome): unknown {
    return { ...outcome, body: Buffer.from(outcome.body).toString("base64") };
}

class CountingService {
    readonly runs = new Map<string, number>();
    private readonly outcomes = new Map<string, RunOutcome>();
    private readonly inFlight = new Map<string, Promise<RunOutcome>>();

    constructor(
        private readonly name: string,
        private readonly clock: core.Clock,
        private readonly faults: ServiceFaults,
    ) {}

    tryGetOutcome(key: string): RunOutcome | undefined {
        return this.outcomes.get(key);
    }

    async run(key: string, request: fastify.FastifyRequest): Promise<RunOutcome> {
        if (key === "" || !this.faults.deduplicates) {
            return this.runOnce(key, request);
        }
        const known = this.outcomes.get(key) ?? this.inFlight.get(key);
        if (known !== undefined) {
            return known;
        }
        const running = this.runOnce(key, request);
        this.inFlight.set(key, running);
        const outcome = await running;
        this.inFlight.delete(key);
        return outcome;
    }

    private async runOnce(key: string, request: fastify.FastifyRequest): Promise<RunOutcome> {
        const run = (this.runs.get(key) ?? 0) + 1;
        this.runs.set(key, run);
        if (this.faults.runMilliseconds > 0) {
            await this.clock.sleep(this.faults.runMilliseconds);
        }
        const echo = Buffer.isBuffer(request.body) ? request.body.toString() : request.body;
        const answer = { service: this.name, key, run, method: request.method, path: request.url, echo };
        const outcome = {
            status: 200,
            headers: { "content-type": "application/json; charset=utf-8" },
            body: JSON.stringify(answer),
        };
        this.outcomes.set(key, outcome);
        return outcome;
    }
}
