/** Release notes: schema, checks, publishing, the note in force on each instance, rollout to upstreams. */
export * from "./types.js";
export * from "./services.js";
export * from "./noteSchema.js";
export * from "./fleetCapacity.js";
export * from "./noteAdoptionReport.js";
export * from "./noteChecker.js";
export * from "./noteDifferences.js";
export * from "./noteStore.js";
export * from "./keyValueNotePublisher.js";
export * from "./keyValueNoteCache.js";
export * from "./rolloutClaims.js";
export * from "./rolloutPlan.js";
export * from "./upstreamRollout.js";
