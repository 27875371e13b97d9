/** Small stand-ins for the platform and the upstreams, for tests and the demo. */
export * from "./memoryKeyValueService.js";
export * from "./memoryMembership.js";
export * from "./memoryPeers.js";
