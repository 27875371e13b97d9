/** Release notes: schema, check, publish, keep in force, rollout of upstreams. */
export * from "./types.js";
export * from "./services.js";
export * from "./noteSchema.js";
export * from "./fleetCapacity.js";
export * from "./forceReport.js";
export * from "./noteChecker.js";
export * from "./noteDifferences.js";
export * from "./noteStore.js";
export * from "./keyValueNotePublisher.js";
export * from "./keyValueNoteKeeper.js";
export * from "./rolloutClaims.js";
export * from "./rolloutPlan.js";
export * from "./upstreamRollout.js";
