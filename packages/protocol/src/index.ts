/** The protocol between instances: messages, codec and peer links. */
export * from "./types.js";
export * from "./packedForm.js";
export * from "./codec.js";
export * from "./handshake.js";
export * from "./webSocketPeerNetwork.js";
