/** The boragedale command line, for tests and for programs that embed it. */
export * from "./exitCodes.js";
export * from "./program.js";
export * from "./explainCommand.js";
