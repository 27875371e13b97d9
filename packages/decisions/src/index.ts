/** Pure policy: admit, queue, refuse, place, shift. No clock, socket, timer or random source but those passed in. */
export * from "./admissionQueue.js";
export * from "./batchGate.js";
export * from "./batchOrder.js";
export * from "./breaker.js";
export * from "./concurrencyLimit.js";
export * from "./estimates.js";
export * from "./hashing.js";
export * from "./linearFit.js";
export * from "./placement.js";
export * from "./placementTypes.js";
export * from "./priorityQueue.js";
export * from "./retryBudget.js";
export * from "./serviceTime.js";
export * from "./stepCost.js";
export * from "./suspects.js";
export * from "./upstreamHealth.js";
