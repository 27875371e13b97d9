/** Event catalogue, time line, metrics and logs. */
export * as events from "./events.js";
export * from "./metrics.js";
export * from "./telemetry.js";
export * from "./timeLine.js";
