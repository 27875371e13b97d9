/**
 * Pure decision logic: admission, queueing, refusal, placement, and batch against online work. It has no clock, socket,
 * timer or random source other than those passed in.
 */
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
export * from "./partsInProgress.js";
export * from "./crashingParts.js";
export * from "./quarantineTrials.js";
export * from "./versionHistory.js";
export * from "./upstreamHealth.js";
export * from "./slotEnds.js";
export * from "./slotTable.js";
export * from "./onlineAdmission.js";
export * from "./retryRule.js";
export * from "./batchGrants.js";
export * from "./itemOrder.js";
export * from "./onlineDemand.js";
export * from "./homes.js";
export * from "./homeOrder.js";
export * from "./failureWatch.js";
export * from "./engineSpeed.js";
export * from "./recentDurations.js";
