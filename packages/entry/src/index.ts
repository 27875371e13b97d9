/** One entry instance: settings, composition, faces, drain and stop. */
export * from "./settings.js";
export type { InstanceStatus } from "./operatorFace/server.js";
