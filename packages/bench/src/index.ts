/** Simulations in virtual time, for development: scenarios for `decisions`, slot sharing, membership and quotas. */
export * from "./engine.js";
export * from "./measures.js";
export * from "./quantiles.js";
export * from "./report.js";
export * from "./run.js";
export * from "./scenarios.js";
export * from "./simulation.js";
export { Sharing } from "./slots/slotsFleet.js";
export * from "./slots/slotsRun.js";
export * from "./slots/engineQueue.js";
export * from "./slots/hardLoad.js";
export * from "./slots/hardLoadBatch.js";
export * from "./slots/hardLoadOnline.js";
export * from "./slots/hardLoadResult.js";
export * from "./membership/membershipRun.js";
export { QuotaScene } from "./quotas/quotaScenes.js";
export { QuotaWay } from "./quotas/quotasFleet.js";
export * from "./quotas/quotasRun.js";
