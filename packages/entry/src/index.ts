/** An entry instance: its settings, composition, endpoints, and graceful stop. */
export * from "./settings.js";
export * from "./instance.js";
export * as dispatch from "./dispatch/index.js";
export * as membership from "./membership/index.js";
export type { InstanceStatus } from "./operatorEndpoint/server.js";
