/** Dispatch: the way of a request between the faces and the upstreams. */
export * from "./types.js";
export * from "./fleetDispatcher.js";
export * from "./itemExecutor.js";
