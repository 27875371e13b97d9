/** Dispatch takes requests from the endpoints to the upstreams. */
export * from "./types.js";
export * from "./fleetDispatcher.js";
export * from "./itemExecutor.js";
