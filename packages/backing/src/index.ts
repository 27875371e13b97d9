/** The platform's services: key-value service, instance list, weight store, and their HTTP adapters. */
export * from "./types.js";
export * from "./services.js";
export * from "./callPacer.js";
export * from "./diskCache.js";
export * from "./httpInstanceList.js";
export * from "./httpKeyValueService.js";
export * from "./httpWeightStore.js";
export * from "./leaseKeeper.js";
export * from "./pacedKeyValueService.js";
export * from "./serviceHealth.js";
export * from "./spool.js";
export * from "./spoolFormat.js";
export * from "./swapWithReadBack.js";
export * from "./watchWithRecovery.js";
