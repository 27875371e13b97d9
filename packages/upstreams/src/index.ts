/** Engine and service clients. */
export * from "./types.js";
export * from "./clients.js";
