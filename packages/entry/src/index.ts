export * as membership from "./membership/index.js";
