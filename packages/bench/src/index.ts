/** Scenarios over `decisions` in virtual time (development). */
export * from "./engine.js";
export * from "./measures.js";
export * from "./quantiles.js";
export * from "./report.js";
export * from "./run.js";
export * from "./scenarios.js";
export * from "./simulation.js";
