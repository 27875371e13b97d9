/** The inner protocol: messages, codec, peer link. */
export * from "./types.js";
