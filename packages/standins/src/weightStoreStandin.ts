import * as core from "@boragedale/core";
import * as httpServer from "./httpServer.js";

/** Faults of the weight store. */
export interface WeightStoreFaults extends httpServer.ConnectionFaults {
    /** Maximum number of downloads per second; further ones get 429. 0 means no limit. */
    downloadsPerSecond: number;
}

export interface WeightStoreOptions extends httpServer.StandinOptions {
    readonly downloadsPerSecond?: number;
    /** Size in bytes by `model/version`; all others have `defaultBytes`. */
    readonly weights?: Readonly<Record<string, number>>;
    /** Size of versions that `weights` doesn't list; 0 means that they don't exist. */
    readonly defaultBytes?: number;
}

export interface WeightStoreStandin extends httpServer.Standin<WeightStoreFaults> {
    /** Numbers of downloads admitted and refused so far. */
    readonly downloads: { admitted: number; refused: number };
}

const DefaultWeightBytes = 65_536;

interface WeightParams {
    readonly model: string;
    readonly version: string;
}

/** Starts a stand-in for the weight store, which refuses downloads above its rate limit. */
export async function createWeightStoreStandin(options: WeightStoreOptions = {}): Promise<WeightStoreStandin> {
    const clock = options.clock ?? new core.SystemClock();
    const faults = { ...httpServer.createConnectionFaults(), downloadsPerSecond: options.downloadsPerSecond ?? 0 };
    const downloads = { admitted: 0, refused: 0 };
    const limit = new httpServer.RateLimit(clock);
    const server = new httpServer.StandinServer();
    httpServer.addFaultInjection({ server, faults, clock });
    const getBytes = ({ model, version }: WeightParams): number =>
        options.weights?.[`${model}/${version}`] ?? options.defaultBytes ?? DefaultWeightBytes;
    server.app.head<{ Params: WeightParams }>("/models/:model/:version", async (request, reply) => {
        const bytes = getBytes(request.params);
        return bytes === 0 ? reply.code(404).send() : reply.header("content-length", String(bytes)).send();
    });
    server.app.get<{ Params: WeightParams }>("/models/:model/:version", async (request, reply) => {
        const bytes = getBytes(request.params);
        if (bytes === 0) {
            return reply.code(404).send({ error: "unknown version" });
        }
        if (limit.admit(faults.downloadsPerSecond) > 0) {
            downloads.refused++;
            return reply.code(429).header("retry-after", "1").send({ error: "over the rate" });
        }
        downloads.admitted++;
        return reply.type("application/octet-stream").send(Buffer.alloc(bytes));
    });
    return {
        url: await server.listen(options.port),
        faults,
        downloads,
        [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
    };
}
