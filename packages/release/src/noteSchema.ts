import * as core from "@boragedale/core";
import * as zod from "zod";

/**
 * The schema of a release note as operators write it. A note lists what is added, changed and withdrawn; the checker
 * applies it to the fleet that the previous note described. docs/release-note.schema.json is generated from here.
 */

const name = zod
    .string()
    .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/, "letters, digits, '.', '_' and '-', at most 100 characters");
const version = zod.string().min(1).max(100);
const floor = zod.int().min(0).max(10_000);

const model = zod.strictObject({
    id: name,
    version,
    onlineFloor: floor.default(0).describe("Minimum number of upstreams that serve the model online during a rollout."),
    batchFloor: floor
        .default(0)
        .describe("Minimum number of upstreams that serve the model's batch work during a rollout."),
});

const adapter = zod.strictObject({ model: name, id: name, version });

const upstream = zod.strictObject({
    id: name,
    kind: zod.enum(core.UpstreamKind),
    url: zod.url({ protocol: /^https?$/ }),
    dataCentre: name,
    role: zod.enum(core.UpstreamRole).default(core.UpstreamRole.Mixed),
    models: zod.array(name).default([]).describe("Models that the engine holds; none for a plain service."),
    checksFencing: zod
        .boolean()
        .default(false)
        .describe("Whether the upstream rejects orders with an outdated fencing number."),
    concurrency: zod.int().min(1).max(100_000).default(16).describe("Maximum number of concurrent requests."),
    isLeaving: zod
        .boolean()
        .default(false)
        .describe("If true, the upstream gets no new requests; running requests may finish."),
});

const route = zod.strictObject({
    method: zod.string().regex(/^([A-Z]+|\*)$/, "an HTTP method in capitals, or '*'"),
    path: zod.string().startsWith("/"),
    safety: zod.enum(core.CallSafety),
    askPath: zod
        .string()
        .startsWith("/")
        .optional()
        .describe("Path that returns the outcome of a call by its idempotency key, which replaces '{key}'."),
    settleMilliseconds: zod
        .number()
        .int()
        .min(0)
        .max(60_000)
        .optional()
        .describe(
            "Longest delay between the arrival of a call and its start. A call is sent again once the service has reported for this long that it did not run.",
        ),
});

const service = zod.strictObject({ id: name, upstreams: zod.array(name).min(1), routes: zod.array(route).min(1) });

const caller = zod.strictObject({
    id: name,
    tokenHash: zod.string().regex(/^[0-9a-f]{64}$/, "the SHA-256 of the token as 64 hexadecimal digits"),
    weight: zod.number().positive().max(1_000).default(1),
});

/**
 * Every field of a change except its identifier is optional and has no default, since a default would silently undo
 * what an earlier note set.
 */
const changed = zod.strictObject({
    models: zod
        .array(
            zod.strictObject({
                id: name,
                version: version.optional(),
                onlineFloor: floor.optional(),
                batchFloor: floor.optional(),
            }),
        )
        .default([]),
    adapters: zod.array(adapter).default([]),
    upstreams: zod
        .array(
            zod.strictObject({
                id: name,
                url: upstream.shape.url.optional(),
                dataCentre: name.optional(),
                role: zod.enum(core.UpstreamRole).optional(),
                models: zod.array(name).optional(),
                checksFencing: zod.boolean().optional(),
                concurrency: zod.int().min(1).max(100_000).optional(),
                isLeaving: zod.boolean().optional(),
            }),
        )
        .default([]),
    services: zod
        .array(
            zod.strictObject({
                id: name,
                upstreams: service.shape.upstreams.optional(),
                routes: service.shape.routes.optional(),
            }),
        )
        .default([]),
    callers: zod
        .array(
            zod.strictObject({
                id: name,
                tokenHash: caller.shape.tokenHash.optional(),
                weight: zod.number().positive().max(1_000).optional(),
            }),
        )
        .default([]),
});

const added = zod.strictObject({
    models: zod.array(model).default([]),
    adapters: zod.array(adapter).default([]),
    upstreams: zod.array(upstream).default([]),
    services: zod.array(service).default([]),
    callers: zod.array(caller).default([]),
});

const withdrawn = zod.strictObject({
    models: zod.array(name).default([]),
    adapters: zod.array(zod.strictObject({ model: name, id: name })).default([]),
    upstreams: zod.array(name).default([]),
    services: zod.array(name).default([]),
    callers: zod.array(name).default([]),
});

const milliseconds = zod.int().min(1);

const policy = zod.strictObject({
    batchWeight: zod
        .number()
        .min(0)
        .max(1)
        .optional()
        .describe("Weight of batch work against online work. 0: online latency comes first; 1: both count the same."),
    retentionMilliseconds: milliseconds.optional(),
    onlineDeadlineMilliseconds: milliseconds.optional(),
    batchDeadlineMilliseconds: milliseconds.optional(),
    itemAttempts: zod.int().min(1).max(100).optional(),
});

const weightStore = zod.strictObject({
    concurrentLoads: zod.int().min(1).max(10_000).describe("Maximum number of concurrent loads over the whole fleet."),
});

/** Every section is optional. A first note takes what it omits from the defaults below. */
export const NoteSchema = zod.strictObject({
    added: added.prefault({}),
    changed: changed.prefault({}),
    withdrawn: withdrawn.prefault({}),
    policy: policy.optional(),
    weightStore: weightStore.optional(),
});

export type Note = zod.output<typeof NoteSchema>;

/** Policy of a fleet whose notes never set one. */
export const DefaultPolicy: core.FleetPolicy = {
    batchWeight: 0.3,
    retentionMilliseconds: 48 * 3_600_000,
    onlineDeadlineMilliseconds: 30_000,
    batchDeadlineMilliseconds: 12 * 3_600_000,
    itemAttempts: 4,
};

export const DefaultWeightStore: core.WeightStoreLimits = { concurrentLoads: 2 };

/** Returns the published JSON Schema of release notes, as operators write them. */
export function createNoteJsonSchema(): Readonly<Record<string, unknown>> {
    return {
        title: "boragedale release note",
        ...zod.toJSONSchema(NoteSchema, { io: "input", target: "draft-2020-12" }),
    };
}
