/**
 * Customers of the fleet: credentials, and limits on how many requests of one customer run. Pure logic: the current
 * time and random sources are passed in.
 */
export * from "./types.js";
export * from "./credentials.js";
export * from "./customerDirectory.js";
export * from "./slidingWindow.js";
export * from "./tokenBucket.js";
export * from "./quotaLedger.js";
export * from "./quotaFallback.js";
