/** The processes that run on the users' platform, exported so that tests can start them. */
export * from "./settings.js";
export * from "./settingsWatcher.js";
export * from "./defects.js";
export * from "./eventLog.js";
export * from "./peers.js";
export * from "./composition.js";
export * from "./draining.js";
export * from "./gatewayProcess.js";
export * from "./storageProcess.js";
export * from "./customerLabels.js";
