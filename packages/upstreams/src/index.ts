/** HTTP clients of model engines and plain services. */
export * from "./types.js";
export * from "./clients.js";
export * from "./connections.js";
export * from "./httpEngineClient.js";
export * from "./httpServiceClient.js";
