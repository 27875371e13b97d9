/** The platform's services: key-value service, instance list, weight store, and their HTTP adapters. */
export * from "./types.js";
export * from "./services.js";
export * from "./httpInstanceList.js";
export * from "./httpKeyValueService.js";
export * from "./httpWeightStore.js";
