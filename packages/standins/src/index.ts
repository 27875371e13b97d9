/** Small stand-ins for the platform and the upstreams, for tests and demos. */
export * from "./httpServer.js";
export * from "./engineHoldings.js";
export * from "./engineModel.js";
export * from "./engineStandin.js";
export * from "./instanceListStandin.js";
export * from "./keyValueStandin.js";
export * from "./memoryKeyValueService.js";
export * from "./memoryMembership.js";
export * from "./memoryPeers.js";
export * from "./registryMember.js";
export * from "./serviceStandin.js";
export * from "./weightStoreStandin.js";
export * from "./memoryMetadataStore.js";
