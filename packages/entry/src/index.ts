/** One entry instance: settings, composition, faces, drain and stop. */
export * from "./settings.js";
export * from "./instance.js";
export * as dispatch from "./dispatch/index.js";
export * as membership from "./membership/index.js";
export type { InstanceStatus } from "./operatorFace/server.js";
