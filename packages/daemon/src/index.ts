/** The processes of the users' platform, as parts that tests start. */
export * from "./settings.js";
export * from "./settingsKeeper.js";
export * from "./eventLog.js";
export * from "./peers.js";
export * from "./composition.js";
export * from "./gatewayProcess.js";
export * from "./storageProcess.js";
