/** Code shared by all packages: common types, findings, refusals, the clock and assertions. */
export * from "./types.js";
export * from "./fleet.js";
export * from "./clock.js";
export * from "./disposal.js";
export * from "./bodyFraming.js";
export * from "./clientConnection.js";
export * from "./findings.js";
export * from "./errors.js";
export * as Debug from "./debug.js";
export * as messages from "./messages.js";
