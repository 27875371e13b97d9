/** Release notes: schema, check, publish, keep in force, rollout of upstreams. */
export * from "./types.js";
export * from "./services.js";
